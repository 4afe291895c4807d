#include "Summary.h"

#include <array>
#include <charconv>
#include <optional>
#include <vector>

namespace pollenwick::trace {
namespace {

/// Cells of a row of `traffic-totals`: five names, then four numbers.
constexpr std::size_t NameCells = 5;
constexpr std::size_t NumberCells = 4;

std::vector<std::string> split(std::string_view Text, char Separator) {
  std::vector<std::string> Parts;
  while (true) {
    const std::size_t End = Text.find(Separator);
    Parts.emplace_back(Text.substr(0, End));
    if (End == std::string_view::npos)
      return Parts;
    Text.remove_prefix(End + 1);
  }
}

std::optional<std::uint64_t> toNumber(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End)
    return std::nullopt;
  return Value;
}

std::string fieldOf(const LogEntry &Entry, const std::string &Name) {
  const auto Found = Entry.Fields.find(Name);
  return Found == Entry.Fields.end() ? std::string() : Found->second;
}

} // namespace

std::uint64_t OutcomeCounts::unansweredAt(const std::string &Hop) const {
  std::uint64_t Sum = 0;
  for (const auto &[Key, Count] : Unanswered)
    Sum += Key.first == Hop ? Count : 0;
  return Sum;
}

double OutcomeCounts::meanUntilSentMs() const {
  return Sent > 0 ? static_cast<double>(UntilSentUs) /
                        static_cast<double>(Sent) / 1000
                  : 0.0;
}

void Summary::take(const LogEntry &Entry) {
  if (Entry.Event == "started")
    LastRunsByNode.erase(Entry.Node);
  if (Entry.Event != "traffic-totals")
    return;
  ++Lines;
  if (const auto Runs = toNumber(fieldOf(Entry, "runs_since_start"))) {
    std::uint64_t &Last = LastRunsByNode[Entry.Node];
    const std::uint64_t Increase = *Runs >= Last ? *Runs - Last : *Runs;
    Last = *Runs;
    const std::string Server = fieldOf(Entry, "server");
    if (!Server.empty())
      RunsByServer[fieldOf(Entry, "service")][Server] += Increase;
  }
  const std::string Rows = fieldOf(Entry, "requests");
  if (Rows.empty())
    return;
  for (const std::string &Row : split(Rows, ';'))
    takeRow(fieldOf(Entry, "zone"), Row);
}

void Summary::takeRow(const std::string &Zone, std::string_view Row) {
  const std::vector<std::string> Cells = split(Row, '|');
  std::array<std::uint64_t, NumberCells> Numbers{};
  bool Readable = Cells.size() == NameCells + NumberCells;
  for (std::size_t I = 0; Readable && I < NumberCells; ++I) {
    const auto Number = toNumber(Cells[NameCells + I]);
    Readable = Number.has_value();
    Numbers.at(I) = Number.value_or(0);
  }
  if (!Readable) {
    ++UnreadableRows;
    return;
  }
  const auto [Requests, Sent, UntilSentUs, WastedRuns] = Numbers;
  for (OutcomeCounts *Group : {&ByRoute[Cells[0]], &ByCustomer[Cells[1]],
                               &ByZone[Zone], &ByService[Cells[2]]}) {
    Group->Requests += Requests;
    Group->Sent += Sent;
    Group->UntilSentUs += UntilSentUs;
    Group->WastedRuns += WastedRuns;
    if (Cells[3] != "answer")
      Group->Unanswered[{Cells[3], Cells[4]}] += Requests;
    else
      (Cells[4] == "late" ? Group->Late : Group->InTarget) += Requests;
  }
}

} // namespace pollenwick::trace
