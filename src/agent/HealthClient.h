#ifndef POLLENWICK_AGENT_HEALTHCLIENT_H
#define POLLENWICK_AGENT_HEALTHCLIENT_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "agent/EventLoop.h"
#include "agent/HttpMessage.h"
#include "agent/Log.h"
#include "agent/Metrics.h"
#include "agent/PlatformAdapter.h"
#include "agent/Stream.h"

namespace pollenwick::agent {

/// What is asked by a `HealthClient`.
struct HealthTarget {
  std::string Path;     ///< Empty: nothing is asked.
  std::string ServerId; ///< Only answers with this id are used.
  friend bool operator==(const HealthTarget &, const HealthTarget &) = default;
};

/// Asks the backend server of this host for its health: at once when the target
/// changes, and then each second. Each request has a connection of its own, and
/// there is one at a time.
class HealthClient : public StreamOwner {
public:
  /// `OnReport` gets how much longer the server stays cold.
  HealthClient(EventLoop &Loop, const PlatformAdapter &Protocol, LogWriter &Log,
               Metrics &Counters, std::string Address,
               std::function<void(Duration)> OnReport);

  /// Sets what is asked. A request for another target is abandoned.
  void setTarget(const HealthTarget &New);

  void onData(std::string_view Bytes) override;
  void onClosed(const StreamEnd &End) override;

private:
  void sendRequest();
  /// Ends the request under way and counts its outcome.
  void finish(std::string_view Outcome);
  void abandon();
  /// Returns the outcome of a complete answer, and reports what it says.
  std::string_view evaluate(const ResponseMessage &Answer);

  EventLoop &Loop;
  const PlatformAdapter &Protocol;
  LogWriter &Log;
  Metrics &Counters;
  std::string Address;
  std::function<void(Duration)> OnReport;
  HealthTarget Target;
  std::shared_ptr<Stream> Transport; ///< Null unless a request is under way.
  std::optional<IncrementalParser<ResponseParser>> Parser;
  std::string UnparsedBytes;
  int InterimAnswers = 0;    ///< Received for the request under way.
  TimerId NextRequest = 0;   ///< 0 while nothing is asked.
  TimerId Timeout = 0;       ///< 0 unless a request is under way.
  std::string LoggedOutcome; ///< Outcome that was logged last.
};

} // namespace pollenwick::agent

#endif
