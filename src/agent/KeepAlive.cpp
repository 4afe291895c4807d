#include "agent/KeepAlive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace pollenwick::agent {
namespace {

constexpr int IdleSeconds = 1;
constexpr int ProbeSeconds = 1;
constexpr int LostProbes = 2;

} // namespace

void probeWhileIdle(Poco::Net::Socket &Socket) {
  Socket.setOption(SOL_SOCKET, SO_KEEPALIVE, 1);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, IdleSeconds);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, ProbeSeconds);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, LostProbes);
}

} // namespace pollenwick::agent
