#include "core/calls/RunningCalls.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"

namespace pollenwick {
namespace {

Refusal refuse(RefusalReason Reason, std::string Message) {
  return {Outcome::NotRun, Reason, std::nullopt, std::move(Message)};
}

EdgeUse &findOrAddEdgeUse(RunningCall &Call, std::uint32_t Edge) {
  const auto It = std::ranges::find(Call.EdgeUses, Edge, &EdgeUse::EdgeIndex);
  return It == Call.EdgeUses.end()
             ? Call.EdgeUses.emplace_back(EdgeUse{Edge, 0, 0})
             : *It;
}

} // namespace

std::string formatCallHandle(const CallHandle &Handle) {
  return absl::BytesToHexString(
      {reinterpret_cast<const char *>(Handle.Bytes.data()),
       Handle.Bytes.size()});
}

std::optional<CallHandle> parseCallHandle(std::string_view Text) {
  CallHandle Handle;
  if (Text.size() != 2 * Handle.Bytes.size() ||
      !std::ranges::all_of(Text, absl::ascii_isxdigit))
    return std::nullopt;
  std::ranges::copy(absl::HexStringToBytes({Text.data(), Text.size()}),
                    Handle.Bytes.begin());
  return Handle;
}

std::optional<Refusal> beginCall(RunningCalls &Running,
                                 const CallHandle &Handle,
                                 CallContext Context) {
  if (Running.Calls.size() >= Running.MaxCalls)
    return refuse(RefusalReason::QueueFull,
                  "the node records no more than " +
                      std::to_string(Running.MaxCalls) +
                      " running calls; retry later");
  RunningCall Call;
  Call.Context = std::move(Context);
  if (!Running.Calls.try_emplace(Handle, std::move(Call)).second)
    return refuse(RefusalReason::QueueFull,
                  "call handle is in use; retry with a new one");
  return std::nullopt;
}

std::variant<SubCall, Refusal> beginSubCall(RunningCalls &Running,
                                            const RouteLookup &Index,
                                            ServiceRetryBudgets &Ratios,
                                            const CallHandle &Parent,
                                            const RouteId &Route, Instant Now) {
  const auto It = Running.Calls.find(Parent);
  if (It == Running.Calls.end())
    return refuse(RefusalReason::BadRequest,
                  "Pollenwick-Call names no running call; send the value that "
                  "came with the request");
  RunningCall &Call = It->second;
  const CallContext &Context = Call.Context;
  if (Call.Cancelled)
    return refuse(RefusalReason::Cancelled,
                  "the calling request was cancelled; stop working on it");
  if (Now >= Context.Deadline)
    return refuse(RefusalReason::DeadlineExceeded,
                  "the deadline of the calling request has passed");
  const RouteEntry *Caller = findRoute(Index, Context.Route);
  const RouteEntry *Callee = findRoute(Index, Route);
  if (Caller == nullptr || Callee == nullptr)
    return refuse(RefusalReason::UnknownRoute,
                  "the bundle has no route " +
                      (Caller == nullptr ? Context.Route : Route).Text);
  const std::vector<EdgeSpec> &Declared = Caller->Spec->Calls;
  const auto Edge = std::ranges::find(Declared, Route, &EdgeSpec::Route);
  if (Edge == Declared.end())
    return refuse(RefusalReason::EdgeNotDeclared,
                  Context.Route.Text + " does not declare calls to " +
                      Route.Text + "; declare the edge in the bundle");
  if (Call.OpenSubCalls.size() >= Running.MaxOpenSubCalls)
    return refuse(RefusalReason::QueueFull,
                  "the call has too many open sub-calls; wait for answers");
  const auto Position = static_cast<std::uint32_t>(Edge - Declared.begin());
  EdgeUse &Use = findOrAddEdgeUse(Call, Position);
  const bool IsRetry = Use.PossibleExecutions >= Edge->Count;
  if (IsRetry && !Callee->Spec->Idempotent)
    return refuse(RefusalReason::RetriesExhausted,
                  Route.Text + " is not idempotent and was called " +
                      std::to_string(Use.PossibleExecutions) + " of " +
                      std::to_string(Edge->Count) + " times");
  const std::uint32_t Cost = IsRetry ? Callee->RetryCost : 0;
  if (Call.Context.Allowance.RemainingRetries < Cost)
    return refuse(RefusalReason::RetriesExhausted,
                  "the retry allowance of the request does not cover another "
                  "call of " +
                      Route.Text);
  const ServiceId &Service = Callee->Spec->Service;
  const bool IsRepeat = Use.Attempts >= Edge->Count;
  // A repeat after a "not run" reply replaces no execution but still loads the
  // service, so it consumes the service's retry budget too.
  if (IsRepeat && !takeRetry(Ratios, Service, Now))
    return refuse(RefusalReason::RetriesExhausted,
                  "the retry ratio of service " + Service.Text + " is used up");
  if (!IsRepeat)
    recordFirstAttempt(Ratios, Service, Index.Rules->Rules.RetryRatioPermille,
                       Now);
  ++Use.PossibleExecutions;
  ++Use.Attempts;
  Call.Context.Allowance.RemainingRetries -= Cost;
  SubCall Result;
  Result.Number = ++Call.LastSubCall;
  Result.Customer = Context.Customer;
  Result.Class = Context.Class;
  Result.Root = Context.Root;
  Result.Deadline = std::min(Context.Deadline, Now + Callee->Spec->Deadline);
  Result.Allowance = delegateRetries(Call.Context.Allowance);
  Result.IsRepeat = IsRepeat;
  Call.OpenSubCalls.push_back({Result.Number, Position, Result.Allowance});
  return Result;
}

void finishSubCall(RunningCalls &Running, const CallHandle &Parent,
                   std::uint32_t Number, Outcome Result,
                   std::uint32_t UnusedAllowance) {
  const auto It = Running.Calls.find(Parent);
  if (It == Running.Calls.end())
    return;
  RunningCall &Call = It->second;
  const auto Open =
      std::ranges::find(Call.OpenSubCalls, Number, &OpenSubCall::Number);
  if (Open == Call.OpenSubCalls.end())
    return;
  returnRetries(Call.Context.Allowance, Open->DelegatedAllowance,
                UnusedAllowance);
  if (Result == Outcome::NotRun)
    --findOrAddEdgeUse(Call, Open->EdgeIndex).PossibleExecutions;
  Call.OpenSubCalls.erase(Open);
}

std::vector<std::uint32_t> cancelCall(RunningCalls &Running,
                                      const CallHandle &Handle) {
  const auto It = Running.Calls.find(Handle);
  if (It == Running.Calls.end())
    return {};
  It->second.Cancelled = true;
  std::vector<std::uint32_t> Open;
  std::ranges::transform(It->second.OpenSubCalls, std::back_inserter(Open),
                         &OpenSubCall::Number);
  return Open;
}

std::vector<CallHandle> overdueCalls(const RunningCalls &Running, Instant Now) {
  std::vector<CallHandle> Overdue;
  for (const auto &[Handle, Call] : Running.Calls)
    if (!Call.Cancelled && Call.Context.Deadline <= Now)
      Overdue.push_back(Handle);
  std::ranges::sort(Overdue, {}, &CallHandle::Bytes);
  return Overdue;
}

std::optional<std::uint32_t> finishCall(RunningCalls &Running,
                                        const CallHandle &Handle) {
  const auto It = Running.Calls.find(Handle);
  if (It == Running.Calls.end())
    return std::nullopt;
  const std::uint32_t UnusedAllowance =
      It->second.Context.Allowance.RemainingRetries;
  Running.Calls.erase(It);
  return UnusedAllowance;
}

std::size_t memoryOf(const RunningCalls &Running) {
  using Slot = std::pair<const CallHandle, RunningCall>;
  std::size_t Bytes = Running.Calls.capacity() * (sizeof(Slot) + 1);
  for (const auto &[Handle, Call] : Running.Calls)
    Bytes += Call.EdgeUses.capacity() * sizeof(EdgeUse) +
             Call.OpenSubCalls.capacity() * sizeof(OpenSubCall);
  return Bytes;
}

} // namespace pollenwick
