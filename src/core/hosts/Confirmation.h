#ifndef POLLENWICK_CORE_HOSTS_CONFIRMATION_H
#define POLLENWICK_CORE_HOSTS_CONFIRMATION_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Tells how current the records of a node are: a read of the configuration
/// service has shown that they held at `At`.
struct Confirmation {
  Instant At;
  std::string Reader; ///< Address of the node that read; empty: this node.
};

/// What a node that reads the configuration service reports of one kind of
/// records.
struct ReaderReport {
  std::string Ip;
  std::uint64_t Revision = 0; ///< Of its newest record.
  Instant ConfirmedAt;
};

/// Returns the latest confirmation of the records of a node whose newest record
/// has `Revision`. `OwnReadAt` is the time of its own last read. A reader with
/// a newer record confirms nothing: the node lacks that record.
std::optional<Confirmation>
latestConfirmation(std::uint64_t Revision, std::optional<Instant> OwnReadAt,
                   std::span<const ReaderReport> Readers);

} // namespace pollenwick

#endif
