#ifndef POLLENWICK_CORE_PLACEMENT_PLACEMENT_H
#define POLLENWICK_CORE_PLACEMENT_PLACEMENT_H

#include <cstdint>
#include <optional>
#include <random>
#include <span>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Load of a backend server as last reported by its node.
struct ServerLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// Calls that may run at once; 0 if no report has arrived.
  std::uint32_t MaxRunning = 0;
  Duration MeanServiceTime{}; ///< Mean time that a call holds a slot; zero if
                              ///< not reported.
  std::uint32_t RecentCalls = 0; ///< Number of recent calls, the evidence for
                                 ///< the mean; 0 if not reported.
  double FailureRate = 0; ///< Share of its recent calls that failed, 0 to 1.
  bool Leaving = false;   ///< Whether its node is shutting down.
  /// Time that work takes on its host now, from the server's reports, as a
  /// multiple of that in the time in which `MeanServiceTime` was formed; 0 if
  /// not known.
  double ReportedSlowdown = 0;
  bool Cold = false; ///< Whether the starts of calls on it are limited now.
  std::uint32_t ColdStartsLeft = 0; ///< Calls that may still begin now while it
                                    ///< is cold.
  bool MemoryShort =
      false; ///< Its node holds half of its memory bound or more.
  /// Requests per second that the server takes, by its own word; 0: it named no
  /// limit.
  double RequestsPerS = 0;
  std::uint32_t RequestsLeft = 0; ///< Calls that may begin now at that limit.
  /// Whether the server itself has told its node of that limit, or of none,
  /// since the node started.
  bool LimitHeard = false;
  bool ServerLeaving = false; ///< The server has said that it will end.
  /// Start of the run of the server that said so, Unix milliseconds; 0 if its
  /// node does not know it.
  std::int64_t ServerStartedAtUnixMs = 0;
};

/// Returns the number of slots that calls can use: fewer than may run at once
/// if the server takes few requests.
double usableSlots(const ServerLoad &Load);

/// Backend server that a call can be placed on.
struct PlacementCandidate {
  ServerLoad Load;
  /// Calls sent to the server since its last report.
  std::uint32_t SentSince = 0;
  bool SameZone = false;
  bool Local = false; ///< Whether the server belongs to this node, so that a
                      ///< call needs no hop to another node.
  Duration LoadAge{}; ///< Time since `Load` was received.
  Duration ColdRemaining{}; ///< Rest of the warm-up time after a start; zero if
                            ///< warm.
  double Kilobytes = 0;     ///< Size of the request and the expected answer.
};

/// Typical values of the servers of a service, against which one server is
/// judged.
struct ServiceBaseline {
  Duration MeanServiceTime{}; ///< Mean over the recent calls of all servers;
                              ///< assumed for servers that reported no time.
  Duration MinServiceTime{};  ///< Shortest reported time; assumed for the first
                              ///< call to a server that has reported none.
  double FailureRate = 0; ///< Lowest rate of all servers; failures up to this
                          ///< rate are not attributed to a server.
};

/// Computes the baseline of a service from the candidates for a call.
ServiceBaseline serviceBaseline(std::span<const PlacementCandidate> Servers);

/// Returns the part of a server's failure rate that exceeds the baseline by
/// more than chance.
double excessFailureRate(const ServerLoad &Load,
                         const ServiceBaseline &Baseline);

/// Returns the estimated time until the server answers a call that is placed on
/// it now, plus a penalty for its failure rate in excess of the baseline.
Duration expectedResponseTime(const PlacementCandidate &Server,
                              const ServiceBaseline &Baseline);

/// Returns whether a call stays in its availability zone on this server: the
/// server has room, answers no worse than the baseline, and is expected to
/// answer well within `LatencyTarget`.
bool servesWithinZone(const PlacementCandidate &Server,
                      const ServiceBaseline &Baseline, Duration LatencyTarget);

/// Returns the index of the server with the shortest expected response time, or
/// nothing if there is no candidate. Servers in other zones are considered only
/// if none of its own zone can serve the call within `LatencyTarget`, the time
/// left until the caller's target; zero if there is none. One of them is chosen
/// if it is the fastest of all and is nearly idle or expected to answer sooner
/// by a part of that time. Each time is varied by a small random factor so that
/// nodes with the same reports do not all choose the same server. A server
/// whose node is leaving or short of memory is chosen only if all are, and a
/// cold one without starts left only if no other remains.
std::optional<std::size_t>
chooseServer(std::span<const PlacementCandidate> Servers,
             Duration LatencyTarget, std::minstd_rand &Random);

} // namespace pollenwick

#endif
