#ifndef POLLENWICK_PEER_WIRE_H
#define POLLENWICK_PEER_WIRE_H

#include "peer/Calls.h"
#include "peer/Peer.capnp.h"

namespace pollenwick {

/// The functions below convert between the node's types and Cap'n Proto
/// messages. A point in time is sent as the time that remains until it or has
/// passed since it, because the clocks of hosts are not synchronized.
void writeCall(wire::Call::Builder Out, const CallRequest &Call, Instant Now);
CallRequest readCall(wire::Call::Reader In, Instant Now);

void writeReply(wire::Reply::Builder Out, const CallReply &Reply, CallId Id);
/// Reads a reply and sets `Id` to the identifier of the call that it answers.
CallReply readReply(wire::Reply::Reader In, CallId &Id);

void writeIncarnation(wire::Incarnation::Builder Out, const IncarnationId &Id);
IncarnationId readIncarnation(wire::Incarnation::Reader In);

std::string toStdString(capnp::Text::Reader In);

/// Reads a digest. Returns the all-zero digest if the data is not 32 bytes
/// long.
Digest readDigest(capnp::Data::Reader In);
inline capnp::Data::Reader toDataReader(const Digest &Value) {
  return {Value.data(), Value.size()};
}

} // namespace pollenwick

#endif
