#ifndef POLLENWICK_TESTS_SUPPORT_SOCKETTIMERS_H
#define POLLENWICK_TESTS_SUPPORT_SOCKETTIMERS_H

#include <chrono>
#include <cstdint>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

namespace pollenwick {

/// Whether the system probes the idle connection whose near end has the local
/// port `Port`: its active timer is the one for keep-alive probes.
inline bool isProbed(std::uint16_t Port) {
  constexpr const char *KeepAliveTimer = "02:";
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  std::getline(Table, Line);
  while (std::getline(Table, Line)) {
    std::istringstream Fields(Line);
    std::string Slot;
    std::string Local;
    std::string Remote;
    std::string State;
    std::string Queues;
    std::string Timer;
    Fields >> Slot >> Local >> Remote >> State >> Queues >> Timer;
    const std::string Hex = Local.substr(Local.find(':') + 1);
    if (std::stoul(Hex, nullptr, 16) == Port)
      return Timer.starts_with(KeepAliveTimer);
  }
  return false;
}

/// Waits a little: the timer for a retransmission goes first.
inline bool becomesProbed(std::uint16_t Port) {
  for (int Try = 0; Try < 100; ++Try) {
    if (isProbed(Port))
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

} // namespace pollenwick

#endif
