#ifndef POLLENWICK_AGENT_INGRESS_H
#define POLLENWICK_AGENT_INGRESS_H

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "agent/Backend.h"
#include "agent/CallerListener.h"
#include "agent/FleetState.h"
#include "agent/Metrics.h"
#include "agent/PeerLinks.h"
#include "agent/ServiceRegistry.h"
#include "agent/Settings.h"
#include "agent/TrafficTotals.h"
#include "core/attempts/Attempts.h"
#include "core/drain/StopPlan.h"

namespace pollenwick::agent {

/// A call that was sent to a server and has no result yet.
struct SentCall {
  std::uint32_t Attempt = 0; ///< Number of the placement, from 1.
  bool CrossZone = false;    ///< The server is in another availability zone.
  std::string ServerId;
  std::string PeerIp;       ///< Node of the server; empty for the local server.
  std::uint64_t Number = 0; ///< Assigned by the backend or the peer links.
};

/// Handles the requests of callers and of the local backend server. It admits
/// each request, places it on a server, retries it if necessary and sends
/// exactly one final answer.
class Ingress : public CallerEventHandler {
public:
  Ingress(EventLoop &Loop, const PlatformAdapter &Protocol,
          const Settings &Options, LogWriter &Log, Metrics &Counters,
          ServiceRegistry &ServerDirectory, FleetState &Fleet, Backend &Local,
          PeerLinks &Peers, std::uint64_t Seed);

  void onRequest(const std::shared_ptr<CallerConnection> &From,
                 CallerRequest &&Request) override;
  bool mayOverlap(const CallerRequest &Request) const override;
  std::string requestId(const HeaderFields &Headers) const override;
  void onUnfinishedRequest(const HeaderFields &Headers) override;
  void onMemoryRefusal(int Status, std::string_view Cause) override;
  void onCallerDisconnected(CallerRequestNumber Number) override;
  /// Begins a planned stop: takes only requests that can end before the stop's
  /// call deadline, and passes none on with more time than that.
  void beginStop(const StopPlan &Plan) { Stop = Plan; }
  /// Gives up what has not begun, here and at peers.
  void recallWaiting();
  /// Sends a final answer to all requests that have none.
  void answerRemaining();
  /// Logs the totals of the bytes exchanged with servers of other availability
  /// zones, one line for each route that has changed.
  void logZoneTraffic();
  /// Returns the number of requests without a final answer.
  std::size_t pendingCount() const { return Exchanges.size(); }
  /// Counts of the requests that have ended, for the log.
  TrafficTotals &totals() { return Totals; }

private:
  /// State of one request from its arrival to its answer.
  struct Exchange {
    std::shared_ptr<CallerConnection> Caller;
    std::shared_ptr<const RouteTable> Rules; ///< Owns what `Route` points to.
    const RouteRule *Route = nullptr;
    ServiceId Service;
    CallRequest Request; ///< `ServerId` is empty here and set for each attempt.
    std::string Customer;      ///< Empty when no customer was identified.
    int CustomerPriority = -1; ///< Negative when no customer was identified.
    MemoryCharge HeaderCharge; ///< Of `Request.Headers`.
    Instant ReceivedAt;
    Instant AdmittedAt;
    std::optional<Instant> FirstSentAt; ///< Unset until sent to a server.
    Instant Deadline;
    TimerId DeadlineTimer = 0;
    TimerId PlacementTimer = 0;
    std::set<std::string> TriedServers;
    AttemptHistory AttemptsSoFar;
    /// True when the fleet's retry budget denied a retry of this request.
    bool RetryBudgetExhausted = false;
    std::optional<SentCall> CurrentCall;
    /// Earlier calls whose nodes were silent. One of them may still be answered
    /// before the current one.
    std::vector<SentCall> SilentCalls;
    std::string LastCause;
    std::string LastServerId; ///< Server of the latest attempt, for the log.
    /// Age that the load report of the chosen server had at the latest attempt.
    Duration LoadReportAge{};
  };

