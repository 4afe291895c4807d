#ifndef POLLENWICK_NODE_PERIODICTASKS_H
#define POLLENWICK_NODE_PERIODICTASKS_H

#include <atomic>
#include <functional>
#include <string_view>
#include <thread>
#include <vector>

#include "node/ComponentRegistry.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Runs short periodic tasks on one thread, such as closing measurement windows
/// and removing expired entries.
class PeriodicTasks final : public Component {
public:
  using Task = std::function<void()>;

  /// Runs `Run` once per `Interval`. Must be called before start().
  void schedule(Duration Interval, Task Run);

  std::string_view name() const override { return "upkeep"; }
  void start() override;
  void stop() override;
  void dump(Poco::JSON::Object &Out) const override;

private:
  struct ScheduledTask {
    Duration Interval;
    Task Run;
    Instant Next; ///< Time of the next run.
  };

  void run();

  std::vector<ScheduledTask> ScheduledTasks;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace pollenwick

#endif
