#ifndef POLLENWICK_AGENT_INGRESS_H
#define POLLENWICK_AGENT_INGRESS_H

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "agent/Backend.h"
#include "agent/CallerPort.h"
#include "agent/FleetState.h"
#include "agent/Metrics.h"
#include "agent/PeerLinks.h"
#include "agent/ServiceRegistry.h"
#include "agent/Settings.h"
#include "core/attempts/Attempts.h"

namespace pollenwick::agent {

/// Takes requests of callers and of the local server, and sees each through to
/// its one final answer.
class Ingress : public CallerEvents {
public:
  Ingress(EventLoop &Loop, const PlatformAdapter &Words,
          const Settings &Options, LogWriter &Log, Metrics &Counters,
          ServiceRegistry &Hosts, FleetState &Fleet, Backend &Local,
          PeerLinks &Peers, std::uint64_t Seed);

  void onRequest(const std::shared_ptr<CallerConnection> &From,
                 CallerRequest &&Request) override;
  void onCallerLeft(CallerConnection &From) override;
  std::size_t pending() const { return Exchanges.size(); }

private:
  /// One request on its way.
  struct Exchange {
    std::shared_ptr<CallerConnection> From;
    std::shared_ptr<const RouteTable> Rules; ///< Keeps `Route` alive.
    const RouteRule *Route = nullptr;
    ServiceId Service;
    CallRequest Request; ///< Without the server.
    std::string Customer;
    int CustomerPriority = -1; ///< Negative: none.
    Instant Began;
    Instant Expiry;
    TimerId ExpiryTimer = 0;
    TimerId PlaceTimer = 0;
    std::set<std::string> Tried;
    Attempts Known;
    bool BudgetSpent = false; ///< A repeat was denied by the fleet's budget.
    std::string ServerId;     ///< Where it is now.
    bool AtLocal = false;
    std::uint64_t LocalNumber = 0;
    std::string PeerIp;
    std::uint64_t PeerCall = 0;
    std::string LastCause;
    std::string LastServer; ///< For the log: where it was sent last.
    Duration LoadAge{};     ///< Age of the load report that chose it.
  };

  using Number = std::uint64_t;

  struct Refusal {
    int Status = 0;
    std::string_view Reason;
    Duration RetryAfter{};
  };
  /// Everything that is decided before a server is chosen.
  bool admit(Exchange &Item, const CallerRequest &Request, Refusal &Why);
  bool admitCustomer(Exchange &Item, const CallerRequest &Request,
                     Refusal &Why);
  void buildCall(Exchange &Item, CallerRequest &&Request);
  void place(Number Id);
  void send(Number Id, KnownServer &Server);
  void onAnswer(Number Id, CallAnswer &&Answer);
  void noteServer(const Exchange &Item, const CallAnswer &Answer);
  bool spendRepeat(Exchange &Item);
  void giveUp(Number Id);
  void onExpiry(Number Id);
  void deliver(Number Id, const CallAnswer &Answer);
  void refuse(Number Id, const Refusal &Why);
  void withdraw(Exchange &Item);
  void finish(Number Id);
  void logOutcome(const Exchange &Item, int Status, std::string_view Reason);
  std::vector<KnownServer *> usableServers(const Exchange &Item);
  Duration spread(Duration Base);

  EventLoop &Loop;
  const PlatformAdapter &Words;
  const Settings &Options;
  LogWriter &Log;
  Metrics &Counters;
  ServiceRegistry &Hosts;
  FleetState &Fleet;
  Backend &Local;
  PeerLinks &Peers;
  std::vector<std::string> Dropped;
  std::minstd_rand Random;
  ServiceSplit Split;
  std::map<std::string, double> AnswerBytes; ///< Mean, by route.
  Number LastNumber = 0;
  absl::flat_hash_map<Number, std::unique_ptr<Exchange>> Exchanges;
};

} // namespace pollenwick::agent

#endif
