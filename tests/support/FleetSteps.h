#ifndef POLLENWICK_TESTS_SUPPORT_FLEETSTEPS_H
#define POLLENWICK_TESTS_SUPPORT_FLEETSTEPS_H

#include <algorithm>
#include <functional>
#include <vector>

#include "tests/support/FleetTypes.h"

namespace pollenwick::test {

/// What the faults of the moment do to a message.
struct Delivery {
  int Copies = 1; ///< 0 if the message is lost.
  Duration ExtraDelay{};
};

/// Applies the faults that are active `Elapsed` after the start to a message.
/// `Draw` returns a random number below its argument.
inline Delivery
deliveryOf(const std::vector<Fault> &Faults, std::uint32_t From,
           std::uint32_t To, Duration Elapsed,
           const std::function<std::uint32_t(std::uint32_t)> &Draw) {
  Delivery Result;
  for (const Fault &F : Faults) {
    if (!F.activeAt(Elapsed))
      continue;
    const bool FromIn = ((F.Target >> From) & 1U) != 0;
    const bool ToIn = ((F.Target >> To) & 1U) != 0;
    if ((F.Kind == FaultKind::TwoWay && FromIn != ToIn) ||
        (F.Kind == FaultKind::OneWay && FromIn && !ToIn) ||
        (F.Kind == FaultKind::Drop && Draw(100) < F.Amount))
      return {0, {}};
    if (F.Kind == FaultKind::Delay)
      Result.ExtraDelay +=
          std::chrono::microseconds(Draw(F.Amount * 10'000 + 1));
    if (F.Kind == FaultKind::Duplicate && Draw(100) < F.Amount)
      ++Result.Copies;
  }
  return Result;
}

/// Returns the refusals of requests that arrived in the given time although one
/// exact bucket for the whole fleet, with the same admissions and asked in
/// order of arrival, had a token.
inline std::uint64_t wrongfulRefusals(const std::vector<Arrival> &Calls,
                                      ExactBucket Whole, Duration From,
                                      Duration Until) {
  std::uint64_t Count = 0;
  for (const Arrival &Call : Calls) {
    const Duration At = Call.At - Instant{};
    if (Call.Result == Answer::Admitted)
      Whole.admit(Call.At);
    else if (Call.Result != Answer::None && Whole.hasToken(Call.At) &&
             From <= At && At < Until)
      ++Count;
  }
  return Count;
}

/// Returns the bundle that follows `Last`. If `Toggled` is set, its host is
/// added to the list of hosts, or removed if it is listed.
inline Published nextBundle(const Published &Last, Revision Number,
                            const FleetNode *Toggled, Instant Now) {
  Published Next = Last;
  Next.At = Now;
  Next.KnownAt.reset();
  Next.Rules.Number = Number;
  Next.Key.Number = Number;
  if (!Toggled)
    return Next;
  Next.Hosts = {Next.Key, Next.Hosts.HostsSince};
  auto Found = std::ranges::find(Next.Rules.Hosts, Toggled->Id, &HostSpec::Id);
  if (Found != Next.Rules.Hosts.end()) {
    Next.Rules.Hosts.erase(Found);
  } else {
    HostSpec Host;
    Host.Id = Toggled->Id;
    Host.Zone = Toggled->Zone;
    Next.Rules.Hosts.push_back(Host);
  }
  return Next;
}

/// Records which bundles a majority of the witnesses holds for the first time,
/// or a newer one.
inline void noteKnownRevisions(std::vector<Published> &Chain,
                               const std::vector<FleetNode> &Nodes,
                               Instant Now) {
  const std::vector<HostId> &Witnesses = Chain[0].Rules.Rules.Witnesses;
  for (std::size_t R = 0; R < Chain.size(); ++R) {
    const auto Count = std::ranges::count_if(Nodes, [&](const FleetNode &N) {
      return N.Up && N.Revision >= R && std::ranges::count(Witnesses, N.Id) > 0;
    });
    if (Count >= 3 && !Chain[R].KnownAt)
      Chain[R].KnownAt = Now;
  }
}

/// Returns whether a newer bundle than `Held` has been known to the witnesses,
/// or in a fleet without a fault published, for a lease length.
inline bool isStale(const std::vector<Published> &Chain, std::size_t Held,
                    const FleetOptions &Options, Instant Now) {
  for (std::size_t R = Held + 1; R < Chain.size(); ++R) {
    std::optional<Instant> Since = Chain[R].KnownAt;
    if (Options.ServiceReachable)
      Since = Chain[R].At;
    if (Since && Now >= *Since + Options.Rules.ViewLease)
      return true;
  }
  return false;
}

} // namespace pollenwick::test

#endif
