#ifndef POLLENWICK_TOOLS_CONFIGSTORE_H
#define POLLENWICK_TOOLS_CONFIGSTORE_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace pollenwick::tools {

struct ConfigValue {
  std::uint64_t Version = 0;
  std::string Body;
};

/// Counts of one name. A waiting watch counts once.
struct ConfigCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Writes = 0;
  std::uint64_t RefusedOverRate = 0;
  std::uint64_t Dropped = 0; ///< Calls made while the service was down.
};

enum class CallKind : std::uint8_t { Read, Watch, Write };
enum class Admittance : std::uint8_t { Accepted, OverRate, Down };

/// Versioned values with simulated faults. All functions are thread-safe.
class ConfigStore {
public:
  using Clock = std::chrono::steady_clock;

  explicit ConfigStore(std::uint64_t ReadsPerSecond)
      : ReadsPerSecond(ReadsPerSecond) {}

  /// Counts the call and applies the rate limit and the simulated outage.
  Admittance admit(CallKind Kind, const std::string &Name);
  std::optional<ConfigValue> read(const std::string &Name);
  /// Waits for a version above `After`. Nothing on a timeout or an outage.
  std::optional<ConfigValue> watch(const std::string &Name, std::uint64_t After,
                                   std::chrono::milliseconds Wait);
  std::uint64_t write(const std::string &Name, std::string Body);

  void setDown(bool Value);
  /// While set, readers see the values as they were when it was set.
  void setStale(bool Value);
  /// Alternates between up and down with this period; zero stops it.
  void setFlap(std::chrono::milliseconds Period);
  bool down();
  std::map<std::string, ConfigCounts> counts();

private:
  using Values = std::map<std::string, ConfigValue>;
  bool downLocked() const;
  std::optional<ConfigValue> findLocked(const std::string &Name) const;

  const std::uint64_t ReadsPerSecond;
  std::mutex Mutex;
  std::condition_variable Changed;
  Values Current;
  std::optional<Values> Snapshot;
  std::uint64_t LastVersion = 0;
  bool Down = false;
  std::chrono::milliseconds FlapPeriod{0};
  Clock::time_point FlapStart;
  Clock::time_point WindowStart;
  std::uint64_t WindowCalls = 0;
  std::map<std::string, ConfigCounts> Counts;
};

} // namespace pollenwick::tools

#endif
