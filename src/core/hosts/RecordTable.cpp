#include "core/hosts/RecordTable.h"

#include <algorithm>
#include <set>

namespace pollenwick {

bool applyRecord(RecordTable &Table, const Record &New) {
  Record &Stored = Table.Records[New.Id];
  if (New.Revision <= Stored.Revision)
    return false;
  Stored = New;
  Table.RemovalDeadlines.erase(New.Id);
  return true;
}

std::vector<std::string> applyList(RecordTable &Table,
                                   const std::vector<Record> &List,
                                   std::uint64_t AsOf, bool AfterOutage,
                                   Instant Now) {
  std::vector<std::string> Changed;
  std::set<std::string> Listed;
  for (const Record &Item : List) {
    Listed.insert(Item.Id);
    Table.RemovalDeadlines.erase(Item.Id);
    if (applyRecord(Table, Item))
      Changed.push_back(Item.Id);
  }
  for (auto &[Id, Stored] : Table.Records) {
    if (Stored.Deleted || Stored.Revision > AsOf || Listed.contains(Id))
      continue;
    if (AfterOutage) {
      Table.RemovalDeadlines.try_emplace(Id, Now + MissingRecordGrace);
      continue;
    }
    Stored.Deleted = true;
    Stored.Revision = AsOf;
    Changed.push_back(Id);
  }
  Table.Revision = std::max(Table.Revision, AsOf);
  return Changed;
}

std::vector<std::string> expireMissing(RecordTable &Table, Instant Now) {
  std::vector<std::string> Expired;
  for (auto It = Table.RemovalDeadlines.begin();
       It != Table.RemovalDeadlines.end();) {
    if (It->second > Now) {
      ++It;
      continue;
    }
    Record &Stored = Table.Records[It->first];
    Stored.Deleted = true;
    // The list without the item was newer than the item, so the removal may
    // take the next revision.
    ++Stored.Revision;
    Expired.push_back(It->first);
    It = Table.RemovalDeadlines.erase(It);
  }
  return Expired;
}

std::vector<Record> recordsAfter(const RecordTable &Table,
                                 std::uint64_t After) {
  std::vector<Record> Result;
  for (const auto &[Id, Stored] : Table.Records)
    if (Stored.Revision > After)
      Result.push_back(Stored);
  std::ranges::sort(Result, {}, &Record::Revision);
  return Result;
}

} // namespace pollenwick
