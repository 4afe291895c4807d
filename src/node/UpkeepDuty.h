#ifndef POLLENWICK_NODE_UPKEEPDUTY_H
#define POLLENWICK_NODE_UPKEEPDUTY_H

#include <atomic>
#include <functional>
#include <string_view>
#include <thread>
#include <vector>

#include "node/ServiceRegistry.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Runs short periodic work: ends measuring windows, forgets what expired.
class UpkeepDuty final : public Component {
public:
  using Task = std::function<void()>;

  /// Before the start.
  void every(Duration Interval, Task Run);

  std::string_view name() const override { return "upkeep"; }
  void start() override;
  void stop() override;
  void dump(Poco::JSON::Object &Out) const override;

private:
  struct Entry {
    Duration Interval;
    Task Run;
    Instant Next;
  };

  void run();

  std::vector<Entry> Entries;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace pollenwick

#endif
