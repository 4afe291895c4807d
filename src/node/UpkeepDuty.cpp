#include "node/UpkeepDuty.h"

#include <algorithm>

#include "peer/Clock.h"

namespace pollenwick {

void UpkeepDuty::every(Duration Interval, Task Run) {
  Entries.push_back({Interval, std::move(Run), now() + Interval});
}

void UpkeepDuty::start() {
  Thread = std::thread([this] { run(); });
}

void UpkeepDuty::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

void UpkeepDuty::run() {
  while (!Stopping) {
    Instant Wake = now() + std::chrono::milliseconds(100);
    for (Entry &Due : Entries) {
      if (now() >= Due.Next) {
        Due.Run();
        Due.Next = now() + Due.Interval;
      }
      Wake = std::min(Wake, Due.Next);
    }
    std::this_thread::sleep_for(std::max(Wake - now(), Duration(100)));
  }
}

void UpkeepDuty::dump(Poco::JSON::Object &Out) const {
  Out.set("tasks", Entries.size());
}

} // namespace pollenwick
