#ifndef POLLENWICK_NODE_ACTIVEBUNDLE_H
#define POLLENWICK_NODE_ACTIVEBUNDLE_H

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "core/admission/BundleIndex.h"
#include "core/calls/RouteLookup.h"
#include "core/keys/Keys.h"
#include "core/quota/Holder.h"
#include "core/view/ViewLease.h"
#include "peer/PeerTransport.h"
#include "pollenwick/Bundle.h"
#include "pollenwick/Pointer.h"

namespace pollenwick {

/// An accepted configuration bundle with the lookup tables built from it.
/// Immutable.
struct ActiveBundle {
  std::shared_ptr<const Bundle> SourceBundle;
  RevisionKey ActiveRevision;
  /// First revisions with the current host list and with the one before.
  pollenwick::HostListHistory HostListHistory;
  BundleIndex Reach;
  RouteLookup Routes;
  KeyIndex ApiKeys;
  std::unordered_map<HostId, const HostSpec *> Hosts;
  std::unordered_map<ClassId, std::uint32_t>
      RankByClass; ///< Dense priority rank of each class, as in `Reach`.
};

/// Null while the node has no bundle.
using BundlePtr = std::shared_ptr<const ActiveBundle>;

/// Builds the lookup tables of an assembled bundle. `Head` is the pointer that
/// names its revision.
BundlePtr buildActiveBundle(Bundle Rules, const RevisionPointer &Head);

/// Returns the host's entry, owned by `Bundle`, or null if it lists no such
/// host.
const HostSpec *findHost(const ActiveBundle &Bundle, const HostId &Host);
/// Returns the dense rank of a class, or the last rank if no route of the
/// bundle has the class.
std::uint32_t classRank(const ActiveBundle &Bundle, const ClassId &Class);
/// Returns the address at which the node on `Host` serves other nodes.
PeerAddress peerAddress(const HostSpec &Host);

/// Holds the bundle in force and notifies listeners of a new one. `current` and
/// `replace` are thread-safe.
class BundleStore {
public:
  /// Returns the bundle in force, or null before the first one.
  BundlePtr current() const;

  using Listener =
      std::function<void(const BundlePtr &Old, const BundlePtr &New)>;
  /// Adds a listener. Not synchronized: listeners must be added before any
  /// component thread starts.
  void subscribe(Listener L) { Listeners.push_back(std::move(L)); }

  /// Runs the listeners in the calling thread, then makes `New` visible to
  /// `current`. Only the configuration thread calls this.
  void replace(BundlePtr New);

private:
  mutable std::mutex Mutex;
  BundlePtr Current;
  std::vector<Listener> Listeners;
};

} // namespace pollenwick

#endif
