#include "Caller.h"

#include <algorithm>
#include <array>

namespace pollenwick::tools {
namespace {

constexpr int StatusOk = 200;
constexpr int StatusTicketNeeded = 428;
// After its own target refused connections, a caller tries it again this late.
constexpr std::chrono::seconds HomeRetry{2};
// A request that found no free connection for so long is skipped: the run ends
// soon after its plan even when nothing is answered.
constexpr std::chrono::seconds MaxLate{3};

bool retryUseful(const Ending &End) {
  static constexpr std::array Statuses{0, 409, 428, 429, 502, 503, 504};
  return std::ranges::find(Statuses, End.Status) != Statuses.end() &&
         End.Reason != "issuer-gone";
}

} // namespace

Caller::Caller(const CallerSettings &Settings, std::size_t Index,
               JobQueue &Jobs, Report &Results)
    : Settings(Settings), Jobs(Jobs), Results(Results), Wire(Settings.Timeout),
      Random(Index), Home(Index % Settings.Targets.size()), Current(Home) {}

void Caller::run() {
  while (std::optional<Job> Next = Jobs.take())
    attempt(std::move(*Next));
}

void Caller::attempt(Job Now) {
  const std::string Id = Settings.IdPrefix + std::to_string(Now.Origin.Number);
  const Clock::duration Late = Clock::now() - Now.Due;
  if (Now.Attempts == 0) {
    Results.addStartDelay(
        std::chrono::duration_cast<std::chrono::microseconds>(Late));
    if (Late > MaxLate) {
      Ending Skipped;
      Skipped.Outcome = "not-run";
      Skipped.Reason = "generator-late";
      Results.add(Now, Id, Skipped);
      return Jobs.finish();
    }
  }
  Ending End = judge(Now, sendWithTicket(Now, Id));
  const bool Again = !End.Answered && !End.Wrong && End.Outcome != "done" &&
                     retryUseful(End) &&
                     Now.RetriesUsed < Now.Origin.Load->Retries;
  if (Again) {
    ++Now.RetriesUsed;
    Now.Due = Clock::now() + Now.Origin.Load->RetryDelay;
    return Jobs.retry(std::move(Now));
  }
  // An earlier attempt may have run, whatever the last answer says.
  if (Now.MayHaveRun && End.Outcome == "not-run")
    End.Outcome = "unknown";
  Results.add(Now, Id, End);
  Jobs.finish();
}

Answer Caller::sendWithTicket(Job &Now, const std::string &Id) {
  Message Out{Now.Origin.Spec, Id, Now.Origin.Load->Key, Now.Ticket};
  Answer Got = deliver(Now, Out);
  if (!Now.Origin.Spec->NonIdempotent || !Now.Ticket.empty())
    return Got;
  if (Got.How == Delivery::Answered && Got.Status == StatusOk)
    Results.addViolation("non-idempotent request ran without a ticket");
  if (Got.How == Delivery::Answered && Got.Status == StatusTicketNeeded &&
      !Got.Ticket.empty()) {
    Now.Ticket = Out.Ticket = Got.Ticket;
    if (std::uniform_real_distribution<>(0, 1)(Random) <
        Settings.TicketElsewhere)
      moveOn();
    return deliver(Now, Out);
  }
  if (Got.How == Delivery::Lost) {
    // Without a ticket the request cannot have run.
    ++Now.ConnectionsLost;
    Got.How = Delivery::NotSent;
  }
  return Got;
}

Answer Caller::deliver(Job &Now, const Message &Out) {
  Answer Got;
  for (std::size_t Try = 0; Try < Settings.Targets.size(); ++Try) {
    ++Now.Attempts;
    Got = Wire.send(Settings.Targets[currentTarget()], Out);
    if (Got.How == Delivery::Answered)
      return Got;
    moveOn();
    if (Got.How == Delivery::Lost)
      return Got;
  }
  return Got;
}

Ending Caller::judge(Job &Now, const Answer &Got) {
  Ending End;
  End.Latency = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - Now.Arrived);
  End.Status = Got.Status;
  switch (Got.How) {
  case Delivery::NotSent:
    End.Outcome = "not-run";
    End.Reason = "connection-refused";
    return End;
  case Delivery::Lost:
    ++Now.ConnectionsLost;
    Now.MayHaveRun = true;
    End.Outcome = "unknown";
    End.Reason = Got.HeaderSeen ? "truncated-answer" : "connection-lost";
    End.Status = 0;
    return End;
  case Delivery::Answered:
    break;
  }
  End.Outcome = Got.Outcome;
  End.Reason = Got.Reason;
  if (Got.Outcome != "done" && Got.Outcome != "not-run" &&
      Got.Outcome != "unknown") {
    Results.addViolation("answer without an outcome");
    End.Outcome = "unknown";
  }
  if (End.Outcome == "unknown")
    Now.MayHaveRun = true;
  // A refused use spends its ticket; the refusal may carry another one.
  if (End.Outcome == "not-run")
    Now.Ticket = Got.Ticket;
  End.Answered =
      End.Outcome == "done" && End.Status == StatusOk && Got.BodyRight;
  End.Wrong = End.Status == StatusOk && !Got.BodyRight;
  return End;
}

std::size_t Caller::currentTarget() {
  if (Current != Home && Clock::now() - LeftHome > HomeRetry)
    Current = Home;
  return Current;
}

void Caller::moveOn() {
  if (Current == Home)
    LeftHome = Clock::now();
  const std::size_t Count = Settings.Targets.size();
  if (Count > 1)
    Current = (Current + std::uniform_int_distribution<std::size_t>(
                             1, Count - 1)(Random)) %
              Count;
}

} // namespace pollenwick::tools
