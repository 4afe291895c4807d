#include "agent/TcpKeepAlive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace pollenwick::agent {
namespace {

constexpr int IdleBeforeProbeSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
constexpr int MaxLostProbes = 2;

} // namespace

void enableTcpKeepAlive(Poco::Net::Socket &Socket) {
  Socket.setOption(SOL_SOCKET, SO_KEEPALIVE, 1);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, IdleBeforeProbeSeconds);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, MaxLostProbes);
}

} // namespace pollenwick::agent
