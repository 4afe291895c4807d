#include "node/MembershipService.h"
#include "core/membership/PullTree.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <istream>
#include <iterator>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timestamp.h>

#include "peer/Clock.h"
#include "peer/HeartbeatWire.h"

namespace pollenwick {
namespace {

constexpr int ReceiveTimeoutMicroseconds = 50'000;
/// Together with the membership updates of a heartbeat, this many suspicions
/// keep a datagram near the size of one packet.
constexpr std::size_t MaxSuspicionsPerHeartbeat = 6;
/// Polling more often gains nothing, because the list lags behind the state of
/// the hosts by more than this.
constexpr Duration HostListInterval = std::chrono::seconds(2);
constexpr Duration StopPollInterval = std::chrono::milliseconds(50);
constexpr std::streamsize MaxHostListBytes = 4 << 20;
constexpr int HostListTimeoutMicroseconds = 1'000'000;

std::vector<ListedHost> parseHostList(const std::string &Text) {
  Poco::JSON::Parser Parser;
  // Creates the default handler, which builds the JSON tree.
  Parser.getHandler();
  const auto Root =
      Parser.parse(Text).extract<Poco::JSON::Object::Ptr>()->getArray("hosts");
  std::vector<ListedHost> Out;
  for (std::size_t I = 0; Root && I < Root->size(); ++I) {
    const auto Row = Root->getObject(static_cast<unsigned>(I));
    Out.push_back({HostId(Row->getValue<std::string>("id")),
                   Row->getValue<std::string>("state") == "leaving"});
  }
  return Out;
}

std::string fetchHostList(const Endpoint &From) {
  using namespace Poco::Net;
  HTTPClientSession Session(From.Address, From.Port);
  Session.setTimeout(Poco::Timespan(HostListTimeoutMicroseconds));
  HTTPRequest Request(HTTPRequest::HTTP_GET, "/v1/hosts",
                      HTTPRequest::HTTP_1_1);
  Session.sendRequest(Request);
  HTTPResponse Response;
  std::istream &In = Session.receiveResponse(Response);
  const auto Length = Response.getContentLength64();
  if (Response.getStatus() != HTTPResponse::HTTP_OK || Length < 0 ||
      Length > MaxHostListBytes)
    throw Poco::DataFormatException(
        "host list response has a status other than 200, no Content-Length or "
        "one above 4 MiB");
  std::string Body(static_cast<std::size_t>(Length), '\0');
  In.read(Body.data(), static_cast<std::streamsize>(Length));
  return Body;
}

} // namespace

MembershipService::MembershipService(const Settings &S, const IncarnationId &I,
                                     const ComponentRegistry &Registry)
    : Options(S), Self(I), NodeCounters(Registry.find<Counters>("counters")),
      View(Registry.find<ViewService>("view")),
      Bundles(Registry.find<BundleStore>("bundles")),
      Crashes(Registry.find<CrashService>("crashes")),
      CallForwarder(Registry.find<Forwarder>("forwarder")),
      Config(Registry.find<ConfigUpdater>("config")),
      State(beginMembership(
          {S.Host, S.Zone}, I.Start,
          static_cast<std::uint64_t>(Poco::Timestamp().epochMicroseconds()),
          I.Start.Value, now())) {}

std::string MembershipService::open() {
  try {
    Socket = Poco::Net::DatagramSocket(
        Poco::Net::SocketAddress(Options.Address, Options.MembershipPort),
        false);
    Socket.setReceiveTimeout(Poco::Timespan(ReceiveTimeoutMicroseconds));
    return "";
  } catch (const Poco::Exception &Error) {
    return "cannot bind membership port " + Options.Address + ":" +
           std::to_string(Options.MembershipPort) + ": " + Error.displayText() +
           "; use a free port";
  }
}

void MembershipService::start() {
  Thread = std::thread([this] { run(); });
  if (Options.HostList.Port != 0)
    HostListThread = std::thread([this] {
      Instant Next = now();
      while (!Stopping) {
        if (now() >= Next) {
          readHostList();
          Next = now() + HostListInterval;
        }
        std::this_thread::sleep_for(StopPollInterval);
      }
    });
}

void MembershipService::stop() {
  Stopping = true;
  for (std::thread *T : {&Thread, &HostListThread})
    if (T->joinable())
      T->join();
}

void MembershipService::onBundle(const BundlePtr &New) {
  std::vector<HostAndZone> Hosts;
  std::ranges::transform(New->SourceBundle->Hosts, std::back_inserter(Hosts),
                         [](const HostSpec &Host) {
                           return HostAndZone{Host.Id, Host.Zone};
                         });
  {
    std::scoped_lock Lock(Mutex);
    setHosts(State, Hosts, now());
  }
  publishPullSources();
}

void MembershipService::publishPullSources() {
  bool Watcher = false;
  std::vector<HostId> Parents;
  {
    std::scoped_lock Lock(Mutex);
    Watcher = isWatcher(State);
    Parents = pullParents(State, Tuning);
  }
  Config.setPullSources(Watcher, Parents);
}

void MembershipService::announceLeaving() {
  std::scoped_lock Lock(Mutex);
  beginLeaving(State, Tuning);
  State.NextHeartbeatAt = now();
}

void MembershipService::run() {
  while (!Stopping) {
    receive();
    sendDueHeartbeats();
  }
  sendDueHeartbeats();
}

void MembershipService::receive() {
  std::array<char, MaxDatagramBytes> Buffer;
  try {
    Poco::Net::SocketAddress From;
    const int Size = Socket.receiveFrom(Buffer.data(),
                                        static_cast<int>(Buffer.size()), From);
    const auto Content = decodeDatagram(
        {Buffer.data(), static_cast<std::size_t>(std::max(Size, 0))});
    if (!Content)
      return NodeCounters.add(Counter::HeartbeatsRejected);
    NodeCounters.add(Counter::HeartbeatsReceived);
    NodeCounters.add(Counter::HeartbeatBytesReceived,
                     static_cast<std::uint64_t>(Size));
    applyHeartbeat(Content->Beat);
    if (!Content->Suspicions.empty())
      Crashes.mergeGossip(Content->Suspicions);
  } catch (const Poco::TimeoutException &) {
    return; // No datagram arrived within the receive timeout.
  } catch (const Poco::Exception &) {
    // An earlier datagram caused an ICMP error. The missing heartbeats of its
    // host mark that host as dead.
    NodeCounters.add(Counter::HeartbeatsRejected);
  }
}

void MembershipService::applyHeartbeat(const Heartbeat &Beat) {
  {
    std::scoped_lock Lock(Mutex);
    onHeartbeat(State, Tuning, Beat, now());
  }
  const auto NotifyForwarder = [this](const HostUpdate &News) {
    if (News.Host == Self.Host)
      return;
    CallForwarder.onIncarnation(News.Host, News.Start);
    if (News.Leaving)
      CallForwarder.onLeaving(News.Host);
  };
  NotifyForwarder(Beat.Sender);
  std::ranges::for_each(Beat.Updates, NotifyForwarder);
  Config.noteAnnouncedVersion({Beat.RevisionNumber, Beat.RevisionRoot},
                              Beat.Sender.Host);
}

void MembershipService::sendDueHeartbeats() {
  const BundlePtr Bundle = Bundles.current();
  if (!Bundle)
    return;
  std::optional<HeartbeatBatch> Due;
  {
    std::scoped_lock Lock(Mutex);
    Due = dueHeartbeats(State, Tuning, Bundle->ActiveRevision.Number,
                        Bundle->ActiveRevision.Root, now());
  }
  if (!Due)
    return;
  publishPullSources();
  const std::string Bytes = encodeDatagram(
      {Due->Message, Crashes.suspicionsToGossip(MaxSuspicionsPerHeartbeat)});
  for (const HostId &Target : Due->Targets) {
    const HostSpec *Host = findHost(*Bundle, Target);
    if (!Host)
      continue;
    try {
      Socket.sendTo(
          Bytes.data(), static_cast<int>(Bytes.size()),
          Poco::Net::SocketAddress(Host->Address, Host->MembershipPort));
      NodeCounters.add(Counter::HeartbeatsSent);
      NodeCounters.add(Counter::HeartbeatBytesSent, Bytes.size());
    } catch (const Poco::Exception &) {
      continue; // A lost heartbeat is made up for by the next one.
    }
  }
}

void MembershipService::readHostList() {
  // Only watchers read the list, so that its load does not grow with the number
  // of hosts. The other nodes learn of changes from heartbeats.
  if (!View.withState([](const ViewState &S) { return S.IsWatcher; }))
    return;
  try {
    const auto List = parseHostList(fetchHostList(Options.HostList));
    {
      std::scoped_lock Lock(Mutex);
      onHostList(State, List);
    }
    for (const ListedHost &Host : List)
      CallForwarder.onHostList(Host.Host, Host.Leaving);
  } catch (const Poco::Exception &) {
    NodeCounters.add(Counter::HostListErrors);
  }
}

void MembershipService::dump(Poco::JSON::Object &Out) const {
  std::scoped_lock Lock(Mutex);
  const auto CountWithStatus = [this](Liveness Status) {
    return std::ranges::count_if(State.Members, [&](const Member &M) {
      return M.LatestUpdate.Status == Status;
    });
  };
  Out.set("members", State.Members.size());
  Out.set("alive", CountWithStatus(Liveness::Alive));
  Out.set("suspected", CountWithStatus(Liveness::Suspected));
  Out.set("dead", CountWithStatus(Liveness::Dead));
  Out.set("leaving", std::ranges::count_if(State.Members, [](const Member &M) {
            return M.LatestUpdate.Leaving;
          }));
  Poco::JSON::Array::Ptr Parents = new Poco::JSON::Array;
  for (const HostId &Host : pullParents(State, Tuning))
    Parents->add(Host.Text);
  Out.set("parents", Parents);
}

} // namespace pollenwick
