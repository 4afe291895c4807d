#ifndef POLLENWICK_NODE_FORWARDER_H
#define POLLENWICK_NODE_FORWARDER_H

#include <atomic>
#include <mutex>
#include <random>

#include "core/routing/Routing.h"
#include "node/AdmissionService.h"
#include "node/Callee.h"
#include "node/Counters.h"
#include "node/RunningCallService.h"
#include "node/ServiceRegistry.h"
#include "peer/PeerTransport.h"

namespace pollenwick {

/// Sends calls to a backend server of the wanted service and retries them
/// within their allowance. Thread-safe.
class Forwarder {
public:
  Forwarder(const IncarnationId &Self, const ZoneId &Zone, std::uint64_t Seed,
            const ServiceRegistry &Registry);

  void onBundle(const BundlePtr &New);

  /// Runs the call somewhere; `Call.Id` and `Call.Caller` are set here. The
  /// reply's unused allowance is what is left of `Call.Allowance`.
  CallReply forward(CallRequest Call, const ActiveBundle &Bundle,
                    const RouteEntry &Route);

  void onLeaving(const HostId &Host);
  void onIncarnation(const HostId &Host, StartId Start);
  void onHostList(const HostId &Host, bool Leaving);
  void dump(Poco::JSON::Object &Out) const;

private:
  struct SelectedHost {
    HostId Host;
    RefusalReason Reason = RefusalReason::None;
  };

  /// Sets `MayHaveRun` when an attempt may have run.
  CallReply tryHosts(CallRequest Call, const ActiveBundle &Bundle,
                     const RouteEntry &Route, bool &MayHaveRun);
  SelectedHost selectHost(const ServiceId &Service,
                          const std::vector<HostId> &Tried);
  CallReply callHost(const HostId &Host, const CallRequest &Call,
                     const ActiveBundle &Bundle);
  void recordReply(const HostId &Host, const CallReply &Reply);

  const IncarnationId Self;
  const ZoneId Zone;
  Counters &NodeCounters;
  AdmissionService &Admission;
  RunningCallService &Running;
  Callee &LocalCallee;
  PeerTransport &Peers;
  std::atomic<std::uint64_t> LastCallId = 0;

  mutable std::mutex Mutex;
  BundlePtr Bundle; ///< The bundle whose indexes `Table` uses.
  HostTable Table;
  std::mt19937_64 Random;
};

} // namespace pollenwick

#endif
