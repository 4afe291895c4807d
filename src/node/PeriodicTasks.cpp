#include "node/PeriodicTasks.h"

#include <algorithm>

#include "peer/Clock.h"

namespace pollenwick {

void PeriodicTasks::schedule(Duration Interval, Task Run) {
  ScheduledTasks.push_back({Interval, std::move(Run), now() + Interval});
}

void PeriodicTasks::start() {
  Thread = std::thread([this] { run(); });
}

void PeriodicTasks::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

void PeriodicTasks::run() {
  while (!Stopping) {
    Instant Wake = now() + std::chrono::milliseconds(100);
    for (ScheduledTask &Due : ScheduledTasks) {
      if (now() >= Due.Next) {
        Due.Run();
        Due.Next = now() + Due.Interval;
      }
      Wake = std::min(Wake, Due.Next);
    }
    std::this_thread::sleep_for(std::max(Wake - now(), Duration(100)));
  }
}

void PeriodicTasks::dump(Poco::JSON::Object &Out) const {
  Out.set("tasks", ScheduledTasks.size());
}

} // namespace pollenwick
