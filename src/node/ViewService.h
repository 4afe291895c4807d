#ifndef POLLENWICK_NODE_VIEWSERVICE_H
#define POLLENWICK_NODE_VIEWSERVICE_H

#include <mutex>

#include <Poco/JSON/Object.h>

#include "core/view/View.h"
#include "node/ActiveBundle.h"
#include "peer/Peer.capnp.h"

namespace pollenwick {

/// The node's view lease, shared by all duties. Thread-safe; the configuration
/// duty alone asks questions and records answers.
class ViewService {
public:
  explicit ViewService(const HostId &Self);

  ViewLease lease() const;
  bool holdsLease() const;

  /// Runs a decision on the state under the lock.
  template <typename F> auto withState(F &&Run) {
    std::scoped_lock Lock(Mutex);
    return Run(State);
  }

  void setHeldRevision(const ActiveBundle &Bundle);
  void answerConfirm(wire::Confirmation::Builder Out);
  void answerWitness(wire::WitnessAnswer::Builder Out);
  void dump(Poco::JSON::Object &Out) const;

private:
  mutable std::mutex Mutex;
  ViewState State;
};

} // namespace pollenwick

#endif
