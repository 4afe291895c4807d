#ifndef POLLENWICK_NODE_INGRESS_H
#define POLLENWICK_NODE_INGRESS_H

#include <atomic>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "core/once/TicketStore.h"
#include "node/Counters.h"
#include "node/Forwarder.h"
#include "node/QuotaService.h"
#include "node/ServiceRegistry.h"
#include "node/ViewService.h"
#include "node/WorkerPool.h"

namespace pollenwick {

/// A request as it arrived on the caller port, its key removed from the
/// headers.
struct IncomingRequest {
  std::string Method;
  std::string PathAndQuery;
  std::vector<HeaderField> Headers;
  std::string Body;
  std::optional<KeyDigest> Key;
  std::string Ticket; ///< Empty without one.
  std::optional<Duration> Deadline;
};

/// Decides on root requests: key, view lease, ticket, admission, quota, and
/// then sends them on. Thread-safe.
class Ingress {
public:
  Ingress(const IncarnationId &Self, std::size_t ClaimWorkers,
          std::size_t QueueCapacity, const ServiceRegistry &Registry);

  /// Blocks until the answer is there or the deadline has passed.
  CallReply handle(IncomingRequest Incoming);

  /// Runs a ticketed call for the node that received it. Never blocks.
  void submitClaim(std::string Ticket, CallRequest Call,
                   const CancelFlag &Cancelled, const ReplyCallback &Answer);

  /// From now on no ticket is minted: this process would end before its use.
  void beginDrain() { Draining = true; }

  void tick();
  void stop() { ClaimPool.stop(); }
  void dump(Poco::JSON::Object &Out) const;

private:
  CallReply runRoot(CallRequest &Call, const std::string &Ticket,
                    const ActiveBundle &Active, const RouteEntry &Route);
  std::optional<CallReply> authorizeRoot(CallRequest &Call,
                                         const ActiveBundle &Active,
                                         const RouteEntry &Route);
  CallReply runTicketed(const CallRequest &Call, const std::string &Ticket,
                        const ActiveBundle &Active, const RouteEntry &Route);
  CallReply runForwardedClaim(const std::string &Ticket, CallRequest Call);
  CallReply forwardClaim(const HostId &Issuer, const std::string &Ticket,
                         const CallRequest &Call, const ActiveBundle &Active);
  CallReply admitAndRun(const CallRequest &Call, const ActiveBundle &Active,
                        const RouteEntry &Route);
  CallReply withNewTicket(CallReply Reply, const CallRequest &Call,
                          const ActiveBundle &Active);
  void recordOutcome(const CallReply &Reply, const CallRequest &Call);

  const IncarnationId Self;
  Counters &NodeCounters;
  ViewService &View;
  BundleStore &Bundles;
  AdmissionService &Admission;
  QuotaService &Quota;
  CrashService &Crashes;
  Forwarder &CallForwarder;
  PeerTransport &Peers;
  WorkerPool ClaimPool;

  std::atomic<bool> Draining = false;
  mutable std::mutex Mutex;
  TicketStore Tickets;
  std::mt19937_64 Random;
};

} // namespace pollenwick

#endif
