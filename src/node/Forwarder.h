#ifndef POLLENWICK_NODE_FORWARDER_H
#define POLLENWICK_NODE_FORWARDER_H

#include <atomic>
#include <mutex>
#include <random>

#include "core/routing/Routing.h"
#include "node/AdmissionService.h"
#include "node/Callee.h"
#include "node/ComponentRegistry.h"
#include "node/Counters.h"
#include "node/RunningCallService.h"
#include "peer/PeerTransport.h"

namespace pollenwick {

/// Sends calls to a backend server of the target service and retries them
/// within their retry allowance. Thread-safe.
class Forwarder {
public:
  Forwarder(const IncarnationId &Self, const ZoneId &Zone, std::uint64_t Seed,
            const ComponentRegistry &Registry);

  /// Rebuilds the host table and keeps the state of hosts that stay.
  void onBundle(const BundlePtr &New);

  /// Selects hosts for the call until one runs it or no further attempt is
  /// allowed. Sets `Call.Id` and `Call.Caller`. The reply returns the unused
  /// part of `Call.Allowance`. Its outcome is `Unknown` if any attempt may have
  /// run and none is done.
  CallReply forward(CallRequest Call, const ActiveBundle &Bundle,
                    const RouteEntry &Route);

  /// Stops sending calls to a host that is draining.
  void onLeaving(const HostId &Host);
  /// Records the running process of a host. A new incarnation clears the
  /// draining mark and failures of the host and starts it slowly.
  void onIncarnation(const HostId &Host, StartId Start);
  /// Records whether the platform's host list marks the host as leaving. The
  /// list lags, so the host only becomes less preferred.
  void onHostList(const HostId &Host, bool Leaving);
  void dump(Poco::JSON::Object &Out) const;

private:
  /// `Reason` says why there is no host if `Host` is empty.
  struct SelectedHost {
    HostId Host;
    RefusalReason Reason = RefusalReason::None;
  };

  /// Makes the attempts of `forward`. Sets `MayHaveRun` if any attempt may have
  /// run the call.
  CallReply tryHosts(CallRequest Call, const ActiveBundle &Bundle,
                     const RouteEntry &Route, bool &MayHaveRun);
  /// Selects a host of the service by load and counts the call as in flight
  /// there. Hosts in `Tried` are used only if no other is left.
  SelectedHost selectHost(const ServiceId &Service,
                          const std::vector<HostId> &Tried);
  /// Runs one attempt on the host: directly if it is this host, otherwise over
  /// the peer transport.
  CallReply callHost(const HostId &Host, const CallRequest &Call,
                     const ActiveBundle &Bundle);
  /// Ends a call that `selectHost` counted and records how the host replied.
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
  BundlePtr Bundle; ///< Bundle that defines the indexes in `Table`.
  HostTable Table;
  std::mt19937_64 Random;
};

} // namespace pollenwick

#endif
