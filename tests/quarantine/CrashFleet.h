#ifndef POLLENWICK_TESTS_QUARANTINE_CRASHFLEET_H
#define POLLENWICK_TESTS_QUARANTINE_CRASHFLEET_H

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "../Choices.h"
#include "core/quarantine/SuspicionBroadcast.h"

namespace pollenwick {

/// Simulates four servers of one service. One request crashes each server that
/// runs it; its caller resends it to a random node after each answer.
struct CrashFleet {
  static constexpr std::size_t Nodes = 4;
  static constexpr std::uint8_t Crasher = 0;

  /// Nodes exchange suspicions. If false (faulty variant), every node counts
  /// only its own crashes.
  bool Gossips = true;
  bool ResendsEarly = false; ///< The caller resends without an answer.
  bool Partitions = false;
  bool RefuseSuspects = false;    ///< Faulty: refuses after one crash.
  unsigned InnocentRequests = 40; ///< Number of harmless requests.

  struct InFlightCall {
    unsigned Node = 0;
    std::uint8_t Request = 0;
  };
  struct Message {
    unsigned From = 0;
    unsigned To = 0;
    CrashId Crash;
    std::vector<Suspicion> Suspicions;
    bool IsGossip = false;
  };

  Choices &Draw;
  Instant Now{std::chrono::hours(1)};
  std::array<Quarantine, Nodes> Fleet;
  std::array<SuspicionBroadcasts, Nodes> Broadcasts;
  std::array<bool, Nodes * Nodes> LinkCut{};
  std::vector<InFlightCall> InFlightCalls;
  std::vector<Message> InTransit;
  std::uint64_t Starts = 0;
  std::vector<Instant> Crashes;
  unsigned InnocentCalls = 0;
  unsigned WronglyRefused = 0;
  unsigned Delayed = 0;

  explicit CrashFleet(Choices &Source) : Draw(Source) {
    for (unsigned N = 0; N < Nodes; ++N)
      start(N);
  }

  static unsigned nodeOf(const HostId &Host) { return Host.Text.back() - '0'; }
  static Fingerprint fingerprint(std::uint8_t Request) {
    return fingerprintOf(RouteId("s/r"), CustomerId("t"), Digest{{Request}});
  }

  void start(unsigned N) {
    Fleet[N] = {};
    Fleet[N].Self = {HostId("host" + std::to_string(N)), StartId(++Starts)};
    // A starting node merges the suspicions of its peers before it serves.
    for (const Quarantine &Peer : Fleet)
      if (Peer.Self.Start.Value != Starts)
        mergeSuspicions(Fleet[N], knownSuspicions(Peer, 1000, Now), Now);
  }

  /// Returns whether the caller of the crashing request still waits for an
  /// answer: the request runs, or its answer is held back by a broadcast.
  bool isCrasherInFlight() const {
    return std::ranges::count(InFlightCalls, Crasher, &InFlightCall::Request) >
               0 ||
           std::ranges::any_of(Broadcasts, [](const SuspicionBroadcasts &S) {
             return !S.Broadcasts.empty();
           });
  }

  void send(std::uint8_t Request, unsigned N, bool Tried = false) {
    const bool Innocent = Request != Crasher;
    InnocentCalls += Innocent && !Tried ? 1 : 0;
    if (RefuseSuspects && isSuspect(Fleet[N], fingerprint(Request), Now)) {
      WronglyRefused += Innocent ? 1 : 0;
      return;
    }
    const auto Verdict = tryStartCall(Fleet[N], fingerprint(Request), Now);
    if (std::holds_alternative<StartCall>(Verdict))
      InFlightCalls.push_back({N, Request});
    else if (const auto *Other = std::get_if<TryAtHost>(&Verdict);
             Other && !Tried)
      send(Request, nodeOf(Other->Host), true);
    else if (std::holds_alternative<ServerReserved>(Verdict))
      Delayed += Innocent ? 1 : 0;
    else
      WronglyRefused += Innocent ? 1 : 0;
  }

