#include "node/ActiveBundle.h"

namespace pollenwick {
namespace {

RevisionKey keyOf(const RevisionRef &Ref) { return {Ref.Number, Ref.Root}; }

} // namespace

BundlePtr buildActiveBundle(Bundle Rules, const RevisionPointer &Head) {
  auto Out = std::make_shared<ActiveBundle>();
  Out->SourceBundle = std::make_shared<const Bundle>(std::move(Rules));
  Out->ActiveRevision = {Head.Number, Head.Root};
  const HostListRun &Run = Head.HostList;
  Out->HostListHistory = {Run.FirstRevision.Number.Value == 0
                              ? Out->ActiveRevision
                              : keyOf(Run.FirstRevision),
                          keyOf(Run.PreviousRunStart)};
  Out->Reach = buildBundleIndex(*Out->SourceBundle);
  Out->Routes = indexRoutes(Out->SourceBundle);
  Out->ApiKeys = indexKeys(Out->SourceBundle);
  for (const HostSpec &Host : Out->SourceBundle->Hosts)
    Out->Hosts.emplace(Host.Id, &Host);
  for (const RouteSpec &Route : Out->SourceBundle->Routes)
    Out->RankByClass.emplace(
        Route.Class,
        Out->Reach.Routes[Out->Reach.RouteByName.at(Route.Id)].Rank);
  return Out;
}

const HostSpec *findHost(const ActiveBundle &Bundle, const HostId &Host) {
  const auto It = Bundle.Hosts.find(Host);
  return It == Bundle.Hosts.end() ? nullptr : It->second;
}

std::uint32_t classRank(const ActiveBundle &Bundle, const ClassId &Class) {
  const auto It = Bundle.RankByClass.find(Class);
  return It == Bundle.RankByClass.end() ? Bundle.Reach.RankCount - 1
                                        : It->second;
}

PeerAddress peerAddress(const HostSpec &Host) {
  return {Host.Address, Host.PeerPort};
}

BundlePtr BundleStore::current() const {
  std::scoped_lock Lock(Mutex);
  return Current;
}

void BundleStore::replace(BundlePtr New) {
  const BundlePtr Old = current();
  for (const Listener &Notify : Listeners)
    Notify(Old, New);
  std::scoped_lock Lock(Mutex);
  Current = std::move(New);
}

} // namespace pollenwick
