#ifndef POLLENWICK_CORE_SHEDDING_ROUTEWORK_H
#define POLLENWICK_CORE_SHEDDING_ROUTEWORK_H

#include <cstdint>
#include <map>
#include <string>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Work of the calls at one backend server, by route. The totals go to the
/// peers; the means price the calls that arrive here.
struct RouteWork {
  struct Entry {
    std::uint64_t Calls = 0;      ///< Calls that ended since the start.
    std::uint64_t SlotMicros = 0; ///< Slot time of these calls.
    Duration MeanSlotTime{};      ///< Moving average; zero if not known.
  };
  std::map<std::string, Entry> Routes;
};

/// Counts a call of `Route` that held a slot for `SlotTime`.
void recordRouteWork(RouteWork &Work, const std::string &Route,
                     Duration SlotTime);

/// Returns the mean slot time of the route's calls, or `Otherwise` if it is not
/// known.
Duration expectedSlotTime(const RouteWork &Work, const std::string &Route,
                          Duration Otherwise);

/// Forgets the means, because the server was replaced or may have changed its
/// speed. The totals remain.
void forgetMeanSlotTimes(RouteWork &Work);

/// Calls of one route at all servers of a service.
struct RouteWorkSample {
  double Calls = 0;
  double SlotSeconds = 0;
  bool Nested = false; ///< The route takes nested calls only.
};

/// Work at one service, by route.
using ServiceWork = std::map<std::string, RouteWorkSample>;

/// Adds the calls of the latest interval to the smoothed work. `Weight` is the
/// share of the earlier evidence that the interval replaces.
void smoothServiceWork(ServiceWork &Smoothed, const ServiceWork &Latest,
                       double Weight);

/// Returns the mean slot time in seconds of the direct calls of `Route`, or
/// `Otherwise` if it is not known.
double directCallSeconds(const ServiceWork &Work, const std::string &Route,
                         double Otherwise);

/// Returns the mean slot time in seconds of nested calls, or `Otherwise` if it
/// is not known.
double nestedCallSeconds(const ServiceWork &Work, double Otherwise);

} // namespace pollenwick

#endif
