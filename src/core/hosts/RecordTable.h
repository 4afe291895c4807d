#ifndef POLLENWICK_CORE_HOSTS_RECORDTABLE_H
#define POLLENWICK_CORE_HOSTS_RECORDTABLE_H

#include <cstdint>
#include <map>
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
  std::map<std::string, Instant>
      RemovalDeadlines; ///< Items missing from a list after an outage.
};

/// Stores a record if it is newer than the stored one. Returns true if it was.
bool applyRecord(RecordTable &Table, const Record &New);

/// Applies a full list as of revision `AsOf`. Items that the list does not
/// contain are removed. After an outage of the service (`AfterOutage`) they are
/// kept for `MissingRecordGrace`, because entries that could not be renewed
/// during the outage have expired and their servers register again. Returns the
/// ids of the changed items.
std::vector<std::string> applyList(RecordTable &Table,
                                   const std::vector<Record> &List,
                                   std::uint64_t AsOf, bool AfterOutage,
                                   Instant Now);

/// Removes the items whose grace period has ended. Returns their ids.
std::vector<std::string> expireMissing(RecordTable &Table, Instant Now);

/// Returns the records newer than revision `After`, oldest first.
std::vector<Record> recordsAfter(const RecordTable &Table, std::uint64_t After);

/// Time for which an item stays after a list without it has followed an outage.
inline constexpr Duration MissingRecordGrace = std::chrono::milliseconds(2200);

} // namespace pollenwick

#endif
