#ifndef POLLENWICK_CORE_RESUME_CALLLEDGER_H
#define POLLENWICK_CORE_RESUME_CALLLEDGER_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "pollenwick/Time.h"

namespace pollenwick {

/// What one node received from another on one connection. It outlives the
/// connection for a moment, so that the sender can learn what became of calls
/// whose answers did not arrive.
struct CallLedger {
  struct RunningCall {
    std::uint64_t LocalNumber = 0; ///< Under which it runs here.
    bool Repeatable = false;
  };
  struct SentAnswer {
    std::uint64_t Id = 0;
    Instant SentAt;
    std::string EncodedAnswer; ///< The encoded answer.
  };
  /// Calls arrive on a connection in the order of their ids.
  std::uint64_t HighestReceivedId = 0;
  std::map<std::uint64_t, RunningCall>
      RunningCalls;                   ///< Not answered yet, by id.
  std::deque<SentAnswer> SentAnswers; ///< The newest last.
  std::size_t AnswerBytes = 0;
};

enum class CallStatus : std::uint8_t {
  NeverReceived, ///< Did not run, and will not once the connection is closed.
  Running,
  Answered, ///< The answer is still held.
  Unknown,  ///< It was received; its answer is no longer held.
};

void recordCall(CallLedger &Ledger, std::uint64_t Id,
                const CallLedger::RunningCall &Call);

/// Whether the answer to a running call should be kept: what was written to a
/// connection may be lost with it. A repeatable call is rather run once more.
bool shouldKeepAnswer(const CallLedger &Ledger, std::uint64_t Id);

/// The call has been answered.
void removeCall(CallLedger &Ledger, std::uint64_t Id);

/// Holds an answer for a moment.
void keepAnswer(CallLedger &Ledger, std::uint64_t Id, std::string Bytes,
                Instant Now);

/// Forgets answers that were sent long ago.
void expireAnswers(CallLedger &Ledger, Instant Now);

/// A call whose sender asks what became of it.
struct ResumedCall {
  std::uint64_t Id = 0;
  std::uint64_t SentOn = 0; ///< The sender's number of the connection.
};

/// Ledgers of connections that the sender has given up and that are closed
/// here, by the sender's number. Those that are not known here are missing.
using LostLedgers = std::map<std::uint64_t, CallLedger>;

/// Calls that the sender names after connections were lost. `NewLedger` is the
/// ledger of the connection on which it asks; what runs and what is held moves
/// there, so that the sender can ask again if that connection is lost too.
/// Returns a fate for each call.
std::vector<CallStatus> resumeCalls(LostLedgers &Lost, CallLedger &NewLedger,
                                    const std::vector<ResumedCall> &Calls,
                                    Instant Now);

CallStatus callStatus(const CallLedger &Ledger, std::uint64_t Id);

/// The held answer to a call; null if there is none.
const std::string *findAnswer(const CallLedger &Ledger, std::uint64_t Id);

} // namespace pollenwick

#endif
