#include "core/hosts/Confirmation.h"

namespace pollenwick {

std::optional<Confirmation>
latestConfirmation(std::uint64_t Revision, std::optional<Instant> OwnReadAt,
                   std::span<const ReaderReport> Readers) {
  std::optional<Confirmation> Latest;
  if (OwnReadAt)
    Latest = Confirmation{*OwnReadAt, {}};
  for (const ReaderReport &Reader : Readers)
    if (Reader.Revision <= Revision &&
        (!Latest || Reader.ConfirmedAt > Latest->At))
      Latest = Confirmation{Reader.ConfirmedAt, Reader.Ip};
  return Latest;
}

} // namespace pollenwick
