#ifndef POLLENWICK_TOOLS_JSON_H
#define POLLENWICK_TOOLS_JSON_H

#include <string>

#include <Poco/JSON/Object.h>

namespace pollenwick::tools {

using JsonObject = Poco::JSON::Object;
using JsonArray = Poco::JSON::Array;

/// Throws Poco::Exception when the text is not a JSON object.
JsonObject::Ptr parseObject(const std::string &Text);
/// Throws Poco::Exception when the file cannot be read or is no JSON object.
JsonObject::Ptr readObjectFile(const std::string &Path);
std::string toText(const JsonObject::Ptr &Object);
/// The member, by its name or by its name with a lower-case first letter;
/// null when the object has neither.
JsonArray::Ptr arrayOf(const JsonObject::Ptr &Object, const std::string &Name);
std::string textOf(const JsonObject::Ptr &Object, const std::string &Name);

} // namespace pollenwick::tools

#endif
