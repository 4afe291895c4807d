#ifndef POLLENWICK_NODE_NODE_H
#define POLLENWICK_NODE_NODE_H

#include <memory>
#include <string>

#include "bundle/Signing.h"
#include "node/Settings.h"

namespace pollenwick {

/// Creates, connects, starts and stops all components of a node process.
class Node {
public:
  /// `Operator` is the key that must have signed every configuration bundle.
  Node(const Settings &Options, const PublicKey &Operator);
  ~Node();

  /// Opens all ports and starts the components. Returns an empty string on
  /// success, otherwise an error message that names the remedy.
  std::string start();

  /// Shuts down gracefully: refuses new calls, gives connected callers time to
  /// move to other nodes, finishes the calls in flight and returns unspent
  /// quota to its holders. Blocks until the shutdown is complete.
  void drainAndStop();

  /// Starts refusing new calls. The process keeps running.
  void beginDrain();

private:
  struct OwnedComponents;
  std::unique_ptr<OwnedComponents> Owned;
};

} // namespace pollenwick

#endif
