#ifndef POLLENWICK_AGENT_INGRESS_H
#define POLLENWICK_AGENT_INGRESS_H

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "agent/Backend.h"
#include "agent/CallerListener.h"
#include "agent/Directory.h"
#include "agent/FleetState.h"
#include "agent/Metrics.h"
#include "agent/PeerLinks.h"
#include "agent/Settings.h"
#include "core/attempts/Attempts.h"

namespace pollenwick::agent {

/// Takes requests of callers and of the local server, and sees each through to
/// its one final answer.
class Ingress : public CallerEventHandler {
public:
  Ingress(EventLoop &Loop, const Dialect &Protocol, const Settings &Options,
          LogWriter &Log, Metrics &Counters, Directory &ServerDirectory,
          FleetState &Fleet, Backend &Local, PeerLinks &Peers,
          std::uint64_t Seed);

  void onRequest(const std::shared_ptr<CallerConnection> &From,
                 CallerRequest &&Request) override;
  void onCallerDisconnected(CallerConnection &From) override;
  std::size_t pendingCount() const { return Exchanges.size(); }

private:
  /// One request on its way.
  struct Exchange {
    std::shared_ptr<CallerConnection> Caller;
    std::shared_ptr<const RouteTable> Rules; ///< Keeps `Route` alive.
    const RouteRule *Route = nullptr;
    ServiceId Service;
    CallRequest Request; ///< Without the server.
    std::string Customer;
    int CustomerPriority = -1; ///< Negative: none.
    Instant ReceivedAt;
    Instant Deadline;
    TimerId DeadlineTimer = 0;
    TimerId PlacementTimer = 0;
    std::set<std::string> TriedServers;
    Attempts AttemptsSoFar;
    bool RetryBudgetExhausted =
        false;                   ///< A repeat was denied by the fleet's budget.
    std::string CurrentServerId; ///< Where it is now.
    bool OnLocalServer = false;
    std::uint64_t LocalCallNumber = 0;
    std::string PeerIp;
    std::uint64_t PeerCallNumber = 0;
    std::string LastCause;
    std::string LastServerId; ///< For the log: where it was sent last.
    Duration LoadReportAge{}; ///< Age of the load report that chose it.
  };

  using ExchangeNumber = std::uint64_t;

  struct Refusal {
    int Status = 0;
    std::string_view Reason;
    Duration RetryAfter{};
  };
  /// Everything that is decided before a server is chosen.
  bool admit(Exchange &Item, const CallerRequest &Request, Refusal &Details);
  bool admitCustomer(Exchange &Item, const CallerRequest &Request,
                     Refusal &Details);
  void buildCall(Exchange &Item, CallerRequest &&Request);
  void place(ExchangeNumber Id);
  void send(ExchangeNumber Id, KnownServer &Server);
  void onCallResult(ExchangeNumber Id, CallResult &&Result);
  void updateServerLoad(const Exchange &Item, const CallResult &Result);
  bool consumeRetryBudget(Exchange &Item);
  void giveUp(ExchangeNumber Id);
  void onDeadline(ExchangeNumber Id);
  void deliver(ExchangeNumber Id, const CallResult &Result);
  void refuse(ExchangeNumber Id, const Refusal &Details);
  void cancelCall(Exchange &Item);
  void removeExchange(ExchangeNumber Id);
  void logOutcome(const Exchange &Item, int Status, std::string_view Reason);
  std::vector<KnownServer *> usableServers(const Exchange &Item);
  Duration addJitter(Duration Base);

  EventLoop &Loop;
  const Dialect &Protocol;
  const Settings &Options;
  LogWriter &Log;
  Metrics &Counters;
  Directory &ServerDirectory;
  FleetState &Fleet;
  Backend &LocalBackend;
  PeerLinks &Peers;
  std::vector<std::string> StrippedHeaders;
  std::minstd_rand Random;
  ServiceSplit Split;
  std::map<std::string, double> MeanResponseBytes; ///< Mean, by route.
  ExchangeNumber LastExchange = 0;
  absl::flat_hash_map<ExchangeNumber, std::unique_ptr<Exchange>> Exchanges;
};

} // namespace pollenwick::agent

#endif
