#ifndef POLLENWICK_NODE_INGRESS_H
#define POLLENWICK_NODE_INGRESS_H

#include <atomic>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "core/once/TicketStore.h"
#include "node/ComponentRegistry.h"
#include "node/Counters.h"
#include "node/Forwarder.h"
#include "node/QuotaService.h"
#include "node/ViewService.h"
#include "node/WorkerPool.h"

namespace pollenwick {

/// A request that arrived on the caller port. The API key has been moved from
/// the headers to `Key`.
struct IncomingRequest {
  std::string Method;
  std::string PathAndQuery;
  std::vector<HeaderField> Headers;
  std::string Body;
  std::optional<KeyDigest> Key; ///< Unset when the request has no API key.
  std::string Ticket;           ///< Empty when the request has no ticket.
  /// Time allowed for the request; unset means the default of its route.
  std::optional<Duration> Deadline;
};

/// Entry point of root requests. Checks the API key, view lease, ticket,
/// admission and quota of each request and then forwards it to a node of the
/// target service. Thread-safe.
class Ingress {
public:
  Ingress(const IncarnationId &Self, std::size_t ClaimWorkers,
          std::size_t QueueCapacity, const ComponentRegistry &Registry);

  /// Processes a root request and returns its reply. Blocks until the request
  /// is answered or its deadline has passed.
  CallReply handle(IncomingRequest Incoming);

  /// Queues a call whose ticket this node issued and another node received.
  /// Never blocks; `Answer` is called with the reply, or with a refusal at once
  /// when the queue is full.
  void submitClaim(std::string Ticket, CallRequest Call,
                   const CancelFlag &Cancelled, const ReplyCallback &Answer);

  /// Stops issuing tickets, because this process would end before they are
  /// used.
  void beginDrain() { Draining = true; }

  /// Removes expired tickets. Called periodically.
  void tick();
  /// Finishes the queued claims and ends the claim threads.
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
  /// Adds a newly issued ticket to `Reply`. Returns a refusal instead when this
  /// node is draining or the ticket store is full.
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
