#include "agent/CallerConnection.h"

#include <algorithm>

#include "agent/CallerListener.h"

// The part of `CallerConnection` that bounds the memory that a caller takes.

namespace pollenwick::agent {
namespace {

/// A body without a length reserves this much at a time.
constexpr std::size_t ReservedPieceBytes = std::size_t{256} * 1024;
/// A request is refused if its body finds no room for this long. A stalled body
/// is refused after `ProgressGrace`, so a body that waits for two stalled ones
/// in turn is still served.
constexpr Duration MaxRoomWait = std::chrono::seconds(3);
/// A caller that reads nothing for this long while memory is short is closed.
constexpr Duration UnreadGrace = std::chrono::seconds(5);
constexpr Duration RetryAfterNoRoom = std::chrono::seconds(1);

} // namespace

std::size_t CallerConnection::neededBytes() const {
  const std::size_t Unparsed = UnparsedBytes.capacity();
  if (!Parser || !Parser->is_header_done())
    return Unparsed;
  const std::size_t Received = Parser->get().body().size();
  if (const auto Length = Parser->content_length())
    return Unparsed + std::max<std::size_t>(Received, *Length);
  // The next read may bring as much as is left of the piece.
  return Unparsed +
         (Received < LargeBytes / 2 ? Received : Received + ReservedPieceBytes);
}

void CallerConnection::reserveMemory() {
  if (Closing || RoomAwaitedSince || Transport->closed())
    return;
  const std::size_t Needed = neededBytes();
  const std::size_t Reserved = InputCharge.bytes();
  MemoryAccount &Memory = Loop.memory();
  const MemoryUse Use =
      Needed < LargeBytes ? MemoryUse::Small : MemoryUse::NewBody;
  if (Needed <= Reserved) {
    // A body in pieces keeps what is left of its piece.
    if (!Parser || Reserved - Needed > ReservedPieceBytes)
      InputCharge.resize(Needed);
  } else if (!Parser || Memory.hasRoom(Use, Needed - Reserved, Reserved)) {
    // Bytes that wait behind unanswered requests are bounded by
    // `updateReading`.
    InputCharge.resize(Needed);
  } else if (!Memory.canEverHold(Use, Needed)) {
    rejectForMemory(413, "body-exceeds-memory");
  } else if (Use == MemoryUse::Small) {
    rejectForMemory(503, "memory-short");
  } else {
    waitForRoom();
  }
}

void CallerConnection::waitForRoom() {
  InputCharge.resize(UnparsedBytes.capacity() + Parser->get().body().size());
  RoomAwaitedSince = Loop.now();
  Port.Waiting.add(weak_from_this(), [this] { return retryReservation(); });
}

bool CallerConnection::retryReservation() {
  if (!RoomAwaitedSince || Closing || Transport->closed())
    return true;
  const std::size_t Needed = neededBytes();
  const std::size_t Held = InputCharge.bytes();
  if (Loop.memory().hasRoom(MemoryUse::NewBody, Needed - Held, Held)) {
    InputCharge.resize(Needed);
    RoomAwaitedSince.reset();
    Progress = {Loop.now(), 0};
    updateReading();
    return true;
  }
  if (Loop.now() - *RoomAwaitedSince < MaxRoomWait)
    return false;
  rejectForMemory(503, "memory-short");
  return true;
}

bool CallerConnection::abandonStalled(Instant Now, const CallerLimits &Limits) {
  const MemoryAccount &Memory = Loop.memory();
  if (Closing || RoomAwaitedSince ||
      (!Memory.isShort() && Port.Waiting.empty()))
    return false;
  if (!Parser) {
    if (busy() || !hasUnsentBytes() ||
        Progress.Bytes != Transport->unsentBytes()) {
      Progress = {Now, Transport->unsentBytes()};
      return false;
    }
    if (Progress.Bytes < LargeBytes || Now - Progress.Since < UnreadGrace)
      return false;
    Port.Handler.onMemoryRefusal(0, "answer-not-read");
    close();
    return true;
  }
  if (InputCharge.bytes() < LargeBytes && !Memory.isNearlyFull())
    return false;
  if (isStalled(Progress, InputCharge.bytes(), Limits.IdleTimeout, Now)) {
    rejectForMemory(408, "body-stalled");
    return true;
  }
  if (Now - Progress.Since >= ProgressGrace)
    Progress = {Now, 0};
  return false;
}

Instant CallerConnection::idleSince(Instant Now) const {
  if (closed() || Closing || busy() || hasUnsentBytes() || HeldRequest)
    return Now;
  const bool InHeader = Parser && !Parser->is_header_done();
  if (InHeader && Now - LastActivity >= ProgressGrace)
    return LastActivity;
  return hasUnfinishedInput() ? Now : LastActivity;
}

void CallerConnection::releaseInput() {
  Parser.reset();
  std::string().swap(UnparsedBytes);
  RoomAwaitedSince.reset();
  InputCharge.resize(0);
}

void CallerConnection::rejectForMemory(int Status, std::string_view Cause) {
  Port.Handler.onMemoryRefusal(Status, Cause);
  reject(Status, Cause,
         Status == 413 ? std::string() : retryAfterHeader(RetryAfterNoRoom));
}

void CallerConnection::updateReading() {
  const bool MustWait = !acceptsRequest();
  Transport->pauseReading(
      RoomAwaitedSince ||
      (MustWait &&
       (UnparsedBytes.size() >= Port.pipelineLimits().MaxWaitingBytes ||
        (!UnparsedBytes.empty() && Loop.memory().isNearlyFull()))));
}

} // namespace pollenwick::agent
