#ifndef POLLENWICK_CORE_MEMORY_MEMORYACCOUNT_H
#define POLLENWICK_CORE_MEMORY_MEMORYACCOUNT_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "pollenwick/Time.h"

namespace pollenwick {

/// What held bytes belong to.
enum class MemoryKind : std::uint8_t {
  Incoming,    ///< Requests that are received in part, with what is reserved.
  Requests,    ///< Whole requests that wait or run.
  Answers,     ///< Answers of servers, received in part or wholly.
  Frames,      ///< Messages of peers, with the bodies inside.
  SendBuffers, ///< Bytes that a socket has not taken yet.
  Connections, ///< Overhead of open connections.
};
inline constexpr std::size_t MemoryKinds = 6;

/// Returns the name of a kind for metrics.
std::string_view memoryKindName(MemoryKind Kind);

/// What room is asked for. Work that has begun gets more of the memory than new
/// work, so that it can end and free what it holds.
enum class MemoryUse : std::uint8_t {
  NewBody, ///< A large body of a caller.
  Begun,   ///< A large answer, or a message of a peer.
  Small,   ///< Anything of less than `LargeBytes`.
};

/// Smallest size of a body that has to ask for room. Smaller ones have a share
/// of the memory that large ones cannot use.
inline constexpr std::size_t LargeBytes = std::size_t{64} * 1024;

/// Counts the bytes that one process holds for callers, servers and peers, and
/// decides whether more may be accepted. Not for use by several threads.
class MemoryAccount {
public:
  /// An account without a limit.
  MemoryAccount() = default;
  explicit MemoryAccount(std::size_t TheLimit) : Limit(TheLimit) {}

  void setLimit(std::size_t NewLimit) { Limit = NewLimit; }
  /// Returns the limit on all held bytes.
  std::size_t limit() const { return Limit; }
  std::size_t held() const { return Held; }
  std::size_t held(MemoryKind Kind) const {
    return HeldByKind[static_cast<std::size_t>(Kind)];
  }

  /// Returns whether `More` bytes may be accepted beside those that are held.
  /// `Own` of these belong to the body that asks.
  bool hasRoom(MemoryUse Use, std::size_t More, std::size_t Own = 0) const;
  /// Returns whether `Size` bytes would have room if nothing else were held.
  bool canEverHold(MemoryUse Use, std::size_t Size) const;
  /// Returns whether new large bodies may soon find no room.
  bool isShort() const;
  /// Returns whether even small requests may soon find no room.
  bool isNearlyFull() const;

private:
  friend class MemoryCharge;
  void add(MemoryKind Kind, std::size_t Bytes);
  void remove(MemoryKind Kind, std::size_t Bytes);

  std::size_t Limit = SIZE_MAX;
  std::size_t Held = 0;
  std::array<std::size_t, MemoryKinds> HeldByKind{};
};

/// A number of bytes that is counted in an account until the charge is
/// destroyed. The account must outlive it.
class MemoryCharge {
public:
  MemoryCharge() = default;
  MemoryCharge(MemoryAccount &TheAccount, MemoryKind TheKind,
               std::size_t TheBytes = 0);
  MemoryCharge(MemoryCharge &&Other) noexcept;
  MemoryCharge &operator=(MemoryCharge &&Other) noexcept;
  ~MemoryCharge() { resize(0); }

  std::size_t bytes() const { return Bytes; }
  /// Replaces the number of bytes, whether or not there is room.
  void resize(std::size_t NewBytes);

private:
  MemoryAccount *Account = nullptr;
  MemoryKind Kind = MemoryKind::Incoming;
  std::size_t Bytes = 0;
};

/// Returns the limit for the account of a process that may use `MemoryBytes`;
/// no limit if that is 0.
std::size_t accountLimitFor(std::size_t MemoryBytes);

/// How many bytes of a body were received since some time.
struct BodyProgress {
  Instant Since;
  std::uint64_t Bytes = 0;
};

/// Time in which a body may make no progress. A lost packet alone stops it for
/// a second (RFC 6298, 2.1).
inline constexpr Duration ProgressGrace = std::chrono::seconds(1);

/// Returns whether a body is received so slowly that `Size` bytes would take
/// longer than `WholeTime`. The answer is false within `ProgressGrace`.
bool isStalled(const BodyProgress &Progress, std::size_t Size,
               Duration WholeTime, Instant Now);

} // namespace pollenwick

#endif
