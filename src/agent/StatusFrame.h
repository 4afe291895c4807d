#ifndef POLLENWICK_AGENT_STATUSFRAME_H
#define POLLENWICK_AGENT_STATUSFRAME_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "core/fleet/CrashCounts.h"
#include "core/hosts/SourceReaders.h"
#include "core/placement/Placement.h"
#include "pollenwick/Time.h"

namespace pollenwick::agent {

/// One or two totals under a name; their meaning depends on the list.
struct NamedCount {
  std::string Name;
  std::uint64_t A = 0;
  std::uint64_t B = 0;
};

/// Counts by name; valid while the list that was indexed is unchanged.
using NamedCountIndex =
    absl::flat_hash_map<std::string_view, const NamedCount *>;
NamedCountIndex indexByName(const std::vector<NamedCount> &Counts);

/// Runs at the server of the node of the requests with one fingerprint.
struct CrashReport {
  std::uint64_t Fingerprint = 0;
  SuspectRuns Runs;
};

/// The periodic report of a node to its peers: its load and its totals since
/// its start. Mesh.capnp describes the fields.
struct StatusFrame {
  std::uint64_t Incarnation = 0;
  Instant SentAt; ///< Time at the sender, which orders its statuses.
  /// Revisions of the newest records that the node holds.
  std::uint64_t RulesRevision = 0;
  std::uint64_t ServersRevision = 0;
  std::uint64_t ServersDigest = 0; ///< See `digestOf`.
  SourceUse Source = SourceUse::Read;
  bool SourceLost = false; ///< The last read of the source has failed.
  /// Time for which the node has read the source without a failure; zero if it
  /// does not read.
  Duration SourceReadTime{};
  /// Time since the node's own read of the source confirmed its records; zero
  /// if it has not read them.
  Duration RulesAge{};
  Duration ServersAge{};
  std::string Service;
  std::string ServerId;
  ServerLoad Load;
  /// Expected slot time of the calls that arrived, in microseconds.
  std::uint64_t OfferedSlotMicros = 0;
  /// Slot time that the server provided while it was ready, in microseconds.
  std::uint64_t AvailableSlotMicros = 0;
  std::uint64_t Runs = 0; ///< Calls started at the server.
  /// Requests by customer; A: admitted, B: offered.
  std::vector<NamedCount> CustomerCounts;
  /// Requests of callers by plan key; A: admitted, B: offered.
  std::vector<NamedCount> RouteCounts;
  /// Requests by service; A: retries, B: requests without retries.
  std::vector<NamedCount> RetryCounts;
  /// Nested calls by service; A: calls, B: unused.
  std::vector<NamedCount> NestedCallCounts;
  /// Calls that the server ended, by route; A: number, B: their slot time in
  /// microseconds.
  std::vector<NamedCount> RouteWork;
  std::vector<CrashReport> Crashes;
};

std::string packStatus(const StatusFrame &Status);
/// Returns InvalidArgument if the bytes are not a packed status.
absl::StatusOr<StatusFrame> unpackStatus(std::string_view Packed);

/// Returns `Latest` without the named counts that equal those of `Sent`. Counts
/// are totals, so a peer that knows `Sent` can restore the full status.
StatusFrame changesSince(const StatusFrame &Latest, const StatusFrame &Sent);

/// Adds the counts of `Known` that `Changes` lacks, which restores the full
/// status from the result of `changesSince`.
void mergeStatus(StatusFrame &Changes, const StatusFrame &Known);

} // namespace pollenwick::agent

#endif
