#include "Summary.h"

#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "absl/strings/str_format.h"

namespace pollenwick::trace {
namespace {

std::uint64_t sumOf(const std::map<std::string, std::uint64_t> &Runs) {
  std::uint64_t Sum = 0;
  for (const auto &[Server, Count] : Runs)
    Sum += Count;
  return Sum;
}

/// Returns the calls of one server divided by the mean of its service.
double ratioToMean(std::uint64_t Count,
                   const std::map<std::string, std::uint64_t> &Runs) {
  const std::uint64_t Sum = sumOf(Runs);
  return Sum == 0
             ? 1.0
             : static_cast<double>(Count) * static_cast<double>(Runs.size()) /
                   static_cast<double>(Sum);
}

void appendGroups(std::string &Text, const char *Title,
                  const Summary::Groups &Groups) {
  absl::StrAppendFormat(&Text, "%-24s %9s %9s %7s %9s %7s %7s %7s %9s %7s\n",
                        Title, "requests", "in target", "late", "@ingress",
                        "@queue", "@server", "left", "ms to srv", "wasted");
  for (const auto &[Name, Counts] : Groups)
    absl::StrAppendFormat(
        &Text, "%-24s %9d %9d %7d %9d %7d %7d %7d %9.1f %7d\n", Name,
        Counts.Requests, Counts.InTarget, Counts.Late,
        Counts.unansweredAt("ingress"), Counts.unansweredAt("queue"),
        Counts.unansweredAt("server"), Counts.unansweredAt("caller"),
        Counts.meanUntilSentMs(), Counts.WastedRuns);
  Text += '\n';
}

Poco::JSON::Array::Ptr toJsonGroups(const Summary::Groups &Groups) {
  Poco::JSON::Array::Ptr List = new Poco::JSON::Array;
  for (const auto &[Name, Counts] : Groups) {
    Poco::JSON::Object::Ptr Item = new Poco::JSON::Object(true);
    Item->set("name", Name);
    Item->set("requests", Counts.Requests);
    Item->set("in_target", Counts.InTarget);
    Item->set("late", Counts.Late);
    Poco::JSON::Array::Ptr Reasons = new Poco::JSON::Array;
    for (const auto &[Key, Count] : Counts.Unanswered) {
      Poco::JSON::Object::Ptr Reason = new Poco::JSON::Object(true);
      Reason->set("hop", Key.first);
      Reason->set("reason", Key.second);
      Reason->set("requests", Count);
      Reasons->add(Reason);
    }
    Item->set("unanswered", Reasons);
    Item->set("sent", Counts.Sent);
    Item->set("mean_until_sent_ms", Counts.meanUntilSentMs());
    Item->set("wasted_runs", Counts.WastedRuns);
    List->add(Item);
  }
  return List;
}

} // namespace

std::string describe(const Summary &Day) {
  std::string Text;
  appendGroups(Text, "ROUTE", Day.byRoute());
  appendGroups(Text, "CUSTOMER", Day.byCustomer());
  appendGroups(Text, "ZONE OF INGRESS", Day.byZone());
  appendGroups(Text, "SERVICE", Day.byService());
  absl::StrAppendFormat(&Text, "%-24s %-8s %-26s %9s\n", "REFUSED OR FAILED",
                        "hop", "reason", "requests");
  for (const auto &[Route, Counts] : Day.byRoute())
    for (const auto &[Key, Count] : Counts.Unanswered)
      absl::StrAppendFormat(&Text, "%-24s %-8s %-26s %9d\n", Route, Key.first,
                            Key.second, Count);
  absl::StrAppendFormat(&Text, "\n%-24s %-24s %9s %8s\n", "CALLS OF SERVERS",
                        "server", "calls", "of mean");
  for (const auto &[Service, Runs] : Day.runs())
    for (const auto &[Server, Count] : Runs)
      absl::StrAppendFormat(&Text, "%-24s %-24s %9d %8.2f\n", Service, Server,
                            Count, ratioToMean(Count, Runs));
  if (Day.unreadableRows() > 0)
    absl::StrAppendFormat(&Text, "\n%d rows could not be read\n",
                          Day.unreadableRows());
  return Text;
}

std::string toJson(const Summary &Day) {
  Poco::JSON::Object::Ptr Root = new Poco::JSON::Object(true);
  Root->set("routes", toJsonGroups(Day.byRoute()));
  Root->set("customers", toJsonGroups(Day.byCustomer()));
  Root->set("zones", toJsonGroups(Day.byZone()));
  Root->set("services", toJsonGroups(Day.byService()));
  Poco::JSON::Array::Ptr Servers = new Poco::JSON::Array;
  for (const auto &[Service, Runs] : Day.runs())
    for (const auto &[Server, Count] : Runs) {
      Poco::JSON::Object::Ptr Item = new Poco::JSON::Object(true);
      Item->set("service", Service);
      Item->set("server", Server);
      Item->set("calls", Count);
      Item->set("of_mean", ratioToMean(Count, Runs));
      Servers->add(Item);
    }
  Root->set("servers", Servers);
  Root->set("unreadable_rows", Day.unreadableRows());
  std::ostringstream Out;
  Root->stringify(Out, 2);
  return Out.str() + "\n";
}

} // namespace pollenwick::trace
