// Runs both deployments through overloads in virtual time and compares the
// decisions of src/core with baselines. Prints a table and writes JSON.
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <gflags/gflags.h>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <future>
#include <iostream>

#include "model/Scenario.h"

DEFINE_uint64(seed, 20261204, "seed of the arrivals and service times");
DEFINE_int32(jobs, 3, "runs at the same time");
DEFINE_string(json, "", "file for the JSON report; empty: none");
DEFINE_string(only, "", "deployment or scenario to run; empty: all");
DEFINE_bool(baselines, true, "also run the baselines");

using namespace pollenwick;
using namespace pollenwick::model;

namespace {

struct Row {
  const Deployment *Fleet;
  Scenario Story;
  const char *Variant;
  model::Variant Kind;
  Measures Result;
};

Poco::JSON::Object::Ptr toJson(const Row &Line) {
  Poco::JSON::Object::Ptr Object(new Poco::JSON::Object);
  const Measures &Result = Line.Result;
  Object->set("deployment", Line.Fleet->Name);
  Object->set("scenario", Line.Story.Name);
  Object->set("variant", Line.Variant);
  Object->set("goodput", Result.Goodput);
  Object->set("goodput_with_onset", Result.GoodputOnset);
  Object->set("recovery_seconds", Result.Recovery);
  Object->set("worst_tenant_of_fair_share", Result.WorstCustomer);
  // Absent when no customer keeps to its rate.
  if (std::isfinite(Result.WorstWithinRate))
    Object->set("worst_tenant_within_rate", Result.WorstWithinRate);
  Object->set("refused_within_rate", Result.RefusedWithinRate);
  Object->set("refused_within_rate_share", Result.RefusedWithinRateShare);
  Object->set("money_shed", Result.MoneyShed);
  Object->set("money_shed_beside_worse_class", Result.MoneyShedBesideWorse);
  Object->set("useful_work", Result.UsefulWork);
  Object->set("calls_started_for_failed_roots", Result.DeadRuns);
  return Object;
}

void printRow(const Row &Line) {
  const Measures &Result = Line.Result;
  std::printf(
      "%-8s %-24s %-12s %7.3f %7.3f %7.2f %7.3f %7.3f %8llu %7.4f %8llu %6llu "
      "%6.3f %7llu\n",
      Line.Fleet->Name.c_str(), Line.Story.Name.c_str(), Line.Variant,
      Result.Goodput, Result.GoodputOnset, Result.Recovery,
      Result.WorstCustomer, Result.WorstWithinRate,
      static_cast<unsigned long long>(Result.RefusedWithinRate),
      Result.RefusedWithinRateShare,
      static_cast<unsigned long long>(Result.MoneyShed),
      static_cast<unsigned long long>(Result.MoneyShedBesideWorse),
      Result.UsefulWork, static_cast<unsigned long long>(Result.DeadRuns));
}

std::vector<Row> plannedRows(const std::vector<Deployment> &Fleets) {
  std::vector<std::pair<const char *, model::Variant>> Variants = {
      {"full", model::Variant::Full}};
  if (FLAGS_baselines) {
    Variants.emplace_back("no control", model::Variant::NoControl);
    Variants.emplace_back("fixed limit", model::Variant::FixedLimit);
    Variants.emplace_back("hop retry", model::Variant::HopRetry);
  }
  std::vector<Row> Rows;
  for (const Deployment &Fleet : Fleets)
    for (const Scenario &Story : allScenarios())
      for (const auto &[Name, Kind] : Variants)
        if (FLAGS_only.empty() || FLAGS_only == Fleet.Name ||
            FLAGS_only == Story.Name)
          Rows.push_back({&Fleet, Story, Name, Kind, {}});
  return Rows;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  const std::vector<Deployment> Fleets = {lantern(), pier()};
  std::vector<Row> Rows = plannedRows(Fleets);
  const auto Jobs = static_cast<std::size_t>(std::max(1, FLAGS_jobs));
  for (std::size_t First = 0; First < Rows.size(); First += Jobs) {
    std::vector<std::future<void>> Batch;
    for (std::size_t Index = First; Index < std::min(First + Jobs, Rows.size());
         ++Index)
      Batch.push_back(std::async(std::launch::async, [&Row = Rows[Index]] {
        Row.Result = runScenario(*Row.Fleet, Row.Story, Row.Kind, Timeline(),
                                 FLAGS_seed);
      }));
    for (std::future<void> &Run : Batch)
      Run.get();
  }
  std::printf("%-8s %-24s %-12s %7s %7s %7s %7s %7s %8s %7s %8s %6s %6s %7s\n",
              "fleet", "scenario", "variant", "goodput", "+onset", "recover",
              "worst", "inrate", "refused", "share", "moneyshd", "beside",
              "useful", "deadrun");
  Poco::JSON::Array Report;
  for (const Row &Line : Rows) {
    printRow(Line);
    Report.add(toJson(Line));
  }
  if (!FLAGS_json.empty()) {
    std::ofstream Out(FLAGS_json);
    Report.stringify(Out, 1);
  }
  return 0;
}
