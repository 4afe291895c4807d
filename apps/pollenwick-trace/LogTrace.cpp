#include "LogTrace.h"

#include <algorithm>
#include <array>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "absl/strings/str_format.h"

namespace pollenwick::trace {
namespace {

const std::string &fieldOf(const LogEntry &Entry, const std::string &Name) {
  static const std::string None;
  const auto Found = Entry.Fields.find(Name);
  return Found == Entry.Fields.end() ? None : Found->second;
}

/// Events that change what a node believes, the field that says about what, and
/// the field of an answer with which that has to agree. A belief without such a
/// field matters to every answer.
struct BeliefKind {
  std::string_view Event;
  std::string_view Subject;
  std::string_view AnswerField;
};

constexpr std::array<BeliefKind, 13> BeliefKinds{{
    {"rules-in-force", "", ""},
    {"records-held", "", ""},
    {"settings-reloaded", "", ""},
    {"drain-started", "", ""},
    {"admission-changed", "service", ""},
    {"customer-limited", "key", ""},
    {"server-known", "server", "server"},
    {"server-state", "server", "server"},
    {"server-gone", "server", "server"},
    {"server-unreachable", "server", "server"},
    {"source-lost", "records", ""},
    {"peer-lost", "peer", ""},
    {"calls-resumed", "peer", ""},
}};

/// Events that end a belief of another event about the same subject.
constexpr std::array<std::pair<std::string_view, std::string_view>, 2> Endings{
    {{"source-regained", "source-lost"}, {"peer-regained", "peer-lost"}}};

bool isEndOfRequest(std::string_view Event) {
  return Event == "request-answered" || Event == "request-unanswered";
}

const BeliefKind *kindOf(std::string_view Event) {
  const auto Found = std::ranges::find(BeliefKinds, Event, &BeliefKind::Event);
  return Found == BeliefKinds.end() ? nullptr : &*Found;
}

std::string subjectKey(const BeliefKind &Kind, const LogEntry &Entry) {
  return std::string(Kind.Event) + ' ' +
         fieldOf(Entry, std::string(Kind.Subject));
}

bool matters(const LogEntry &Belief, const LogEntry &Answer) {
  // A request is refused for any service that it may reach.
  if (Belief.Event == "admission-changed")
    return fieldOf(Answer, "reason") == "overload" &&
           fieldOf(Belief, "keep_pct") != "100";
  // A plan key begins with the route.
  if (Belief.Event == "customer-limited")
    return fieldOf(Answer, "reason") == "overload" &&
           fieldOf(Belief, "key").starts_with(fieldOf(Answer, "route") + '@');
  const BeliefKind &Kind = *kindOf(Belief.Event);
  return Kind.AnswerField.empty() ||
         fieldOf(Belief, std::string(Kind.Subject)) ==
             fieldOf(Answer, std::string(Kind.AnswerField));
}

} // namespace

std::optional<LogEntry> parseEntry(std::string_view Line) {
  const std::size_t Brace = Line.find('{');
  if (Brace == std::string_view::npos)
    return std::nullopt;
  LogEntry Entry;
  Entry.Text = Line.substr(Brace);
  try {
    Poco::JSON::Parser Parser;
    const auto Object =
        Parser.parse(Entry.Text).extract<Poco::JSON::Object::Ptr>();
    for (const auto &[Name, Value] : *Object)
      Entry.Fields[Name] = Value.toString();
    Entry.AtUs = Object->getValue<std::int64_t>("at_us");
    Entry.Event = Object->getValue<std::string>("event");
    Entry.Node = Object->getValue<std::string>("node");
  } catch (const Poco::Exception &) {
    // Other programs write to the same logs.
    return std::nullopt;
  }
  return Entry;
}

LogTrace::LogTrace(std::string TheRequest, bool Prefix)
    : Request(std::move(TheRequest)), WithPrefix(Prefix) {}

bool LogTrace::matches(const std::string &Id) const {
  return WithPrefix ? Id.starts_with(Request) : Id == Request;
}

void LogTrace::take(const LogEntry &Entry) {
  Beliefs &Known = ByNode[Entry.Node];
  if (Entry.Event == "started")
    Known.clear();
  for (const auto &[End, Begin] : Endings)
    if (Entry.Event == End)
      Known.erase(subjectKey(*kindOf(Begin), Entry));
  if (const BeliefKind *Kind = kindOf(Entry.Event))
    Known.insert_or_assign(subjectKey(*Kind, Entry), Entry);
  if (!isEndOfRequest(Entry.Event) || !matches(fieldOf(Entry, "request")))
    return;
  TracedAnswer Found{Entry, {}};
  for (const auto &[Key, Belief] : Known)
    if (matters(Belief, Entry))
      Found.Beliefs.push_back(Belief);
  std::ranges::stable_sort(Found.Beliefs, {}, &LogEntry::AtUs);
  Answers.push_back(std::move(Found));
}

std::string describe(const TracedAnswer &Found) {
  const LogEntry &Answer = Found.Answer;
  std::string Text = absl::StrFormat(
      "%s on %s: %s %s\n  %s\n", fieldOf(Answer, "request"), Answer.Node,
      fieldOf(Answer, "status"), fieldOf(Answer, "reason"), Answer.Text);
  for (const LogEntry &Belief : Found.Beliefs)
    absl::StrAppendFormat(&Text, "  %9.3f s before: %s\n",
                          static_cast<double>(Answer.AtUs - Belief.AtUs) / 1e6,
                          Belief.Text);
  return Text;
}

} // namespace pollenwick::trace
