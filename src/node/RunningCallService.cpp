#include "node/RunningCallService.h"

#include <openssl/rand.h>

#include "peer/Clock.h"

namespace pollenwick {
namespace {

/// Returns a random handle, or the zero handle when RAND_bytes fails.
CallHandle randomHandle() {
  CallHandle Handle;
  // When RAND_bytes fails, handles could be guessed, so the call must not run.
  // begin() refuses the call when the handle is zero.
  if (RAND_bytes(Handle.Bytes.data(), static_cast<int>(Handle.Bytes.size())) !=
      1)
    return {};
  return Handle;
}

} // namespace

std::variant<CallHandle, Refusal>
RunningCallService::begin(const CallRequest &Call) {
  const CallHandle Handle = randomHandle();
  if (Handle == CallHandle{}) {
    Refusal Out;
    Out.Reason = RefusalReason::QueueFull;
    Out.Message = "no randomness for a call handle; send again later";
    return Out;
  }
  std::scoped_lock Lock(Mutex);
  if (auto Refused =
          beginCall(Running, Handle,
                    {Call.Customer, Call.Route, Call.Class, Call.Root,
                     Call.Deadline, RetryAllowance{Call.Allowance}}))
    return *Refused;
  InheritedContexts[Handle] = {Call.Caller, Call.Hash,   Call.AdmittedAt,
                               Call.Key,    Call.HasKey, Duration::zero()};
  return Handle;
}

FinishedRun RunningCallService::finish(const CallHandle &Handle) {
  std::scoped_lock Lock(Mutex);
  FinishedRun Out;
  Out.UnusedAllowance = finishCall(Running, Handle).value_or(0);
  if (const auto It = InheritedContexts.find(Handle);
      It != InheritedContexts.end()) {
    Out.SubCallTime = It->second.SubCallTime;
    InheritedContexts.erase(It);
  }
  return Out;
}

std::variant<GrantedSubCall, Refusal>
RunningCallService::beginSub(const ActiveBundle &Bundle,
                             const CallHandle &Parent, const RouteId &Route) {
  std::scoped_lock Lock(Mutex);
  auto Result =
      beginSubCall(Running, Bundle.Routes, Ratios, Parent, Route, now());
  if (auto *Refused = std::get_if<Refusal>(&Result))
    return *Refused;
  const InheritedContext &From = InheritedContexts.at(Parent);
  return GrantedSubCall{Parent,          std::get<SubCall>(std::move(Result)),
                        From.RootCaller, From.Hash,
                        From.AdmittedAt, From.Key,
                        From.HasKey};
}

void RunningCallService::finishSub(const GrantedSubCall &Sub,
                                   const CallReply &Reply, Duration Took) {
  std::scoped_lock Lock(Mutex);
  finishSubCall(Running, Sub.Parent, Sub.Grant.Number, Reply.Result,
                Reply.UnusedAllowance);
  if (const auto It = InheritedContexts.find(Sub.Parent);
      It != InheritedContexts.end())
    It->second.SubCallTime += Took;
}

void RunningCallService::countFirstAttempt(const ServiceId &Service,
                                           std::uint32_t RatioPermille) {
  std::scoped_lock Lock(Mutex);
  recordFirstAttempt(Ratios, Service, RatioPermille, now());
}

RetryDecision
RunningCallService::decideRetry(RetryAllowance &RemainingAllowance,
                                const FailedAttempt &Attempt) {
  std::scoped_lock Lock(Mutex);
  return consumeRetry(RemainingAllowance, Ratios, Attempt, now());
}

std::size_t RunningCallService::size() const {
  std::scoped_lock Lock(Mutex);
  return Running.Calls.size();
}

} // namespace pollenwick
