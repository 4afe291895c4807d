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
#include "node/ComponentRegistry.h"
#include "node/Counters.h"
#include "node/Settings.h"
#include "node/ViewService.h"
#include "peer/PeerTransport.h"

namespace pollenwick {

class ConfigClient;

/// Keeps the node's view of the configuration confirmed and puts new bundles
/// into force. Its thread polls the configuration service, other nodes and the
/// witnesses when due; results of fetches from other nodes reach it through an
/// inbox.
class ConfigUpdater final : public Component {
public:
  ConfigUpdater(const Settings &S, const IncarnationId &Self,
                PublicKey Operator, const ComponentRegistry &Registry);
  ~ConfigUpdater() override;

  std::string_view name() const override { return "config"; }
  void start() override;
  void stop() override;
  void dump(Poco::JSON::Object &Out) const override;

  /// Sets where pointers and chunks are read from. Watchers read from the
  /// configuration service. Other nodes read from their parents, and from the
  /// service only while they have no parent or no bundle. Called by the
  /// membership service.
  void setPullSources(bool IsWatcher, std::vector<HostId> Parents);
  /// Records that node `From` announced a version, as a hint to fetch it there.
  void noteAnnouncedVersion(const ConfigVersion &Announced, const HostId &From);

  // The functions below answer requests of other nodes. Thread-safe.

  /// Returns the signed pointer with the root `Root`, or the one in force if
  /// `Root` is unset; empty if this node does not hold it.
  std::string pointerDocument(const std::optional<Digest> &Root) const;
  /// Like `pointerDocument`, but returns nothing if the pointer in force is
  /// requested and its root is `HeldRoot`, which the requester already has.
  std::optional<std::string>
  pointerIfChanged(const std::optional<Digest> &Root,
                   const std::optional<Digest> &HeldRoot) const;
  /// Returns the content of a chunk, or nothing if this node does not hold it.
  std::optional<std::string> chunk(const Digest &ChunkDigest) const;

private:
  /// Result of a fetch. `Content` is unset if the source did not answer or did
  /// not hold a requested chunk, and empty if it did not hold the pointer.
  struct FetchResult {
    Fetch What;
    std::optional<std::string> Content;
  };
  /// Results that arrive while the inbox holds this number are dropped, and
  /// their fetches are repeated when due.
  static constexpr std::size_t MaxInboxResults = 256;

  void run();
  /// Sends a query that renews the view lease to the source that it names.
  void ask(const ViewQuery &Question);
  void askService(const ViewQuery &Question);
  void askParent(const ViewQuery &Question);
  void askWitness(const ViewQuery &Question);
  /// Starts a fetch from the node that it names, or from the configuration
  /// service if it names none.
  void fetch(const Fetch &What);
  void fetchFromService(const Fetch &What);
  void fetchFromPeer(const PeerAddress &Peer, const Fetch &What);
  /// Fetches the pointer and its chunks from the first seed that has a valid
  /// pointer. Blocks.
  void fetchFromSeeds();
  /// Adds a result to the inbox. Called from any thread.
  void enqueueResult(FetchResult Got);
  void processResult(const FetchResult &Got);
  /// Parses a pointer and verifies its signature with the operator's key.
  absl::StatusOr<RevisionPointer> verifyDocument(const std::string &Text) const;
  void processPointer(const Fetch &What, const std::string &Text);
  void processChunk(const Fetch &What, const std::string &Content);
  /// Builds the newest complete bundle and puts it into force. A bundle that
  /// cannot be assembled is rejected, and the previous one stays in force.
  void activateNewBundle();
  /// Returns the address of a host, or nothing if the bundle does not list it.
  std::optional<PeerAddress> addressOf(const HostId &Host) const;
  /// Keeps the text as `LastError` and counts the error in
  /// `Counter::BundlesRejected`, also if a read of the service failed.
  void recordError(const std::string &ErrorText);

  const Settings Options;
  const IncarnationId Self;
  const PublicKey Operator; ///< Key that signs the pointers.
  const ConfigSettings Tuning;
  Counters &NodeCounters;
  ViewService &View;
  BundleStore &Bundles;
  PeerTransport &Peers;
  std::unique_ptr<ConfigClient> Service;

  mutable std::mutex Mutex;
  ConfigState State;
  PullSources Sources;
  std::map<Digest, std::string> DocumentsByRoot; ///< Signed pointers.
  std::vector<Digest> DocumentOrder;             ///< Roots, oldest first.
  ChunkMap Chunks;
  /// Pointer of the bundle in force; unset before the first bundle.
  std::optional<RevisionPointer> AppliedPointer;
  /// Latest error since the last bundle came into force; empty if none.
  std::string LastError;

  std::mutex InboxMutex;
  std::vector<FetchResult> Inbox;

  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace pollenwick

#endif
