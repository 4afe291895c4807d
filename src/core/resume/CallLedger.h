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

/// Largest total size of the answers that are kept for one connection.
inline constexpr std::size_t MaxKeptAnswerBytes = std::size_t{4} * 1024 * 1024;

/// Calls that one node received from another on one connection, and their
/// recent answers. The ledger outlives the connection for a short time, so that
/// the sender can ask for the status of calls whose answers did not arrive.
struct CallLedger {
  struct RunningCall {
    std::uint64_t LocalNumber = 0; ///< Number of the call at the receiver.
    bool Repeatable = false;       ///< The call may run more than once.
  };
  struct SentAnswer {
    std::uint64_t Id = 0;
    Instant SentAt;
    std::string EncodedAnswer;
  };
  /// Highest id of a received call; zero if none. Calls arrive on a connection
  /// in the order of their ids.
  std::uint64_t HighestReceivedId = 0;
  std::map<std::uint64_t, RunningCall> RunningCalls; ///< By id.
  std::deque<SentAnswer> SentAnswers;                ///< Newest last.
  std::size_t AnswerBytes = 0; ///< Size of all kept answers.
};

/// Status of a call at the node to which it was sent.
enum class CallStatus : std::uint8_t {
  /// The call did not run, and cannot run after the connection is closed.
  NeverReceived,
  Running,
  Answered, ///< The answer is still kept.
  /// The call may have run, but no answer is kept.
  Unknown,
};

/// Records a received call as running.
void recordCall(CallLedger &Ledger, std::uint64_t Id,
                const CallLedger::RunningCall &Call);

/// Returns whether the answer to a running call should be kept in case it is
/// lost with the connection. The answer to a repeatable call is not kept; the
/// call can run again instead.
bool shouldKeepAnswer(const CallLedger &Ledger, std::uint64_t Id);

/// Removes a call that has been answered from the running calls.
void removeCall(CallLedger &Ledger, std::uint64_t Id);

/// Keeps an encoded answer for 1.5 s, or until answers exceed 4 MiB in total.
void keepAnswer(CallLedger &Ledger, std::uint64_t Id, std::string Bytes,
                Instant Now);

/// Removes answers beyond the limits of age and total size, oldest first.
void expireAnswers(CallLedger &Ledger, Instant Now);

/// Call whose status its sender asks for.
struct ResumedCall {
  std::uint64_t Id = 0;
  /// Number that the sender gave the connection on which it sent the call.
  std::uint64_t SentOn = 0;
};

/// Ledgers of connections that the sender has given up and that are closed at
/// the receiver, by the sender's number. Connections that the receiver does not
/// know are missing.
using LostLedgers = std::map<std::uint64_t, CallLedger>;

/// Returns the status of each call that the sender asks for after it lost
/// connections. `NewLedger` is the ledger of the connection on which it asks.
/// Running calls and kept answers move there, so that the sender can ask again
/// if that connection is lost too.
std::vector<CallStatus> resumeCalls(LostLedgers &Lost, CallLedger &NewLedger,
                                    const std::vector<ResumedCall> &Calls,
                                    Instant Now);

/// Returns the status of a call that was sent on the connection of `Ledger`.
CallStatus callStatus(const CallLedger &Ledger, std::uint64_t Id);

/// Returns the kept answer to a call, or null if none is kept.
const std::string *findAnswer(const CallLedger &Ledger, std::uint64_t Id);

} // namespace pollenwick

#endif
