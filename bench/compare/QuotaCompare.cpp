// Counts wrongful refusals of the escrow and of two baselines under the same
// schedules. Usage: quota_compare [seeds [schemes]], with the number of schemes
// counted from the escrow
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "tests/support/Fleet.h"

using namespace pollenwick;
using namespace pollenwick::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t Hosts = 14;
/// First fence wait and filling of the shards; before the measured time.
constexpr seconds WarmUp(8);
constexpr seconds Measured(20);

enum class Scheme : std::uint8_t { Escrow, StaticSplit, SingleHolder };
constexpr std::array<const char *, 3> SchemeNames{"escrow", "static-split",
                                                  "single-holder"};

struct Schedule {
  const char *Name;
  double Load;      ///< Part of the customer's rate.
  bool OneNode;     ///< All load on one node.
  bool SkewedZones; ///< 80 % of the load in one zone.
  std::vector<Fault> Faults;
};

/// Bucket of a baseline, exact in whole micro-tokens.
struct Bucket {
  ExactBucket Tokens;
  bool take(Instant Now) {
    if (!Tokens.hasToken(Now))
      return false;
    Tokens.admit(Now);
    return true;
  }
};

/// Decides by a bucket per node, or by one bucket at one holder that is asked
/// for each request. A restarted holder starts with an empty bucket.
void installBaseline(Fleet &F, Scheme Chosen, std::vector<Bucket> &Buckets,
                     std::uint32_t Holder) {
  const auto Parts = Chosen == Scheme::StaticSplit ? Hosts : 1U;
  const FleetOptions &O = F.Options;
  for (std::uint32_t I = 0; I < Parts; ++I)
    Buckets.push_back(
        {ExactBucket(MicroTokens{O.Rate * OneToken.Value / Parts},
                     MicroTokens{O.Burst * OneToken.Value / Parts})});
  if (Chosen == Scheme::StaticSplit) {
    F.Decide = [&](std::uint32_t I, std::size_t Call) {
      Buckets[I].take(F.now()) ? F.admit(Call) : F.refuse(Call, false);
    };
    return;
  }
  F.Decide = [&F, &Buckets, Holder](std::uint32_t I, std::size_t Call) {
    F.send(I, Holder, [&F, &Buckets, Holder, I, Call] {
      const bool Taken = Buckets[0].take(F.now());
      F.send(Holder, I, [&F, Taken, Call] {
        Taken ? F.admit(Call) : F.refuse(Call, false);
      });
    });
  };
}

std::uint32_t holderIndex(const Fleet &F) {
  return F.indexOf(holdersOf(F.Chain[0].Rules, F.Customer)[0].Host);
}

struct Result {
  double WrongfulPercent = 0;
  std::uint64_t Excess = 0;
  double MessagesPerRequest = 0;
};

Result runOnce(const Schedule &Plan, Scheme Chosen, std::uint32_t Seed) {
  FleetOptions Options;
  Options.Hosts = Hosts;
  Options.Seed = Seed;
  Options.Faults = Plan.Faults;
  Options.SettleTick = IngressTickInterval;
  Fleet F(Options);
  const std::uint32_t Holder = holderIndex(F);
  std::vector<Bucket> Buckets;
  if (Chosen != Scheme::Escrow)
    installBaseline(F, Chosen, Buckets, Holder);
  // One node that holds no shard, as the worst case for all load on one node.
  std::uint32_t Busy = 0;
  for (std::uint32_t I = 0; I < Hosts; ++I)
    if (std::ranges::none_of(holdersOf(F.Chain[0].Rules, F.Customer),
                             [&](auto &H) { return H.Host == F.Nodes[I].Id; }))
      Busy = I;
  std::mt19937 Random(Seed);
  std::exponential_distribution<double> Gap(
      Plan.Load * static_cast<double>(Options.Rate) / 1e6);
  const Instant End = Instant{} + WarmUp + Measured;
  for (Instant At = Instant{} + WarmUp; At < End;
       At += Duration(static_cast<std::int64_t>(Gap(Random)) + 1)) {
    std::uint32_t I = static_cast<std::uint32_t>(Random() % Hosts);
    if (Plan.OneNode)
      I = Busy;
    else if (Plan.SkewedZones && Random() % 10 < 7)
      I = I / 3 * 3; // Nodes 0, 3, 6, ... are in one zone.
    F.request(I, At);
  }
  F.run(End + seconds(1));
  std::uint64_t Unanswered = 0;
  for (const auto &Call : F.Calls)
    Unanswered += Call.Result == Fleet::Answer::None ? 1 : 0;
  const double Requests = static_cast<double>(F.Calls.size());
  const auto Wrongful = F.wrongful(Duration::zero(), WarmUp + Measured);
  // A request without any answer from the holder counts as refused.
  return {100.0 * static_cast<double>(Wrongful + Unanswered) / Requests,
          F.Excess, static_cast<double>(F.Messages) / Requests};
}

