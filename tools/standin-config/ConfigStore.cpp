#include "ConfigStore.h"

namespace pollenwick::tools {
namespace {

// Names come from callers; further ones are counted under one entry.
constexpr std::size_t MaxCountedNames = 10'000;
// A waiting watch looks this often whether an outage has begun.
constexpr std::chrono::milliseconds OutageCheck{50};

} // namespace

Admittance ConfigStore::admit(CallKind Kind, const std::string &Name) {
  const std::lock_guard Lock(Mutex);
  const bool Known = Counts.contains(Name) || Counts.size() < MaxCountedNames;
  ConfigCounts &Count = Counts[Known ? Name : "(others)"];
  if (downLocked()) {
    ++Count.Dropped;
    return Admittance::Down;
  }
  if (Kind == CallKind::Write) {
    ++Count.Writes;
    return Admittance::Accepted;
  }
  const Clock::time_point Now = Clock::now();
  if (Now - WindowStart >= std::chrono::seconds(1)) {
    WindowStart = Now;
    WindowCalls = 0;
  }
  if (++WindowCalls > ReadsPerSecond) {
    ++Count.RefusedOverRate;
    return Admittance::OverRate;
  }
  ++(Kind == CallKind::Read ? Count.Reads : Count.Watches);
  return Admittance::Accepted;
}

std::optional<ConfigValue> ConfigStore::read(const std::string &Name) {
  const std::lock_guard Lock(Mutex);
  return findLocked(Name);
}

std::optional<ConfigValue> ConfigStore::watch(const std::string &Name,
                                              std::uint64_t After,
                                              std::chrono::milliseconds Wait) {
  const Clock::time_point End = Clock::now() + Wait;
  std::unique_lock Lock(Mutex);
  while (!downLocked()) {
    std::optional<ConfigValue> Found = findLocked(Name);
    if (Found && Found->Version > After)
      return Found;
    const Clock::time_point Now = Clock::now();
    if (Now >= End)
      return std::nullopt;
    Changed.wait_until(Lock, std::min(End, Now + OutageCheck));
  }
  return std::nullopt;
}

std::uint64_t ConfigStore::write(const std::string &Name, std::string Body) {
  const std::lock_guard Lock(Mutex);
  Current[Name] = {++LastVersion, std::move(Body)};
  Changed.notify_all();
  return LastVersion;
}

void ConfigStore::setDown(bool Value) {
  const std::lock_guard Lock(Mutex);
  Down = Value;
  Changed.notify_all();
}

void ConfigStore::setStale(bool Value) {
  const std::lock_guard Lock(Mutex);
  if (!Value)
    Snapshot.reset();
  else if (!Snapshot)
    Snapshot = Current;
  Changed.notify_all();
}

void ConfigStore::setFlap(std::chrono::milliseconds Period) {
  const std::lock_guard Lock(Mutex);
  FlapPeriod = Period;
  FlapStart = Clock::now();
  Changed.notify_all();
}

bool ConfigStore::down() {
  const std::lock_guard Lock(Mutex);
  return downLocked();
}

std::map<std::string, ConfigCounts> ConfigStore::counts() {
  const std::lock_guard Lock(Mutex);
  return Counts;
}

bool ConfigStore::downLocked() const {
  if (Down || FlapPeriod.count() == 0)
    return Down;
  return ((Clock::now() - FlapStart) / FlapPeriod) % 2 == 0;
}

std::optional<ConfigValue>
ConfigStore::findLocked(const std::string &Name) const {
  const Values &Served = Snapshot ? *Snapshot : Current;
  const auto Found = Served.find(Name);
  return Found == Served.end() ? std::nullopt : std::optional(Found->second);
}

} // namespace pollenwick::tools
