#include "agent/PeerWire.h"

#include <algorithm>
#include <array>
#include <cstring>

#include <capnp/message.h>
#include <capnp/orphan.h>
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

/// Sets the body of a call or answer. A large one is not copied: the message
/// refers to it until it is sent.
template <typename Builder> void putBody(Builder Out, const SharedBytes &Body) {
  const capnp::Data::Reader Bytes(
      reinterpret_cast<const capnp::byte *>(Body.view().data()), Body.size());
  if (Body.isPadded())
    Out.adoptBody(
        capnp::Orphanage::getForMessageContaining(Out).referenceExternalData(
            Bytes));
  else
    Out.setBody(Bytes);
}

/// Returns the body of a call or answer. A large one stays in `Whole`, the
/// frame that it is part of.
SharedBytes readBody(capnp::Data::Reader Body, const SharedBytes &Whole) {
  const std::string_view View(reinterpret_cast<const char *>(Body.begin()),
                              Body.size());
  return Whole.empty() || View.size() < LargeBytes
             ? SharedBytes(std::string(View))
             : Whole.part(View);
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
  Out.setLimitMilliPerS(toMilliPerS(Request.ServerRequestsPerS));
  Out.setFingerprint(Request.Fingerprint);
  Out.setMethod(text(Request.Method));
  Out.setTarget(text(Request.Target));
  Out.setHead(data(Request.Headers));
  putBody(Out, Request.Body);
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
  putLoad(Out.initLoad(), Answer.Load);
  Out.setHasUnsentLength(Answer.UnsentLength.has_value());
  Out.setUnsentLength(Answer.UnsentLength.value_or(0));
  putBody(Out, Answer.Body);
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

CallFrame readCall(mesh::wire::Call::Reader In, Instant Now,
                   const SharedBytes &Whole) {
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
  Request.ServerRequestsPerS = fromMilliPerS(In.getLimitMilliPerS());
  Request.Fingerprint = In.getFingerprint();
  Request.Method = toString(In.getMethod());
  Request.Target = toString(In.getTarget());
  Request.Headers = toString(In.getHead());
  Request.Body = readBody(In.getBody(), Whole);
  return Frame;
}

AnswerFrame readAnswer(mesh::wire::Answer::Reader In,
                       const SharedBytes &Whole) {
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
  Answer.Body = readBody(In.getBody(), Whole);
  Answer.Load = readLoad(In.getLoad());
  if (In.getHasUnsentLength())
    Answer.UnsentLength = In.getUnsentLength();
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
                                      Instant Now, const SharedBytes &Whole) {
  switch (Root.which()) {
  case mesh::wire::Frame::CALL:
    return readCall(Root.getCall(), Now, Whole);
  case mesh::wire::Frame::ANSWER:
    return readAnswer(Root.getAnswer(), Whole);
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

/// Appends the start of Cap'n Proto's stream framing: the number of segments
/// less one and their sizes in words, as 32-bit little-endian numbers.
void appendSegmentTable(
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> Segments,
    std::string &Out) {
  const auto AppendNumber = [&Out](std::size_t Number) {
    for (int Shift = 0; Shift < 32; Shift += 8)
      Out.push_back(static_cast<char>((Number >> Shift) & 0xff));
  };
  std::size_t TotalBytes = (Segments.size() / 2 + 1) * WordBytes;
  for (const auto Segment : Segments)
    TotalBytes +=
        Segment.asBytes().size() < LargeBytes ? Segment.asBytes().size() : 0;
  Out.reserve(TotalBytes);
  AppendNumber(Segments.size() - 1);
  for (const auto Segment : Segments)
    AppendNumber(Segment.size());
  if (Segments.size() % 2 == 0)
    AppendNumber(0);
}

} // namespace

std::string_view peerFrameName(std::size_t Kind) {
  constexpr std::array<std::string_view, PeerFrameKinds> Names{
      "call",  "answer", "cancel",         "status",    "pull",  "records",
      "hello", "resume", "relayed_status", "heartbeat", "recall"};
  return Names.at(Kind);
}

EncodedFrame encodeFrame(const PeerFrame &Frame, Instant Now) {
  alignas(8) static thread_local std::array<capnp::word, ScratchWords> Scratch;
  std::memset(Scratch.data(), 0, sizeof(Scratch));
  capnp::MallocMessageBuilder Message(
      kj::arrayPtr(Scratch.data(), Scratch.size()));
  auto Root = Message.initRoot<mesh::wire::Frame>();
  std::visit([&](const auto &TypedFrame) { put(Root, TypedFrame, Now); },
             Frame);
  const SharedBytes *Body = nullptr;
  if (const auto *Call = std::get_if<CallFrame>(&Frame))
    Body = &Call->Request.Body;
  else if (const auto *Answer = std::get_if<AnswerFrame>(&Frame))
    Body = &Answer->Answer.Body;
  EncodedFrame Result;
  const auto Segments = Message.getSegmentsForOutput();
  appendSegmentTable(Segments, Result.Begin);
  for (const auto Segment : Segments) {
    const auto Bytes = Segment.asBytes();
    const std::string_view View(reinterpret_cast<const char *>(Bytes.begin()),
                                Bytes.size());
    if (Body && Body->isPadded() && View.data() == Body->view().data())
      Result.Body = Body->part(Body->paddedView());
    else
      (Result.Body.empty() ? Result.Begin : Result.End).append(View);
  }
  return Result;
}

void encodeFrame(const PeerFrame &Frame, Instant Now, std::string &Out) {
  EncodedFrame Encoded = encodeFrame(Frame, Now);
  if (Out.empty())
    Out = std::move(Encoded.Begin);
  else
    Out.append(Encoded.Begin);
  Out.append(Encoded.Body.view()).append(Encoded.End);
}

FrameReader::FrameReader(MemoryAccount *TheAccount) : Account(TheAccount) {
  if (Account)
    Charge = MemoryCharge(*Account, MemoryKind::Frames);
}

bool FrameReader::reserve() {
  const std::size_t Needed = std::max(FrameBytes, Buffer.size());
  if (!Account || (FrameBytes > 0 && Needed == Charge.bytes()))
    return true;
  // The charge of the last frame has passed to its body.
  const std::size_t Held = std::min(Charge.bytes(), Needed);
  if (Needed < LargeBytes ||
      Account->hasRoom(MemoryUse::Begun, Needed - Held)) {
    Charge.resize(Needed);
    return true;
  }
  Charge.resize(Buffer.size());
  return false;
}

absl::Status
FrameReader::feed(std::string_view Bytes, Instant Now,
                  const std::function<void(PeerFrame &&)> &OnFrame) {
  absl::Status Result;
  while (!Bytes.empty() && Result.ok()) {
    // A large frame ends where its buffer ends, so that its body can stay
    // there.
    const std::size_t Taken =
        FrameBytes > 0 ? std::min(Bytes.size(), FrameBytes - Buffer.size())
                       : Bytes.size();
    Buffer.append(Bytes.substr(0, Taken));
    Bytes.remove_prefix(Taken);
    if (Buffer.size() >= FrameBytes)
      Result = readFrames(Now, OnFrame);
  }
  return Result;
}

absl::Status
FrameReader::readFrames(Instant Now,
                        const std::function<void(PeerFrame &&)> &OnFrame) {
  FrameBytes = 0;
  std::size_t Offset = 0;
  absl::Status Result;
  while (Buffer.size() - Offset >= WordBytes && Result.ok()) {
    const auto *Words =
        reinterpret_cast<const capnp::word *>(Buffer.data() + Offset);
    const std::size_t AvailableWords = (Buffer.size() - Offset) / WordBytes;
    try {
      const std::size_t FrameWords = capnp::expectedSizeInWordsFromPrefix(
          kj::arrayPtr(Words, std::min<std::size_t>(AvailableWords, 64)));
      const std::size_t Size = FrameWords * WordBytes;
      if (Size > MaxFrameBytes ||
          (Account && !Account->canEverHold(MemoryUse::Begun, Size))) {
        Result = absl::InvalidArgumentError(
            absl::StrCat("frame of ", Size,
                         " bytes is too large; check that the peer is a node"));
        break;
      }
      if (FrameWords > AvailableWords) {
        FrameBytes = Size;
        break;
      }
      SharedBytes Whole;
      if (Size >= LargeBytes && Size == Buffer.size()) {
        Whole = SharedBytes(std::move(Buffer), std::move(Charge));
        if (Account)
          Charge = MemoryCharge(*Account, MemoryKind::Frames);
        Buffer.clear();
        Words = reinterpret_cast<const capnp::word *>(Whole.view().data());
      } else {
        Offset += Size;
      }
      capnp::ReaderOptions Options;
      Options.traversalLimitInWords = 2 * MaxFrameBytes / WordBytes;
      capnp::FlatArrayMessageReader Message(kj::arrayPtr(Words, FrameWords),
                                            Options);
      absl::StatusOr<PeerFrame> Frame =
          decodeFrame(Message.getRoot<mesh::wire::Frame>(), Now, Whole);
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
  if (FrameBytes > 0)
    Buffer.reserve(FrameBytes);
  else if (Buffer.empty() && Buffer.capacity() > LargeBytes)
    std::string().swap(Buffer);
  return Result;
}

} // namespace pollenwick::agent
