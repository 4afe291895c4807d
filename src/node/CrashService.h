#ifndef POLLENWICK_NODE_CRASHSERVICE_H
#define POLLENWICK_NODE_CRASHSERVICE_H

#include <mutex>
#include <vector>

#include <Poco/JSON/Object.h>

#include "core/quarantine/Quarantine.h"
#include "node/BackendClient.h"
#include "node/Counters.h"
#include "node/Kernel.h"
#include "node/ActiveBundle.h"
#include "peer/PeerDuty.h"

namespace pollenwick {

/// Detects crashes of the local backend server and keeps requests that cause
/// them from running again. Thread-safe.
class CrashService {
public:
  CrashService(const IncarnationId &Self, const Kernel &Registry);

  StartVerdict start(const Fingerprint &Subject);
  void finish(const Fingerprint &Subject, bool Completed);
  bool quarantined(const Fingerprint &Subject) const;
  bool suspect(const Fingerprint &Subject) const;

  /// A connection to the local server was lost during a call that is still
  /// counted as in flight. Returns true when the server has crashed; the calls
  /// in flight are then suspects, known to all servers of the service or to
  /// those that answered within a short time. Blocks until then.
  bool onConnectionLost(BackendClient &Backend);

  void hear(const std::vector<Suspicion> &Heard);
  std::vector<Suspicion> gossip(std::size_t Limit) const;
  void tick();
  void dump(Poco::JSON::Object &Out) const;

private:
  bool spread(const std::vector<Suspicion> &News);

  const IncarnationId Self;
  Counters &Count;
  BundleStore &Bundles;
  PeerDuty &Peers;
  mutable std::mutex Mutex;
  Quarantine State;
  std::mutex DetectMutex; ///< One crash is handled by one thread.
  Instant LastCrash{};
};

} // namespace pollenwick

#endif
