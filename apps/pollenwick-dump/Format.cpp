#include "Format.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <array>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

namespace pollenwick {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

struct Column {
  const char *Title;
  std::size_t Width;
  bool Left;
};

/// With one space between columns a row has 79 characters.
constexpr std::array Columns{
    Column{"HOST", 18, true},    Column{"ZONE", 11, true},
    Column{"REV", 7, false},     Column{"LEASE", 6, false},
    Column{"SLOTS", 5, false},   Column{"WAIT", 5, false},
    Column{"LIMIT", 5, false},   Column{"DRAIN", 5, false},
    Column{"ANSWERED", 9, false}};

using Row = std::array<std::string, Columns.size()>;

// Messages quote what callers sent; a terminal must not interpret it.
std::string printable(std::string Text) {
  std::ranges::replace_if(
      Text, [](unsigned char C) { return C < 0x20 || C > 0x7E; }, '?');
  return Text;
}

// Names are cut at the front, since host names differ at the end.
std::string fit(const std::string &Text, std::size_t Width) {
  if (Text.size() <= Width)
    return Text;
  return "~" + Text.substr(Text.size() - Width + 1);
}

std::string line(const Row &Cells) {
  std::string Out;
  for (std::size_t I = 0; I < Columns.size(); ++I) {
    const auto [Title, Width, Left] = Columns[I];
    const std::string Cell = fit(printable(Cells[I]), Width);
    const std::string Fill(Width - Cell.size(), ' ');
    absl::StrAppend(&Out, I > 0 ? " " : "", Left ? Cell + Fill : Fill + Cell);
  }
  return Out + "\n";
}

/// Breaks at spaces; splits words that are wider than a line.
std::string wrap(const std::string &Text, std::size_t Indent) {
  const std::string Margin(Indent, ' ');
  const std::size_t Width = MaxColumns - Indent;
  std::string Out;
  std::string Line;
  const auto Flush = [&] {
    absl::StrAppend(&Out, Margin, Line, "\n");
    Line.clear();
  };
  const std::string Clean = printable(Text);
  const std::vector<std::string> Words =
      absl::StrSplit(Clean, ' ', absl::SkipEmpty());
  for (std::string Word : Words) {
    if (!Line.empty() && Line.size() + 1 + Word.size() > Width)
      Flush();
    while (Word.size() > Width) {
      Line = Word.substr(0, Width);
      Word.erase(0, Width);
      Flush();
    }
    absl::StrAppend(&Line, Line.empty() ? "" : " ", Word);
  }
  if (!Line.empty())
    Flush();
  return Out;
}

std::string leaseText(const NodeState &Node) {
  if (!Node.LeaseValid)
    return "none";
  return absl::StrFormat("%.1fs",
                         static_cast<double>(Node.LeaseRemainingMs) / 1000);
}

std::string refusalsText(const NodeState &Node) {
  std::string Out = "refused:";
  for (const auto &[Reason, Count] : Node.Refusals)
    absl::StrAppend(&Out, Out.back() == ':' ? " " : ", ", Reason, " ", Count);
  return Out;
}

std::string missingText(const Fleet &All) {
  std::string Out;
  for (const MissingNode &Node : All.Missing)
    Out += wrap(absl::StrCat("no state from ", Node.Admin, ": ", Node.Why), 0);
  return Out;
}

std::string orDash(const std::string &Text) {
  return Text.empty() ? "-" : Text;
}

Array::Ptr missingJson(const Fleet &All) {
  Array::Ptr Out = new Array;
  for (const MissingNode &Node : All.Missing) {
    Object::Ptr One = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    One->set("admin", Node.Admin);
    One->set("error", Node.Why);
    One->set("answered", Node.Answered);
    Out->add(One);
  }
  return Out;
}

std::string textOf(const Object &Root) {
  std::ostringstream Out;
  Root.stringify(Out, 2);
  Out << '\n';
  return Out.str();
}

} // namespace

std::string formatTable(const Fleet &All) {
  Row Titles;
  std::ranges::transform(Columns, Titles.begin(), &Column::Title);
  std::string Out = All.Nodes.empty() ? "" : line(Titles);
  for (const NodeState &Node : All.Nodes) {
    Out += line({Node.Host, Node.Zone, absl::StrCat(Node.Revision),
                 leaseText(Node), absl::StrCat(Node.InSlots),
                 absl::StrCat(Node.Waiting),
                 Node.Limit ? absl::StrCat(*Node.Limit) : "-",
                 Node.Draining ? "yes" : "no", absl::StrCat(Node.Answered)});
    if (!Node.Refusals.empty())
      Out += wrap(refusalsText(Node), 2);
  }
  return Out + missingText(All);
}

std::string formatRefusals(const std::vector<ShownRefusal> &Rows,
                           const Fleet &All) {
  std::string Out;
  for (const ShownRefusal &Row : Rows) {
    Out += wrap(absl::StrCat(Row.When, " ", Row.Reason, " (", Row.Outcome,
                             ") at ", Row.Host),
                0);
    Out += wrap(absl::StrCat("tenant ", orDash(Row.Customer), ", route ",
                             orDash(Row.Route)),
                2);
    Out += wrap(Row.Message, 2);
  }
  if (Rows.empty())
    Out = "no refusal matches; each node keeps its last 64\n";
  return Out + missingText(All);
}

std::string formatTableJson(const Fleet &All) {
  Array::Ptr Nodes = new Array;
  for (const NodeState &Node : All.Nodes) {
    Object::Ptr One = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    One->set("admin", Node.Admin);
    One->set("host", Node.Host);
    One->set("zone", Node.Zone);
    One->set("revision", Node.Revision);
    One->set("lease_valid", Node.LeaseValid);
    One->set("lease_remaining_ms", Node.LeaseRemainingMs);
    One->set("in_slots", Node.InSlots);
    One->set("waiting", Node.Waiting);
    if (Node.Limit)
      One->set("limit", *Node.Limit);
    One->set("draining", Node.Draining);
    One->set("answered", Node.Answered);
    Object::Ptr Refusals = new Object;
    for (const auto &[Reason, Count] : Node.Refusals)
      Refusals->set(Reason, Count);
    One->set("refusals", Refusals);
    Nodes->add(One);
  }
  Object Root(Poco::JSON_PRESERVE_KEY_ORDER);
  Root.set("nodes", Nodes);
  Root.set("missing", missingJson(All));
  return textOf(Root);
}

std::string formatRefusalsJson(const std::vector<ShownRefusal> &Rows,
                               const Fleet &All) {
  Array::Ptr Refusals = new Array;
  for (const ShownRefusal &Row : Rows) {
    Object::Ptr One = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    One->set("host", Row.Host);
    One->set("when", Row.When);
    One->set("reason", Row.Reason);
    One->set("outcome", Row.Outcome);
    One->set("tenant", Row.Customer);
    One->set("route", Row.Route);
    One->set("message", Row.Message);
    Refusals->add(One);
  }
  Object Root(Poco::JSON_PRESERVE_KEY_ORDER);
  Root.set("refusals", Refusals);
  Root.set("missing", missingJson(All));
  return textOf(Root);
}

} // namespace pollenwick
