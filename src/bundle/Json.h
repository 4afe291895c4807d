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

/// Limits on the size of a JSON document.
struct JsonLimits {
  std::size_t Bytes;
  /// Maximum number of values, which bounds the memory of the parsed document.
  std::size_t Values;
};

/// Parses a document that consists of one JSON object. Returns an error for
/// malformed text, a repeated field or a document over the limits. Never
/// throws.
absl::StatusOr<Poco::JSON::Object::Ptr> parseJson(std::string_view Text,
                                                  JsonLimits Limits);

/// Reads the fields of one JSON object. The first error is stored in the status
/// given to the constructor; after an error, reads return default values.
/// `Path` is the location of the object in its document, for error messages.
class JsonObjectReader {
public:
  JsonObjectReader(Poco::JSON::Object::Ptr Object, std::string Path,
                   absl::Status &Result);

  bool has(const std::string &Name) const;
  std::string
  readString(const std::string &Name,
             const std::optional<std::string> &Default = std::nullopt);
  /// Reads a whole number from `Min` to `Max`.
  std::uint64_t readNumber(const std::string &Name, std::uint64_t Min,
                           std::uint64_t Max,
                           std::optional<std::uint64_t> Default = std::nullopt);
  bool readBool(const std::string &Name, bool Default);
  Duration readMillis(const std::string &Name, Duration Default);
  MicroTokens readTokens(const std::string &Name);
  std::vector<std::string> readStringList(const std::string &Name);
  /// Calls `Visit` with a reader for each object in a list.
  void readObjects(const std::string &Name,
                   const std::function<void(JsonObjectReader &)> &Visit);
  /// Calls `Visit` with a reader for an object if the field is present.
  void readObject(const std::string &Name,
                  const std::function<void(JsonObjectReader &)> &Visit);
  /// Sets an error if the object has a field that has not been read.
  void rejectUnreadFields();
  /// Stores an error unless the status already contains one.
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
