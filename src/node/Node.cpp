#include "node/Node.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <random>
#include <sstream>
#include <thread>

#include <Poco/JSON/Object.h>

#include "node/AdminPort.h"
#include "node/CallerPort.h"
#include "node/ConfigUpdater.h"
#include "node/HttpServer.h"
#include "node/Log.h"
#include "node/MembershipService.h"
#include "node/PeriodicTasks.h"
#include "peer/Clock.h"
#include "peer/QuotaWire.h"

namespace pollenwick {
namespace {

constexpr std::uint32_t EgressThreads = 512;
constexpr std::uint32_t AdminThreads = 4;
/// Calls are limited by the slots of the backend server. This constant only
/// limits the number of threads.
constexpr std::size_t CalleeWorkers = 256;
constexpr std::size_t ClaimWorkers = 64;
constexpr std::size_t MaxBackendConnections = 256;
constexpr std::size_t MaxAnswerBytes = 64U << 20;
/// Maximum total size of the request bodies that are held at the same time.
constexpr std::size_t MaxHeldBodyBytes = 256U << 20;
/// Maximum wait for calls in flight at shutdown. The deadlines of all routes
/// are shorter, so the timeout only guards against a stuck backend server.
constexpr Duration DrainTimeout = std::chrono::seconds(60);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(10);
/// Short enough to close the 50 ms measurement windows without much delay.
constexpr Duration CalleeTickInterval = std::chrono::milliseconds(20);
constexpr Duration ExpiryInterval = std::chrono::seconds(1);

/// Returns an incarnation of `Host` with a random start id.
IncarnationId newIncarnation(const HostId &Host) {
  std::random_device Source;
  return {Host, StartId((std::uint64_t{Source()} << 32U) | Source())};
}

} // namespace

struct Node::OwnedComponents {
  OwnedComponents(const Settings &O, const PublicKey &Operator);

  PeerHandlers peerHandlers();
  void subscribe();
  void addComponents();
  void openPorts();
  std::string stateJson() const;
  bool isHealthy();
  void beginDrain();
  bool isIdle() const;

