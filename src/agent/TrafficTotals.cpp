#include "agent/TrafficTotals.h"

#include <algorithm>
#include <utility>

#include "agent/StringUtil.h"

namespace pollenwick::agent {
namespace {

/// Rows above this number are summed in one, which bounds the log line.
constexpr std::size_t MaxRows = 500;
constexpr const char *OtherName = "(other)";
constexpr const char *NoName = "(none)";

/// Returns the name without the characters that separate cells and rows.
std::string cell(std::string Name) {
  std::ranges::replace_if(
      Name, [](char C) { return C == '|' || C == ';'; }, '_');
  return Name.empty() ? NoName : Name;
}

} // namespace

void TrafficTotals::count(const TrafficKey &Key,
                          std::optional<Duration> UntilSent,
                          std::uint32_t WastedRuns) {
  const bool Fits = Rows.size() < MaxRows || Rows.contains(Key);
  Counts &Row = Rows[Fits ? Key
                          : TrafficKey{OtherName, OtherName, OtherName, Key.Hop,
                                       Key.Reason}];
  ++Row.Requests;
  Row.WastedRuns += WastedRuns;
  if (UntilSent) {
    ++Row.Sent;
    Row.UntilSent += *UntilSent;
  }
}

std::string TrafficTotals::takeRows() {
  std::string Text;
  for (const auto &[Key, Row] : std::exchange(Rows, {}))
    appendAll(Text, Text.empty() ? "" : ";", cell(Key.Route), "|",
              cell(Key.Customer), "|", cell(Key.Service), "|", cell(Key.Hop),
              "|", cell(Key.Reason), "|", Row.Requests, "|", Row.Sent, "|",
              Row.UntilSent.count(), "|", Row.WastedRuns);
  return Text;
}

} // namespace pollenwick::agent
