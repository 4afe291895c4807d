#include "bundle/Json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>
#include <cmath>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace pollenwick {
namespace {

// The deepest bundle document has five levels: root, section, entry, list and
// edge.
constexpr std::size_t MaxNestingDepth = 8;
// A rate of one token per nanosecond. The limit keeps sums of micro-tokens
// within 64 bits.
constexpr std::int64_t MaxTokens = 1'000'000'000;
constexpr std::int64_t MaxDurationMillis = 86'400'000;

/// Rejects an object with a repeated field. The default handler would silently
/// keep the last value.
class UniqueFieldHandler : public Poco::JSON::ParseHandler {
public:
  void startObject() override {
    Names.emplace_back();
    ParseHandler::startObject();
  }
  void endObject() override {
    Names.pop_back();
    ParseHandler::endObject();
  }
  void key(const std::string &Name) override {
    if (!Names.back().insert(Name).second)
      throw Poco::DataFormatException("field \"" + Name + "\" is given twice");
    ParseHandler::key(Name);
  }

private:
  std::vector<std::set<std::string>> Names;
};

// Checks the size, nesting depth and number of values of a document before the
// parser allocates memory for it.
absl::Status scanLimits(std::string_view Text, JsonLimits Limits) {
  if (Text.size() > Limits.Bytes)
    return absl::ResourceExhaustedError(
        absl::StrCat("document has ", Text.size(), " bytes, the limit is ",
                     Limits.Bytes, "; split or shorten it"));
  std::size_t Depth = 0;
  std::size_t Values = 0;
  bool Quoted = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char C = Text[I];
    if (Quoted) {
      if (C == '\\')
        ++I;
      else if (C == '"')
        Quoted = false;
      continue;
    }
    Quoted = C == '"';
    if (C == '{' || C == '[')
      ++Depth;
    if ((C == '}' || C == ']') && Depth > 0)
      --Depth;
    if (C == '{' || C == '[' || C == ',')
      ++Values;
    if (Depth > MaxNestingDepth)
      return absl::InvalidArgumentError(absl::StrCat(
          "byte ", I, ": nesting is deeper than ", MaxNestingDepth,
          "; remove the extra levels, which no part of a bundle uses"));
    if (Values > Limits.Values)
      return absl::ResourceExhaustedError(
          absl::StrCat("document has more than ", Limits.Values,
                       " values; split or shorten it"));
  }
  if (Depth != 0 || Quoted)
    return absl::InvalidArgumentError(
        "document ends inside an object, a list or a string; it was cut short, "
        "fetch or write it again");
  return absl::OkStatus();
}

std::string shortened(std::string Text) {
  if (Text.size() > 80)
    Text = Text.substr(0, 77) + "...";
  return Text;
}

std::string describeValue(const Poco::Dynamic::Var &Value) {
  try {
    if (Value.isEmpty())
      return "null";
    return shortened(Value.toString());
  } catch (const std::exception &) {
    return "(list or object)";
  }
}

} // namespace

absl::StatusOr<Poco::JSON::Object::Ptr> parseJson(std::string_view Text,
                                                  JsonLimits Limits) {
  if (absl::Status Scan = scanLimits(Text, Limits); !Scan.ok())
    return Scan;
  try {
    Poco::JSON::Parser Parser(new UniqueFieldHandler);
    Parser.setDepth(MaxNestingDepth + 1);
    const Poco::Dynamic::Var Root = Parser.parse(std::string(Text));
    if (Root.type() == typeid(Poco::JSON::Object::Ptr))
      return Root.extract<Poco::JSON::Object::Ptr>();
    return absl::InvalidArgumentError(
        "document is not a JSON object; start it with {");
  } catch (const Poco::Exception &Error) {
    return absl::InvalidArgumentError(absl::StrCat(
        "document is not valid JSON: ", shortened(Error.displayText()),
        "; correct the syntax"));
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(
        absl::StrCat("document is not valid JSON: ", shortened(Error.what()),
                     "; correct the syntax"));
  }
}

JsonObjectReader::JsonObjectReader(Poco::JSON::Object::Ptr Object,
                                   std::string Path, absl::Status &Result)
    : Fields(std::move(Object)), ObjectPath(std::move(Path)), Status(Result) {}

bool JsonObjectReader::has(const std::string &Name) const {
  return Fields && Fields->has(Name);
}

std::string JsonObjectReader::fieldPath(const std::string &Name) const {
  return ObjectPath.empty() ? Name : ObjectPath + "." + Name;
}

void JsonObjectReader::setError(std::string_view Message) {
  if (Status.ok())
    Status = absl::InvalidArgumentError(
        absl::string_view(Message.data(), Message.size()));
}

Poco::Dynamic::Var JsonObjectReader::readField(const std::string &Name,
                                               bool Required) {
  ReadFields.insert(Name);
  if (has(Name))
    return Fields->get(Name);
  if (Required)
    setError(absl::StrCat(fieldPath(Name), " is missing; add it"));
  return {};
}

std::string
JsonObjectReader::readString(const std::string &Name,
                             const std::optional<std::string> &Default) {
  const Poco::Dynamic::Var Value = readField(Name, !Default);
  if (!has(Name))
    return Default.value_or("");
  if (!Value.isString()) {
    setError(absl::StrCat(fieldPath(Name), " is ", describeValue(Value),
                          "; give a string in quotes"));
    return "";
  }
  return Value.extract<std::string>();
}

