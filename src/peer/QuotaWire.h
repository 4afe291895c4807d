#ifndef POLLENWICK_PEER_QUOTAWIRE_H
#define POLLENWICK_PEER_QUOTAWIRE_H

#include "core/quarantine/Quarantine.h"
#include "core/quota/Messages.h"
#include "core/view/View.h"
#include "peer/Peer.capnp.h"

namespace pollenwick {

/// The functions below convert quota, view and quarantine messages to and from
/// their Cap'n Proto form.
void writeMessage(wire::BorrowRequest::Builder Out, const BorrowRequest &In);
BorrowRequest readMessage(wire::BorrowRequest::Reader In);
void writeMessage(wire::BorrowReply::Builder Out, const BorrowReply &In);
BorrowReply readMessage(wire::BorrowReply::Reader In);
void writeMessage(wire::Settlement::Builder Out, const Settlement &In);
Settlement readMessage(wire::Settlement::Reader In);
void writeMessage(wire::Recall::Builder Out, const Recall &In);
Recall readMessage(wire::Recall::Reader In);
void writeMessage(wire::PullRequest::Builder Out, const PullRequest &In);
PullRequest readMessage(wire::PullRequest::Reader In);
void writeMessage(wire::PullReply::Builder Out, const PullReply &In);
PullReply readMessage(wire::PullReply::Reader In);
void writeMessage(wire::ShardClaim::Builder Out, const Claim &In);
Claim readMessage(wire::ShardClaim::Reader In);
void writeMessage(wire::Handover::Builder Out, const Handover &In);
Handover readMessage(wire::Handover::Reader In);

void writeMessage(wire::Revision::Builder Out, const RevisionKey &In);
RevisionKey readMessage(wire::Revision::Reader In);

void writeMessages(capnp::List<wire::Suspicion>::Builder Out,
                   const std::vector<Suspicion> &In);
std::vector<Suspicion> readMessages(capnp::List<wire::Suspicion>::Reader In);

} // namespace pollenwick

#endif
