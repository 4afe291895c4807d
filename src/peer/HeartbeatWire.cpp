#include "peer/HeartbeatWire.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include "peer/QuotaWire.h"
#include "peer/Wire.h"

namespace pollenwick {
namespace {

/// Enough for any datagram; a packed one could name far more.
constexpr std::uint64_t MaxTraversalWords = std::uint64_t{64} * 1024;
constexpr int MaxNestingDepth = 8;

void writeNews(wire::HostNews::Builder Out, const HostNews &In) {
  Out.setHost(In.Host.Text);
  Out.setStart(In.Start.Value);
  Out.setSequence(In.Sequence);
  Out.setStatus(static_cast<wire::Liveness>(In.Status));
  Out.setLeaving(In.Leaving);
}

HostNews readNews(wire::HostNews::Reader In) {
  HostNews Out;
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
  writeNews(Out.initSelf(), Content.Beat.Self);
  writeMessage(Out.initHeld(),
               RevisionKey{Content.Beat.Number, Content.Beat.Root});
  auto News = Out.initNews(static_cast<unsigned>(Content.Beat.News.size()));
  for (unsigned I = 0; I < News.size(); ++I)
    writeNews(News[I], Content.Beat.News[I]);
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
    Out.Beat.Self = readNews(In.getSelf());
    const RevisionKey Held = readMessage(In.getHeld());
    Out.Beat.Number = Held.Number;
    Out.Beat.Root = Held.Root;
    for (auto News : In.getNews())
      Out.Beat.News.push_back(readNews(News));
    Out.Suspicions = readMessages(In.getSuspicions());
    if (Out.Beat.Self.Host.empty())
      return std::nullopt;
    return Out;
  } catch (const kj::Exception &) {
    return std::nullopt;
  }
}

} // namespace pollenwick
