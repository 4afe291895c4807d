#ifndef POLLENWICK_TESTS_CONFIG_SIMULATION_H
#define POLLENWICK_TESTS_CONFIG_SIMULATION_H

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "core/config/Config.h"
#include "core/membership/Membership.h"

namespace pollenwick::simulation {

using std::chrono::milliseconds;

enum class FaultKind : std::uint8_t {
  Publish,      ///< An operator publishes the next revision.
  Race,         ///< Two operators publish siblings, the lower one last.
  ServiceDown,  ///< The service is down for `Length`.
  ServiceFlaps, ///< Up and down every 300 ms for `Length`.
  ServiceStale, ///< Answers are some revisions old.
  Restart,      ///< A node loses its state.
  RestartMany,  ///< A third of the nodes restart together.
  Pause,        ///< A node does nothing for `Length`.
  Cut,          ///< A zone is cut off from the others and the service.
  CutOneWay,    ///< Messages out of a zone are lost.
  Disorder,     ///< Messages are delayed up to 2 s and duplicated.
};
constexpr int FaultKinds = 11;

/// A fault to inject into the simulated fleet.
struct Fault {
  milliseconds At{0}; ///< Start, relative to the call of `apply`.
  FaultKind Kind = FaultKind::Publish;
  std::uint32_t TargetDraw = 0; ///< Selects the node, zone or age.
  milliseconds Length{0};
};

struct FleetOptions {
  std::size_t Nodes = 30;
  std::size_t Zones = 3;
  bool LastReadWins = false; ///< Baseline: adopts any revision it reads.
  std::uint32_t Seed = 20261204;
};

struct Node {
  HostId Host;
  std::size_t Zone = 0;
  ConfigState State;
  PullSources Sources;
  std::uint32_t Incarnation = 0;
  Instant PausedUntil;
  Instant ConfirmedAt;
  Instant NextHeartbeatAt;
  ConfigVersion LastReadVersion;
  ConfigVersion Previous;      ///< Version in force before the restart.
  bool PreviousIsSafe = false; ///< A majority of the witnesses held it.
  ConfigVersion Highest;       ///< Highest in force in this incarnation.
  ConfigVersion HighestHeard;  ///< Highest version received during the start.
  std::set<HostId> WitnessesHeard;
};

/// Simulates a fleet, its configuration service and the network between them on
/// a virtual clock.
class Fleet {
public:
  explicit Fleet(const FleetOptions &Options);

  void apply(const std::vector<Fault> &Faults);
  void run(milliseconds Length);
  /// Publishes a revision whose parent is `Parent`; null: the first revision.
  RevisionPointer publish(const RevisionPointer *Parent);
  void restart(std::size_t At);

  ConfigVersion inForce(const Node &Item) const;
  bool allAgree() const;
  bool allHave(const ConfigVersion &Wanted) const;
  const RevisionPointer *published() const;
  std::size_t maxReadsPerSecond(Instant From) const;

  FleetOptions Options;
  ConfigSettings Settings;
  Instant Now;
  std::vector<Node> Nodes;
  std::vector<HostId> Witnesses;
  std::vector<std::string> Violations;
  std::map<std::int64_t, std::size_t> ReadsBySecond;
  std::map<Digest, RevisionPointer> PointersByRoot;

private:
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  void schedule(Duration Delay, std::function<void()> Run);
  void tick(std::size_t At);
  void send(std::size_t From, const Fetch &Wanted);
  void sendToService(std::size_t From, const Fetch &Wanted);
  void deliver(std::size_t To, std::uint32_t Incarnation, const Fetch &Wanted,
               const std::optional<RevisionPointer> &Head, Instant Confirmed);
  void checkNoReversion(std::size_t At);
  void startFault(const Fault &Item);
  Duration latency();
  bool blocked(std::size_t FromZone, std::optional<std::size_t> ToZone) const;
  bool serviceDown() const;

  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
  std::mt19937 Random;
  MembershipState Members;
  MembershipSettings MemberSettings;
  std::vector<RevisionPointer>
      History; ///< Revisions as the service accepted them.
  Instant DownUntil;
  Instant FlapUntil;
  Instant StaleUntil;
  std::size_t StaleSize = 0;
  Instant DisorderUntil;
  std::vector<Instant> CutUntil;
  std::vector<Instant> CutOutUntil;
};

} // namespace pollenwick::simulation

#endif
