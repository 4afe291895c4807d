#ifndef POLLENWICK_NODE_NODE_H
#define POLLENWICK_NODE_NODE_H

#include <memory>
#include <string>

#include "bundle/Signing.h"
#include "node/Settings.h"

namespace pollenwick {

/// All parts of one node process.
class Node {
public:
  Node(const Settings &Options, const PublicKey &Operator);
  ~Node();

  /// Returns an empty string, or an error that names the remedy.
  std::string start();

  /// Graceful shutdown: refuses new calls, gives callers time to move, finishes
  /// the calls in flight and hands back unspent quota. Returns when done.
  void drainAndStop();

  /// Starts refusing calls, without ending the process.
  void beginDrain();

private:
  struct OwnedComponents;
  std::unique_ptr<OwnedComponents> Owned;
};

} // namespace pollenwick

#endif
