#ifndef POLLENWICK_APPS_BUNDLE_HTTP_H
#define POLLENWICK_APPS_BUNDLE_HTTP_H

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace pollenwick {

/// Body of `GET PATH` at HOST:PORT; NotFound for 404, Unavailable if the
/// server cannot be reached or answers with an error.
absl::StatusOr<std::string> httpRead(const std::string &Address,
                                     const std::string &Path);

/// Reads and writes one value of the configuration service.
absl::StatusOr<std::string> readValue(const std::string &Service,
                                      const std::string &Name);
absl::Status writeValue(const std::string &Service, const std::string &Name,
                        const std::string &Content);

} // namespace pollenwick

#endif
