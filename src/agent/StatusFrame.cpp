#include "agent/StatusFrame.h"

#include <algorithm>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "absl/strings/str_cat.h"
#include "agent/WireFields.h"

namespace pollenwick::agent {
namespace {

/// Largest unpacked status; a packed message can expand to many times its size.
constexpr std::size_t MaxStatusWords = std::size_t{1024} * 1024;

template <typename Builder>
void putCounts(Builder Out, const std::vector<NamedCount> &Counts) {
  for (unsigned I = 0; I < Counts.size(); ++I) {
    Out[I].setName(text(Counts[I].Name));
    Out[I].setA(Counts[I].A);
    Out[I].setB(Counts[I].B);
  }
}

template <typename Reader> std::vector<NamedCount> readCounts(Reader In) {
  std::vector<NamedCount> Counts;
  Counts.reserve(In.size());
  for (const auto Item : In)
    Counts.push_back({toString(Item.getName()), Item.getA(), Item.getB()});
  return Counts;
}

void put(mesh::wire::Status::Builder Out, const StatusFrame &Frame) {
  Out.setStart(Frame.Incarnation);
  Out.setSentAtMicros(
      static_cast<std::uint64_t>(Frame.SentAt.time_since_epoch().count()));
  Out.setRulesRevision(Frame.RulesRevision);
  Out.setServersRevision(Frame.ServersRevision);
  Out.setServersDigest(Frame.ServersDigest);
  Out.setSourceUse(static_cast<std::uint8_t>(Frame.Source));
  Out.setSourceLost(Frame.SourceLost);
  Out.setSourceReadMillis(toMillis(Frame.SourceReadTime));
  Out.setRulesAgeMillis(toMillis(Frame.RulesAge));
  Out.setServersAgeMillis(toMillis(Frame.ServersAge));
  Out.setService(text(Frame.Service));
  Out.setServerId(text(Frame.ServerId));
  putLoad(Out.initLoad(), Frame.Load);
  Out.setOfferedMicros(Frame.OfferedSlotMicros);
  Out.setLimitMicros(Frame.AvailableSlotMicros);
  Out.setRuns(Frame.Runs);
  putCounts(
      Out.initCustomers(static_cast<unsigned>(Frame.CustomerCounts.size())),
      Frame.CustomerCounts);
  putCounts(Out.initRoutes(static_cast<unsigned>(Frame.RouteCounts.size())),
            Frame.RouteCounts);
  putCounts(Out.initRetries(static_cast<unsigned>(Frame.RetryCounts.size())),
            Frame.RetryCounts);
  putCounts(Out.initCalls(static_cast<unsigned>(Frame.NestedCallCounts.size())),
            Frame.NestedCallCounts);
  putCounts(Out.initRouteWork(static_cast<unsigned>(Frame.RouteWork.size())),
            Frame.RouteWork);
  auto Crashes = Out.initCrashes(static_cast<unsigned>(Frame.Crashes.size()));
  for (unsigned I = 0; I < Frame.Crashes.size(); ++I) {
    Crashes[I].setFingerprint(Frame.Crashes[I].Fingerprint);
    Crashes[I].setCount(Frame.Crashes[I].Runs.Crashes);
    Crashes[I].setCompletions(Frame.Crashes[I].Runs.Completions);
  }
}

/// Decodes a packed status. Throws `kj::Exception` if the bytes are malformed.
StatusFrame readStatus(capnp::Data::Reader Packed) {
  kj::ArrayInputStream Input(Packed);
  capnp::ReaderOptions Options;
  Options.traversalLimitInWords = MaxStatusWords;
  capnp::PackedMessageReader Message(Input, Options);
  const auto In = Message.getRoot<mesh::wire::Status>();
  StatusFrame Frame;
  Frame.Incarnation = In.getStart();
  Frame.SentAt =
      Instant(Duration(static_cast<std::int64_t>(In.getSentAtMicros())));
  Frame.RulesRevision = In.getRulesRevision();
  Frame.ServersRevision = In.getServersRevision();
  Frame.ServersDigest = In.getServersDigest();
  Frame.Source =
      In.getSourceUse() <= static_cast<std::uint8_t>(SourceUse::Probe)
          ? static_cast<SourceUse>(In.getSourceUse())
          : SourceUse::Read;
  Frame.SourceLost = In.getSourceLost();
  Frame.SourceReadTime = std::chrono::milliseconds(In.getSourceReadMillis());
  Frame.RulesAge = std::chrono::milliseconds(In.getRulesAgeMillis());
  Frame.ServersAge = std::chrono::milliseconds(In.getServersAgeMillis());
  Frame.Service = toString(In.getService());
  Frame.ServerId = toString(In.getServerId());
  Frame.Load = readLoad(In.getLoad());
  Frame.OfferedSlotMicros = In.getOfferedMicros();
  Frame.AvailableSlotMicros = In.getLimitMicros();
  Frame.Runs = In.getRuns();
  Frame.CustomerCounts = readCounts(In.getCustomers());
  Frame.RouteCounts = readCounts(In.getRoutes());
  Frame.RetryCounts = readCounts(In.getRetries());
  Frame.NestedCallCounts = readCounts(In.getCalls());
  Frame.RouteWork = readCounts(In.getRouteWork());
  for (const auto Item : In.getCrashes())
    Frame.Crashes.push_back(
        {Item.getFingerprint(), {Item.getCount(), Item.getCompletions()}});
  return Frame;
}

std::vector<NamedCount> changedCounts(const std::vector<NamedCount> &Latest,
                                      const std::vector<NamedCount> &Sent) {
  const NamedCountIndex SentByName = indexByName(Sent);
  std::vector<NamedCount> Changed;
  std::ranges::copy_if(
      Latest, std::back_inserter(Changed), [&](const NamedCount &Item) {
        const auto Old = SentByName.find(Item.Name);
        return Old == SentByName.end() || Old->second->A != Item.A ||
               Old->second->B != Item.B;
      });
  return Changed;
}

void mergeCounts(std::vector<NamedCount> &Changes,
                 const std::vector<NamedCount> &Known) {
  const NamedCountIndex ChangesByName = indexByName(Changes);
  std::vector<NamedCount> Missing;
  std::ranges::copy_if(Known, std::back_inserter(Missing),
                       [&](const NamedCount &Item) {
                         return !ChangesByName.contains(Item.Name);
                       });
  Changes.insert(Changes.end(), Missing.begin(), Missing.end());
}

} // namespace

NamedCountIndex indexByName(const std::vector<NamedCount> &Counts) {
  NamedCountIndex Index;
  Index.reserve(Counts.size());
  for (const NamedCount &Item : Counts)
    Index.emplace(Item.Name, &Item);
  return Index;
}

std::string packStatus(const StatusFrame &Status) {
  capnp::MallocMessageBuilder Message;
  put(Message.initRoot<mesh::wire::Status>(), Status);
  kj::VectorOutputStream Packed;
  capnp::writePackedMessage(Packed, Message);
  const auto Bytes = Packed.getArray();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

absl::StatusOr<StatusFrame> unpackStatus(std::string_view Packed) {
  try {
    return readStatus(
        {reinterpret_cast<const kj::byte *>(Packed.data()), Packed.size()});
  } catch (const kj::Exception &Error) {
    return absl::InvalidArgumentError(
        absl::StrCat("unreadable status: ", Error.getDescription().cStr(),
                     "; check that the peer is a node"));
  }
}

StatusFrame changesSince(const StatusFrame &Latest, const StatusFrame &Sent) {
  StatusFrame Changes = Latest;
  Changes.CustomerCounts =
      changedCounts(Latest.CustomerCounts, Sent.CustomerCounts);
  Changes.RouteCounts = changedCounts(Latest.RouteCounts, Sent.RouteCounts);
  Changes.RetryCounts = changedCounts(Latest.RetryCounts, Sent.RetryCounts);
  Changes.NestedCallCounts =
      changedCounts(Latest.NestedCallCounts, Sent.NestedCallCounts);
  Changes.RouteWork = changedCounts(Latest.RouteWork, Sent.RouteWork);
  return Changes;
}

void mergeStatus(StatusFrame &Changes, const StatusFrame &Known) {
  mergeCounts(Changes.CustomerCounts, Known.CustomerCounts);
  mergeCounts(Changes.RouteCounts, Known.RouteCounts);
  mergeCounts(Changes.RetryCounts, Known.RetryCounts);
  mergeCounts(Changes.NestedCallCounts, Known.NestedCallCounts);
  mergeCounts(Changes.RouteWork, Known.RouteWork);
}

} // namespace pollenwick::agent
