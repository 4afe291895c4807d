#ifndef POLLENWICK_CORE_HOSTS_RECORDTABLE_H
#define POLLENWICK_CORE_HOSTS_RECORDTABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenwick/Time.h"

namespace pollenwick {

enum class RecordKind : std::uint8_t { Rules, Server };

/// An item of the configuration service, or the marker of a deleted item.
struct Record {
  RecordKind Kind = RecordKind::Server;
  std::string Id;
  std::uint64_t Revision = 0;
  bool Deleted = false;
  std::string Value;
};

/// The known items of one kind. The newest revision of an item wins, regardless
/// of its source, so that reports may arrive late or more than once.
struct RecordTable {
  std::map<std::string, Record>
      Records;                ///< Includes the markers of deleted items.
  std::uint64_t Revision = 0; ///< All changes up to this one are included.
  /// Every item that was deleted after this revision has a marker, unless a
  /// later `Revision` was reached by a full list.
  std::uint64_t MarkersSince = 0;
  std::map<std::string, Instant>
      RemovalDeadlines; ///< Items missing from a list after an outage.
};

/// Stores a record if it is newer than the stored one. An unknown item that is
/// not newer than the table was deleted before, so a node that has missed the
/// deletion cannot bring it back. Returns true if the record was stored.
bool applyRecord(RecordTable &Table, const Record &New);

/// Returns until when items are kept that a list after an outage of the source
/// lacks: entries that could not be renewed in the outage have expired, and
/// their servers register again within `MissingRecordGrace` of its end.
/// `ReadableSince` is the earliest time from which a node is known to have read
/// the source without a failure; not set if no node is.
Instant missingItemsKeptUntil(std::optional<Instant> ReadableSince,
                              Instant Now);

/// Applies a full list as of revision `AsOf`. Items that the list does not
/// contain are removed at `KeepMissingUntil`, at once if that has passed.
/// Returns the ids of the changed items.
std::vector<std::string> applyList(RecordTable &Table,
                                   const std::vector<Record> &List,
                                   std::uint64_t AsOf, Instant KeepMissingUntil,
                                   Instant Now);

/// Removes the missing items that are due, and all of them if
/// `KeepMissingUntil` has passed, because the end of the outage may become
/// known only after the list was read. Returns their ids.
std::vector<std::string> expireMissing(RecordTable &Table,
                                       Instant KeepMissingUntil, Instant Now);

/// Records that one node passes on to another.
struct RecordBatch {
  /// The receiver needs all changes up to this revision to be complete up to
  /// `AsOf`; ignored for a full list.
  std::uint64_t From = 0;
  std::uint64_t AsOf = 0;
  bool IsFullList = false; ///< `Records` holds all existing items.
  std::vector<Record> Records;
};

/// Returns what a node that has all changes up to `After` lacks, oldest first:
/// the newer records, or the full list if markers of deleted items are missing.
RecordBatch batchAfter(const RecordTable &Table, std::uint64_t After);

/// Result of applying a batch.
struct BatchResult {
  std::vector<std::string> ChangedIds;
  /// True if the table lacks changes between its revision and `From`.
  bool HasGap = false;
};

/// Applies records that a peer has sent. Items that its full list lacks are
/// removed at `KeepMissingUntil`, at once if that has passed: the peer may have
/// started after an outage.
BatchResult applyBatch(RecordTable &Table, const RecordBatch &Batch,
                       Instant KeepMissingUntil, Instant Now);

/// Forgets the oldest markers of deleted items beyond `MaxMarkers`.
void pruneMarkers(RecordTable &Table, std::size_t MaxMarkers);

/// Returns the revision of the newest record, 0 if there is none.
std::uint64_t newestRecord(const RecordTable &Table);

/// Returns a hash of the ids and revisions of the existing items, which is the
/// same for all tables with the same items.
std::uint64_t digestOf(const RecordTable &Table);

/// Time after the end of an outage of the source for which an item stays that a
/// list lacks.
inline constexpr Duration MissingRecordGrace = std::chrono::milliseconds(2200);

} // namespace pollenwick

#endif
