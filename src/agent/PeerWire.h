#ifndef POLLENWICK_AGENT_PEERWIRE_H
#define POLLENWICK_AGENT_PEERWIRE_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "agent/Call.h"
#include "core/hosts/RecordTable.h"
#include "core/resume/CallLedger.h"

namespace pollenwick::agent {

struct CallFrame {
  std::uint64_t Id = 0;
  CallRequest Request;
};

struct AnswerFrame {
  std::uint64_t Id = 0;
  CallResult Answer;
};

struct CancelFrame {
  std::uint64_t Id = 0;
};

struct NamedCount {
  std::string Name;
  std::uint64_t A = 0;
  std::uint64_t B = 0;
};

struct CrashReport {
  std::uint64_t Fingerprint = 0;
  std::uint32_t Count = 0;
};

/// What a node tells its peers from time to time; see Mesh.capnp.
struct StatusFrame {
  std::uint64_t Start = 0;
  std::uint64_t RulesRevision = 0;
  std::uint64_t ServersRevision = 0;
  std::string Service;
  std::string ServerId;
  ServerLoad Load;
  std::uint64_t OfferedMicros = 0;
  std::uint64_t LimitMicros = 0;
  std::uint64_t Runs = 0;
  std::vector<NamedCount> Customers;
  std::vector<NamedCount> Routes;
  std::vector<NamedCount> Retries;
  std::vector<NamedCount> Calls;
  std::vector<CrashReport> Crashes;
};

struct PullFrame {
  std::uint64_t RulesRevision = 0;
  std::uint64_t ServersRevision = 0;
};

struct RecordsFrame {
  std::uint64_t RulesRevision = 0;
  std::uint64_t ServersRevision = 0;
  std::vector<Record> Records;
};

struct HelloFrame {
  std::uint64_t Start = 0; ///< Of the sender's process.
  std::uint64_t Link = 0;  ///< The sender's number of the connection.
};

struct ResumeFrame {
  std::vector<std::uint64_t> Links; ///< Lost; the sender's numbers.
  std::vector<ResumedCall> Calls;
};

using PeerFrame =
    std::variant<CallFrame, AnswerFrame, CancelFrame, StatusFrame, PullFrame,
                 RecordsFrame, HelloFrame, ResumeFrame>;

/// The counts of `Latest` that differ from those of `Sent`; everything else is
/// kept. Counts are totals, so that a peer which knows `Sent` misses nothing.
StatusFrame changesSince(const StatusFrame &Latest, const StatusFrame &Sent);

/// Completes a report of changes with what was known before.
void mergeStatus(StatusFrame &Changes, const StatusFrame &Known);

/// Appends the encoded frame to `Out`. `Now` turns deadlines into remaining
/// times.
void encodeFrame(const PeerFrame &Frame, Instant Now, std::string &Out);

/// Splits the bytes of a connection into frames.
class FrameReader {
public:
  /// Calls `OnFrame` for each whole frame. An error means that the bytes are
  /// not frames; the connection must be closed.
  absl::Status feed(std::string_view Bytes, Instant Now,
                    const std::function<void(PeerFrame &&)> &OnFrame);

private:
  std::string Buffer;
};

} // namespace pollenwick::agent

#endif
