#include "core/pace/ServerReport.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace pollenwick {
namespace {

/// Greatest figure that is accepted; the most slots that an entry may have.
constexpr std::uint32_t MaxFigure = 1'000'000;
constexpr std::size_t LoadFigures = 3;
constexpr double Percent = 100;
/// Range of the slowdown. Hosts differ by a factor of about three; beyond the
/// range a report is more likely wrong than true.
constexpr double MinSlowdown = 0.1;
constexpr double MaxSlowdown = 50;

/// Returns the number that the whole of `Text` is; nothing if it has a sign, a
/// space or any other character, or is too large.
std::optional<std::uint32_t> parseFigure(std::string_view Text) {
  std::uint32_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Parsed, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Parsed != End || Value > MaxFigure)
    return std::nullopt;
  return Value;
}

} // namespace

ServerReport parseServerReport(std::string_view Text) {
  ServerReport Report;
  if (Text.empty())
    return Report;
  Report.Quality = ServerReport::Kind::Unreadable;
  std::array<std::uint32_t, LoadFigures + 1> Figures{};
  std::size_t Count = 0;
  for (bool More = true; More;) {
    const std::size_t Comma = Text.find(',');
    More = Comma != std::string_view::npos;
    const auto Figure = parseFigure(Text.substr(0, Comma));
    if (!Figure || Count == Figures.size())
      return Report;
    Figures[Count++] = *Figure;
    if (More)
      Text.remove_prefix(Comma + 1);
  }
  const bool HasSlowdown = Count == Figures.size();
  // Work that takes no time cannot be meant.
  if (Count < LoadFigures || (HasSlowdown && Figures.back() == 0))
    return Report;
  Report.Quality = ServerReport::Kind::Valid;
  Report.Running = Figures[0];
  Report.Waiting = Figures[1];
  Report.Slots = Figures[2];
  if (HasSlowdown)
    Report.Slowdown =
        std::clamp(Figures.back() / Percent, MinSlowdown, MaxSlowdown);
  return Report;
}

void checkServerReport(ServerReport &Report, std::uint32_t OwnRunning) {
  if (Report.Quality != ServerReport::Kind::Valid)
    return;
  // The server may still run calls that this node, or the process before it,
  // has abandoned. These are at most as many as it has slots.
  if (Report.Slots == 0 || Report.Running > Report.Slots ||
      Report.Running + Report.Waiting > OwnRunning + Report.Slots)
    Report.Quality = ServerReport::Kind::Contradictory;
}

bool reportsFull(const ServerReport &Report) {
  return Report.Quality == ServerReport::Kind::Valid &&
         (Report.Waiting > 0 || Report.Running >= Report.Slots);
}

} // namespace pollenwick
