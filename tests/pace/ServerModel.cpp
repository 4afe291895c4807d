#include "ServerModel.h"

#include <algorithm>
#include <map>
#include <random>

#include "core/dispatch/DispatchQueue.h"

namespace pollenwick {
namespace {

constexpr Duration Step = std::chrono::milliseconds(1);
constexpr Duration ColdTime = std::chrono::seconds(3);
constexpr Duration RestartTime = std::chrono::seconds(1);
constexpr Duration LatencyTarget = std::chrono::milliseconds(500);
constexpr Duration Timeout = std::chrono::seconds(2);
constexpr double ColdSlowdown = 2;
/// A cold server crashes if more of its slots are in use for `CrashTime`.
constexpr double CrashShare = 0.7;
constexpr Duration CrashTime = std::chrono::milliseconds(300);

struct RunningCall {
  Instant StartedAt;
  Instant ArrivedAt;
  bool Rejected = false;
};

class ServerModel {
public:
  ServerModel(const ModelSetup &TheSetup, bool IsFixed, std::uint32_t Seed)
      : Setup(TheSetup), Fixed(IsFixed), Random(Seed) {
    setMaxLimit(Pace, concurrencyLimit(Setup.Slots));
    Queue.MaxRunning = currentPace(Pace);
    if (Setup.StartsCold)
      restart();
    if (Setup.StartsWarm)
      beginSlowStart(Pace, Now);
  }

  ModelOutcome simulate() {
    const Instant End = Now + Setup.Length;
    Result.LeastLimit = Pace.MaxLimit;
    std::exponential_distribution<double> Gap(Setup.CallsPerSecond / 1e6);
    Instant NextArrival = Now;
    double LimitSum = 0;
    for (; Now < End; Now += Step) {
      if (Now >= HostUntil) {
        HostUntil = Now + Setup.HostPeriod;
        HostSlowdown = std::uniform_real_distribution<double>(
            1, Setup.MaxHostSlowdown)(Random);
      }
      const double Stretch = Now.time_since_epoch() < Setup.RampUp ? 5 : 1;
      for (; NextArrival <= Now;
           NextArrival +=
           Duration(static_cast<std::int64_t>(Stretch * Gap(Random)) + 1))
        arrive();
      while (!Ends.empty() && Ends.begin()->first <= Now)
        finishFirst();
      crashIfOverloaded();
      for (const WaitingCall &Expired : dropExpired(Queue, Now))
        Result.Refused += Arrivals.erase(Expired.Id);
      updateIdlePace(Pace, Queue.Running, Now);
      applyLimit();
      LimitSum += Queue.MaxRunning;
      Result.LeastLimit = std::min(Result.LeastLimit, Queue.MaxRunning);
    }
    Result.MeanLimit = LimitSum / static_cast<double>(Setup.Length / Step);
    Result.FinalLimit = Queue.MaxRunning;
    return Result;
  }

private:
  bool cold() const { return Now < ColdUntil; }

  void applyLimit() {
    Queue.MaxRunning = Fixed ? Pace.MaxLimit : currentPace(Pace);
    while (const auto Next = dequeueCall(Queue)) {
      start(Arrivals.at(Next->Id));
      Arrivals.erase(Next->Id);
    }
  }

  void restart() {
    ColdUntil = Now + ColdTime;
    beginSlowStart(Pace, Now);
  }

  void arrive() {
    if (Now < DownUntil) {
      ++Result.Refused;
      return;
    }
    const CallRequirements Terms{Now, Now + Timeout, LatencyTarget};
    const WaitingCall Call{++LastId, dueTime(Terms), Terms.Deadline,
                           latestStart(Terms)};
    switch (offerCall(Queue, Call, Now)) {
    case QueueDecision::Run:
      start(Now);
      return;
    case QueueDecision::Wait:
      Arrivals.emplace(LastId, Now);
      return;
    case QueueDecision::Refuse:
      ++Result.Refused;
    }
  }

  void start(Instant ArrivedAt) {
    const bool Rejected =
        std::bernoulli_distribution(Setup.RejectedShare)(Random);
    double Millis =
        std::gamma_distribution<double>(4, Setup.WorkMs / 4)(Random) *
        HostSlowdown;
    const double Running = Queue.Running;
    if (cold())
      Millis *= ColdSlowdown *
                (1 + Running * Running / (Setup.ColdKnee * Setup.ColdKnee));
    const double Excess = Running / Setup.Slots - Setup.WarmKnee;
    if (!cold() && Excess > 0)
      Millis *= 1 + 12 * Excess;
    if (Rejected)
      Millis = 1;
    const Instant End =
        Now + Duration(static_cast<std::int64_t>(Millis * 1000));
    Ends.emplace(std::min(End, ArrivedAt + Timeout),
                 RunningCall{Now, ArrivedAt, Rejected});
  }

  void finishFirst() {
    const RunningCall Call = Ends.begin()->second;
    Ends.erase(Ends.begin());
    const Duration SlotTime = Now - Call.StartedAt;
    const bool Wrong = Setup.WrongSlowdown > 0 &&
                       Now.time_since_epoch() > std::chrono::seconds(5);
    PaceSample Sample;
    Sample.Route = "r";
    Sample.SlotTime = SlotTime;
    Sample.Running = Queue.Running;
    const bool Abandoned = Now - Call.ArrivedAt >= Timeout;
    Sample.End = Call.Rejected ? CallEnd::Rejected
                 : Abandoned   ? CallEnd::Abandoned
                               : CallEnd::Succeeded;
    Sample.HasReport = Setup.ReportsSlowdown || Setup.AlwaysReportsFull;
    Sample.ReportsFull = Setup.AlwaysReportsFull;
    if (Setup.ReportsSlowdown)
      Sample.HostSlowdown = HostSlowdown;
    if (Wrong)
      Sample.HostSlowdown = Setup.WrongSlowdown;
    recordCall(Pace, Sample, Now);
    releaseSlot(Queue, SlotTime);
    if (Call.Rejected)
      ++Result.Refused;
    else if (Now - Call.ArrivedAt <= LatencyTarget)
      ++Result.InTarget;
    else
      ++Result.Late;
    applyLimit();
  }

  void crashIfOverloaded() {
    if (!cold() || Queue.Running <= CrashShare * Setup.Slots) {
      OverloadedSince = Now;
      return;
    }
    if (Now - OverloadedSince < CrashTime)
      return;
    ++Result.Crashes;
    Result.Lost += static_cast<std::uint32_t>(Ends.size());
    Result.Refused += static_cast<std::uint32_t>(Arrivals.size());
    Ends.clear();
    Arrivals.clear();
    Queue.Waiting.clear();
    Queue.Running = 0;
    DownUntil = Now + RestartTime;
    restart();
    ColdUntil = DownUntil + ColdTime;
  }

  ModelSetup Setup;
  bool Fixed;
  std::mt19937 Random;
  Instant Now;
  Instant ColdUntil;
  Instant DownUntil;
  Instant OverloadedSince;
  Instant HostUntil;
  double HostSlowdown = 1;
  PaceLimit Pace;
  DispatchQueue Queue;
  std::uint64_t LastId = 0;
  std::map<std::uint64_t, Instant> Arrivals; ///< Of waiting calls, by id.
  std::multimap<Instant, RunningCall> Ends;
  ModelOutcome Result;
};

} // namespace

ModelOutcome simulateServer(const ModelSetup &Setup, bool Fixed,
                            std::uint32_t Seed) {
  return ServerModel(Setup, Fixed, Seed).simulate();
}

} // namespace pollenwick
