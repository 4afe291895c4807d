#include "agent/PeerWire.h"

#include <algorithm>
#include <array>
#include <cstring>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "absl/strings/str_cat.h"
#include "peer/Mesh.capnp.h"

namespace pollenwick::agent {
namespace {

/// Largest accepted frame; it fits a body of the maximum size and its headers.
constexpr std::size_t MaxFrameBytes = std::size_t{72} * 1024 * 1024;
constexpr std::size_t WordBytes = sizeof(capnp::word);
constexpr std::size_t ScratchWords = 1024;
/// Largest unpacked status; a packed message can expand to many times its size.
constexpr std::size_t MaxStatusWords = std::size_t{1024} * 1024;
constexpr double Permille = 1000;

capnp::Text::Reader text(const std::string &Value) {
  return {Value.c_str(), Value.size()};
}

capnp::Data::Reader data(const std::string &Value) {
  return {reinterpret_cast<const kj::byte *>(Value.data()), Value.size()};
}

std::string toString(capnp::Text::Reader Value) {
  return {Value.cStr(), Value.size()};
}

std::string toString(capnp::Data::Reader Value) {
  return {reinterpret_cast<const char *>(Value.begin()), Value.size()};
}

std::uint32_t toMicros(Duration Time) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Time.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

void put(mesh::wire::Load::Builder Out, const ServerLoad &Load) {
  Out.setRunning(Load.Running);
  Out.setWaiting(Load.Waiting);
  Out.setLimit(Load.MaxRunning);
  Out.setServiceMicros(toMicros(Load.MeanServiceTime));
  Out.setLeaving(Load.Leaving);
  Out.setFailedPermille(static_cast<std::uint16_t>(
      std::clamp(Load.FailureRate * Permille, 0.0, Permille)));
  Out.setRecentCalls(static_cast<std::uint16_t>(std::min<std::uint32_t>(
      Load.RecentCalls, std::numeric_limits<std::uint16_t>::max())));
}

ServerLoad readLoad(mesh::wire::Load::Reader In) {
  ServerLoad Load;
  Load.Running = In.getRunning();
  Load.Waiting = In.getWaiting();
  Load.MaxRunning = In.getLimit();
  Load.MeanServiceTime = Duration(In.getServiceMicros());
  Load.Leaving = In.getLeaving();
  Load.FailureRate = std::min(In.getFailedPermille() / Permille, 1.0);
  Load.RecentCalls = In.getRecentCalls();
  return Load;
}

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

void put(mesh::wire::Frame::Builder Root, const CallFrame &Frame, Instant Now) {
  auto Out = Root.initCall();
  const CallRequest &Request = Frame.Request;
  Out.setId(Frame.Id);
  Out.setRequestId(text(Request.RequestId));
  Out.setServerId(text(Request.ServerId));
  Out.setRoute(text(Request.Route));
  Out.setRemainingMicros(toMicros(Request.Deadline - Now));
  Out.setTargetMicros(toMicros(Request.LatencyTarget));
  Out.setRank(static_cast<std::uint16_t>(std::clamp(Request.Rank, 0, 65535)));
  Out.setNested(Request.Nested);
  Out.setRepeatable(Request.Retryable);
  Out.setPlacedAgain(Request.Redispatched);
  Out.setFingerprint(Request.Fingerprint);
  Out.setMethod(text(Request.Method));
  Out.setTarget(text(Request.Target));
  Out.setHead(data(Request.Headers));
  Out.setBody(data(Request.Body));
}

void put(mesh::wire::Frame::Builder Root, const AnswerFrame &Frame, Instant) {
  auto Out = Root.initAnswer();
  const CallResult &Answer = Frame.Answer;
  Out.setId(Frame.Id);
  Out.setOutcome(static_cast<mesh::wire::Outcome>(Answer.Outcome));
  Out.setStatus(static_cast<std::uint16_t>(Answer.Status));
  Out.setArrived(Answer.ReachedServer);
  Out.setCause(text(Answer.Cause));
  Out.setHead(data(Answer.Headers));
  Out.setBody(data(Answer.Body));
  put(Out.initLoad(), Answer.Load);
}

void put(mesh::wire::Frame::Builder Root, const CancelFrame &Frame, Instant) {
  Root.setCancel(Frame.Id);
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
  Out.setService(text(Frame.Service));
  Out.setServerId(text(Frame.ServerId));
  put(Out.initLoad(), Frame.Load);
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
  auto Crashes = Out.initCrashes(static_cast<unsigned>(Frame.Crashes.size()));
  for (unsigned I = 0; I < Frame.Crashes.size(); ++I) {
    Crashes[I].setFingerprint(Frame.Crashes[I].Fingerprint);
    Crashes[I].setCount(Frame.Crashes[I].Count);
  }
}

void put(mesh::wire::Frame::Builder Root, const StatusFrame &Frame, Instant) {
  Root.setStatus(data(packStatus(Frame)));
}

void put(mesh::wire::Frame::Builder Root, const RelayedStatusFrame &Frame,
         Instant) {
  auto Out = Root.initRelayedStatus();
  Out.setOrigin(text(Frame.Origin));
  Out.setStatus(data(Frame.Packed));
}

void put(mesh::wire::Frame::Builder Root, const HeartbeatFrame & /*Frame*/,
         Instant) {
  Root.setHeartbeat();
}

void put(mesh::wire::Frame::Builder Root, const PullFrame &Frame, Instant) {
  auto Out = Root.initPull();
  Out.setRulesRevision(Frame.RulesRevision);
  Out.setServersRevision(Frame.ServersRevision);
}

void put(mesh::wire::Record::Builder Out, const Record &Item) {
  Out.setKind(static_cast<std::uint8_t>(Item.Kind));
  Out.setId(text(Item.Id));
  Out.setRevision(Item.Revision);
  Out.setDeleted(Item.Deleted);
  Out.setValue(data(Item.Value));
}

void put(mesh::wire::Frame::Builder Root, const RecordsFrame &Frame, Instant) {
  auto Set = Root.initRecords();
  Set.setRulesRevision(Frame.Rules.AsOf);
  Set.setRulesFrom(Frame.Rules.From);
  Set.setRulesFull(Frame.Rules.IsFullList);
  Set.setServersRevision(Frame.Servers.AsOf);
  Set.setServersFrom(Frame.Servers.From);
  Set.setServersFull(Frame.Servers.IsFullList);
  auto Out = Set.initRecords(static_cast<unsigned>(
      Frame.Rules.Records.size() + Frame.Servers.Records.size()));
  unsigned Next = 0;
  for (const RecordBatch *Batch : {&Frame.Rules, &Frame.Servers})
    for (const Record &Item : Batch->Records)
      put(Out[Next++], Item);
}

void put(mesh::wire::Frame::Builder Root, const HelloFrame &Frame, Instant) {
  auto Out = Root.initHello();
  Out.setStart(Frame.Incarnation);
  Out.setLink(Frame.LinkNumber);
}

void put(mesh::wire::Frame::Builder Root, const ResumeFrame &Frame, Instant) {
  auto Out = Root.initResume();
  auto Links =
      Out.initLinks(static_cast<unsigned>(Frame.LostLinkNumbers.size()));
  for (unsigned I = 0; I < Frame.LostLinkNumbers.size(); ++I)
    Links.set(I, Frame.LostLinkNumbers[I]);
  auto Calls = Out.initCalls(static_cast<unsigned>(Frame.Calls.size()));
  for (unsigned I = 0; I < Frame.Calls.size(); ++I) {
    Calls[I].setId(Frame.Calls[I].Id);
    Calls[I].setSentOn(Frame.Calls[I].SentOn);
  }
}

CallFrame readCall(mesh::wire::Call::Reader In, Instant Now) {
  CallFrame Frame;
  CallRequest &Request = Frame.Request;
  Frame.Id = In.getId();
  Request.RequestId = toString(In.getRequestId());
  Request.ServerId = toString(In.getServerId());
  Request.Route = toString(In.getRoute());
  Request.Deadline = Now + Duration(In.getRemainingMicros());
  Request.LatencyTarget = Duration(In.getTargetMicros());
  Request.Rank = In.getRank();
  Request.Nested = In.getNested();
  Request.Retryable = In.getRepeatable();
  Request.Redispatched = In.getPlacedAgain();
  Request.Fingerprint = In.getFingerprint();
  Request.Method = toString(In.getMethod());
  Request.Target = toString(In.getTarget());
  Request.Headers = toString(In.getHead());
  Request.Body = toString(In.getBody());
  return Frame;
}

AnswerFrame readAnswer(mesh::wire::Answer::Reader In) {
  AnswerFrame Frame;
  CallResult &Answer = Frame.Answer;
  Frame.Id = In.getId();
  const auto Outcome = static_cast<std::uint16_t>(In.getOutcome());
  Answer.Outcome =
      Outcome <= 2 ? static_cast<CallOutcome>(Outcome) : CallOutcome::Unknown;
  Answer.Status = In.getStatus();
  Answer.ReachedServer = In.getArrived();
  Answer.Cause = toString(In.getCause());
  Answer.Headers = toString(In.getHead());
  Answer.Body = toString(In.getBody());
  Answer.Load = readLoad(In.getLoad());
  return Frame;
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
  for (const auto Item : In.getCrashes())
    Frame.Crashes.push_back({Item.getFingerprint(), Item.getCount()});
  return Frame;
}

RecordsFrame readRecords(mesh::wire::RecordSet::Reader In) {
  RecordsFrame Frame;
  Frame.Rules.AsOf = In.getRulesRevision();
  Frame.Rules.From = In.getRulesFrom();
  Frame.Rules.IsFullList = In.getRulesFull();
  Frame.Servers.AsOf = In.getServersRevision();
  Frame.Servers.From = In.getServersFrom();
  Frame.Servers.IsFullList = In.getServersFull();
  for (const auto Item : In.getRecords()) {
    Record New;
    New.Kind = Item.getKind() == 0 ? RecordKind::Rules : RecordKind::Server;
    New.Id = toString(Item.getId());
    New.Revision = Item.getRevision();
    New.Deleted = Item.getDeleted();
    New.Value = toString(Item.getValue());
    RecordBatch &Batch =
        New.Kind == RecordKind::Rules ? Frame.Rules : Frame.Servers;
    Batch.Records.push_back(std::move(New));
  }
  return Frame;
}

ResumeFrame readResume(mesh::wire::Resume::Reader In) {
  ResumeFrame Frame;
  for (const std::uint64_t Link : In.getLinks())
    Frame.LostLinkNumbers.push_back(Link);
  for (const auto Call : In.getCalls())
    Frame.Calls.push_back({Call.getId(), Call.getSentOn()});
  return Frame;
}

std::vector<NamedCount> changedCounts(const std::vector<NamedCount> &Latest,
                                      const std::vector<NamedCount> &Sent) {
  std::vector<NamedCount> Changed;
  std::ranges::copy_if(
      Latest, std::back_inserter(Changed), [&](const NamedCount &Item) {
        const auto Old = std::ranges::find(Sent, Item.Name, &NamedCount::Name);
        return Old == Sent.end() || Old->A != Item.A || Old->B != Item.B;
      });
  return Changed;
}

void mergeCounts(std::vector<NamedCount> &Changes,
                 const std::vector<NamedCount> &Known) {
  std::vector<NamedCount> Missing;
  std::ranges::copy_if(
      Known, std::back_inserter(Missing), [&](const NamedCount &Item) {
        return std::ranges::find(Changes, Item.Name, &NamedCount::Name) ==
               Changes.end();
      });
  Changes.insert(Changes.end(), Missing.begin(), Missing.end());
}

absl::StatusOr<PeerFrame> decodeFrame(mesh::wire::Frame::Reader Root,
                                      Instant Now) {
  switch (Root.which()) {
  case mesh::wire::Frame::CALL:
    return readCall(Root.getCall(), Now);
  case mesh::wire::Frame::ANSWER:
    return readAnswer(Root.getAnswer());
  case mesh::wire::Frame::CANCEL:
    return CancelFrame{Root.getCancel()};
  case mesh::wire::Frame::STATUS:
    return readStatus(Root.getStatus());
  case mesh::wire::Frame::PULL:
    return PullFrame{Root.getPull().getRulesRevision(),
                     Root.getPull().getServersRevision()};
  case mesh::wire::Frame::RECORDS:
    return readRecords(Root.getRecords());
  case mesh::wire::Frame::HELLO:
    return HelloFrame{Root.getHello().getStart(), Root.getHello().getLink()};
  case mesh::wire::Frame::RESUME:
    return readResume(Root.getResume());
  case mesh::wire::Frame::RELAYED_STATUS:
    return RelayedStatusFrame{toString(Root.getRelayedStatus().getOrigin()),
                              toString(Root.getRelayedStatus().getStatus())};
  case mesh::wire::Frame::HEARTBEAT:
    return HeartbeatFrame{};
  }
  return absl::InvalidArgumentError(
      "frame of an unknown kind; run the same release on all nodes");
}

} // namespace

std::string_view peerFrameName(std::size_t Kind) {
  constexpr std::array<std::string_view, PeerFrameKinds> Names{
      "call",    "answer", "cancel", "status",         "pull",
      "records", "hello",  "resume", "relayed_status", "heartbeat"};
  return Names.at(Kind);
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
  return Changes;
}

void mergeStatus(StatusFrame &Changes, const StatusFrame &Known) {
  mergeCounts(Changes.CustomerCounts, Known.CustomerCounts);
  mergeCounts(Changes.RouteCounts, Known.RouteCounts);
  mergeCounts(Changes.RetryCounts, Known.RetryCounts);
  mergeCounts(Changes.NestedCallCounts, Known.NestedCallCounts);
}

void encodeFrame(const PeerFrame &Frame, Instant Now, std::string &Out) {
  alignas(8) static thread_local std::array<capnp::word, ScratchWords> Scratch;
  std::memset(Scratch.data(), 0, sizeof(Scratch));
  capnp::MallocMessageBuilder Message(
      kj::arrayPtr(Scratch.data(), Scratch.size()));
  auto Root = Message.initRoot<mesh::wire::Frame>();
  std::visit([&](const auto &TypedFrame) { put(Root, TypedFrame, Now); },
             Frame);
  const kj::Array<capnp::word> Words = capnp::messageToFlatArray(Message);
  const auto Bytes = Words.asBytes();
  Out.append(reinterpret_cast<const char *>(Bytes.begin()), Bytes.size());
}

absl::Status
FrameReader::feed(std::string_view Bytes, Instant Now,
                  const std::function<void(PeerFrame &&)> &OnFrame) {
  Buffer.append(Bytes);
  std::size_t Offset = 0;
  absl::Status Result;
  while (Buffer.size() - Offset >= WordBytes && Result.ok()) {
    const auto *Words =
        reinterpret_cast<const capnp::word *>(Buffer.data() + Offset);
    const std::size_t AvailableWords = (Buffer.size() - Offset) / WordBytes;
    try {
      const std::size_t FrameWords = capnp::expectedSizeInWordsFromPrefix(
          kj::arrayPtr(Words, std::min<std::size_t>(AvailableWords, 64)));
      if (FrameWords * WordBytes > MaxFrameBytes) {
        Result = absl::InvalidArgumentError(
            absl::StrCat("frame of ", FrameWords * WordBytes,
                         " bytes is too large; check that the peer is a node"));
        break;
      }
      if (FrameWords > AvailableWords) {
        Buffer.reserve(Offset + FrameWords * WordBytes);
        break;
      }
      capnp::ReaderOptions Options;
      Options.traversalLimitInWords = 2 * MaxFrameBytes / WordBytes;
      capnp::FlatArrayMessageReader Message(kj::arrayPtr(Words, FrameWords),
                                            Options);
      absl::StatusOr<PeerFrame> Frame =
          decodeFrame(Message.getRoot<mesh::wire::Frame>(), Now);
      Offset += FrameWords * WordBytes;
      if (Frame.ok())
        OnFrame(std::move(*Frame));
      else
        Result = Frame.status();
    } catch (const kj::Exception &Error) {
      Result = absl::InvalidArgumentError(
          absl::StrCat("unreadable frame: ", Error.getDescription().cStr(),
                       "; check that the peer is a node"));
    }
  }
  Buffer.erase(0, Offset);
  if (Buffer.empty() && Buffer.capacity() > MaxFrameBytes / 64)
    std::string().swap(Buffer);
  return Result;
}

} // namespace pollenwick::agent
