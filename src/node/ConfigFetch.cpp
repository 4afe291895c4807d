#include "node/ConfigUpdater.h"

#include <chrono>

#include "bundle/Digests.h"
#include "node/ConfigClient.h"
#include "peer/Clock.h"
#include "peer/QuotaWire.h"
#include "peer/Wire.h"

// The queries of the updater to the configuration service and to other nodes.

namespace pollenwick {
namespace {

/// Time limit of a query to a parent or a witness.
constexpr Duration QuestionTimeout = std::chrono::milliseconds(500);

std::string bytesOfData(capnp::Data::Reader In) {
  return {reinterpret_cast<const char *>(In.begin()), In.size()};
}

/// Returns the name under which the configuration service holds the content.
std::string valueName(const Fetch &What) {
  switch (What.ContentKind) {
  case Fetch::Kind::Newest:
    return std::string(PointerValueName);
  case Fetch::Kind::Ancestor:
    return ancestorValueName(What.RequestedDigest);
  case Fetch::Kind::Chunk:
    return chunkValueName(What.RequestedDigest);
  }
  return "";
}

} // namespace

void ConfigUpdater::ask(const ViewQuery &Question) {
  switch (Question.Source) {
  case ViewSource::Service:
    return askService(Question);
  case ViewSource::Parent:
    return askParent(Question);
  case ViewSource::Witness:
    return askWitness(Question);
  }
}

void ConfigUpdater::askService(const ViewQuery &Question) {
  NodeCounters.add(Counter::ConfigReads);
  const auto Read = Service->read(PointerValueName);
  if (!Read.ok()) {
    NodeCounters.add(Counter::ConfigReadErrors);
    return recordError(std::string(Read.status().message()));
  }
  NodeCounters.add(Counter::ConfigBytesRead, Read->size());
  const auto Head = verifyDocument(*Read);
  if (Head.ok())
    View.withState([&](ViewState &V) {
      recordServiceReply(V, Question.Nonce, {Head->Number, Head->Root});
    });
  processPointer({}, *Read);
}

void ConfigUpdater::askParent(const ViewQuery &Question) {
  const auto To = addressOf(Question.Target);
  if (!To)
    return;
  const std::uint64_t Nonce = Question.Nonce;
  const HostId From = Question.Target;
  Peers.post(
      *To, QuestionTimeout, [this, From, Nonce](wire::Peer::Client &Peer) {
        return Peer.confirmRequest().send().then([this, From,
                                                  Nonce](auto &&Reply) {
          const auto Said = Reply.getConfirmation();
          if (!Said.getKnown())
            return;
          const RevisionKey Held = readMessage(Said.getHeld());
          View.withState([&](ViewState &V) {
            recordConfirmReply(V, Nonce, {Held, Duration(Said.getAgeMicros())});
          });
          std::scoped_lock Lock(Mutex);
          onVersionAnnounced(State, {Held.Number, Held.Root}, From);
        });
      });
}

void ConfigUpdater::askWitness(const ViewQuery &Question) {
  const auto To = addressOf(Question.Target);
  if (!To)
    return;
  const std::uint64_t Nonce = Question.Nonce;
  const HostId From = Question.Target;
  Peers.post(
      *To, QuestionTimeout, [this, From, Nonce](wire::Peer::Client &Peer) {
        return Peer.witnessRequest().send().then([this, From,
                                                  Nonce](auto &&Reply) {
          const auto Said = Reply.getAnswer();
          if (!Said.getKnown())
            return;
          const WitnessReply WitnessState{readMessage(Said.getHeld()),
                                          readMessage(Said.getHostsSince()),
                                          Duration(Said.getHostsHeldMicros())};
          View.withState([&](ViewState &V) {
            recordWitnessReply(V, Nonce, WitnessState, now());
          });
          std::scoped_lock Lock(Mutex);
          onVersionAnnounced(State,
                             {WitnessState.HeldRevision.Number,
                              WitnessState.HeldRevision.Root},
                             From);
        });
      });
}

void ConfigUpdater::fetch(const Fetch &What) {
  if (!What.Peer)
    return fetchFromService(What);
  const auto To = addressOf(*What.Peer);
  if (!To)
    return enqueueResult({What, std::nullopt});
  fetchFromPeer(*To, What);
}

void ConfigUpdater::fetchFromService(const Fetch &What) {
  NodeCounters.add(Counter::ConfigReads);
  auto Read = Service->read(valueName(What));
  if (Read.ok()) {
    NodeCounters.add(Counter::ConfigBytesRead, Read->size());
    return processResult({What, *std::move(Read)});
  }
  NodeCounters.add(Counter::ConfigReadErrors);
  if (absl::IsNotFound(Read.status()) &&
      What.ContentKind == Fetch::Kind::Newest)
    return processResult({What, ""});
  recordError(std::string(Read.status().message()));
  processResult({What, std::nullopt});
}

void ConfigUpdater::fetchFromPeer(const PeerAddress &To, const Fetch &What) {
  std::optional<Digest> HeldRoot;
  {
    std::scoped_lock Lock(Mutex);
    if (State.InForce)
      HeldRoot = State.InForce->Root;
  }
  Peers.post(
      To, Tuning.FetchTimeout,
      [this, What, HeldRoot](wire::Peer::Client &Peer) {
        const auto Failed = [this, What](kj::Exception &&) {
          enqueueResult({What, std::nullopt});
        };
        if (What.ContentKind == Fetch::Kind::Chunk) {
          auto Request = Peer.chunkRequest();
          Request.setDigest(toDataReader(What.RequestedDigest));
          return Request.send().then(
              [this, What](auto &&Reply) {
                enqueueResult(
                    {What, Reply.getFound()
                               ? std::optional(bytesOfData(Reply.getContent()))
                               : std::nullopt});
              },
              Failed);
        }
        auto Request = Peer.pointerRequest();
        if (What.ContentKind == Fetch::Kind::Ancestor)
          Request.setRoot(toDataReader(What.RequestedDigest));
        else if (HeldRoot)
          Request.setHeld(toDataReader(*HeldRoot));
        return Request.send().then(
            [this, What, HeldRoot](auto &&Reply) {
              enqueueResult({What, Reply.getUnchanged()
                                       ? pointerDocument(HeldRoot)
                                       : bytesOfData(Reply.getDocument())});
            },
            Failed);
      });
}

// Fetches the bundle from the seed nodes, so that a node can start during an
// outage of the configuration service.
void ConfigUpdater::fetchFromSeeds() {
  for (const Endpoint &Seed : Options.Seeds) {
    const PeerAddress To{Seed.Address, Seed.Port};
    std::string Document;
    Peers.exchange(To, Tuning.FetchTimeout, [&](wire::Peer::Client &Peer) {
      return Peer.pointerRequest().send().then([&Document](auto &&Reply) {
        Document = bytesOfData(Reply.getDocument());
      });
    });
    const auto Head = verifyPointer(Document, {Operator});
    if (!Head.ok())
      continue;
    processPointer({}, Document);
    for (const ChunkRef &Ref : Head->Chunks) {
      if (chunk(Ref.ContentDigest))
        continue;
      std::string Content;
      Peers.exchange(To, Tuning.FetchTimeout, [&](wire::Peer::Client &Peer) {
        auto Request = Peer.chunkRequest();
        Request.setDigest(toDataReader(Ref.ContentDigest));
        return Request.send().then([&Content](auto &&Reply) {
          if (Reply.getFound())
            Content = bytesOfData(Reply.getContent());
        });
      });
      processChunk({Fetch::Kind::Chunk, Ref.ContentDigest, std::nullopt},
                   Content);
    }
    return;
  }
}

} // namespace pollenwick
