#include "node/ViewService.h"

#include "peer/Clock.h"
#include "peer/QuotaWire.h"

namespace pollenwick {

ViewService::ViewService(const HostId &Self)
    : State(makeViewState(Self, now())) {
  // Every node is a watcher until a bundle gives its position in the zone.
  State.IsWatcher = true;
}

ViewLease ViewService::lease() const {
  std::scoped_lock Lock(Mutex);
  return viewLease(State);
}

bool ViewService::holdsLease() const { return lease().isValidAt(now()); }

void ViewService::setHeldRevision(const ActiveBundle &Bundle) {
  std::scoped_lock Lock(Mutex);
  adoptRevision(State, Bundle.ActiveRevision, Bundle.HostListHistory.HostsSince,
                Bundle.SourceBundle->Rules, now());
}

void ViewService::answerConfirm(wire::Confirmation::Builder Out) {
  std::scoped_lock Lock(Mutex);
  const auto Answer = pollenwick::answerConfirm(State, now());
  Out.setKnown(Answer.has_value());
  if (!Answer)
    return;
  writeMessage(Out.initHeld(), Answer->HeldRevision);
  Out.setAgeMicros(Answer->Age.count());
}

void ViewService::answerWitness(wire::WitnessAnswer::Builder Out) {
  std::scoped_lock Lock(Mutex);
  const auto Answer = pollenwick::answerWitness(State, now());
  Out.setKnown(Answer.has_value());
  if (!Answer)
    return;
  writeMessage(Out.initHeld(), Answer->HeldRevision);
  writeMessage(Out.initHostsSince(), Answer->HostsSince);
  Out.setHostsHeldMicros(Answer->HostsHeldFor.count());
}

void ViewService::dump(Poco::JSON::Object &Out) const {
  std::scoped_lock Lock(Mutex);
  const Instant Now = now();
  const ViewLease Lease = viewLease(State);
  Out.set("lease_valid", Lease.isValidAt(Now));
  Out.set("lease_remaining_ms", (Lease.Until - Now).count() / 1000);
  Out.set("anchored", Lease.HostListMajorityAt.has_value());
  Out.set("watcher", State.IsWatcher);
  Out.set("newest_known_revision", State.NewestKnown.Number.Value);
}

} // namespace pollenwick
