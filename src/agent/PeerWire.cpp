#include "agent/PeerWire.h"

#include <algorithm>
#include <array>
#include <cstring>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include "absl/strings/str_cat.h"
#include "agent/WireFields.h"
#include "peer/Mesh.capnp.h"

namespace pollenwick::agent {
namespace {

/// Largest accepted frame; it fits a body of the maximum size and its headers.
constexpr std::size_t MaxFrameBytes = std::size_t{72} * 1024 * 1024;
constexpr std::size_t WordBytes = sizeof(capnp::word);
constexpr std::size_t ScratchWords = 1024;
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
  putLoad(Out.initLoad(), Answer.Load);
}

void put(mesh::wire::Frame::Builder Root, const CancelFrame &Frame, Instant) {
  Root.setCancel(Frame.Id);
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

void put(mesh::wire::Frame::Builder Root, const RecallFrame &Frame, Instant) {
  Root.setRecall(Frame.Id);
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

absl::StatusOr<PeerFrame> decodeFrame(mesh::wire::Frame::Reader Root,
                                      Instant Now) {
  switch (Root.which()) {
  case mesh::wire::Frame::CALL:
    return readCall(Root.getCall(), Now);
  case mesh::wire::Frame::ANSWER:
    return readAnswer(Root.getAnswer());
  case mesh::wire::Frame::CANCEL:
    return CancelFrame{Root.getCancel()};
  case mesh::wire::Frame::STATUS: {
    absl::StatusOr<StatusFrame> Status =
        unpackStatus(toString(Root.getStatus()));
    if (!Status.ok())
      return Status.status();
    return *std::move(Status);
  }
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
  case mesh::wire::Frame::RECALL:
    return RecallFrame{Root.getRecall()};
  }
  return absl::InvalidArgumentError(
      "frame of an unknown kind; run the same release on all nodes");
}

} // namespace

std::string_view peerFrameName(std::size_t Kind) {
  constexpr std::array<std::string_view, PeerFrameKinds> Names{
      "call",  "answer", "cancel",         "status",    "pull",  "records",
      "hello", "resume", "relayed_status", "heartbeat", "recall"};
  return Names.at(Kind);
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
