#include <catch2/catch.hpp>

#include "node/ConfigUpdater.h"

using namespace pollenwick;

TEST_CASE("An unverified revision in a heartbeat cannot end a view lease",
          "[node]") {
  // Guards against a forged heartbeat that names a revision for which no signed
  // bundle exists: the view would count as outdated, and the node would lose
  // its view lease, until such a revision was published.
  const IncarnationId Self{HostId("cobros-1"), StartId(1)};
  ComponentRegistry Registry;
  Counters NodeCounters;
  BundleStore Bundles;
  ViewService View(Self.Host);
  PeerTransport Peers({}, 1);
  Registry.add("counters", NodeCounters);
  Registry.add("bundles", Bundles);
  Registry.add("view", View);
  Registry.add("peers", Peers);
  ConfigUpdater Config(Settings{}, Self, PublicKey{}, Registry);
  Config.noteAnnouncedVersion({Revision(99), Digest{7}}, HostId("galeria-2"));
  CHECK(View.withState([](const ViewState &V) {
    return V.NewestKnown.Number;
  }) == Revision(0));
}
