#include "node/ConfigDuty.h"

#include <algorithm>
#include <chrono>

#include "node/ConfigClient.h"
#include "node/Log.h"
#include "peer/Clock.h"
#include "peer/QuotaWire.h"
#include "peer/Wire.h"

namespace pollenwick {
namespace {

constexpr Duration LoopInterval = std::chrono::milliseconds(20);
constexpr Duration QuestionTimeout = std::chrono::milliseconds(500);
constexpr Duration FetchTimeout = std::chrono::seconds(2);
constexpr Duration SeedInterval = std::chrono::milliseconds(500);

std::string bytesOfData(capnp::Data::Reader In) {
  return {reinterpret_cast<const char *>(In.begin()), In.size()};
}

} // namespace

ConfigDuty::ConfigDuty(const Settings &S, PublicKey O, const Kernel &Registry)
    : Options(S), Operator(O), Count(Registry.find<Counters>("counters")),
      View(Registry.find<ViewService>("view")),
      Bundles(Registry.find<BundleStore>("bundles")),
      Peers(Registry.find<PeerDuty>("peers")),
      Service(std::make_unique<ConfigClient>(S.ConfigService)) {}

ConfigDuty::~ConfigDuty() = default;

void ConfigDuty::start() {
  Thread = std::thread([this] { run(); });
}

void ConfigDuty::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

std::optional<PeerAddress> ConfigDuty::addressOf(const HostId &Host) const {
  const BundlePtr Bundle = Bundles.current();
  const HostSpec *Spec = Bundle ? findHost(*Bundle, Host) : nullptr;
  if (!Spec)
    return std::nullopt;
  return peerAddress(*Spec);
}

void ConfigDuty::run() {
  Instant NextSeeds{};
  while (!Stopping) {
    const auto Due = View.with(
        [](ViewState &State) { return dueQuestions(State, now()); });
    for (const ViewQuestion &Question : Due)
      ask(Question);
    std::vector<PeerAddress> Ahead;
    {
      std::scoped_lock Lock(Mutex);
      Ahead.swap(Newer);
    }
    std::ranges::for_each(
        Ahead, [this](const PeerAddress &Peer) { fetchFromPeer(Peer); });
    if (!Bundles.current() && now() >= NextSeeds) {
      askSeeds();
      NextSeeds = now() + SeedInterval;
    }
    std::this_thread::sleep_for(LoopInterval);
  }
}

void ConfigDuty::ask(const ViewQuestion &Question) {
  switch (Question.Source) {
  case ViewSource::Service:
    return askService(Question);
  case ViewSource::Parent:
    return askParent(Question);
  case ViewSource::Witness:
    return askWitness(Question);
  }
}

void ConfigDuty::askService(const ViewQuestion &Question) {
  Count.add(Counter::ConfigReads);
  const auto Read = Service->read(PointerValueName);
  if (!Read.ok()) {
    Count.add(Counter::ConfigReadErrors);
    std::scoped_lock Lock(Mutex);
    LastError = std::string(Read.status().message());
    return;
  }
  const auto Head = verifyPointer(*Read, {Operator});
  if (!Head.ok()) {
    Count.add(Counter::BundlesRejected);
    std::scoped_lock Lock(Mutex);
    LastError = std::string(Head.status().message());
    return;
  }
  View.with([&](ViewState &State) {
    recordService(State, Question.Nonce, {Head->Number, Head->Root});
  });
  offer(*Read, nullptr);
}

void ConfigDuty::askParent(const ViewQuestion &Question) {
  const auto To = addressOf(Question.Target);
  if (!To)
    return;
  const std::uint64_t Nonce = Question.Nonce;
  Peers.post(*To, QuestionTimeout, [this, To, Nonce](wire::Peer::Client &Peer) {
    return Peer.confirmRequest().send().then([this, To, Nonce](auto &&Reply) {
      const auto Said = Reply.getConfirmation();
      if (!Said.getKnown())
        return;
      const RevisionKey Held = readMessage(Said.getHeld());
      const bool Ahead = View.with([&](ViewState &State) {
        recordConfirmation(State, Nonce, {Held, Duration(Said.getAgeMicros())});
        return Held > State.Held;
      });
      if (!Ahead)
        return;
      std::scoped_lock Lock(Mutex);
      Newer.push_back(*To);
    });
  });
}

void ConfigDuty::askWitness(const ViewQuestion &Question) {
  const auto To = addressOf(Question.Target);
  if (!To)
    return;
  const std::uint64_t Nonce = Question.Nonce;
  Peers.post(*To, QuestionTimeout, [this, To, Nonce](wire::Peer::Client &Peer) {
    return Peer.witnessRequest().send().then([this, To, Nonce](auto &&Reply) {
      const auto Said = Reply.getAnswer();
      if (!Said.getKnown())
        return;
      const WitnessReply Answer{readMessage(Said.getHeld()),
                                readMessage(Said.getHostsSince()),
                                Duration(Said.getHostsHeldMicros())};
      const bool Ahead = View.with([&](ViewState &State) {
        recordWitness(State, Nonce, Answer, now());
        return Answer.Held > State.Held;
      });
      if (!Ahead)
        return;
      std::scoped_lock Lock(Mutex);
      Newer.push_back(*To);
    });
  });
}

// A node that starts in an outage of the service gets the bundle from a peer.
void ConfigDuty::askSeeds() {
  for (const Endpoint &Seed : Options.Seeds) {
    fetchFromPeer({Seed.Address, Seed.Port});
    if (Bundles.current())
      return;
  }
}

void ConfigDuty::fetchFromPeer(const PeerAddress &Peer) {
  std::string Offered;
  const PeerError Error =
      Peers.exchange(Peer, FetchTimeout, [&](wire::Peer::Client &Client) {
        return Client.pointerRequest().send().then([&Offered](auto &&Reply) {
          Offered = bytesOfData(Reply.getDocument());
        });
      });
  if (Error == PeerError::None && !Offered.empty())
    offer(Offered, &Peer);
}

std::optional<std::string> ConfigDuty::fetchChunk(const Digest &Sum,
                                                  const PeerAddress *Peer) {
  if (auto Known = chunk(Sum))
    return Known;
  if (Peer) {
    std::optional<std::string> Got;
    Peers.exchange(*Peer, FetchTimeout, [&](wire::Peer::Client &Client) {
      auto Request = Client.chunkRequest();
      Request.setDigest(bytesOf(Sum));
      return Request.send().then([&Got](auto &&Reply) {
        if (Reply.getFound())
          Got = bytesOfData(Reply.getContent());
      });
    });
    if (Got)
      return Got;
  }
  Count.add(Counter::ConfigReads);
  auto Read = Service->read(chunkValueName(Sum));
  if (Read.ok())
    return *std::move(Read);
  Count.add(Counter::ConfigReadErrors);
  return std::nullopt;
}

void ConfigDuty::offer(const std::string &Offered, const PeerAddress *Peer) {
  const auto Head = verifyPointer(Offered, {Operator});
  const auto Reject = [this](const absl::Status &Why) {
    Count.add(Counter::BundlesRejected);
    std::scoped_lock Lock(Mutex);
    LastError = std::string(Why.message());
  };
  if (!Head.ok())
    return Reject(Head.status());
  const BundlePtr Old = Bundles.current();
  const RevisionKey Key{Head->Number, Head->Root};
  if (Old && Key <= Old->Key)
    return;
  ChunkMap Got;
  for (const ChunkRef &Ref : Head->Chunks) {
    auto Content = fetchChunk(Ref.Sum, Peer);
    if (!Content)
      return; // Asked again with the next answer.
    Got.emplace(Ref.Sum, *std::move(Content));
  }
  auto Rules = assembleBundle(*Head, Got);
  if (!Rules.ok())
    return Reject(Rules.status());
  const BundlePtr New = activate(*std::move(Rules), Head->Root, Old);
  {
    std::scoped_lock Lock(Mutex);
    Document = Offered;
    Chunks = std::move(Got);
    LastError.clear();
  }
  Bundles.replace(New);
  Count.add(Counter::BundlesAccepted);
  logState("config", "bundle in force",
           {{"revision", std::to_string(Key.Number.Value)}});
}

std::string ConfigDuty::pointerDocument() const {
  std::scoped_lock Lock(Mutex);
  return Document;
}

std::optional<std::string> ConfigDuty::chunk(const Digest &Sum) const {
  std::scoped_lock Lock(Mutex);
  const auto It = Chunks.find(Sum);
  if (It == Chunks.end())
    return std::nullopt;
  return It->second;
}

void ConfigDuty::dump(Poco::JSON::Object &Out) const {
  const BundlePtr Active = Bundles.current();
  Out.set("revision", Active ? Active->Key.Number.Value : 0);
  Out.set("root", Active ? digestText(Active->Key.Root) : "");
  std::scoped_lock Lock(Mutex);
  Out.set("chunks", Chunks.size());
  Out.set("last_error", LastError);
}

} // namespace pollenwick
