#ifndef POLLENWICK_AGENT_SERVERTERMS_H
#define POLLENWICK_AGENT_SERVERTERMS_H

#include <cstdint>
#include <string>
#include <string_view>

#include "agent/Log.h"
#include "core/placement/Placement.h"
#include "core/serverlimit/RequestLimit.h"
#include "pollenwick/Rules.h"

namespace pollenwick::agent {

/// What the backend server of this host has said about itself in its answers:
/// how many requests it takes and whether it is about to end. Logs each change.
class ServerTerms {
public:
  explicit ServerTerms(LogWriter &Log) : Log(Log) {}

  /// Sets the run of the server that answers from now on. What an earlier run
  /// said is forgotten.
  void setServer(const ServerEntry &Entry);
  /// Applies the notice of an answer to a call that started at `CallStartedAt`.
  void onAnswer(const ServerNotice &Notice, Instant CallStartedAt, Instant Now);

  /// Applies what the node of a call knows of the limit, in requests per
  /// second; zero if it knows none. It may have heard of the limit before this
  /// process started.
  void onPeerReport(double RequestsPerS, Instant Now);
  /// Records that a request is sent to the server.
  void recordRequest(Instant Now) { pollenwick::recordRequest(Limit, Now); }
  void fillLoad(ServerLoad &Load, Instant Now) const;

  const RequestLimit &limit() const { return Limit; }
  bool leaving() const { return Leaving; }
  /// Returns the number of limits that could not be read.
  std::uint64_t unreadableLimits() const { return UnreadableLimits; }

private:
  void logLimit(std::string_view Source, Instant Now);

  LogWriter &Log;
  std::string ServerId;
  std::int64_t StartedAtUnixMs = 0;
  RequestLimit Limit;
  bool Leaving = false;
  std::uint64_t UnreadableLimits = 0;
};

} // namespace pollenwick::agent

#endif
