#ifndef POLLENWICK_NODE_BODY_H
#define POLLENWICK_NODE_BODY_H

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
class BodyBudget {
public:
  explicit BodyBudget(std::size_t LimitBytes) : Limit(LimitBytes) {}

  bool take(std::size_t Bytes) {
    if (Used.fetch_add(Bytes) + Bytes <= Limit)
      return true;
    Used.fetch_sub(Bytes);
    return false;
  }
  void give(std::size_t Bytes) { Used.fetch_sub(Bytes); }
  std::size_t used() const { return Used; }

private:
  const std::size_t Limit;
  std::atomic<std::size_t> Used = 0;
};

/// Body of one request, counted against the budget while it exists.
class RequestBody {
public:
  explicit RequestBody(BodyBudget &B) : Budget(B) {}
  ~RequestBody() { Budget.give(Reserved); }
  RequestBody(const RequestBody &) = delete;
  RequestBody &operator=(const RequestBody &) = delete;

  /// Reads all of it. A request without a length is refused, because a cut
  /// chunked body cannot be told from a whole one here.
  std::optional<Refusal> read(Poco::Net::HTTPServerRequest &Request,
                              std::size_t MaxBytes);

  std::string Bytes;

private:
  BodyBudget &Budget;
  std::size_t Reserved = 0;
};

} // namespace pollenwick

#endif
