#include "peer/QuotaWire.h"

#include <algorithm>

#include "peer/Wire.h"

namespace pollenwick {
namespace {

void writeShard(wire::Shard::Builder Out, const ShardId &In) {
  Out.setCustomer(In.Customer.Text);
  Out.setZone(In.Zone.Text);
}

ShardId readShard(wire::Shard::Reader In) {
  return {CustomerId(toStdString(In.getCustomer())),
          ZoneId(toStdString(In.getZone()))};
}

} // namespace

void writeMessage(wire::BorrowRequest::Builder Out, const BorrowRequest &In) {
  writeShard(Out.initShard(), In.Shard);
  Out.setHolder(In.Holder.Text);
  writeIncarnation(Out.initBorrower(), In.Borrower);
  Out.setSequence(In.Sequence);
  Out.setNeededMicro(In.Needed.Value);
  Out.setWantedMicro(In.Wanted.Value);
}

BorrowRequest readMessage(wire::BorrowRequest::Reader In) {
  return {
      readShard(In.getShard()),          HostId(toStdString(In.getHolder())),
      readIncarnation(In.getBorrower()), In.getSequence(),
      MicroTokens{In.getNeededMicro()},  MicroTokens{In.getWantedMicro()}};
}

void writeMessage(wire::BorrowReply::Builder Out, const BorrowReply &In) {
  writeShard(Out.initShard(), In.Shard);
  writeIncarnation(Out.initHolder(), In.Holder);
  writeIncarnation(Out.initBorrower(), In.Borrower);
  Out.setSequence(In.Sequence);
  Out.setLease(In.Lease.Value);
  Out.setTokensMicro(In.Tokens.Value);
  Out.setLifetimeMicros(In.Lifetime.count());
  Out.setAskAgain(In.AskAgain);
}

BorrowReply readMessage(wire::BorrowReply::Reader In) {
  return {readShard(In.getShard()),
          readIncarnation(In.getHolder()),
          readIncarnation(In.getBorrower()),
          In.getSequence(),
          LeaseId(In.getLease()),
          MicroTokens{In.getTokensMicro()},
          Duration(In.getLifetimeMicros()),
          In.getAskAgain()};
}

void writeMessage(wire::Settlement::Builder Out, const Settlement &In) {
  writeShard(Out.initShard(), In.Shard);
  writeIncarnation(Out.initHolder(), In.Holder);
  writeIncarnation(Out.initBorrower(), In.Borrower);
  auto List = Out.initReports(static_cast<unsigned>(In.Reports.size()));
  for (unsigned I = 0; I < List.size(); ++I) {
    List[I].setLease(In.Reports[I].Id.Value);
    List[I].setSpentMicro(In.Reports[I].Spent.Value);
    List[I].setReturnedMicro(In.Reports[I].Returned.Value);
    List[I].setClosed(In.Reports[I].Closed);
  }
}

Settlement readMessage(wire::Settlement::Reader In) {
  Settlement Out{readShard(In.getShard()),
                 readIncarnation(In.getHolder()),
                 readIncarnation(In.getBorrower()),
                 {}};
  for (auto Report : In.getReports())
    Out.Reports.push_back(
        {LeaseId(Report.getLease()), MicroTokens{Report.getSpentMicro()},
         MicroTokens{Report.getReturnedMicro()}, Report.getClosed()});
  return Out;
}

void writeMessage(wire::Recall::Builder Out, const Recall &In) {
  writeShard(Out.initShard(), In.Shard);
  writeIncarnation(Out.initHolder(), In.Holder);
  writeIncarnation(Out.initBorrower(), In.Borrower);
  Out.setLease(In.Lease.Value);
}

Recall readMessage(wire::Recall::Reader In) {
  return {readShard(In.getShard()), readIncarnation(In.getHolder()),
          readIncarnation(In.getBorrower()), LeaseId(In.getLease())};
}

void writeMessage(wire::PullRequest::Builder Out, const PullRequest &In) {
  writeShard(Out.initFrom(), In.SourceShard);
  Out.setHolder(In.Holder.Text);
  writeShard(Out.initTo(), In.TargetShard);
  writeIncarnation(Out.initPuller(), In.Puller);
  Out.setSequence(In.Sequence);
  Out.setWantedMicro(In.Wanted.Value);
  Out.setBalanceMicro(In.PullerBalance.Value);
}

PullRequest readMessage(wire::PullRequest::Reader In) {
  return {readShard(In.getFrom()),
          HostId(toStdString(In.getHolder())),
          readShard(In.getTo()),
          readIncarnation(In.getPuller()),
          In.getSequence(),
          MicroTokens{In.getWantedMicro()},
          MicroTokens{In.getBalanceMicro()}};
}

void writeMessage(wire::PullReply::Builder Out, const PullReply &In) {
  writeShard(Out.initTo(), In.TargetShard);
  writeIncarnation(Out.initPuller(), In.Puller);
  Out.setSequence(In.Sequence);
  Out.setTokensMicro(In.Tokens.Value);
}

PullReply readMessage(wire::PullReply::Reader In) {
  return {readShard(In.getTo()), readIncarnation(In.getPuller()),
          In.getSequence(), MicroTokens{In.getTokensMicro()}};
}

void writeMessage(wire::ShardClaim::Builder Out, const Claim &In) {
  writeShard(Out.initShard(), In.Shard);
  Out.setPreviousHolder(In.PreviousHolder.Text);
  writeMessage(Out.initHostsSince(), In.HostsSince);
  writeIncarnation(Out.initClaimant(), In.Claimant);
}

Claim readMessage(wire::ShardClaim::Reader In) {
  return {readShard(In.getShard()), HostId(toStdString(In.getPreviousHolder())),
          readMessage(In.getHostsSince()), readIncarnation(In.getClaimant())};
}

void writeMessage(wire::Handover::Builder Out, const Handover &In) {
  writeShard(Out.initShard(), In.Shard);
  writeMessage(Out.initHostsSince(), In.HostsSince);
  writeIncarnation(Out.initTo(), In.Claimant);
  Out.setBalanceMicro(In.Balance.Value);
  Out.setOutstandingMicro(In.Outstanding.Value);
  Out.setOutstandingLifetimeMicros(In.OutstandingLifetime.count());
}

Handover readMessage(wire::Handover::Reader In) {
  return {readShard(In.getShard()),
          readMessage(In.getHostsSince()),
          readIncarnation(In.getTo()),
          MicroTokens{In.getBalanceMicro()},
          MicroTokens{In.getOutstandingMicro()},
          Duration(In.getOutstandingLifetimeMicros())};
}

void writeMessage(wire::Revision::Builder Out, const RevisionKey &In) {
  Out.setNumber(In.Number.Value);
  Out.setRoot(toDataReader(In.Root));
}

RevisionKey readMessage(wire::Revision::Reader In) {
  return {Revision(In.getNumber()), readDigest(In.getRoot())};
}

void writeMessages(capnp::List<wire::Suspicion>::Builder Out,
                   const std::vector<Suspicion> &In) {
  for (unsigned I = 0; I < Out.size(); ++I) {
    const Suspicion &Entry = In[I];
    Out[I].setFingerprint(
        {Entry.Subject.Bytes.data(), Entry.Subject.Bytes.size()});
    Out[I].setHost(Entry.Crash.Host.Text);
    Out[I].setStart(Entry.Crash.Start.Value);
    Out[I].setNumber(Entry.Crash.Number);
    Out[I].setCleared(Entry.Cleared);
    Out[I].setAgeMicros(Entry.Age.count());
  }
}

std::vector<Suspicion> readMessages(capnp::List<wire::Suspicion>::Reader In) {
  std::vector<Suspicion> Out;
  for (auto Entry : In) {
    Suspicion Read;
    const auto Bytes = Entry.getFingerprint();
    if (Bytes.size() != Read.Subject.Bytes.size())
      continue;
    std::ranges::copy(Bytes, Read.Subject.Bytes.begin());
    Read.Crash = {HostId(toStdString(Entry.getHost())),
                  StartId(Entry.getStart()), Entry.getNumber()};
    Read.Cleared = Entry.getCleared();
    Read.Age = Duration(Entry.getAgeMicros());
    Out.push_back(Read);
  }
  return Out;
}

} // namespace pollenwick