std::vector<Schedule> schedules() {
  // The holder of the first zone in the makeFleetBundle host list.
  FleetOptions Options;
  Options.Hosts = Hosts;
  const std::uint32_t Holder = holderIndex(Fleet(Options));
  const Duration Middle = WarmUp + Measured / 4;
  const Fault Dead{FaultKind::Kill, Middle, Measured / 2, Holder, 0};
  const Fault Removed{FaultKind::HostChange, Middle + seconds(1), seconds(1),
                      Holder, 0};
  const Fault Restart{FaultKind::Kill, Middle, milliseconds(50), Holder, 0};
  const Fault Cut{FaultKind::TwoWay, Middle, Measured / 2, 1U << Holder, 0};
  return {
      {"even 60%", 0.6, false, false, {}},
      {"even 95%", 0.95, false, false, {}},
      {"even 300%", 3.0, false, false, {}},
      {"one node 60%", 0.6, true, false, {}},
      {"one node 95%", 0.95, true, false, {}},
      {"skewed zones 60%", 0.6, false, true, {}},
      {"skewed zones 95%", 0.95, false, true, {}},
      {"even 60%, holder dead half", 0.6, false, false, {Dead}},
      {"one node 60%, holder dead half", 0.6, true, false, {Dead}},
      {"even 60%, dead, removed +1s", 0.6, false, false, {Dead, Removed}},
      {"even 95%, dead, removed +1s", 0.95, false, false, {Dead, Removed}},
      {"even 60%, holder restart 50ms", 0.6, false, false, {Restart}},
      {"even 95%, holder restart 50ms", 0.95, false, false, {Restart}},
      {"even 60%, holder cut off half", 0.6, false, false, {Cut}},
  };
}

} // namespace

int main(int Count, char **Arguments) {
  const int Seeds = Count > 1 ? std::atoi(Arguments[1]) : 5;
  const std::size_t Schemes =
      Count > 2 ? std::min<std::size_t>(std::atoi(Arguments[2]), 3) : 3;
  std::printf("%-32s %-14s %8s %8s %8s %7s %9s\n", "schedule", "scheme",
              "min %", "median %", "max %", "excess", "msgs/req");
  for (const Schedule &Plan : schedules()) {
    for (std::size_t S = 0; S < Schemes; ++S) {
      std::vector<double> Percent;
      std::uint64_t Excess = 0;
      double Messages = 0;
      for (int Seed = 1; Seed <= Seeds; ++Seed) {
        const Result R = runOnce(Plan, static_cast<Scheme>(S),
                                 static_cast<std::uint32_t>(Seed));
        Percent.push_back(R.WrongfulPercent);
        Excess += R.Excess;
        Messages = R.MessagesPerRequest;
      }
      std::ranges::sort(Percent);
      std::printf("%-32s %-14s %8.2f %8.2f %8.2f %7lu %9.1f\n", Plan.Name,
                  SchemeNames[S], Percent.front(), Percent[Percent.size() / 2],
                  Percent.back(), static_cast<unsigned long>(Excess), Messages);
    }
  }
}
