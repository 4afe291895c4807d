#include "State.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "pollenwick/Outcome.h"

namespace pollenwick {
namespace {

using Object = Poco::JSON::Object;

Object::Ptr part(const Object &Root, const std::string &Name) {
  Object::Ptr Found = Root.getObject(Name);
  if (!Found)
    throw Poco::DataFormatException("no object \"" + Name + "\"");
  return Found;
}

ShownRefusal readRefusal(const Object &Row, const std::string &Host) {
  const auto Text = [&Row](const char *Name) {
    return Row.getValue<std::string>(Name);
  };
  return {Host,           Text("when"),  Text("reason"), Text("outcome"),
          Text("tenant"), Text("route"), Text("message")};
}

void readCounters(const Object &Counters, NodeState &Out) {
  Out.Answered =
      part(Counters, "totals")->getValue<std::uint64_t>("root_answered");
  for (const auto &[Reason, Count] : *part(Counters, "refusals"))
    Out.Refusals[Reason] = Count.convert<std::uint64_t>();
  const auto Rows = Counters.getArray("last_refusals");
  for (unsigned I = 0; Rows && I < Rows->size(); ++I)
    if (const Object::Ptr Row = Rows->getObject(I))
      Out.LastRefusals.push_back(readRefusal(*Row, Out.Host));
}

NodeState readState(const Object &Root) {
  NodeState Out;
  Out.Host = Root.getValue<std::string>("host");
  Out.Zone = Root.getValue<std::string>("zone");
  Out.Revision = part(Root, "config")->getValue<std::uint64_t>("revision");
  const Object::Ptr View = part(Root, "view");
  Out.LeaseValid = View->getValue<bool>("lease_valid");
  Out.LeaseRemainingMs = View->getValue<std::int64_t>("lease_remaining_ms");
  const Object::Ptr Callee = part(Root, "callee");
  Out.InSlots = Callee->getValue<std::uint64_t>("in_slots");
  Out.Waiting = Callee->getValue<std::uint64_t>("waiting");
  Out.Draining = Callee->getValue<bool>("draining");
  if (Callee->has("limit"))
    Out.Limit = Callee->getValue<std::uint64_t>("limit");
  readCounters(*part(Root, "counters"), Out);
  return Out;
}

bool matches(const ShownRefusal &Row, const RefusalFilter &Wanted) {
  const auto Same = [](const std::string &Filter, const std::string &Value) {
    return Filter.empty() || Filter == Value;
  };
  return Same(Wanted.Customer, Row.Customer) && Same(Wanted.Route, Row.Route) &&
         Same(Wanted.Reason, Row.Reason);
}

} // namespace

absl::StatusOr<NodeState> parseState(const std::string &Admin,
                                     const std::string &Text) {
  try {
    Poco::JSON::Parser Parser;
    NodeState Out =
        readState(*Parser.parse(Text).extract<Poco::JSON::Object::Ptr>());
    Out.Admin = Admin;
    return Out;
  } catch (const Poco::Exception &Error) {
    return absl::InvalidArgumentError(
        absl::StrCat("the answer is no state dump (", Error.displayText(),
                     "); use the admin port of a pollenwick-node"));
  }
}

std::vector<ShownRefusal> selectRefusals(const Fleet &All,
                                         const RefusalFilter &Wanted) {
  std::vector<ShownRefusal> Out;
  for (const NodeState &Node : All.Nodes)
    std::ranges::copy_if(
        Node.LastRefusals, std::back_inserter(Out),
        [&](const ShownRefusal &Row) { return matches(Row, Wanted); });
  std::ranges::stable_sort(Out, std::ranges::greater(), &ShownRefusal::When);
  return Out;
}

bool isReason(std::string_view Text) {
  constexpr auto Last = static_cast<unsigned>(RefusalReason::Cancelled);
  for (unsigned I = 1; I <= Last; ++I)
    if (reasonText(static_cast<RefusalReason>(I)) == Text)
      return true;
  return false;
}

} // namespace pollenwick
