#ifndef POLLENWICK_BUNDLE_JSON_H
#define POLLENWICK_BUNDLE_JSON_H

#include <Poco/JSON/Object.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "pollenwick/Time.h"
#include "pollenwick/Tokens.h"

namespace pollenwick {

struct JsonLimits {
  std::size_t Bytes;
  std::size_t Values; ///< Bounds the memory of the parsed document.
};

/// Parses one JSON object. Never throws; refuses repeated fields.
absl::StatusOr<Poco::JSON::Object::Ptr> parseJson(std::string_view Text,
                                                  JsonLimits Limits);

/// Reads the fields of one JSON object. The first error is kept in the status
/// given at construction, and later reads then return defaults.
class JsonObjectReader {
public:
  JsonObjectReader(Poco::JSON::Object::Ptr Object, std::string Path,
                   absl::Status &Result);

  bool has(const std::string &Name) const;
  std::string
  readString(const std::string &Name,
             const std::optional<std::string> &Default = std::nullopt);
  std::uint64_t readNumber(const std::string &Name, std::uint64_t Min,
                           std::uint64_t Max,
                           std::optional<std::uint64_t> Default = std::nullopt);
  bool readBool(const std::string &Name, bool Default);
  Duration readMillis(const std::string &Name, Duration Default);
  MicroTokens readTokens(const std::string &Name);
  std::vector<std::string> readStringList(const std::string &Name);
  void readObjects(const std::string &Name,
                   const std::function<void(JsonObjectReader &)> &Visit);
  void readObject(const std::string &Name,
                  const std::function<void(JsonObjectReader &)> &Visit);
  /// Refuses fields that were not read.
  void rejectUnreadFields();
  void setError(std::string_view Message);

private:
  Poco::Dynamic::Var readField(const std::string &Name, bool Required);
  std::string fieldPath(const std::string &Name) const;

  Poco::JSON::Object::Ptr Fields;
  std::string ObjectPath;
  absl::Status &Status;
  std::set<std::string> ReadFields;
};

} // namespace pollenwick

#endif
