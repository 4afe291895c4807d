#ifndef POLLENWICK_BENCH_MODEL_SIMULATION_H
#define POLLENWICK_BENCH_MODEL_SIMULATION_H

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "core/admission/Callee.h"
#include "core/admission/Ingress.h"
#include "core/routing/Routing.h"
#include "model/Deployment.h"
#include "model/Optimum.h"

namespace pollenwick::model {

enum class Variant : std::uint8_t {
  Full,       ///< The decisions of src/core.
  NoControl,  ///< Slots and an unbounded FIFO queue per server.
  FixedLimit, ///< Slots and a FIFO queue as long as the slots.
  HopRetry,   ///< FixedLimit, and each hop retries a failed call three times.
};

/// Traffic until `End`; the phases of a run follow each other.
struct Phase {
  Instant End{};
  std::vector<double> CustomerRate; ///< Root requests/s, by customer.
  double DeepSlowdown = 1; ///< Factor on own times of the deep service.
  std::uint32_t CallerRetries = 2;
  Duration CallerBackoff = std::chrono::milliseconds(200);
};

struct Settings {
  Variant Kind = Variant::Full;
  std::uint64_t Seed = 1;
  std::vector<Phase> Phases;
  Duration Deadline = std::chrono::seconds(2);
  AdmitResult (*Admit)(IngressState &, const BundleIndex &, const RootRequest &,
                       Instant) = &admit;
};

/// What became of one request of a caller, over all its attempts.
struct UserRecord {
  Instant ArrivedAt{};
  CustomerIndex Customer = 0;
  RouteIndex Route = 0;
  std::uint32_t Attempts = 0;
  bool FirstTry = false; ///< The first attempt succeeded.
  std::optional<Instant> DoneAt;
};

struct Counters {
  std::vector<UserRecord> Users;
  std::uint64_t Refusals = 0; ///< Attempts, by any decision.
  Matrix RefusedBy; ///< By customer, then reason; ingress refusals are first.
  std::uint64_t MoneyShed = 0;            ///< Refused calls of rank 0.
  std::uint64_t MoneyShedBesideWorse = 0; ///< A worse class ran at the service.
  std::uint64_t DeadRuns = 0;     ///< Calls started for roots known to fail.
  std::uint64_t DrainingRuns = 0; ///< Calls accepted by a draining host.
  double WorkSeconds = 0;         ///< Own time used at backend servers.
  double UsefulSeconds = 0;       ///< Of it, for answered requests.
  Matrix HeldSeconds;             ///< By root route and service, answered.
  std::vector<std::uint64_t> Answered; ///< By root route.
  std::vector<std::uint64_t> HostRuns; ///< Calls started, by host.
};

struct RootState;
struct CallState;
using RootPtr = std::shared_ptr<RootState>;
using CallPtr = std::shared_ptr<CallState>;

/// One host: the node and its backend server.
struct HostModel {
  CalleeState Callee;
  IngressState Ingress;
  HostTable Table;
  std::deque<CallPtr> Fifo; ///< Waiting calls of the baselines.
  std::uint32_t Busy = 0;   ///< Used slots of the baselines.
  std::unordered_map<CallId, CallPtr> Waiting;
  double Slowdown = 1;       ///< Factor on own times.
  std::uint32_t Cores = 0;   ///< If set, calls beyond it slow each other.
  std::uint32_t Running = 0; ///< Calls doing own work.
  bool Draining = false;
  bool Failing = false; ///< Fails each call at once.
};

/// Virtual-time model of a deployment. Deterministic for a seed.
class Simulation {
public:
  Simulation(const Deployment &Fleet, Settings Rules);
  ~Simulation();

  /// Runs `Action` at a virtual time, for faults and probes.
  void schedule(Instant At, std::function<void()> Action);
  void run();

  Instant now() const { return Now; }
  std::vector<HostModel> &hosts() { return Hosts; }
  const Counters &counters() const { return Count; }

private:
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Action;
  };
  struct Later;

  const Deployment &Fleet;
  Settings Rules;
  Instant Now{};
  std::uint64_t NextOrder = 0;
  std::uint64_t NextId = 1;
  std::mt19937_64 Random;
  std::vector<Event> Events;
  std::vector<HostModel> Hosts;
  Counters Count;

  bool full() const { return Rules.Kind == Variant::Full; }
  double uniform();
  double exponential(double Mean);
  const Phase *phase() const;
  Duration between(HostIndex From, HostIndex To) const;
  RouteIndex drawRoute();

  void arrive(CustomerIndex Customer);
  void attempt(std::size_t User);
  void ingress(const RootPtr &Root);
  void closeRoot(const RootPtr &Root, bool Answered);
  void cancelCalls(const RootPtr &Root);
  void noteMoneyShed(const RootPtr &Root, ServiceIndex Service);

  void callOut(const CallPtr &Call);
  void arriveAtCallee(const CallPtr &Call);
  void offerControlled(const CallPtr &Call);
  void offerFifo(const CallPtr &Call);
  void refuseWaiting(HostIndex Host, CallId Id, RefusalReason Reason);
  void takeWaiting(HostIndex Host);
  void startCall(const CallPtr &Call);
  void runHalf(const CallPtr &Call, bool First);
  void nextSubCall(const CallPtr &Call);
  void endCall(const CallPtr &Call, bool Answered);
  void freeSlot(const CallPtr &Call, bool Completed);
  void reply(const CallPtr &Call, RefusalReason Reason);
  void receive(const CallPtr &Call, RefusalReason Reason, HostReply Reply,
               const std::vector<ThresholdReport> &Reports);
  bool retryCall(const CallPtr &Call, RefusalReason Reason);
  void tick();
};

} // namespace pollenwick::model

#endif
