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

/// Event counters of a node. `Counters.cpp` defines their metric names and help
/// texts.
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

/// Durations recorded as histograms.
enum class Latency : std::uint8_t {
  RootRequest, ///< Root request from receipt to answer, at its ingress.
  BackendRun,  ///< HTTP exchange with the local backend server.
  Overhead,    ///< Answered root request minus the backend server's time.
  Count,
};

/// A recent refusal, kept so that operators can see why a call was refused.
struct RefusalRecord {
  std::string UtcTime; ///< Time of the refusal, formatted, in UTC.
  RefusalReason Reason;
  Outcome Result;
  CustomerId Customer;
  RouteId Route;
  std::string Message;
};

/// Counters, latency histograms and recent refusals of a node. Thread-safe.
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
  /// Counts the refusal by reason and keeps the record. Refusals that ask for a
  /// ticket are only counted.
  void recordRefusal(RefusalRecord Record);

  /// Returns counters and histograms in the Prometheus text format.
  std::string exposition() const;
  void dump(Poco::JSON::Object &Out) const;

private:
  struct Histograms;
  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(Counter::Count)>
      CounterValues{};
  std::unique_ptr<Histograms> LatencyHistograms;
  mutable std::mutex Mutex;
  std::array<std::uint64_t, 32> RefusalsByReason{}; ///< Indexed by reason.
  std::deque<RefusalRecord> RecentRefusals;         ///< Newest first.
};

} // namespace pollenwick

#endif
