#include "node/ViewService.h"

#include "peer/Clock.h"
#include "peer/QuotaWire.h"

namespace pollenwick {

ViewService::ViewService(const HostId &Self) : State(makeView(Self, now())) {
  State.Watcher = true; // Until a bundle tells the place in the zone.
}

ViewLease ViewService::lease() const {
  std::scoped_lock Lock(Mutex);
  return viewLease(State);
}

bool ViewService::holdsLease() const { return lease().validAt(now()); }

void ViewService::setHeldRevision(const ActiveBundle &Bundle) {
  std::scoped_lock Lock(Mutex);
  holdRevision(State, Bundle.ActiveRevision, Bundle.Succession.HostsSince,
               Bundle.SourceBundle->Rules, now());
}

void ViewService::answerConfirm(wire::Confirmation::Builder Out) {
  std::scoped_lock Lock(Mutex);
  const auto Answer = pollenwick::answerConfirm(State, now());
  Out.setKnown(Answer.has_value());
  if (!Answer)
    return;
  writeMessage(Out.initHeld(), Answer->Held);
  Out.setAgeMicros(Answer->Age.count());
}

void ViewService::answerWitness(wire::WitnessAnswer::Builder Out) {
  std::scoped_lock Lock(Mutex);
  const auto Answer = pollenwick::answerWitness(State, now());
  Out.setKnown(Answer.has_value());
  if (!Answer)
    return;
  writeMessage(Out.initHeld(), Answer->Held);
  writeMessage(Out.initHostsSince(), Answer->HostsSince);
  Out.setHostsHeldMicros(Answer->HostsHeldFor.count());
}

void ViewService::dump(Poco::JSON::Object &Out) const {
  std::scoped_lock Lock(Mutex);
  const Instant Now = now();
  const ViewLease Lease = viewLease(State);
  Out.set("lease_valid", Lease.validAt(Now));
  Out.set("lease_remaining_ms", (Lease.Until - Now).count() / 1000);
  Out.set("anchored", Lease.AnchoredAt.has_value());
  Out.set("watcher", State.Watcher);
  Out.set("newest_known_revision", State.NewestKnown.Number.Value);
}

} // namespace pollenwick
