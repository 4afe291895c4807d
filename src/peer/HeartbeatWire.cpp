#include "peer/HeartbeatWire.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include "peer/QuotaWire.h"
#include "peer/Wire.h"

namespace pollenwick {
namespace {

/// Sufficient for any valid datagram. Without the limit, a small packed
/// datagram could expand to a much larger message.
constexpr std::uint64_t MaxTraversalWords = std::uint64_t{64} * 1024;
constexpr int MaxNestingDepth = 8;

void writeNews(wire::HostNews::Builder Out, const HostUpdate &In) {
  Out.setHost(In.Host.Text);
  Out.setStart(In.Start.Value);
  Out.setSequence(In.Sequence);
  Out.setStatus(static_cast<wire::Liveness>(In.Status));
  Out.setLeaving(In.Leaving);
}

HostUpdate readNews(wire::HostNews::Reader In) {
  HostUpdate Out;
  Out.Host = HostId(toStdString(In.getHost()));
  Out.Start = StartId(In.getStart());
  Out.Sequence = In.getSequence();
  const auto Status = static_cast<std::uint16_t>(In.getStatus());
  Out.Status = Status <= static_cast<std::uint16_t>(Liveness::Dead)
                   ? static_cast<Liveness>(Status)
                   : Liveness::Unknown;
  Out.Leaving = In.getLeaving();
  return Out;
}

} // namespace

std::string encodeDatagram(const MembershipDatagram &Content) {
  capnp::MallocMessageBuilder Message;
  auto Out = Message.initRoot<wire::Heartbeat>();
  writeNews(Out.initSelf(), Content.Beat.Sender);
  writeMessage(Out.initHeld(), RevisionKey{Content.Beat.RevisionNumber,
                                           Content.Beat.RevisionRoot});
  auto News = Out.initNews(static_cast<unsigned>(Content.Beat.Updates.size()));
  for (unsigned I = 0; I < News.size(); ++I)
    writeNews(News[I], Content.Beat.Updates[I]);
  writeMessages(
      Out.initSuspicions(static_cast<unsigned>(Content.Suspicions.size())),
      Content.Suspicions);
  kj::VectorOutputStream Bytes;
  capnp::writePackedMessage(Bytes, Message);
  const auto Array = Bytes.getArray();
  return {reinterpret_cast<const char *>(Array.begin()), Array.size()};
}

std::optional<MembershipDatagram> decodeDatagram(std::span<const char> Bytes) {
  try {
    kj::ArrayInputStream Stream(
        {reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()});
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords = MaxTraversalWords;
    Options.nestingLimit = MaxNestingDepth;
    capnp::PackedMessageReader Message(Stream, Options);
    const auto In = Message.getRoot<wire::Heartbeat>();
    MembershipDatagram Out;
    Out.Beat.Sender = readNews(In.getSelf());
    const RevisionKey Held = readMessage(In.getHeld());
    Out.Beat.RevisionNumber = Held.Number;
    Out.Beat.RevisionRoot = Held.Root;
    for (auto News : In.getNews())
      Out.Beat.Updates.push_back(readNews(News));
    Out.Suspicions = readMessages(In.getSuspicions());
    if (Out.Beat.Sender.Host.empty())
      return std::nullopt;
    return Out;
  } catch (const kj::Exception &) {
    return std::nullopt;
  }
}

} // namespace pollenwick
