#ifndef POLLENWICK_NODE_CONFIGDUTY_H
#define POLLENWICK_NODE_CONFIGDUTY_H

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/status/statusor.h"
#include "bundle/Published.h"
#include "bundle/Signing.h"
#include "node/Counters.h"
#include "node/Kernel.h"
#include "node/Settings.h"
#include "node/ViewService.h"
#include "peer/PeerDuty.h"

namespace pollenwick {

class ConfigClient;

/// Keeps the node's view fresh and brings new bundles into force. Asks the
/// configuration service, other nodes and the witnesses when due.
class ConfigDuty final : public Duty {
public:
  ConfigDuty(const Settings &S, PublicKey Operator, const Kernel &Registry);
  ~ConfigDuty() override;

  std::string_view name() const override { return "config"; }
  void start() override;
  void stop() override;
  void dump(Poco::JSON::Object &Out) const override;

  // Requests of other nodes; thread-safe.
  std::string pointerDocument() const;
  std::optional<std::string> chunk(const Digest &Sum) const;

private:
  void run();
  void ask(const ViewQuestion &Question);
  void askService(const ViewQuestion &Question);
  void askParent(const ViewQuestion &Question);
  void askWitness(const ViewQuestion &Question);
  void askSeeds();
  void fetchFromPeer(const PeerAddress &Peer);

  /// Accepts a pointer document when it is signed and newer, fetching missing
  /// chunks from `Peer` first, if given, and then from the service.
  void offer(const std::string &Document, const PeerAddress *Peer);
  std::optional<std::string> fetchChunk(const Digest &Sum,
                                        const PeerAddress *Peer);
  std::optional<PeerAddress> addressOf(const HostId &Host) const;

  const Settings Options;
  const PublicKey Operator;
  Counters &Count;
  ViewService &View;
  BundleStore &Bundles;
  PeerDuty &Peers;
  std::unique_ptr<ConfigClient> Service;

  mutable std::mutex Mutex;
  std::string Document; ///< Pointer in force, as published.
  ChunkMap Chunks;      ///< Of the pointer in force and the one before.
  std::string LastError;
  std::vector<PeerAddress> Newer; ///< Peers that named a newer revision.

  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace pollenwick

#endif
