#ifndef POLLENWICK_NODE_COUNTERS_H
#define POLLENWICK_NODE_COUNTERS_H

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include <Poco/JSON/Object.h>

#include "pollenwick/Ids.h"
#include "pollenwick/Outcome.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// What a node counts. `Counters.cpp` holds the names and descriptions.
enum class Counter : std::uint8_t {
  RootRequests,
  RootAnswered,
  SubCalls,
  CallsForPeers,
  LocalRuns,
  Retries,
  TicketsMinted,
  TicketReplays,
  ClaimsForwarded,
  QuotaBorrows,
  QuotaCachedSpends,
  QuotaPrefetches,
  QuotaRecalls,
  BackendCrashes,
  SuspectsRefused,
  BundlesAccepted,
  BundlesRejected,
  ConfigReads,
  ConfigReadErrors,
  ConfigBytesRead,
  HeartbeatsSent,
  HeartbeatsReceived,
  HeartbeatsRejected,
  HeartbeatBytesSent,
  HeartbeatBytesReceived,
  HostListErrors,
  PeerRequests,
  Count,
};

enum class Latency : std::uint8_t {
  RootRequest, ///< Whole root request at its ingress.
  BackendRun,  ///< Exchange with the local backend server.
  Overhead,    ///< Answered root request less the time at the server.
  Count,
};

/// Last refusals, newest first, to answer why a call was refused.
struct RefusalRecord {
  std::string UtcTime; ///< UTC.
  RefusalReason Reason;
  Outcome Result;
  CustomerId Customer;
  RouteId Route;
  std::string Message;
};

/// Counters and histograms of a node. Thread-safe.
class Counters {
public:
  Counters();
  ~Counters();

  void add(Counter Id, std::uint64_t Amount = 1) {
    CounterValues[static_cast<std::size_t>(Id)].fetch_add(
        Amount, std::memory_order_relaxed);
  }
  std::uint64_t value(Counter Id) const {
    return CounterValues[static_cast<std::size_t>(Id)].load(
        std::memory_order_relaxed);
  }

  void recordLatency(Latency Id, Duration Took);
  void recordRefusal(RefusalRecord Record);

  /// Text exposition format of counters and histograms.
  std::string exposition() const;
  void dump(Poco::JSON::Object &Out) const;

private:
  struct Histograms;
  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(Counter::Count)>
      CounterValues{};
  std::unique_ptr<Histograms> LatencyHistograms;
  mutable std::mutex Mutex;
  std::array<std::uint64_t, 32> RefusalsByReason{};
  std::deque<RefusalRecord> RecentRefusals;
};

} // namespace pollenwick

#endif