  const Settings Options;
  const IncarnationId Self;
  ComponentRegistry Registry;
  Counters NodeCounters;
  BundleStore Bundles;
  ViewService View;
  PeerTransport Peers;
  AdmissionService Admission;
  RunningCallService Running;
  BackendClient Backend;
  BodyMemoryBudget BodyMemory;
  PeriodicTasks Maintenance;
  // The constructors of the following members look up the members above in the
  // registry, so they must be created in this order.
  std::optional<CrashService> Crashes;
  std::optional<QuotaService> Quota;
  std::optional<Callee> LocalCallee;
  std::optional<Forwarder> CallForwarder;
  std::optional<Ingress> RootIngress;
  std::optional<ConfigUpdater> Config;
  std::optional<MembershipService> Membership;
  std::atomic<bool> HasBeenReady = false;
  std::optional<HttpServer> CallerPort;
  std::optional<HttpServer> EgressPort;
  std::optional<HttpServer> AdminPort;
};

Node::OwnedComponents::OwnedComponents(const Settings &O,
                                       const PublicKey &Operator)
    : Options(O), Self(newIncarnation(O.Host)), View(O.Host),
      Peers(peerHandlers(), O.QueueCapacity),
      Backend(O.Backend, MaxBackendConnections, MaxAnswerBytes),
      BodyMemory(MaxHeldBodyBytes) {
  Registry.add("counters", NodeCounters);
  Registry.add("bundles", Bundles);
  Registry.add("view", View);
  Registry.add("peers", Peers);
  Registry.add("admission", Admission);
  Registry.add("running", Running);
  Registry.add("backend", Backend);
  Registry.add("crashes", Crashes.emplace(Self, Registry));
  Registry.add("quota", Quota.emplace(Self, O.Zone, Registry));
  Registry.add("callee", LocalCallee.emplace(O.Host, CalleeWorkers,
                                             O.QueueCapacity, Registry));
  Registry.add("forwarder",
               CallForwarder.emplace(Self, O.Zone, Self.Start.Value, Registry));
  Registry.add("ingress", RootIngress.emplace(Self, ClaimWorkers,
                                              O.QueueCapacity, Registry));
  Registry.add("config", Config.emplace(O, Self, Operator, Registry));
  Registry.add("membership", Membership.emplace(O, Self, Registry));
  subscribe();
  addComponents();
  openPorts();
}

PeerHandlers Node::OwnedComponents::peerHandlers() {
  PeerHandlers Out;
  Out.OnCall = [this](CallRequest Call, CancelFlag Cancelled,
                      ReplyCallback Answer) {
    LocalCallee->submit(std::move(Call), std::move(Cancelled),
                        std::move(Answer));
  };
  Out.OnClaim = [this](std::string Ticket, CallRequest Call,
                       const CancelFlag &Cancelled,
                       const ReplyCallback &Answer) {
    RootIngress->submitClaim(std::move(Ticket), std::move(Call), Cancelled,
                             Answer);
  };
  Out.OnBorrow = [this](auto In, auto Reply) { Quota->onBorrow(In, Reply); };
  Out.OnSettle = [this](auto In) { Quota->onSettle(In); };
  Out.OnRecall = [this](auto In, auto Reply) { Quota->onRecall(In, Reply); };
  Out.OnPull = [this](auto In, auto Reply) { Quota->onPull(In, Reply); };
  Out.OnRelease = [this](auto In, auto Reply) { Quota->onRelease(In, Reply); };
  Out.OnConfirm = [this](auto Reply) { View.answerConfirm(Reply); };
  Out.OnWitness = [this](auto Reply) { View.answerWitness(Reply); };
  Out.OnSuspect = [this](auto In, auto Reply) {
    Crashes->onSuspectReport(In, Reply);
  };
  Out.OnPointer = [this](const std::optional<Digest> &Root,
                         const std::optional<Digest> &HeldRoot) {
    return Config->pointerIfChanged(Root, HeldRoot);
  };
  Out.OnChunk = [this](const Digest &ChunkDigest) {
    return Config->chunk(ChunkDigest);
  };
  return Out;
}

void Node::OwnedComponents::subscribe() {
  Bundles.subscribe([this](const BundlePtr &Old, const BundlePtr &New) {
    Admission.onBundle(New);
    LocalCallee->onBundle(New);
    CallForwarder->onBundle(New);
    Quota->onBundle(Old, New);
    View.setHeldRevision(*New);
    Membership->onBundle(New);
    Crashes->onBundle(New->SourceBundle->Rules);
    const auto &Services = New->SourceBundle->Services;
    const HostSpec *Here = findHost(*New, Self.Host);
    const auto It = std::ranges::find_if(Services, [&](const ServiceSpec &S) {
      return Here && S.Id == Here->Service;
    });
    if (It != Services.end())
      Backend.setLimits(It->Connections, MaxAnswerBytes);
  });
}

void Node::OwnedComponents::addComponents() {
  Maintenance.schedule(CalleeTickInterval, [this] {
    LocalCallee->tick();
    Crashes->advanceReports();
  });
  Maintenance.schedule(ExpiryInterval, [this] {
    RootIngress->tick();
    Crashes->expireEntries();
  });
  Registry.addComponent(*Quota);
  Registry.addComponent(*Config);
  Registry.addComponent(*Membership);
  Registry.addComponent(Maintenance);
}

void Node::OwnedComponents::openPorts() {
  const CallHandlingContext Http{*RootIngress, *CallForwarder, Running,
                                 Bundles,      NodeCounters,   BodyMemory};
  CallerPort.emplace(
      HttpServerOptions{"caller", Options.Address, Options.CallerPort,
                        Options.CallerThreads, Options.TlsCertificateFile,
                        Options.TlsKeyFile},
      [Http](auto &Request, auto &Response) {
        handleCallerRequest(Http, Request, Response);
      });
  EgressPort.emplace(HttpServerOptions{"egress", "127.0.0.1",
                                       Options.EgressPort, EgressThreads, "",
                                       ""},
                     [Http](auto &Request, auto &Response) {
                       handleEgressRequest(Http, Request, Response);
                     });
  const AdminCallbacks Admin{[this] { return stateJson(); },
                             [this] { return NodeCounters.exposition(); },
                             [this] { return isHealthy(); },
                             [this] { beginDrain(); }};
  AdminPort.emplace(HttpServerOptions{"admin", "127.0.0.1", Options.AdminPort,
                                      AdminThreads, "", ""},
                    [Admin](auto &Request, auto &Response) {
                      handleAdminRequest(Admin, Request, Response);
                    });
}

std::string Node::OwnedComponents::stateJson() const {
  Poco::JSON::Object Out(Poco::JSON_PRESERVE_KEY_ORDER);
  const auto Add = [&Out](const std::string &Name, const auto &Part) {
    Poco::JSON::Object::Ptr One = new Poco::JSON::Object;
    Part.dump(*One);
    Out.set(Name, One);
  };
  Out.set("host", Self.Host.Text);
  Out.set("zone", Options.Zone.Text);
  Out.set("start", Self.Start.Value);
  for (const Component *Part : Registry.components())
    Add(std::string(Part->name()), *Part);
  Add("view", View);
  Add("admission", Admission);
  Add("callee", *LocalCallee);
  Add("routing", *CallForwarder);
  Add("ingress", *RootIngress);
  Add("quarantine", *Crashes);
  Add("counters", NodeCounters);
  Out.set("caller_connections", CallerPort->connections());
  Out.set("egress_connections", EgressPort->connections());
  Out.set("running_calls", Running.size());
  Out.set("body_bytes", BodyMemory.reservedBytes());
  Out.set("peer_exchanges_waiting", Peers.pendingExchanges());
  Out.set("peer_connections_opened", Peers.connectionsOpened());
  Out.set("peer_bytes_sent", Peers.traffic().BytesSent.load());
  Out.set("peer_bytes_received", Peers.traffic().BytesReceived.load());
  std::ostringstream Text;
  Out.stringify(Text, 2);
  return Text.str();
}

// A node first becomes healthy when all shards that it holds are active. A
// shard that becomes inactive later, for example while it waits after a change
// of hosts, does not make the node unhealthy.
bool Node::OwnedComponents::isHealthy() {
  if (!HasBeenReady)
    HasBeenReady = Bundles.current() && Quota->allShardsActive();
  return HasBeenReady && View.holdsLease() && !LocalCallee->isDraining();
}

void Node::OwnedComponents::beginDrain() {
  if (LocalCallee->isDraining())
    return;
  logState("node", "draining");
  LocalCallee->beginDrain();
  RootIngress->beginDrain();
  Membership->announceLeaving();
  CallerPort->beginDrain();
}

bool Node::OwnedComponents::isIdle() const {
  return CallerPort->requestsInFlight() == 0 &&
         EgressPort->requestsInFlight() == 0 && LocalCallee->isIdle() &&
         Running.size() == 0;
}

Node::Node(const Settings &Options, const PublicKey &Operator)
    : Owned(std::make_unique<OwnedComponents>(Options, Operator)) {}

Node::~Node() = default;

std::string Node::start() {
  if (auto Error =
          Owned->Peers.start(Owned->Options.Address, Owned->Options.PeerPort);
      !Error.empty())
    return Error;
  if (auto Error = Owned->Membership->open(); !Error.empty())
    return Error;
  for (HttpServer *Port :
       {&*Owned->AdminPort, &*Owned->EgressPort, &*Owned->CallerPort})
    if (auto Error = Port->start(); !Error.empty())
      return Error;
  for (Component *Part : Owned->Registry.components())
    Part->start();
  logState("node", "started",
           {{"start", std::to_string(Owned->Self.Start.Value)}});
  return "";
}

void Node::beginDrain() { Owned->beginDrain(); }

// During the grace period, requests on open caller connections are answered and
// the callers are told to close the connection. The caller port stops accepting
// only after that. The peer port stays open until the last call is answered.
void Node::drainAndStop() {
  Owned->beginDrain();
  std::this_thread::sleep_for(Owned->Options.DrainGracePeriod);
  const Instant Limit = now() + DrainTimeout;
  while (!Owned->isIdle() && now() < Limit)
    std::this_thread::sleep_for(DrainPollInterval);
  Owned->CallerPort->stop();
  Owned->RootIngress->stop();
  Owned->LocalCallee->stop();
  Owned->EgressPort->stop();
  const auto &Components = Owned->Registry.components();
  std::for_each(Components.rbegin(), Components.rend(),
                [](Component *Part) { Part->stop(); });
  // Lets the settlements of the quota service and the last replies be sent
  // before the peer transport stops.
  std::this_thread::sleep_for(DrainPollInterval);
  Owned->Peers.stop();
  Owned->AdminPort->stop();
  logState("node", "stopped");
}

} // namespace pollenwick
