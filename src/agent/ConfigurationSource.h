#ifndef POLLENWICK_AGENT_CONFIGURATIONSOURCE_H
#define POLLENWICK_AGENT_CONFIGURATIONSOURCE_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/hosts/RecordTable.h"
#include "core/hosts/SourceReaders.h"
#include "pollenwick/Time.h"

namespace pollenwick::agent {

/// A list or a set of changes read from the configuration service, or the
/// failure of a read.
struct ConfigurationUpdate {
  RecordKind Kind = RecordKind::Rules;
  bool IsFullList = false;        ///< `Records` holds all existing records.
  bool AfterOutage = false;       ///< First successful read after an outage.
  std::uint64_t AsOfRevision = 0; ///< Revision that `Records` reflects.
  Instant ConfirmedAt; ///< `Records` are at least as new as this time.
  std::vector<Record> Records;
  bool Unavailable =
      false; ///< The read failed; only `Kind` and the reason are set.
  std::string UnavailableReason; ///< Error of the failed read.
};

/// Reads the configuration service on its own threads and calls `OnUpdate` on
/// those threads.
class ConfigurationSource {
public:
  virtual ~ConfigurationSource() = default;
  /// Starts the threads, which read until `stop`.
  virtual void start(std::function<void(ConfigurationUpdate &&)> OnUpdate) = 0;
  virtual void stop() = 0;
  /// Starts or stops to read; a source reads after `start`. `AfterOutage` is
  /// set if other nodes have reported an outage since this one stopped. Safe to
  /// call from any thread.
  virtual void use(SourceUse Use, bool AfterOutage) = 0;
  /// Returns since when a read of these records has waited for its answer;
  /// unset if none does. Safe to call from any thread.
  virtual std::optional<Instant> waitingSince(RecordKind Kind) const = 0;
};

} // namespace pollenwick::agent

#endif
