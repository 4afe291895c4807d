#ifndef POLLENWICK_AGENT_TCPKEEPALIVE_H
#define POLLENWICK_AGENT_TCPKEEPALIVE_H

#include <Poco/Net/Socket.h>

namespace pollenwick::agent {

/// Lets the system probe a connected socket while nothing is in flight, so
/// that a connection which went silent without a reset fails within 3 s.
void enableTcpKeepAlive(Poco::Net::Socket &Socket);

} // namespace pollenwick::agent

#endif
