#ifndef POLLENWICK_PEER_WIRE_H
#define POLLENWICK_PEER_WIRE_H

#include "peer/Calls.h"
#include "peer/Peer.capnp.h"

namespace pollenwick {

/// Conversions between the node's types and Cap'n Proto messages. Instants
/// travel as time that remains or has passed, since hosts share no clock.
void writeCall(wire::Call::Builder Out, const CallRequest &Call, Instant Now);
CallRequest readCall(wire::Call::Reader In, Instant Now);

void writeReply(wire::Reply::Builder Out, const CallReply &Reply, CallId Id);
/// Reads a reply; `Id` receives the identifier of the call it answers.
CallReply readReply(wire::Reply::Reader In, CallId &Id);

void writeIncarnation(wire::Incarnation::Builder Out, const IncarnationId &Id);
IncarnationId readIncarnation(wire::Incarnation::Reader In);

std::string toStdString(capnp::Text::Reader In);

/// Copies up to 32 bytes; a digest of another length reads as all zero.
Digest readDigest(capnp::Data::Reader In);
inline capnp::Data::Reader toDataReader(const Digest &Value) {
  return {Value.data(), Value.size()};
}

} // namespace pollenwick

#endif
