#ifndef POLLENWICK_TESTS_SHEDDING_LOADMODEL_H
#define POLLENWICK_TESTS_SHEDDING_LOADMODEL_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include <string>
#include <vector>

#include "core/dispatch/DispatchQueue.h"
#include "core/placement/FailureRate.h"
#include "core/placement/Placement.h"
#include "core/shedding/AdmissionPlan.h"
#include "core/shedding/RouteWork.h"

namespace pollenwick {

/// Class of requests or nested calls in the model.
struct ModelClass {
  std::string Service;
  double WorkMs = 0;   ///< Mean time of a run without its nested calls.
  double TargetMs = 0; ///< Latency target.
  double DeadlineMs = 0;
  int Priority = 0;
  double RequestsPerSecond = 0; ///< Rate of the callers; 0 for nested calls.
  double RequestValue = 0;      ///< Weight of a request in the shares.
  std::string Callee;           ///< Class of the nested calls.
  int NestedCalls = 0;
  bool CallsInParallel = false;
  int CustomerPriority = 0;
  int Zone = 0; ///< Availability zone of the callers.
};

/// Backend server in the model.
struct ModelServer {
  std::uint32_t Slots = 1;
  double SlowdownFactor = 1;     ///< Factor on the work time of its calls.
  double FailureProbability = 0; ///< Share of its calls that fail at once.
  Duration FailuresEndAfter =
      Duration::max(); ///< Time since the start of the run.
  int Zone = 0;        ///< Availability zone.
  /// Time since the start of the run after which it takes no more calls.
  Duration LeavesAfter = Duration::max();
};

/// Counts of the callers' requests of one class.
struct ModelResult {
  std::uint64_t Requests = 0;
  std::uint64_t AnsweredInTarget = 0;
  std::uint64_t AnsweredLate = 0;
  std::uint64_t Refused = 0; ///< Refused on arrival.
};

/// Simulates services that call each other under a steady load, in virtual
/// time. A run holds its slot while its nested calls run.
class LoadModel {
public:
  LoadModel(std::map<std::string, ModelClass> Classes,
            const std::map<std::string, std::vector<ModelServer>> &Services,
            bool WithControl, std::uint32_t Seed);

  /// Prices every call of a service at the mean of all its calls, as nodes do
  /// that know no work by route.
  void priceByMean() { PricedByRoute = false; }
  /// Places calls by the true speed of the servers, so that the result does not
  /// depend on what the placement infers from calls of different length.
  void placeBySpeed() { PlacedBySpeed = true; }

  /// Simulates arrivals for `Length` and returns the counts by class. Requests
  /// that arrive before `CountFrom` are not counted.
  std::map<std::string, ModelResult>
  simulate(Duration Length, Duration CountFrom = std::chrono::seconds(3));

  /// Returns the share of all calls that ran in another zone than their caller.
  double crossZoneShare() const {
    return static_cast<double>(CrossZoneCalls) /
           static_cast<double>(std::max<std::uint64_t>(PlacedCalls, 1));
  }

private:
  struct Server {
    ModelServer Config;
    DispatchQueue Queue;
    FailureRate Failures;
    RouteWork Work;
  };
  struct Call {
    const ModelClass *Class = nullptr;
    std::string Route; ///< Name of the class.
    Instant StartedAt;
    Instant Deadline;
    bool IsNested = false;
    int CallerZone = 0;
    std::function<void(bool)> OnFinished;
    Server *AssignedServer = nullptr;
    std::set<const Server *> Tried; ///< Servers that refused it.

    Instant DispatchedAt;
    int RemainingNestedCalls = 0;
    bool Failed = false;
  };
  using Event = std::pair<Instant, std::uint64_t>;

  bool hasLeft(const Server &One) const;
  void schedule(Instant When, std::function<void()> Task);
  void scheduleArrivals(const std::string &Name, Instant End);
  Server &chooseServerFor(std::vector<Server> &All, const Call &Item);
  void submit(std::shared_ptr<Call> Item);
  void run(const std::shared_ptr<Call> &Item);
  void callNext(const std::shared_ptr<Call> &Item);
  void finish(const std::shared_ptr<Call> &Item);
  void runWaitingCalls(Server &At);
  /// Places a refused call on a server that has not refused it yet, as the
  /// ingress does.
  void placeAgain(const std::shared_ptr<Call> &Item);

  /// Places calls again that were removed from a queue before they ran.
  void refuseCalls(const std::vector<WaitingCall> &Calls);
  void updateAdmission(Instant End);

  std::map<std::string, ModelClass> Classes;
  std::map<std::string, std::vector<Server>> Services;
  bool ControlEnabled;
  bool PricedByRoute = true;
  bool PlacedBySpeed = false;
  std::mt19937 Random;
  std::minstd_rand PlacementRandom{1};
  Instant Now;
  Instant CountingStartsAt;
  std::uint64_t LastId = 0;
  std::uint64_t PlacedCalls = 0;
  std::uint64_t CrossZoneCalls = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::map<std::uint64_t, std::function<void()>> Tasks;
  std::map<std::uint64_t, std::shared_ptr<Call>> Waiting;
  AdmissionPlan Plan;
  std::map<std::string, ModelResult> Results;
  std::map<std::string, std::uint64_t> OfferedRequests;
  std::map<std::string, std::uint64_t> AdmittedRequests;
  std::map<std::string, double> OfferedSeconds;
  std::map<std::string, ServiceWork> WorkByService;
  std::map<std::string, std::uint64_t> RunsByService;
  std::map<std::string, std::map<std::string, std::uint64_t>>
      NestedCallsByService;
};

} // namespace pollenwick

#endif
