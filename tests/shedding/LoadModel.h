#ifndef POLLENWICK_TESTS_SHEDDING_LOADMODEL_H
#define POLLENWICK_TESTS_SHEDDING_LOADMODEL_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "core/dispatch/DispatchQueue.h"
#include "core/placement/FailureShare.h"
#include "core/placement/Placement.h"
#include "core/shedding/AdmissionPlan.h"

namespace pollenwick {

/// One kind of request or nested call.
struct ModelClass {
  std::string Service;
  double WorkMs = 0;
  double TargetMs = 0;
  double DeadlineMs = 0;
  int Priority = 0;
  double PerS = 0; ///< Of callers; 0 for nested calls.
  double Worth = 0;
  std::string Callee; ///< Class of the nested calls.
  int Calls = 0;
  bool Together = false;
  int CustomerPriority = 0;
};

struct ModelServer {
  std::uint32_t Slots = 1;
  double Factor = 1; ///< Work takes so many times as long.
  double Loses = 0;  ///< Part of its calls that it fails at once.
  Duration LosesUntil = Duration::max(); ///< From the start.
};

/// What the callers of one class got.
struct ModelResult {
  std::uint64_t Asked = 0;
  std::uint64_t InTarget = 0;
  std::uint64_t Refused = 0; ///< At once.
};

/// Servers with slots that call each other, under a steady load, in virtual
/// time. A run holds its slot while its nested calls run.
class LoadModel {
public:
  LoadModel(std::map<std::string, ModelClass> Classes,
            const std::map<std::string, std::vector<ModelServer>> &Services,
            bool Control, std::uint32_t Seed);

  /// Counts the requests that arrive after `CountFrom`.
  std::map<std::string, ModelResult>
  play(Duration Length, Duration CountFrom = std::chrono::seconds(3));

private:
  struct Server {
    ModelServer Terms;
    DispatchQueue Queue;
    FailureShare Failures;
  };
  struct Call {
    const ModelClass *Class = nullptr;
    Instant Began;
    Instant Deadline;
    bool Nested = false;
    std::function<void(bool)> Done;
    Server *At = nullptr;
    Instant Dispatched;
    int Left = 0;
    bool Failed = false;
  };
  using Event = std::pair<Instant, std::uint64_t>;

  void at(Instant When, std::function<void()> Task);
  void arrive(const std::string &Name, Instant End);
  Server &choose(std::vector<Server> &All);
  void submit(std::shared_ptr<Call> Item);
  void run(const std::shared_ptr<Call> &Item);
  void callNext(const std::shared_ptr<Call> &Item);
  void finish(const std::shared_ptr<Call> &Item);
  void takeWaiting(Server &At);
  void tick(Instant End);

  std::map<std::string, ModelClass> Classes;
  std::map<std::string, std::vector<Server>> Services;
  bool Control;
  std::mt19937 Random;
  std::minstd_rand PlacementRandom{1};
  Instant Now;
  Instant CountedFrom;
  std::uint64_t LastId = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::map<std::uint64_t, std::function<void()>> Tasks;
  std::map<std::uint64_t, std::shared_ptr<Call>> Waiting;
  AdmissionPlan Plan;
  std::map<std::string, ModelResult> Results;
  std::map<std::string, std::uint64_t> Offered;
  std::map<std::string, std::uint64_t> Admitted;
  std::map<std::string, double> OfferedSeconds;
  std::map<std::string, std::uint64_t> Runs;
  std::map<std::string, std::map<std::string, std::uint64_t>> Nested;
};

} // namespace pollenwick

#endif
