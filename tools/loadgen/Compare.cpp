#include "Compare.h"

#include <algorithm>
#include <thread>

#include <Poco/Exception.h>

namespace pollenwick::tools {
namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

struct Spread {
  double Min = 0;
  double Median = 0;
  double P99 = 0;
};

Spread spreadOf(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return {Values.front(), Values[Values.size() / 2],
          Values[Values.size() * 99 / 100]};
}

double timed(Exchange &Wire, const Target &To, const Message &Out) {
  const Clock::time_point Start = Clock::now();
  const Answer Got = Wire.send(To, Out);
  const double Taken = Milliseconds(Clock::now() - Start).count();
  if (!Got.BodyRight)
    throw Poco::RuntimeException(To.toString() + " answered " +
                                 std::to_string(Got.Status) + " " + Got.Reason);
  return Taken;
}

JsonObject::Ptr spreadJson(const Spread &From) {
  JsonObject::Ptr Out = new JsonObject;
  Out->set("min_ms", From.Min);
  Out->set("median_ms", From.Median);
  Out->set("p99_ms", From.P99);
  return Out;
}

} // namespace

JsonObject::Ptr compareLatency(const CompareSettings &Settings,
                               const CustomerLoad &Load) {
  const RequestSpec &Spec = Load.Mix.front();
  if (Spec.NonIdempotent)
    throw Poco::InvalidArgumentException(
        Spec.Route + " is not idempotent; compare with an idempotent route");
  Exchange Wire(Settings.Timeout);
  std::vector<double> Through;
  std::vector<double> Direct;
  for (int Number = -Settings.Warmup; Number < Settings.Count; ++Number) {
    const std::string Id = "compare-" + std::to_string(Number);
    const double A = timed(Wire, Settings.Node, {&Spec, Id, Load.Key, ""});
    std::this_thread::sleep_for(Settings.Gap);
    // Backend servers never see a key, so none is sent directly.
    const double B = timed(Wire, Settings.Direct, {&Spec, Id, "", ""});
    std::this_thread::sleep_for(Settings.Gap);
    if (Number < 0)
      continue;
    Through.push_back(A);
    Direct.push_back(B);
  }
  const Spread Node = spreadOf(Through);
  const Spread Plain = spreadOf(Direct);
  JsonObject::Ptr Out = new JsonObject;
  Out->set("requests", Settings.Count);
  Out->set("node", spreadJson(Node));
  Out->set("direct", spreadJson(Plain));
  // Differences of the quantiles: the pairs are not the same request.
  Out->set("added",
           spreadJson({Node.Min - Plain.Min, Node.Median - Plain.Median,
                       Node.P99 - Plain.P99}));
  return Out;
}

} // namespace pollenwick::tools
