#ifndef POLLENWICK_NODE_VIEWSERVICE_H
#define POLLENWICK_NODE_VIEWSERVICE_H

#include <mutex>

#include <Poco/JSON/Object.h>

#include "core/view/View.h"
#include "node/ActiveBundle.h"
#include "peer/Peer.capnp.h"

namespace pollenwick {

/// Holds the node's view lease, which all components share. Thread-safe. Only
/// the ConfigUpdater queries other nodes and records their answers.
class ViewService {
public:
  explicit ViewService(const HostId &Self);

  ViewLease lease() const;
  /// Returns true while the view lease is valid.
  bool holdsLease() const;

  /// Calls `Run` with the state while holding the lock and returns its result.
  template <typename F> auto withState(F &&Run) {
    std::scoped_lock Lock(Mutex);
    return Run(State);
  }

  /// Records the revision and host list of a bundle that has become active.
  void setHeldRevision(const ActiveBundle &Bundle);
  /// Answers another node with the revision that this node holds and the age of
  /// its confirmation. `known` is false while there is no confirmation.
  void answerConfirm(wire::Confirmation::Builder Out);
  /// Answers another node, as a witness, with the revision and host list that
  /// this node holds and for how long it has held the list. `known` is false
  /// until a confirmation newer than the start of this node.
  void answerWitness(wire::WitnessAnswer::Builder Out);
  void dump(Poco::JSON::Object &Out) const;

private:
  mutable std::mutex Mutex;
  ViewState State;
};

} // namespace pollenwick

#endif
