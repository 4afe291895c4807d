#ifndef POLLENWICK_CORE_HOSTS_RECORDTABLE_H
#define POLLENWICK_CORE_HOSTS_RECORDTABLE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pollenwick/Time.h"

namespace pollenwick {

enum class RecordKind : std::uint8_t { Rules, Server };

/// One item of the configuration service, or its removal.
struct Record {
  RecordKind Kind = RecordKind::Server;
  std::string Id;
  std::uint64_t Revision = 0;
  bool Deleted = false;
  std::string Value;
};

/// What is known of the items of one kind. The newest revision of an item
/// wins, whoever reported it, so that a report can arrive twice or late.
struct RecordTable {
  std::map<std::string, Record> Records; ///< Removals stay as markers.
  std::uint64_t Revision = 0;            ///< Everything up to here is held.
  std::map<std::string, Instant>
      RemovalDeadlines; ///< Held although a list lacks them.
};

/// Stores a record. Returns whether it was newer than what was held.
bool applyRecord(RecordTable &Table, const Record &New);

/// Applies a full list as of `AsOf`. An item that the list lacks is removed;
/// after an outage of the service (`AfterOutage`) it is kept until
/// `MissingRecordGrace` has passed, since the service expires entries that
/// could not be renewed and their servers register again. Returns the ids that
/// changed.
std::vector<std::string> applyList(RecordTable &Table,
                                   const std::vector<Record> &List,
                                   std::uint64_t AsOf, bool AfterOutage,
                                   Instant Now);

/// Removes the items whose grace has ended. Returns their ids.
std::vector<std::string> expireMissing(RecordTable &Table, Instant Now);

/// Records newer than `After`, oldest first.
std::vector<Record> recordsAfter(const RecordTable &Table, std::uint64_t After);

inline constexpr Duration MissingRecordGrace = std::chrono::milliseconds(2200);

} // namespace pollenwick

#endif
