#ifndef POLLENWICK_APPS_DUMP_STATE_H
#define POLLENWICK_APPS_DUMP_STATE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace pollenwick {

/// One entry of `counters.last_refusals`.
struct ShownRefusal {
  std::string Host;
  std::string When; ///< UTC, ISO 8601.
  std::string Reason;
  std::string Outcome;
  std::string Customer; ///< Empty: the key was not resolved.
  std::string Route;    ///< Empty: no route has the path.
  std::string Message;
};

/// What is shown of the state dump of a node.
struct NodeState {
  std::string Admin; ///< Address that was asked.
  std::string Host;
  std::string Zone;
  std::uint64_t Revision = 0; ///< 0: no configuration yet.
  bool LeaseValid = false;
  std::int64_t LeaseRemainingMs = 0;
  std::uint64_t InSlots = 0;
  std::uint64_t Waiting = 0;
  std::optional<std::uint64_t> Limit; ///< Absent without a configuration.
  bool Draining = false;
  std::uint64_t Answered = 0;
  std::map<std::string, std::uint64_t> Refusals; ///< By reason.
  std::vector<ShownRefusal> LastRefusals;        ///< Newest first.
};

/// A node that gave no state.
struct MissingNode {
  std::string Admin;
  std::string Why;
  bool Answered = false; ///< It answered with something else than a state.
};

struct Fleet {
  std::vector<NodeState> Nodes;
  std::vector<MissingNode> Missing;
};

/// Empty fields match everything.
struct RefusalFilter {
  std::string Customer;
  std::string Route;
  std::string Reason;
};

/// Reads the answer of `GET /state`.
absl::StatusOr<NodeState> parseState(const std::string &Admin,
                                     const std::string &Text);

/// Refusals of all nodes that match, newest first.
std::vector<ShownRefusal> selectRefusals(const Fleet &All,
                                         const RefusalFilter &Wanted);

/// True for the text of a refusal reason.
bool isReason(std::string_view Text);

} // namespace pollenwick

#endif
