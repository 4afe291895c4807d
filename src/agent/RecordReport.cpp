// What `RecordSync` reports of the records that it holds: their age, who has
// read them, and what the node still waits for.
#include "agent/RecordSync.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "agent/RecordNames.h"

namespace pollenwick::agent {
namespace {

std::int64_t toMilliseconds(Duration Time) {
  return std::chrono::floor<std::chrono::milliseconds>(Time).count();
}

} // namespace

std::optional<Confirmation>
RecordSync::currentConfirmation(RecordKind Kind) const {
  std::optional<Instant> OwnRead;
  if (const auto Found = OwnReadAt.find(Kind); Found != OwnReadAt.end())
    OwnRead = Found->second;
  std::vector<ReaderReport> Readers;
  for (const auto &[Ip, Report] : ReportsByIp) {
    const bool IsRules = Kind == RecordKind::Rules;
    if (const auto ReadAt = IsRules ? Report.RulesReadAt : Report.ServersReadAt)
      Readers.push_back(
          {Ip, IsRules ? Report.RulesRevision : Report.ServersRevision,
           *ReadAt});
  }
  return latestConfirmation(Registry.newestRecord(Kind), OwnRead, Readers);
}

void RecordSync::updateConfirmations() {
  for (const RecordKind Kind : {RecordKind::Rules, RecordKind::Server}) {
    const std::optional<Confirmation> Current = currentConfirmation(Kind);
    if (!Current)
      continue;
    Confirmation &Latest = Confirmations.try_emplace(Kind).first->second;
    if (Current->At > Latest.At)
      Latest = *Current;
  }
}

Duration RecordSync::waitingTime(RecordKind Kind) const {
  const std::optional<Instant> Since = Source.waitingSince(Kind);
  return Since ? std::max(Duration{}, Loop.now() - *Since) : Duration{};
}

void RecordSync::logHeldRecords() {
  updateConfirmations();
  LogLine Line("records-held", Loop.now());
  Line.field("use", sourceUseName(Use))
      .field("rules_version",
             Registry.rules()
                 ? static_cast<std::int64_t>(Registry.rules()->Source.Version)
                 : 0);
  for (const RecordKind Kind : {RecordKind::Rules, RecordKind::Server}) {
    const std::string Name(recordKindName(Kind));
    Line.field(Name + "_revision",
               static_cast<std::int64_t>(Registry.newestRecord(Kind)));
    if (const auto Latest = Confirmations.find(Kind);
        Latest != Confirmations.end())
      Line.field(Name + "_age_ms",
                 toMilliseconds(Loop.now() - Latest->second.At))
          .field(Name + "_read_by", Latest->second.Reader.empty()
                                        ? Options.Ip
                                        : Latest->second.Reader);
    Line.field(Name + "_read_waits_ms", toMilliseconds(waitingTime(Kind)));
  }
  Log.logStateChange(std::move(Line));
}

void RecordSync::fillMetrics(Metrics &Counters) const {
  Counters.setGauge("source_lost", sourceLost() ? 1 : 0);
  Counters.setGauge("source_reading", Use == SourceUse::Idle ? 0 : 1);
  for (const RecordKind Kind : {RecordKind::Rules, RecordKind::Server}) {
    const std::string Name(recordKindName(Kind));
    Counters.setGauge(Name + "_revision",
                      static_cast<std::int64_t>(Registry.newestRecord(Kind)));
    // A negative age stands for records that no read has confirmed.
    const auto Latest = Confirmations.find(Kind);
    Counters.setGauge(Name + "_age_ms",
                      Latest == Confirmations.end()
                          ? -1
                          : toMilliseconds(Loop.now() - Latest->second.At));
    Counters.setGauge(Name + "_read_waits_ms",
                      toMilliseconds(waitingTime(Kind)));
  }
}

} // namespace pollenwick::agent
