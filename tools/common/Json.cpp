#include "Json.h"

#include <cctype>
#include <fstream>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

namespace pollenwick::tools {
namespace {

std::string lowerFirst(std::string Name) {
  if (!Name.empty())
    Name[0] = static_cast<char>(std::tolower(Name[0]));
  return Name;
}

} // namespace

JsonObject::Ptr parseObject(const std::string &Text) {
  Poco::JSON::Parser Parser;
  return Parser.parse(Text).extract<JsonObject::Ptr>();
}

JsonObject::Ptr readObjectFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    throw Poco::OpenFileException(Path + " cannot be read");
  std::ostringstream Text;
  Text << In.rdbuf();
  try {
    return parseObject(Text.str());
  } catch (const Poco::Exception &Error) {
    throw Poco::DataFormatException(
        Path + " is no JSON object: " + Error.displayText());
  }
}

std::string toText(const JsonObject::Ptr &Object) {
  std::ostringstream Out;
  Object->stringify(Out);
  return Out.str();
}

JsonArray::Ptr arrayOf(const JsonObject::Ptr &Object, const std::string &Name) {
  JsonArray::Ptr Found = Object->getArray(Name);
  return Found ? Found : Object->getArray(lowerFirst(Name));
}

std::string textOf(const JsonObject::Ptr &Object, const std::string &Name) {
  const std::string Key = Object->has(Name) ? Name : lowerFirst(Name);
  return Object->optValue<std::string>(Key, "");
}

} // namespace pollenwick::tools