  /// An exchange has the number of its request.
  using ExchangeNumber = CallerRequestNumber;

  /// Answer of the agent itself to a request that no server answers.
  struct Refusal {
    int Status = 0;
    std::string_view Reason;
    Duration RetryAfter{}; ///< Zero when no `Retry-After` header is sent.
  };
  /// Routes the request and decides on admission before a server is chosen.
  /// Returns false and fills `Details` when the request is refused.
  bool admit(Exchange &Item, const CallerRequest &Request, Refusal &Details);
  /// Returns whether a planned stop leaves the time that requests of this route
  /// usually take.
  bool mayEndBeforeStop(const RouteRule &Route) const;
  bool admitCustomer(Exchange &Item, const CallerRequest &Request,
                     Refusal &Details);
  void buildCall(Exchange &Item, CallerRequest &&Request);
  void place(ExchangeNumber Id);
  void send(ExchangeNumber Id, KnownServer &Server);
  void onCallResult(ExchangeNumber Id, std::uint32_t Attempt,
                    CallResult &&Result);
  /// Handles the result of a call whose node was silent.
  void onSilentCallResult(ExchangeNumber Id, const CallResult &Result);
  /// Sends a repeatable request to another server as well, if there is one.
  void onNodeSilent(ExchangeNumber Id, std::uint32_t Attempt);
  AttemptLimits attemptLimits(const Exchange &Item) const;
  void updateServerLoad(const std::string &ServerId, const CallResult &Result);
  bool consumeRetryBudget(Exchange &Item);
  /// Refuses the request, unless a call that was sent before may still be
  /// answered.
  void giveUp(ExchangeNumber Id);
  void onDeadline(ExchangeNumber Id);
  void deliver(ExchangeNumber Id, const CallResult &Result);
  void refuse(ExchangeNumber Id, const Refusal &Details);
  void cancel(const SentCall &Call);
  void removeExchange(ExchangeNumber Id);
  void logOutcome(const Exchange &Item, int Status, std::string_view Reason,
                  Duration RetryAfter = {});
  /// Returns where a request without an answer of a server ended.
  static std::string_view refusalHop(const Exchange &Item);
  void countOutcome(const Exchange &Item, std::string_view Hop,
                    std::string_view Reason);
  std::vector<KnownServer *> usableServers(const Exchange &Item);
  Duration addJitter(Duration Base);
  /// Returns the time after which the caller of a request that has a route and
  /// has not run should try again.
  Duration retryAfterRefusal(const Exchange &Item);

  EventLoop &Loop;
  const PlatformAdapter &Protocol;
  const Settings &Options;
  LogWriter &Log;
  Metrics &Counters;
  ServiceRegistry &ServerDirectory;
  FleetState &Fleet;
  Backend &LocalBackend;
  PeerLinks &Peers;
  std::vector<std::string> StrippedHeaders;
  std::minstd_rand Random;
  WeightedRoundRobin Split;
  TrafficTotals Totals;
  /// Moving average of the answer size in bytes, by route.
  std::map<std::string, double> MeanResponseBytes;
  /// Moving average of the time from admission to answer in microseconds, by
  /// route.
  std::map<std::string, double> MeanAnswerMicros;
  /// Calls of one route that were sent to servers, since the start.
  struct RouteTraffic {
    std::uint64_t Calls = 0;
    std::uint64_t CrossZoneCalls = 0;
    std::uint64_t CrossZoneBytes = 0; ///< Of requests and answers.
    std::uint64_t LoggedCalls = 0;    ///< `Calls` in the last logged line.
  };
  std::map<std::string, RouteTraffic> TrafficByRoute;
  std::optional<StopPlan> Stop; ///< Unset unless this process is stopping.
  absl::flat_hash_map<ExchangeNumber, std::unique_ptr<Exchange>> Exchanges;
};

} // namespace pollenwick::agent

#endif
