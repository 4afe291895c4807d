#include "Report.h"

#include <algorithm>
#include <iomanip>
#include <numeric>

#include <Poco/Exception.h>

#include "LatencyHistogram.h"

namespace pollenwick::tools {
namespace {

// A run is at most this long in the counts per second.
constexpr std::size_t MaxSeconds = 3600;

JsonObject::Ptr countsJson(const std::map<std::string, std::uint64_t> &Counts) {
  JsonObject::Ptr Out = new JsonObject;
  for (const auto &[Name, Count] : Counts)
    Out->set(Name, Count);
  return Out;
}

JsonObject::Ptr rowJson(const Row &From) {
  JsonObject::Ptr Out = new JsonObject;
  Out->set("offered", From.Offered);
  Out->set("answered", From.Answered);
  Out->set("failed", From.Failed);
  Out->set("wrong", From.Wrong);
  Out->set("unknown", From.Unknown);
  Out->set("refused", From.refused());
  Out->set("refused_by_reason", countsJson(From.Refused));
  Out->set("refused_within_rate", From.RefusedWithinRate);
  Out->set("attempts", From.Attempts);
  Out->set("connections_lost", From.ConnectionsLost);
  Out->set("p50_ms", From.Latency->quantileMs(0.5));
  Out->set("p99_ms", From.Latency->quantileMs(0.99));
  return Out;
}

void printRow(std::ostream &Out, const std::string &Class,
              const std::string &Customer, const Row &From) {
  Out << std::left << std::setw(14) << Class << std::setw(16) << Customer
      << std::right << std::setw(9) << From.Offered << std::setw(9)
      << From.Answered << std::setw(8) << From.refused() << std::setw(12)
      << From.RefusedWithinRate << std::setw(8) << From.Failed << std::setw(8)
      << From.Unknown << std::setw(6) << From.Wrong << std::fixed
      << std::setprecision(2) << std::setw(10) << From.Latency->quantileMs(0.5)
      << std::setw(10) << From.Latency->quantileMs(0.99);
  for (const auto &[Reason, Count] : From.Refused)
    Out << "  " << Reason << '=' << Count;
  Out << '\n';
}

} // namespace

Row::Row() : Latency(std::make_unique<LatencyHistogram>()) {}
Row::~Row() = default;

std::uint64_t Row::refused() const {
  return std::accumulate(
      Refused.begin(), Refused.end(), std::uint64_t{0},
      [](std::uint64_t Sum, const auto &Entry) { return Sum + Entry.second; });
}

void Row::add(const Row &Other) {
  Offered += Other.Offered;
  Answered += Other.Answered;
  Failed += Other.Failed;
  Wrong += Other.Wrong;
  Unknown += Other.Unknown;
  RefusedWithinRate += Other.RefusedWithinRate;
  Attempts += Other.Attempts;
  ConnectionsLost += Other.ConnectionsLost;
  for (const auto &[Reason, Count] : Other.Refused)
    Refused[Reason] += Count;
  Latency->add(*Other.Latency);
}

Report::Report(const std::string &OutcomesPath)
    : StartDelay(std::make_unique<LatencyHistogram>()) {
  if (OutcomesPath.empty())
    return;
  Outcomes.open(OutcomesPath);
  if (!Outcomes)
    throw Poco::CreateFileException(OutcomesPath + " cannot be written");
}

Report::~Report() = default;

void Report::add(const Job &Done, const std::string &Id, const Ending &End) {
  const Arrival &Origin = Done.Origin;
  const std::lock_guard Lock(Mutex);
  const auto At = static_cast<std::size_t>(
      std::chrono::floor<std::chrono::seconds>(Origin.At).count());
  if (At >= Seconds.size() && At < MaxSeconds)
    Seconds.resize(At + 1);
  SecondCounts &Second = Seconds[std::min(At, Seconds.size() - 1)];
  Row &Own =
      Rows[{Origin.Part->Name, Origin.Spec->Class, Origin.Load->Customer}];
  ++Own.Offered;
  ++Second.Offered;
  Own.Attempts += static_cast<std::uint64_t>(Done.Attempts);
  Own.ConnectionsLost += static_cast<std::uint64_t>(Done.ConnectionsLost);
  if (End.Wrong) {
    ++Own.Wrong;
  } else if (End.Answered) {
    ++Own.Answered;
    ++Second.Answered;
    Own.Latency->add(End.Latency);
  } else if (End.Outcome == "not-run") {
    ++Own.Refused[End.Reason];
    ++Second.Refused;
    Own.RefusedWithinRate += Origin.WithinLimit ? 1 : 0;
  } else if (End.Outcome == "done") {
    ++Own.Failed;
  } else {
    ++Own.Unknown;
    ++Second.Unknown;
  }
  if (!Outcomes.is_open())
    return;
  JsonObject::Ptr Line = new JsonObject;
  Line->set("id", Id);
  Line->set("at_ms", Origin.At.count() / 1000);
  Line->set("route", Origin.Spec->Route);
  Line->set("tenant", Origin.Load->Customer);
  Line->set("non_idempotent", Origin.Spec->NonIdempotent);
  Line->set("outcome", End.Outcome);
  Line->set("reason", End.Reason);
  Line->set("status", End.Status);
  Line->set("wrong", End.Wrong);
  Line->set("attempts", Done.Attempts);
  Line->set("connections_lost", Done.ConnectionsLost);
  Outcomes << toText(Line) << '\n';
}

void Report::addViolation(const std::string &Kind) {
  const std::lock_guard Lock(Mutex);
  ++Violations[Kind];
}

void Report::addStartDelay(std::chrono::microseconds Delay) {
  const std::lock_guard Lock(Mutex);
  StartDelay->add(Delay);
}

JsonObject::Ptr Report::json() {
  const std::lock_guard Lock(Mutex);
  JsonObject::Ptr Out = new JsonObject;
  JsonArray::Ptr List = new JsonArray;
  Row Total;
  for (const auto &[Name, Entry] : Rows) {
    JsonObject::Ptr Line = rowJson(Entry);
    Line->set("phase", std::get<0>(Name));
    Line->set("class", std::get<1>(Name));
    Line->set("tenant", std::get<2>(Name));
    List->add(Line);
    Total.add(Entry);
  }
  Out->set("rows", List);
  Out->set("total", rowJson(Total));
  JsonArray::Ptr Series = new JsonArray;
  for (const SecondCounts &Second : Seconds) {
    JsonObject::Ptr Line = new JsonObject;
    Line->set("offered", Second.Offered);
    Line->set("answered", Second.Answered);
    Line->set("refused", Second.Refused);
    Line->set("unknown", Second.Unknown);
    Series->add(Line);
  }
  Out->set("seconds", Series);
  Out->set("violations", countsJson(Violations));
  Out->set("start_delay_p99_ms", StartDelay->quantileMs(0.99));
  return Out;
}

void Report::printTable(std::ostream &Out) {
  const std::lock_guard Lock(Mutex);
  std::map<std::pair<std::string, std::string>, Row> Merged;
  Row Total;
  for (const auto &[Name, Entry] : Rows) {
    Merged[{std::get<1>(Name), std::get<2>(Name)}].add(Entry);
    Total.add(Entry);
  }
  Out << "class         tenant            offered answered refused within-rate"
         "  failed unknown wrong    p50 ms    p99 ms  refused by reason\n";
  for (const auto &[Name, Entry] : Merged)
    printRow(Out, Name.first, Name.second, Entry);
  printRow(Out, "total", "", Total);
  for (const auto &[Kind, Count] : Violations)
    Out << "violation: " << Kind << ' ' << Count << '\n';
  Out << "start delay of the generator, p99: " << StartDelay->quantileMs(0.99)
      << " ms\n";
}

} // namespace pollenwick::tools
