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

void ServerTerms::onPeerReport(double RequestsPerS, Instant Now) {
  if (applyPeerReport(Limit, RequestsPerS, Now))
    logLimit("peer", Now);
}

void ServerTerms::fillLoad(ServerLoad &Load, Instant Now) const {
  Load.RequestsPerS = Limit.RequestsPerS;
  Load.RequestsLeft = requestsLeft(Limit, Now);
  Load.LimitHeard = Limit.HeardFrom == RequestLimit::Source::Server;
  Load.ServerLeaving = Leaving;
  Load.ServerStartedAtUnixMs = StartedAtUnixMs;
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
