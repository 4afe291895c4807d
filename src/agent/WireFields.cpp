#include "agent/WireFields.h"

#include <algorithm>
#include <limits>

namespace pollenwick::agent {
namespace {

constexpr double Permille = 1000;
constexpr double Percent = 100;

std::uint16_t toUInt16(std::uint32_t Value) {
  return static_cast<std::uint16_t>(std::min<std::uint32_t>(
      Value, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

capnp::Text::Reader text(const std::string &Value) {
  return {Value.c_str(), Value.size()};
}

capnp::Data::Reader data(const std::string &Value) {
  return {reinterpret_cast<const kj::byte *>(Value.data()), Value.size()};
}

std::string toString(capnp::Text::Reader Value) {
  return {Value.cStr(), Value.size()};
}

std::string toString(capnp::Data::Reader Value) {
  return {reinterpret_cast<const char *>(Value.begin()), Value.size()};
}

std::uint32_t toMicros(Duration Time) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Time.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t toMillis(Duration Time) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count(), 0,
      std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t toMilliPerS(double PerS) {
  return static_cast<std::uint32_t>(
      std::clamp(std::ceil(PerS * Permille), 0.0,
                 double{std::numeric_limits<std::uint32_t>::max()}));
}

double fromMilliPerS(std::uint32_t MilliPerS) { return MilliPerS / Permille; }

void putLoad(mesh::wire::Load::Builder Out, const ServerLoad &Load) {
  Out.setRunning(Load.Running);
  Out.setWaiting(Load.Waiting);
  Out.setLimit(Load.MaxRunning);
  Out.setServiceMicros(toMicros(Load.MeanServiceTime));
  Out.setLeaving(Load.Leaving);
  Out.setFailedPermille(static_cast<std::uint16_t>(
      std::clamp(Load.FailureRate * Permille, 0.0, Permille)));
  Out.setRecentCalls(toUInt16(Load.RecentCalls));
  Out.setSlowdownPercent(static_cast<std::uint16_t>(
      std::clamp(Load.ReportedSlowdown * Percent, 0.0,
                 double{std::numeric_limits<std::uint16_t>::max()})));
  Out.setCold(Load.Cold);
  Out.setColdStartsLeft(toUInt16(Load.ColdStartsLeft));
  Out.setMemoryShort(Load.MemoryShort);
  Out.setMilliPerS(toMilliPerS(Load.RequestsPerS));
  Out.setRequestsLeft(toUInt16(Load.RequestsLeft));
  Out.setLimitHeard(Load.LimitHeard);
  Out.setServerLeaving(Load.ServerLeaving);
  Out.setServerStartedAt(Load.ServerStartedAtUnixMs);
}

ServerLoad readLoad(mesh::wire::Load::Reader In) {
  ServerLoad Load;
  Load.Running = In.getRunning();
  Load.Waiting = In.getWaiting();
  Load.MaxRunning = In.getLimit();
  Load.MeanServiceTime = Duration(In.getServiceMicros());
  Load.Leaving = In.getLeaving();
  Load.FailureRate = std::min(In.getFailedPermille() / Permille, 1.0);
  Load.RecentCalls = In.getRecentCalls();
  Load.ReportedSlowdown = In.getSlowdownPercent() / Percent;
  Load.Cold = In.getCold();
  Load.ColdStartsLeft = In.getColdStartsLeft();
  Load.MemoryShort = In.getMemoryShort();
  Load.RequestsPerS = fromMilliPerS(In.getMilliPerS());
  Load.RequestsLeft = In.getRequestsLeft();
  Load.LimitHeard = In.getLimitHeard();
  Load.ServerLeaving = In.getServerLeaving();
  Load.ServerStartedAtUnixMs = In.getServerStartedAt();
  return Load;
}

} // namespace pollenwick::agent
