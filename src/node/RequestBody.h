#ifndef POLLENWICK_NODE_REQUESTBODY_H
#define POLLENWICK_NODE_REQUESTBODY_H

#include <atomic>
#include <cstddef>
#include <optional>
#include <string>

#include "pollenwick/Outcome.h"

namespace Poco::Net {
class HTTPServerRequest;
}

namespace pollenwick {

/// Limits the bytes of request bodies that a node holds at the same time, so
/// that callers cannot exhaust its memory. Thread-safe.
class BodyMemoryBudget {
public:
  explicit BodyMemoryBudget(std::size_t LimitBytes)
      : MaxTotalBytes(LimitBytes) {}

  /// Reserves `Bytes`. Returns false, without effect, when that would exceed
  /// the limit.
  bool tryReserve(std::size_t Bytes) {
    if (ReservedBytes.fetch_add(Bytes) + Bytes <= MaxTotalBytes)
      return true;
    ReservedBytes.fetch_sub(Bytes);
    return false;
  }
  void release(std::size_t Bytes) { ReservedBytes.fetch_sub(Bytes); }
  std::size_t reservedBytes() const { return ReservedBytes; }

private:
  const std::size_t MaxTotalBytes;
  std::atomic<std::size_t> ReservedBytes = 0;
};

/// Body of one request. Its bytes count against the budget until destruction.
class RequestBody {
public:
  explicit RequestBody(BodyMemoryBudget &B) : Budget(B) {}
  ~RequestBody() { Budget.release(OwnBytes); }
  RequestBody(const RequestBody &) = delete;
  RequestBody &operator=(const RequestBody &) = delete;

  /// Reads the whole body into `Bytes`. Returns nothing on success, otherwise a
  /// refusal. A chunked body is refused, because this function cannot tell a
  /// truncated chunked body from a complete one.
  std::optional<Refusal> read(Poco::Net::HTTPServerRequest &Request,
                              std::size_t MaxBytes);

  std::string Bytes;

private:
  BodyMemoryBudget &Budget;
  std::size_t OwnBytes = 0;
};

} // namespace pollenwick

#endif
