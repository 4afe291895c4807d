#ifndef POLLENWICK_NODE_CONFIGUPDATER_H
#define POLLENWICK_NODE_CONFIGUPDATER_H

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "bundle/Published.h"
#include "bundle/Signing.h"
#include "core/config/Config.h"
#include "node/Counters.h"
#include "node/ServiceRegistry.h"
#include "node/Settings.h"
#include "node/ViewService.h"
#include "peer/PeerTransport.h"

namespace pollenwick {

class ConfigClient;

/// Keeps the node's view fresh and brings new bundles into force. Its thread
/// asks the configuration service, other nodes and the witnesses when due;
/// answers of other nodes reach it through an inbox.
class ConfigUpdater final : public Component {
public:
  ConfigUpdater(const Settings &S, const IncarnationId &Self,
                PublicKey Operator, const ServiceRegistry &Registry);
  ~ConfigUpdater() override;

  std::string_view name() const override { return "config"; }
  void start() override;
  void stop() override;
  void dump(Poco::JSON::Object &Out) const override;

  // Called by the membership duty.
  void setPullSources(bool IsWatcher, std::vector<HostId> Parents);
  void noteAnnouncedVersion(const ConfigVersion &Announced, const HostId &From);

  // Requests of other nodes; thread-safe.
  std::string pointerDocument(const std::optional<Digest> &Root) const;
  /// Nothing when the pointer in force is asked for and has the root
  /// `HeldRoot`.
  std::optional<std::string>
  pointerIfChanged(const std::optional<Digest> &Root,
                   const std::optional<Digest> &HeldRoot) const;
  std::optional<std::string> chunk(const Digest &ChunkDigest) const;

private:
  /// What became of a fetch; no content: the source did not answer.
  struct FetchResult {
    Fetch What;
    std::optional<std::string> Content;
  };
  static constexpr std::size_t MaxInboxResults = 256;

  void run();
  void ask(const ViewQuery &Question);
  void askService(const ViewQuery &Question);
  void askParent(const ViewQuery &Question);
  void askWitness(const ViewQuery &Question);
  void fetch(const Fetch &What);
  void fetchFromService(const Fetch &What);
  void fetchFromPeer(const PeerAddress &Peer, const Fetch &What);
  void fetchFromSeeds();
  void enqueueResult(FetchResult Got);
  void processResult(const FetchResult &Got);
  absl::StatusOr<RevisionPointer> verifyDocument(const std::string &Text) const;
  void processPointer(const Fetch &What, const std::string &Text);
  void processChunk(const Fetch &What, const std::string &Content);
  void activateNewBundle();
  std::optional<PeerAddress> addressOf(const HostId &Host) const;
  void recordError(const std::string &ErrorText);

  const Settings Options;
  const IncarnationId Self;
  const PublicKey Operator;
  const ConfigSettings Tuning;
  Counters &NodeCounters;
  ViewService &View;
  BundleStore &Bundles;
  PeerTransport &Peers;
  std::unique_ptr<ConfigClient> Service;

  mutable std::mutex Mutex;
  ConfigState State;
  PullSources Sources;
  std::map<Digest, std::string> DocumentsByRoot; ///< Pointers by root.
  std::vector<Digest> DocumentOrder;             ///< Oldest first.
  ChunkMap Chunks;
  std::optional<RevisionPointer>
      AppliedPointer; ///< The pointer that is in force here.
  std::string LastError;

  std::mutex InboxMutex;
  std::vector<FetchResult> Inbox;

  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace pollenwick

#endif
