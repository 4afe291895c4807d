#include "node/ActiveBundle.h"

#include <algorithm>

namespace pollenwick {
namespace {

bool sameHosts(const Bundle &A, const Bundle &B) {
  return std::ranges::equal(
             A.Hosts, B.Hosts,
             [](const HostSpec &X, const HostSpec &Y) {
               return X.Id == Y.Id && X.Zone == Y.Zone;
             }) &&
         A.Rules.Witnesses == B.Rules.Witnesses;
}

// A revision between the two may have had other hosts unless one is the parent
// of the other; the later number is then the safe side: it makes a holder wait.
Succession successionOf(const Bundle &New, const RevisionKey &Key,
                        const BundlePtr &Previous) {
  if (!Previous || New.Parent != Previous->Key.Root)
    return {Key, {}};
  if (sameHosts(New, *Previous->Rules))
    return Previous->Succession;
  return {Key, Previous->Succession.HostsSince};
}

} // namespace

BundlePtr activate(Bundle Rules, const Digest &Root,
                   const BundlePtr &Previous) {
  auto Out = std::make_shared<ActiveBundle>();
  Out->Rules = std::make_shared<const Bundle>(std::move(Rules));
  Out->Key = {Out->Rules->Number, Root};
  Out->Succession = successionOf(*Out->Rules, Out->Key, Previous);
  Out->Reach = buildReachTable(*Out->Rules);
  Out->Routes = indexRoutes(Out->Rules);
  Out->Keys = indexKeys(Out->Rules);
  for (const HostSpec &Host : Out->Rules->Hosts)
    Out->Hosts.emplace(Host.Id, &Host);
  return Out;
}

const HostSpec *findHost(const ActiveBundle &Bundle, const HostId &Host) {
  const auto It = Bundle.Hosts.find(Host);
  return It == Bundle.Hosts.end() ? nullptr : It->second;
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
