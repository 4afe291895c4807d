#ifndef POLLENWICK_APPS_TRACE_LOGTRACE_H
#define POLLENWICK_APPS_TRACE_LOGTRACE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenwick::trace {

/// One line of a node's log.
struct LogEntry {
  std::string Node;
  std::int64_t AtUs = 0; ///< The node's steady clock; not comparable between
                         ///< nodes.
  std::string Event;
  std::map<std::string, std::string> Fields;
  std::string Text; ///< The line without what a collector put before it.
};

/// Reads a line; empty when it is no log line of a node. Text before the first
/// brace is skipped.
std::optional<LogEntry> parseEntry(std::string_view Line);

/// An answer to a request, with what its node believed then.
struct TracedAnswer {
  LogEntry Answer;
  std::vector<LogEntry> Beliefs; ///< The oldest first.
};

/// Finds the answers to one request in the logs of several nodes. Lines of one
/// node are taken in the order in which it wrote them. Holds one line per
/// belief of each node, whatever the length of the logs.
class LogTrace {
public:
  /// Requests whose ids begin with `Request` are found too if `WithPrefix`.
  LogTrace(std::string Request, bool WithPrefix);

  void take(const LogEntry &Entry);
  const std::vector<TracedAnswer> &answers() const { return Answers; }

private:
  using Beliefs = std::map<std::string, LogEntry>; ///< By what they are about.

  bool matches(const std::string &Id) const;

  std::string Request;
  bool WithPrefix;
  std::map<std::string, Beliefs> ByNode;
  std::vector<TracedAnswer> Answers;
};

/// The answer and the beliefs, for a person to read.
std::string describe(const TracedAnswer &Found);

} // namespace pollenwick::trace

#endif
