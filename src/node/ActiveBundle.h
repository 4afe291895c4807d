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

/// An accepted bundle with the look-up tables made from it. Immutable.
struct ActiveBundle {
  std::shared_ptr<const Bundle> SourceBundle;
  RevisionKey ActiveRevision;
  pollenwick::HostListHistory HostListHistory; ///< Of the host list.
  BundleIndex Reach;
  RouteLookup Routes;
  KeyIndex ApiKeys;
  std::unordered_map<HostId, const HostSpec *> Hosts;
  std::unordered_map<ClassId, std::uint32_t>
      RankByClass; ///< Dense, as in `Reach`.
};

using BundlePtr = std::shared_ptr<const ActiveBundle>;

/// Makes the look-up tables of an assembled bundle.
BundlePtr buildActiveBundle(Bundle Rules, const RevisionPointer &Head);

/// Null when the bundle has no such host.
const HostSpec *findHost(const ActiveBundle &Bundle, const HostId &Host);
/// Dense rank of a class; the last one when the bundle does not use the class.
std::uint32_t classRank(const ActiveBundle &Bundle, const ClassId &Class);
PeerAddress peerAddress(const HostSpec &Host);

/// Holds the bundle in force. Thread-safe.
class BundleStore {
public:
  /// Null before the first bundle.
  BundlePtr current() const;

  using Listener =
      std::function<void(const BundlePtr &Old, const BundlePtr &New)>;
  /// Listeners are added before any duty starts.
  void subscribe(Listener L) { Listeners.push_back(std::move(L)); }

  /// Called by the configuration duty only. Listeners run in its thread before
  /// the bundle becomes visible.
  void replace(BundlePtr New);

private:
  mutable std::mutex Mutex;
  BundlePtr Current;
  std::vector<Listener> Listeners;
};

} // namespace pollenwick

#endif