std::uint64_t
JsonObjectReader::readNumber(const std::string &Name, std::uint64_t Min,
                             std::uint64_t Max,
                             std::optional<std::uint64_t> Default) {
  const Poco::Dynamic::Var Value = readField(Name, !Default);
  if (!has(Name))
    return Default.value_or(Min);
  try {
    if (Value.isInteger() && !Value.isBoolean() && Value >= 0) {
      const auto Number = Value.convert<std::uint64_t>();
      if (Number >= Min && Number <= Max)
        return Number;
    }
  } catch (const std::exception &) {
    // A failed conversion is reported below as a value out of range.
  }
  setError(absl::StrCat(fieldPath(Name), " is ", describeValue(Value),
                        "; give a whole number from ", Min, " to ", Max));
  return Min;
}

bool JsonObjectReader::readBool(const std::string &Name, bool Default) {
  const Poco::Dynamic::Var Value = readField(Name, false);
  if (!has(Name))
    return Default;
  if (Value.isBoolean())
    return Value.extract<bool>();
  setError(absl::StrCat(fieldPath(Name), " is ", describeValue(Value),
                        "; give true or false"));
  return Default;
}

Duration JsonObjectReader::readMillis(const std::string &Name,
                                      Duration Default) {
  const auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Default).count();
  return std::chrono::milliseconds(readNumber(
      Name, 1, MaxDurationMillis, static_cast<std::uint64_t>(Count)));
}

MicroTokens JsonObjectReader::readTokens(const std::string &Name) {
  const Poco::Dynamic::Var Value = readField(Name, true);
  try {
    if (has(Name) && Value.isNumeric() && !Value.isBoolean()) {
      const auto Tokens = Value.convert<double>();
      if (Tokens >= 0 && Tokens <= static_cast<double>(MaxTokens))
        return MicroTokens{std::llround(Tokens * 1e6)};
    }
  } catch (const std::exception &) {
    // A failed conversion is reported below as a value out of range.
  }
  setError(absl::StrCat(fieldPath(Name), " is ", describeValue(Value),
                        "; give a number of tokens from 0 to ", MaxTokens));
  return {};
}

std::vector<std::string>
JsonObjectReader::readStringList(const std::string &Name) {
  const Poco::Dynamic::Var Value = readField(Name, false);
  std::vector<std::string> Result;
  if (!has(Name))
    return Result;
  if (Value.type() != typeid(Poco::JSON::Array::Ptr)) {
    setError(absl::StrCat(fieldPath(Name), " is ", describeValue(Value),
                          "; give a list of strings"));
    return Result;
  }
  for (const Poco::Dynamic::Var &Item :
       *Value.extract<Poco::JSON::Array::Ptr>()) {
    if (!Item.isString()) {
      setError(absl::StrCat(fieldPath(Name), " contains ", describeValue(Item),
                            "; give only strings in quotes"));
      return Result;
    }
    Result.push_back(Item.extract<std::string>());
  }
  return Result;
}

void JsonObjectReader::readObjects(
    const std::string &Name,
    const std::function<void(JsonObjectReader &)> &Visit) {
  const Poco::Dynamic::Var Value = readField(Name, false);
  if (!has(Name) || !Status.ok())
    return;
  if (Value.type() != typeid(Poco::JSON::Array::Ptr)) {
    setError(absl::StrCat(fieldPath(Name), " is ", describeValue(Value),
                          "; give a list of objects"));
    return;
  }
  const auto &List = Value.extract<Poco::JSON::Array::Ptr>();
  for (std::size_t I = 0; I < List->size() && Status.ok(); ++I) {
    const std::string Path = absl::StrCat(fieldPath(Name), "[", I, "]");
    const Poco::JSON::Object::Ptr Item = List->getObject(I);
    if (!Item) {
      setError(absl::StrCat(Path, " is ", describeValue(List->get(I)),
                            "; give an object"));
      return;
    }
    JsonObjectReader Reader(Item, Path, Status);
    Visit(Reader);
    Reader.rejectUnreadFields();
  }
}

void JsonObjectReader::readObject(
    const std::string &Name,
    const std::function<void(JsonObjectReader &)> &Visit) {
  const Poco::Dynamic::Var Value = readField(Name, false);
  if (!has(Name) || !Status.ok())
    return;
  if (Value.type() != typeid(Poco::JSON::Object::Ptr)) {
    setError(absl::StrCat(fieldPath(Name), " is ", describeValue(Value),
                          "; give an object"));
    return;
  }
  JsonObjectReader Reader(Value.extract<Poco::JSON::Object::Ptr>(),
                          fieldPath(Name), Status);
  Visit(Reader);
  Reader.rejectUnreadFields();
}

void JsonObjectReader::rejectUnreadFields() {
  if (!Status.ok())
    return;
  for (const auto &[Name, Value] : *Fields)
    if (!ReadFields.contains(Name)) {
      setError(
          absl::StrCat(fieldPath(shortened(Name)),
                       " is no known field; correct its name or remove it"));
      return;
    }
}

} // namespace pollenwick
