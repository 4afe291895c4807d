#include "core/hosts/RecordTable.h"

#include <algorithm>
#include <set>

#include "core/hash/StableHash.h"

namespace pollenwick {

namespace {

bool storeIfNewer(RecordTable &Table, const Record &New) {
  Record &Stored = Table.Records[New.Id];
  if (New.Revision <= Stored.Revision)
    return false;
  Stored = New;
  Table.RemovalDeadlines.erase(New.Id);
  return true;
}

void markDeleted(Record &Stored, std::uint64_t Revision) {
  Stored.Deleted = true;
  Stored.Revision = Revision;
  Stored.Value.clear();
}

} // namespace

bool applyRecord(RecordTable &Table, const Record &New) {
  if (New.Revision <= Table.Revision && !Table.Records.contains(New.Id))
    return false;
  return storeIfNewer(Table, New);
}

Instant missingItemsKeptUntil(std::optional<Instant> ReadableSince,
                              Instant Now) {
  return std::min(ReadableSince.value_or(Now), Now) + MissingRecordGrace;
}

std::vector<std::string> applyList(RecordTable &Table,
                                   const std::vector<Record> &List,
                                   std::uint64_t AsOf, Instant KeepMissingUntil,
                                   Instant Now) {
  std::vector<std::string> Changed;
  std::set<std::string> Listed;
  for (const Record &Item : List) {
    Listed.insert(Item.Id);
    // A list that was read earlier says nothing about a later removal.
    if (AsOf >= Table.Revision)
      Table.RemovalDeadlines.erase(Item.Id);
    if (storeIfNewer(Table, Item))
      Changed.push_back(Item.Id);
  }
  for (auto &[Id, Stored] : Table.Records) {
    if (Stored.Deleted || Stored.Revision > AsOf || Listed.contains(Id))
      continue;
    if (KeepMissingUntil > Now) {
      Instant &Deadline =
          Table.RemovalDeadlines.try_emplace(Id, KeepMissingUntil)
              .first->second;
      Deadline = std::min(Deadline, KeepMissingUntil);
      continue;
    }
    markDeleted(Stored, AsOf);
    Table.RemovalDeadlines.erase(Id);
    Changed.push_back(Id);
  }
  // Items that were created and deleted since the last read have no marker.
  if (AsOf > Table.Revision)
    Table.MarkersSince = AsOf;
  Table.Revision = std::max(Table.Revision, AsOf);
  return Changed;
}

std::vector<std::string> expireMissing(RecordTable &Table,
                                       Instant KeepMissingUntil, Instant Now) {
  std::vector<std::string> Expired;
  for (auto It = Table.RemovalDeadlines.begin();
       It != Table.RemovalDeadlines.end();) {
    if (std::min(It->second, KeepMissingUntil) > Now) {
      ++It;
      continue;
    }
    // The item has not come back in any change up to the table's revision, and
    // a later one takes precedence.
    Record &Stored = Table.Records[It->first];
    markDeleted(Stored, std::max(Table.Revision, Stored.Revision));
    Expired.push_back(It->first);
    It = Table.RemovalDeadlines.erase(It);
  }
  return Expired;
}

RecordBatch batchAfter(const RecordTable &Table, std::uint64_t After) {
  RecordBatch Batch;
  Batch.From = After;
  Batch.AsOf = Table.Revision;
  Batch.IsFullList = After < Table.MarkersSince;
  for (const auto &[Id, Stored] : Table.Records)
    if (Batch.IsFullList ? !Stored.Deleted : Stored.Revision > After)
      Batch.Records.push_back(Stored);
  std::ranges::sort(Batch.Records, {}, &Record::Revision);
  return Batch;
}

BatchResult applyBatch(RecordTable &Table, const RecordBatch &Batch,
                       Instant KeepMissingUntil, Instant Now) {
  if (Batch.IsFullList && Batch.AsOf >= Table.Revision)
    return {applyList(Table, Batch.Records, Batch.AsOf, KeepMissingUntil, Now),
            false};
  BatchResult Result;
  for (const Record &Item : Batch.Records)
    if (applyRecord(Table, Item))
      Result.ChangedIds.push_back(Item.Id);
  if (Batch.AsOf <= Table.Revision)
    return Result;
  Result.HasGap = Batch.From > Table.Revision;
  if (!Result.HasGap)
    Table.Revision = Batch.AsOf;
  return Result;
}

void pruneMarkers(RecordTable &Table, std::size_t MaxMarkers) {
  std::vector<std::uint64_t> Revisions;
  for (const auto &[Id, Stored] : Table.Records)
    if (Stored.Deleted)
      Revisions.push_back(Stored.Revision);
  if (Revisions.size() <= MaxMarkers)
    return;
  const auto Newest =
      Revisions.begin() +
      static_cast<std::ptrdiff_t>(Revisions.size() - MaxMarkers - 1);
  std::ranges::nth_element(Revisions, Newest);
  Table.MarkersSince = std::max(Table.MarkersSince, *Newest);
  std::erase_if(Table.Records, [&](const auto &Item) {
    return Item.second.Deleted && Item.second.Revision <= *Newest;
  });
}

std::uint64_t newestRecord(const RecordTable &Table) {
  std::uint64_t Newest = 0;
  for (const auto &[Id, Stored] : Table.Records)
    Newest = std::max(Newest, Stored.Revision);
  return Newest;
}

std::uint64_t digestOf(const RecordTable &Table) {
  std::uint64_t Digest = 0;
  for (const auto &[Id, Stored] : Table.Records)
    if (!Stored.Deleted)
      // A sum does not depend on the order of the items.
      Digest += stableHash({Id, std::to_string(Stored.Revision)});
  return Digest;
}

} // namespace pollenwick
