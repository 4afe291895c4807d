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

/// Bytes of bodies that a node holds at once; bounds its memory whatever the
/// callers send. Thread-safe.
class BodyMemoryBudget {
public:
  explicit BodyMemoryBudget(std::size_t LimitBytes)
      : MaxTotalBytes(LimitBytes) {}

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

/// Body of one request, counted against the budget while it exists.
class RequestBody {
public:
  explicit RequestBody(BodyMemoryBudget &B) : Budget(B) {}
  ~RequestBody() { Budget.release(OwnBytes); }
  RequestBody(const RequestBody &) = delete;
  RequestBody &operator=(const RequestBody &) = delete;

  /// Reads all of it. A request without a length is refused, because a cut
  /// chunked body cannot be told from a whole one here.
  std::optional<Refusal> read(Poco::Net::HTTPServerRequest &Request,
                              std::size_t MaxBytes);

  std::string Bytes;

private:
  BodyMemoryBudget &Budget;
  std::size_t OwnBytes = 0;
};

} // namespace pollenwick

#endif
