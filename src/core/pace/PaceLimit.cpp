#include "core/pace/PaceLimit.h"

#include <algorithm>

namespace pollenwick {
namespace {

/// Share of the maximum with which a slow start begins: enough calls at once to
/// measure the server, and few enough for one that serves a quarter of its
/// usual load.
constexpr double SlowStartShare = 0.25;
/// Least limit, so that every server is tried.
constexpr double MinLimit = 2;
/// Growth for each round of a slow start, with and without enough load to
/// measure the effect.
constexpr double SlowStartGrowth = 1.5;
constexpr double UnmeasuredGrowth = 1.25;
/// Interval of `UnmeasuredGrowth` while few calls end. A server with no load
/// returns to its maximum in about 7 s, longer than most servers are cold.
constexpr Duration IdleGrowthInterval = std::chrono::seconds(1);
/// Time without growth after a larger limit lost throughput or calls were
/// rejected.
/// Cold servers warm up within seconds, so it is tried again soon.
constexpr Duration GrowthHold = std::chrono::milliseconds(500);
/// Calls of a slow start round, if the limit is not larger. The mean of fewer
/// varies by a fifth or more.
constexpr std::uint32_t SlowStartCalls = 16;
/// Growth of a lowered limit for each round without a sign of overload.
constexpr double SteadyGrowth = 1.1;

/// Calls of a measurement in the steady phase and in a trial; the mean over 100
/// calls varies by about a twentieth.
constexpr std::uint32_t MeasuredCalls = 100;
/// Longest measurement, and the least number of calls it needs. It bounds the
/// time for which a trial can hold back a server.
constexpr Duration MaxMeasuringTime = std::chrono::seconds(2);
constexpr std::uint32_t MinMeasuredCalls = 30;
/// Limit during a trial / limit before. It must differ from 1 by more than the
/// variation of the mean.
constexpr double TrialFactor = 0.75;
/// Least throughput at a lower limit / throughput before at which the lower
/// limit is kept.
constexpr double KeptThroughput = 0.95;
/// Pause after a trial that lost throughput. It doubles up to the maximum. A
/// trial of 2 s at three quarters of the slots costs 3% of the slot time with
/// the first pause.
constexpr Duration FirstTrialPause = std::chrono::seconds(15);
constexpr Duration MaxTrialPause = std::chrono::seconds(120);

/// Time of calls / usual time of their routes above which a full server may be
/// overloaded. Below it, the variation of the work explains the time.
constexpr double OverloadSlowness = 1.5;
/// Measurements in a row that indicate overload before a trial. A single one
/// also occurs on a warm server whose host varies in speed.
constexpr std::uint32_t OverloadRounds = 2;
/// Mean share of the limit in use from which times tell the effect of the
/// limit.
constexpr double SaturatedShare = 0.95;
/// Share in use from which rejections and reports count as overload.
/// Placement sends calls elsewhere above it.
constexpr double LoadedShare = 0.7;
/// Least share of rejected calls that counts as overload.
constexpr double RejectedShare = 0.05;
/// Least share of reports of a full server that counts as overload.
constexpr double FullReportShare = 0.5;

/// Share in use up to which slot times count as usual ones. Above it, servers
/// slow down.
constexpr double UsualTimeShare = 0.7;
/// Calls after which the usual time of a route is known: this number, and this
/// multiple of the calls that run. The first calls that end are the shortest of
/// those that began; the mean over 20 of 30 running ones was so low that warm
/// servers under full load looked slow.
constexpr std::uint32_t KnownRouteCalls = 20;
constexpr std::uint32_t KnownRouteRounds = 3;
/// Least time over which these calls end. The speed of a host changes many
/// times a second, and a shorter time may hold only fast or slow parts.
constexpr Duration KnownRouteTime = std::chrono::seconds(1);
/// Least weight of one call in the usual time of a known route. Fewer than 200
/// calls may fall into one slow time of the host.
constexpr double MinUsualTimeWeight = 0.005;
/// Routes whose usual time is kept; a configuration has fewer.
constexpr std::size_t MaxRoutes = 1000;
/// Range of the slowness of one call, so that a single one cannot decide.
constexpr double MaxCallSlowness = 20;

void startRound(PaceLimit &Pace, Instant Now, bool Settle) {
  Pace.Measured = {};
  Pace.Measured.StartedAt = Now;
  Pace.SettlingCalls = Settle ? currentPace(Pace) : 0;
}

void setLimit(PaceLimit &Pace, double Limit) {
  const double Max = Pace.MaxLimit;
  Pace.Limit = std::clamp(Limit, std::min(MinLimit, Max), Max);
}

double meanRunning(const PaceLimit::Round &Round) {
  return Round.Calls > 0 ? Round.RunningSum / Round.Calls : 0;
}

double meanSlowness(const PaceLimit::Round &Round) {
  return Round.Run > 0 ? Round.SlownessSum / Round.Run : 0;
}

/// Returns the work that the server finishes at once, in slots at usual speed:
/// by Little's law, the calls that run / the time that they take. Calls that
/// did not succeed used their slots for nothing.
double throughput(const PaceLimit::Round &Round) {
  return Round.SlownessSum > 0
             ? meanRunning(Round) * Round.Succeeded / Round.SlownessSum
             : 0;
}

bool indicatesOverload(const PaceLimit &Pace) {
  const PaceLimit::Round &Round = Pace.Measured;
  const double Running = meanRunning(Round);
  if (Round.RejectedAtLoad >= RejectedShare * Round.Calls &&
      Round.RejectedAtLoad > 0)
    return true;
  if (Running >= LoadedShare * Pace.Limit && Round.Reports > 0 &&
      Round.FullReports >= FullReportShare * Round.Reports)
    return true;
  return Running >= SaturatedShare * currentPace(Pace) &&
         meanSlowness(Round) > OverloadSlowness;
}

/// Returns the slot time / the usual time of the route, without the part that
/// the host explains, and learns the usual time.
double callSlowness(PaceLimit &Pace, const PaceSample &Sample, Instant Now) {
  const auto Micros =
      static_cast<double>(std::max<std::int64_t>(1, Sample.SlotTime.count())) /
      (Sample.HostSlowdown > 0 ? Sample.HostSlowdown : 1);
  const bool Learns = Sample.End == CallEnd::Succeeded;
  if (!Pace.RouteTimes.contains(Sample.Route) &&
      (!Learns || Pace.RouteTimes.size() >= MaxRoutes))
    return 1;
  PaceLimit::RouteTime &Usual = Pace.RouteTimes[Sample.Route];
  if (Usual.Samples == 0)
    Usual.FirstAt = Now;
  // A slow start only compares its rounds with each other.
  const bool Enough =
      Pace.Current == PaceLimit::Phase::SlowStart
          ? Usual.Samples >= SlowStartCalls
          : Usual.Samples >= std::max(KnownRouteCalls,
                                      KnownRouteRounds * Sample.Running) &&
                Now - Usual.FirstAt >= KnownRouteTime;
  const bool Known = Usual.Known || Enough;
  Usual.Known = Known;
  const double Slowness = Known ? Micros / Usual.Mean : 1;
  const bool ModerateLoad = Pace.Current == PaceLimit::Phase::Steady &&
                            Sample.Running <= UsualTimeShare * Pace.MaxLimit;
  if (Learns && (!Known || ModerateLoad)) {
    ++Usual.Samples;
    Usual.Mean += (Micros - Usual.Mean) *
                  std::max(1.0 / Usual.Samples, MinUsualTimeWeight);
  }
  return std::min(Slowness, MaxCallSlowness);
}

void endSlowStartRound(PaceLimit &Pace, Instant Now) {
  const double Throughput = throughput(Pace.Measured);
  const double Running = meanRunning(Pace.Measured);
  const bool Loaded = Running >= LoadedShare * Pace.Limit;
  const bool Saturated = Running >= SaturatedShare * currentPace(Pace);
  const bool Rejects =
      Pace.Measured.RejectedAtLoad > 0 &&
      Pace.Measured.RejectedAtLoad >= RejectedShare * Pace.Measured.Calls;
  if (Rejects) {
    setLimit(Pace, Pace.Limit * TrialFactor);
    Pace.PreviousThroughput = 0;
    Pace.HoldUntil = Now + GrowthHold;
  } else if (Now >= Pace.HoldUntil) {
    const bool Lost = Saturated && Pace.PreviousThroughput > 0 &&
                      Pace.Limit > Pace.PreviousLimit &&
                      Throughput < KeptThroughput * Pace.PreviousThroughput;
    if (Lost) {
      setLimit(Pace, Pace.PreviousLimit);
      Pace.PreviousThroughput = 0;
      Pace.HoldUntil = Now + GrowthHold;
    } else {
      Pace.PreviousLimit = Pace.Limit;
      Pace.PreviousThroughput = Saturated ? Throughput : 0;
      setLimit(Pace,
               Pace.Limit * (Loaded ? SlowStartGrowth : UnmeasuredGrowth));
    }
  }
  if (Pace.Limit >= Pace.MaxLimit)
    Pace.Current = PaceLimit::Phase::Steady;
  startRound(Pace, Now, true);
}

void endSteadyRound(PaceLimit &Pace, Instant Now) {
  if (Pace.Measured.Calls < MinMeasuredCalls || !indicatesOverload(Pace)) {
    Pace.OverloadedRounds = 0;
    setLimit(Pace, Pace.Limit * SteadyGrowth);
    startRound(Pace, Now, false);
    return;
  }
  if (++Pace.OverloadedRounds < OverloadRounds || Now < Pace.HoldUntil ||
      Pace.Limit <= MinLimit) {
    startRound(Pace, Now, false);
    return;
  }
  Pace.PreviousLimit = Pace.Limit;
  Pace.PreviousThroughput = throughput(Pace.Measured);
  Pace.Current = PaceLimit::Phase::Trial;
  setLimit(Pace, Pace.Limit * TrialFactor);
  startRound(Pace, Now, true);
}

void endTrial(PaceLimit &Pace, Instant Now) {
  Pace.Current = PaceLimit::Phase::Steady;
  const bool Kept =
      Pace.Measured.Calls >= MinMeasuredCalls &&
      throughput(Pace.Measured) >= KeptThroughput * Pace.PreviousThroughput;
  if (Kept) {
    Pace.TrialPause = Duration{};
  } else {
    Pace.OverloadedRounds = 0;
    setLimit(Pace, Pace.PreviousLimit);
    Pace.TrialPause =
        std::clamp(Pace.TrialPause * 2, FirstTrialPause, MaxTrialPause);
    Pace.HoldUntil = Now + Pace.TrialPause;
  }
  startRound(Pace, Now, true);
}

void endRound(PaceLimit &Pace, Instant Now) {
  switch (Pace.Current) {
  case PaceLimit::Phase::SlowStart:
    endSlowStartRound(Pace, Now);
    return;
  case PaceLimit::Phase::Steady:
    endSteadyRound(Pace, Now);
    return;
  case PaceLimit::Phase::Trial:
    endTrial(Pace, Now);
    return;
  }
}

} // namespace

void setMaxLimit(PaceLimit &Pace, std::uint32_t MaxLimit) {
  const bool AtMax = Pace.Limit >= Pace.MaxLimit;
  Pace.MaxLimit = std::max<std::uint32_t>(1, MaxLimit);
  setLimit(Pace, AtMax ? Pace.MaxLimit : Pace.Limit);
}

void beginSlowStart(PaceLimit &Pace, Instant Now) {
  setLimit(Pace, Pace.MaxLimit * SlowStartShare);
  Pace.Current = Pace.Limit < Pace.MaxLimit ? PaceLimit::Phase::SlowStart
                                            : PaceLimit::Phase::Steady;
  Pace.PreviousLimit = 0;
  Pace.PreviousThroughput = 0;
  Pace.HoldUntil = Now;
  Pace.TrialPause = Duration{};
  startRound(Pace, Now, false);
}

void recordCall(PaceLimit &Pace, const PaceSample &Sample, Instant Now) {
  if (Pace.SettlingCalls > 0) {
    if (--Pace.SettlingCalls == 0)
      startRound(Pace, Now, false);
    return;
  }
  PaceLimit::Round &Round = Pace.Measured;
  if (Round.Calls == 0)
    Round.StartedAt = Now;
  ++Round.Calls;
  Round.RunningSum += Sample.Running;
  Round.Reports += Sample.HasReport ? 1 : 0;
  Round.FullReports += Sample.ReportsFull ? 1 : 0;
  // A server that reports free slots rejects calls for another reason.
  if (Sample.End == CallEnd::Rejected &&
      (Sample.HasReport ? Sample.ReportsFull
                        : Sample.Running >= LoadedShare * Pace.Limit))
    ++Round.RejectedAtLoad;
  if (Sample.End != CallEnd::Rejected) {
    ++Round.Run;
    Round.Succeeded += Sample.End == CallEnd::Succeeded ? 1 : 0;
    Round.SlownessSum += callSlowness(Pace, Sample, Now);
  }
  const std::uint32_t Needed = Pace.Current == PaceLimit::Phase::SlowStart
                                   ? std::max(SlowStartCalls, currentPace(Pace))
                                   : MeasuredCalls;
  if (Round.Calls >= Needed)
    endRound(Pace, Now);
}

void updateIdlePace(PaceLimit &Pace, std::uint32_t Running, Instant Now) {
  const bool Idle = Pace.Current == PaceLimit::Phase::SlowStart &&
                    Running < LoadedShare * Pace.Limit;
  if ((Pace.Limit < Pace.MaxLimit || Pace.Measured.Calls > 0) &&
      Now - Pace.Measured.StartedAt >=
          (Idle ? IdleGrowthInterval : MaxMeasuringTime))
    endRound(Pace, Now);
}

std::uint32_t currentPace(const PaceLimit &Pace) {
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(Pace.Limit), 1,
                                   Pace.MaxLimit);
}

} // namespace pollenwick