  void crash(unsigned N) {
    Crashes.push_back(Now);
    std::erase_if(InFlightCalls,
                  [N](const InFlightCall &F) { return F.Node == N; });
    const auto Suspicions = onServerCrash(Fleet[N], Now);
    std::vector<HostId> Others;
    for (const Quarantine &Other : Fleet)
      if (Gossips && Other.Self != Fleet[N].Self)
        Others.push_back(Other.Self.Host);
    startBroadcast(Broadcasts[N], Suspicions, Others, Now);
    for (const BroadcastMessage &M : dueBroadcasts(Broadcasts[N], Now))
      InTransit.push_back({N, nodeOf(M.To), M.Crash, M.Suspicions, false});
    finishBroadcasts(Broadcasts[N], Fleet[N], Now);
  }

  void finish(std::size_t Position) {
    const InFlightCall F = InFlightCalls[Position];
    if (F.Request == Crasher)
      return crash(F.Node);
    InFlightCalls.erase(InFlightCalls.begin() +
                        static_cast<std::ptrdiff_t>(Position));
    gossip(F.Node, Draw.pick(Nodes),
           onCallFinished(Fleet[F.Node], fingerprint(F.Request), true, Now));
  }

  void gossip(unsigned From, unsigned To, std::vector<Suspicion> Suspicions) {
    if (Gossips && From != To && !Suspicions.empty())
      InTransit.push_back({From, To, {}, std::move(Suspicions), true});
  }

  void deliver(std::size_t Position) {
    const Message N = InTransit[Position];
    if (LinkCut[N.From * Nodes + N.To] || LinkCut[N.To * Nodes + N.From])
      return; // The message stays in transit and is delivered later.
    const auto Answer = acknowledgeSuspicions(Fleet[N.To], N.Suspicions, Now);
    if (!N.IsGossip && Answer.InFlight)
      return; // The message is delivered again later.
    InTransit.erase(InTransit.begin() + static_cast<std::ptrdiff_t>(Position));
    if (N.IsGossip)
      return;
    onAcknowledged(Broadcasts[N.From], Fleet[N.From], N.Crash,
                   Fleet[N.To].Self.Host, Answer, Now);
    finishBroadcasts(Broadcasts[N.From], Fleet[N.From], Now);
  }

  void step() {
    const unsigned Roll = Draw.pick(100);
    const unsigned N = Draw.pick(Nodes);
    if (Roll < 35)
      send(static_cast<std::uint8_t>(1 + Draw.pick(InnocentRequests)), N);
    else if (Roll < 45 && (ResendsEarly || !isCrasherInFlight()))
      send(Crasher, N);
    else if (Roll < 75 && !InFlightCalls.empty())
      finish(Draw.pick(InFlightCalls.size()));
    else if (Roll < 88 && !InTransit.empty())
      deliver(Draw.pick(InTransit.size()));
    else if (Roll < 93)
      gossip(N, Draw.pick(Nodes), knownSuspicions(Fleet[N], 8, Now));
    else if (Roll < 95 && Partitions)
      LinkCut[N * Nodes + Draw.pick(Nodes)] ^= true;
    else if (Roll == 95 && !isCrasherInFlight()) {
      std::erase_if(InFlightCalls,
                    [N](const InFlightCall &F) { return F.Node == N; });
      start(N);
    } else if (Roll > 95 && !isCrasherInFlight()) {
      // Time advances only while the crashing request is not in flight, because
      // calls end before their deadline and so within the trial margin.
      Now += std::chrono::milliseconds(40 * (1 + Draw.pick(250)));
      for (Quarantine &State : Fleet)
        expireSuspicions(State, Now);
    }
  }

  void runAll() {
    while (!Draw.done())
      step();
  }

  /// Returns the largest number of crashes within one quarantine time.
  std::size_t maxCrashesInPeriod() const {
    std::size_t Most = 0;
    for (std::size_t From = 0; From < Crashes.size(); ++From) {
      const Instant End = Crashes[From] + Fleet[0].Limits.QuarantineTime;
      const auto Last = std::ranges::lower_bound(Crashes, End);
      Most = std::max<std::size_t>(Most, Last - Crashes.begin() - From);
    }
    return Most;
  }
};

} // namespace pollenwick

#endif
