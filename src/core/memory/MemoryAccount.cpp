#include "core/memory/MemoryAccount.h"

#include <algorithm>
#include <utility>

namespace pollenwick {
namespace {

/// Memory of the process beside the account: its code, the rules and servers,
/// reports of peers, the queue of the log, and blocks that the allocator cannot
/// reuse. A process with one peer and 230 idle callers took 11 MB.
constexpr std::size_t MinProcessBytes = std::size_t{40} * 1024 * 1024;
/// All memory / the part beside the account, if that is more than
/// `MinProcessBytes`.
constexpr std::size_t MemoryPerProcessByte = 4;
/// The smallest limit, for a process whose memory is about `MinProcessBytes`.
constexpr std::size_t MinLimit = std::size_t{8} * 1024 * 1024;

/// Eighths of the limit up to which a use may fill the account. New bodies fit
/// one of 64 MiB into a process of 160 MB.
constexpr std::size_t NewBodyEighths = 5;
constexpr std::size_t BegunEighths = 7;
/// Eighths of the limit from which memory is short and nearly full. They lie
/// below the bounds of the uses, because a large body may find no room before.
constexpr std::size_t ShortEighths = 4;
constexpr std::size_t NearlyFullEighths = 6;
/// What others hold, in eighths of the limit, while a body is the only large
/// load.
constexpr std::size_t OtherLoadEighths = 1;

std::size_t eighths(std::size_t Limit, std::size_t Count) {
  return Limit / 8 * Count;
}

} // namespace

std::string_view memoryKindName(MemoryKind Kind) {
  constexpr std::array<std::string_view, MemoryKinds> Names{
      "incoming", "requests",     "answers",
      "frames",   "send_buffers", "connections"};
  return Names.at(static_cast<std::size_t>(Kind));
}

bool MemoryAccount::hasRoom(MemoryUse Use, std::size_t More,
                            std::size_t Own) const {
  std::size_t Bound = Limit;
  if (Use == MemoryUse::NewBody) {
    // A body may exceed the share of new work while it is the only large load.
    const std::size_t Others = Held - std::min(Held, Own);
    Bound = eighths(Limit, Others <= eighths(Limit, OtherLoadEighths)
                               ? BegunEighths
                               : NewBodyEighths);
  } else if (Use == MemoryUse::Begun) {
    Bound = eighths(Limit, BegunEighths);
  }
  return Held < Bound && More <= Bound - Held;
}

bool MemoryAccount::canEverHold(MemoryUse Use, std::size_t Size) const {
  return MemoryAccount(Limit).hasRoom(Use, Size);
}

bool MemoryAccount::isShort() const {
  return Held >= eighths(Limit, ShortEighths);
}

bool MemoryAccount::isNearlyFull() const {
  return Held >= eighths(Limit, NearlyFullEighths);
}

void MemoryAccount::add(MemoryKind Kind, std::size_t Bytes) {
  HeldByKind[static_cast<std::size_t>(Kind)] += Bytes;
  Held += Bytes;
}

void MemoryAccount::remove(MemoryKind Kind, std::size_t Bytes) {
  HeldByKind[static_cast<std::size_t>(Kind)] -= Bytes;
  Held -= Bytes;
}

MemoryCharge::MemoryCharge(MemoryAccount &TheAccount, MemoryKind TheKind,
                           std::size_t TheBytes)
    : Account(&TheAccount), Kind(TheKind) {
  resize(TheBytes);
}

MemoryCharge::MemoryCharge(MemoryCharge &&Other) noexcept
    : Account(Other.Account), Kind(Other.Kind),
      Bytes(std::exchange(Other.Bytes, 0)) {}

MemoryCharge &MemoryCharge::operator=(MemoryCharge &&Other) noexcept {
  if (this != &Other) {
    resize(0);
    Account = Other.Account;
    Kind = Other.Kind;
    Bytes = std::exchange(Other.Bytes, 0);
  }
  return *this;
}

void MemoryCharge::resize(std::size_t NewBytes) {
  if (!Account || NewBytes == Bytes)
    return;
  if (NewBytes > Bytes)
    Account->add(Kind, NewBytes - Bytes);
  else
    Account->remove(Kind, Bytes - NewBytes);
  Bytes = NewBytes;
}

std::size_t accountLimitFor(std::size_t MemoryBytes) {
  if (MemoryBytes == 0)
    return SIZE_MAX;
  const std::size_t Process =
      std::max(MinProcessBytes, MemoryBytes / MemoryPerProcessByte);
  return std::max(MinLimit, MemoryBytes - std::min(MemoryBytes, Process));
}

bool isStalled(const BodyProgress &Progress, std::size_t Size,
               Duration WholeTime, Instant Now) {
  const Duration Elapsed = Now - Progress.Since;
  if (Elapsed < ProgressGrace)
    return false;
  const double Share =
      static_cast<double>(Elapsed.count()) /
      static_cast<double>(std::max<std::int64_t>(1, WholeTime.count()));
  return static_cast<double>(Progress.Bytes) <
         std::min(1.0, Share) * static_cast<double>(Size);
}

} // namespace pollenwick
