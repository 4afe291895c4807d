#ifndef POLLENWICK_AGENT_TCPKEEPALIVE_H
#define POLLENWICK_AGENT_TCPKEEPALIVE_H

#include <Poco/Net/Socket.h>

namespace pollenwick::agent {

/// Enables TCP keepalive probes on an idle connected socket, so that a
/// connection whose peer vanished without a reset fails within 3 s.
void enableTcpKeepAlive(Poco::Net::Socket &Socket);

} // namespace pollenwick::agent

#endif
