#include "agent/ServerTerms.h"

#include <cmath>
#include <utility>

namespace pollenwick::agent {

void ServerTerms::setServer(const ServerEntry &Entry) {
  if (ServerId == Entry.Id.Text && StartedAtUnixMs == Entry.StartedAtUnixMs)
    return;
  ServerId = Entry.Id.Text;
  StartedAtUnixMs = Entry.StartedAtUnixMs;
  Limit = {};
  Leaving = false;
}

void ServerTerms::onAnswer(const ServerNotice &Notice, Instant CallStartedAt,
                           Instant Now) {
  UnreadableLimits += Notice.LimitUnreadable ? 1 : 0;
  if (applyNotice(Limit, Notice, CallStartedAt, Now))
    logLimit("answer", Now);
  if (!Notice.Leaving || std::exchange(Leaving, true))
    return;
  Log.logStateChange(
      std::move(LogLine("server-leaving", Now).field("server", ServerId)));
}

void ServerTerms::logLimit(std::string_view Source, Instant Now) {
  // A faulty server may name another limit in each answer.
  Log.logRequest("server-limit",
                 std::move(LogLine("server-limit", Now)
                               .field("server", ServerId)
                               .field("requests_per_1000_s",
                                      std::llround(1000 * Limit.RequestsPerS))
                               .field("source", Source)),
                 Now);
}

} // namespace pollenwick::agent
