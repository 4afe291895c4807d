#include "agent/ServerPace.h"

#include <algorithm>
#include <cmath>

#include "agent/HttpMessage.h"
#include "core/dispatch/DispatchQueue.h"

namespace pollenwick::agent {
namespace {

constexpr int GatewayTimeoutStatus = 504;
/// Change of the limit that is logged, as a share of the logged one.
constexpr double LoggedChange = 0.1;
constexpr Duration MinLogInterval = std::chrono::seconds(1);
/// Interval of the lines about ignored reports. A faulty server may send one
/// with each answer.
constexpr Duration IgnoredLogInterval = std::chrono::seconds(10);

CallEnd callEndOf(const CallResult &Result) {
  if (Result.Outcome == CallOutcome::NotRun)
    return CallEnd::Rejected;
  if (Result.Status == GatewayTimeoutStatus || Result.Cause == "server-silent")
    return CallEnd::Abandoned;
  return Result.Outcome == CallOutcome::Complete &&
                 !isServerError(Result.Status)
             ? CallEnd::Succeeded
             : CallEnd::Failed;
}

} // namespace

void ServerPace::setServer(const ServerEntry &Entry, Instant Now) {
  setMaxLimit(Limit, concurrencyLimit(Entry.Slots));
  // An entry that was removed for a while, as in an outage of the store, has
  // the same id and start.
  const bool Restarted =
      Last &&
      (Last->Id != Entry.Id || Last->StartedAtUnixMs != Entry.StartedAtUnixMs);
  const Duration Remaining = Entry.ColdRemaining.value_or(Duration{});
  const bool BecameCold =
      Remaining.count() > 0 &&
      (!Last || Remaining > Last->ColdRemaining.value_or(Duration{}));
  Last = Entry;
  if (BecameCold)
    startSlowly("cold", Now);
  else if (Restarted)
    startSlowly("restarted", Now);
}

void ServerPace::onRecovered(Instant Now) { startSlowly("recovered", Now); }

void ServerPace::startSlowly(std::string_view NewCause, Instant Now) {
  beginSlowStart(Limit, Now);
  Cause = NewCause;
}

void ServerPace::onCallEnded(const CallRequest &Request,
                             const CallResult &Result, Duration SlotTime,
                             std::uint32_t Running, Instant Now) {
  const ServerReport Report = usableReport(Result.Report, Running);
  if (Report.Slowdown > 0)
    recordSlowdown(Host, Report.Slowdown, Now);
  // Such a call says nothing of the server's load: it was not sent, or the
  // server has drained or been replaced.
  constexpr int MisdirectedStatus = 421;
  if (!Result.ReachedServer || Result.Status == MisdirectedStatus)
    return;
  PaceSample Sample;
  Sample.Route = Request.Route;
  Sample.SlotTime = SlotTime;
  Sample.Running = Running;
  Sample.End = callEndOf(Result);
  Sample.HostSlowdown = Report.Slowdown;
  Sample.HasReport = Report.Quality == ServerReport::Kind::Valid;
  Sample.ReportsFull = reportsFull(Report);
  recordCall(Limit, Sample, Now);
}

void ServerPace::onCallCancelled(const CallRequest &Request, Duration SlotTime,
                                 std::uint32_t Running, Instant Now) {
  PaceSample Sample;
  Sample.Route = Request.Route;
  Sample.SlotTime = SlotTime;
  Sample.Running = Running;
  Sample.End = CallEnd::Abandoned;
  recordCall(Limit, Sample, Now);
}

ServerReport ServerPace::usableReport(ServerReport Report,
                                      std::uint32_t Running) {
  checkServerReport(Report, Running);
  switch (Report.Quality) {
  case ServerReport::Kind::Absent:
  case ServerReport::Kind::Valid:
    return Report;
  case ServerReport::Kind::Unreadable:
    ++Ignored.Unreadable;
    break;
  case ServerReport::Kind::Contradictory:
    ++Ignored.Contradictory;
    break;
  }
  return {};
}

void ServerPace::logIgnoredReports(Instant Now) {
  const std::uint64_t Unreadable =
      Ignored.Unreadable - LoggedIgnored.Unreadable;
  const std::uint64_t Contradictory =
      Ignored.Contradictory - LoggedIgnored.Contradictory;
  if (Unreadable + Contradictory == 0 ||
      (IgnoredLoggedAt != Instant{} &&
       Now - IgnoredLoggedAt < IgnoredLogInterval))
    return;
  LoggedIgnored = Ignored;
  IgnoredLoggedAt = Now;
  Log.logStateChange(std::move(
      LogLine("server-reports-ignored", Now)
          .field("server", Last ? Last->Id.Text : "")
          .field("unreadable", static_cast<std::int64_t>(Unreadable))
          .field("contradictory", static_cast<std::int64_t>(Contradictory))));
}

void ServerPace::tick(std::uint32_t Running, Instant Now) {
  logIgnoredReports(Now);
  updateIdlePace(Limit, Running, Now);
  const double Logged = LoggedLimit > 0 ? LoggedLimit : Limit.MaxLimit;
  if (std::abs(limit() - Logged) <= LoggedChange * Logged ||
      Now - LoggedAt < MinLogInterval)
    return;
  LoggedLimit = limit();
  LoggedAt = Now;
  const bool Starting = Limit.Current == PaceLimit::Phase::SlowStart;
  Log.logStateChange(std::move(
      LogLine("server-pace", Now)
          .field("server", Last ? Last->Id.Text : "")
          .field("limit", static_cast<std::int64_t>(limit()))
          .field("max_limit", static_cast<std::int64_t>(Limit.MaxLimit))
          .field("cause", Starting                   ? Cause
                          : limit() < Limit.MaxLimit ? "overload"
                                                     : "at-maximum")));
}

} // namespace pollenwick::agent
