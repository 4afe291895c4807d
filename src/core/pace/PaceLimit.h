#ifndef POLLENWICK_CORE_PACE_PACELIMIT_H
#define POLLENWICK_CORE_PACE_PACELIMIT_H

#include <cstdint>
#include <map>
#include <string>

#include "pollenwick/Time.h"

namespace pollenwick {

/// How a call at a server ended.
enum class CallEnd : std::uint8_t {
  Succeeded, ///< With a complete answer and no server error.
  Failed,
  Abandoned, ///< Its caller left or its time passed while it ran.
  Rejected,  ///< The server refused to run it.
};

/// Result of one call at a server.
struct PaceSample {
  std::string Route;
  Duration SlotTime{};
  /// Calls that held a slot when this one ended, including it.
  std::uint32_t Running = 1;
  CallEnd End = CallEnd::Succeeded;
  /// Time that work takes on the host as a multiple of the usual time; 0 if not
  /// reported.
  double HostSlowdown = 0;
  /// Whether the answer reported the load of the server.
  bool HasReport = false;
  /// Whether that report shows waiting calls or no free slot.
  bool ReportsFull = false;
};

/// Concurrency limit of one server, found from its answers. It is the maximum
/// except after a start of the server, and while a lower limit is measured to
/// cost no throughput.
struct PaceLimit {
  enum class Phase : std::uint8_t {
    Steady,
    SlowStart, ///< The limit grows as long as the throughput does.
    Trial,     ///< The limit is lowered to measure the effect.
  };
  /// Sums over the calls that ended since `StartedAt`.
  struct Round {
    Instant StartedAt;
    std::uint32_t Calls = 0;
    std::uint32_t Succeeded = 0;
    std::uint32_t Run = 0;  ///< Calls that were not rejected.
    double SlownessSum = 0; ///< Over these.
    double RunningSum = 0;
    std::uint32_t RejectedAtLoad = 0; ///< Rejected by a full server.
    std::uint32_t Reports = 0;
    std::uint32_t FullReports = 0;
  };
  /// Usual slot time of a route at moderate load, in microseconds.
  struct RouteTime {
    double Mean = 0;
    std::uint32_t Samples = 0;
    Instant FirstAt;    ///< End of the first call.
    bool Known = false; ///< Whether the mean has enough samples.
  };

  std::uint32_t MaxLimit = 1;
  double Limit = 1;
  Phase Current = Phase::Steady;
  std::map<std::string, RouteTime> RouteTimes;
  Round Measured;
  /// Calls still to be ignored because they began under another limit.
  std::uint32_t SettlingCalls = 0;
  /// Limit and throughput before the latest change; 0 if not measured.
  double PreviousLimit = 0;
  double PreviousThroughput = 0;
  /// Steady rounds in a row with a sign of overload.
  std::uint32_t OverloadedRounds = 0;
  Instant HoldUntil; ///< No slow-start growth and no trial before.
  /// Pause after the latest trial; zero if there was none or it kept the lower
  /// limit.
  Duration TrialPause{};
};

/// Sets the largest limit. A limit that was at its maximum stays there.
void setMaxLimit(PaceLimit &Pace, std::uint32_t MaxLimit);

/// Lowers the limit after a start or a recovery of the server.
void beginSlowStart(PaceLimit &Pace, Instant Now);

/// Updates the limit with a call that has ended.
void recordCall(PaceLimit &Pace, const PaceSample &Sample, Instant Now);

/// Ends a measurement that lasts long because few calls end; a low limit grows
/// then. `Running` calls hold a slot now. Call it periodically.
void updateIdlePace(PaceLimit &Pace, std::uint32_t Running, Instant Now);

/// Returns how many calls may run at once, from 1 to the maximum.
std::uint32_t currentPace(const PaceLimit &Pace);

} // namespace pollenwick

#endif
