#ifndef POLLENWICK_AGENT_LOG_H
#define POLLENWICK_AGENT_LOG_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "pollenwick/Time.h"

namespace pollenwick::agent {

/// One JSON object of a log line, built field by field.
class LogLine {
public:
  LogLine(std::string_view Event, Instant Now);
  LogLine &field(std::string_view Name, std::string_view Value);
  LogLine &field(std::string_view Name, std::int64_t Value);
  std::string finish() &&;

private:
  std::string Text;
};

/// Writes lines to standard output from a thread of its own. The caller never
/// blocks: lines over the bound of a second are summed by reason, lines that do
/// not fit into the ring are counted, and both are reported later.
class LogWriter {
public:
  explicit LogWriter(std::string NodeName);
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  /// A line about one request. Bounded per second; `Reason` groups the rest.
  void logRequest(std::string_view Reason, LogLine &&Line, Instant Now);
  /// A line about a change of state.
  void logStateChange(LogLine &&Line);
  /// Reports what was summed or dropped, and wakes the writer.
  void tick(Instant Now);
  /// Ends the writer once all lines are written, or after `Timeout`: standard
  /// output may be blocked.
  void finish(Instant Now, std::chrono::milliseconds Timeout);

private:
  void enqueue(std::string &&Line);
  void writeLoop();

  std::string NodeName;
  Instant CurrentSecondStart;
  std::uint32_t LinesThisSecond = 0;
  std::map<std::string, std::uint64_t, std::less<>> SuppressedByReason;
  std::mutex Mutex;
  std::condition_variable WakeWriter;
  std::condition_variable WriterFinished;
  std::deque<std::string> Queue;
  std::uint64_t DroppedLines = 0;
  bool Stopping = false;
  bool WriterEnded = false; ///< The writer has written its last line.
  std::thread Writer;
};

} // namespace pollenwick::agent

#endif
