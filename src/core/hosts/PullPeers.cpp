#include "core/hosts/PullPeers.h"

#include <algorithm>
#include <tuple>

namespace pollenwick {

std::optional<std::string>
choosePullPeer(std::span<const PullCandidate> Candidates,
               const std::string &LastAsked) {
  const auto OrderOf = [&](const PullCandidate &Item) {
    return std::tuple(!Item.HasNewerRecord, !Item.Reads, Item.Ip <= LastAsked,
                      Item.Ip);
  };
  const auto First = std::ranges::min_element(Candidates, {}, OrderOf);
  return First == Candidates.end() ? std::nullopt
                                   : std::optional<std::string>(First->Ip);
}

} // namespace pollenwick
