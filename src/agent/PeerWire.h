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
#include "agent/StatusFrame.h"
#include "core/hosts/RecordTable.h"
#include "core/resume/CallLedger.h"

namespace pollenwick::agent {

/// A call for a server on the receiver's host.
struct CallFrame {
  std::uint64_t Id = 0;
  CallRequest Request;
};

/// The result of the call with the same id.
struct AnswerFrame {
  std::uint64_t Id = 0;
  CallResult Answer;
};

/// Cancels the call with this id, for which no caller waits any more.
struct CancelFrame {
  std::uint64_t Id = 0;
};

/// Asks that the call with this id does not begin any more. If it still waits,
/// its answer says that it has not run; otherwise nothing changes.
struct RecallFrame {
  std::uint64_t Id = 0;
};

/// Asks the receiver for all records that are newer than these revisions.
struct PullFrame {
  std::uint64_t RulesRevision = 0;
  std::uint64_t ServersRevision = 0;
};

/// Records that a node has read from the configuration service, or that a
/// `PullFrame` asked for.
struct RecordsFrame {
  RecordBatch Rules;
  RecordBatch Servers;
};

/// The first frame on a connection, sent by both ends.
struct HelloFrame {
  std::uint64_t Incarnation = 0; ///< Incarnation of the sender's process.
  std::uint64_t LinkNumber = 0;  ///< The sender's number of the connection.
};

/// Asks the receiver for the status of the calls of lost connections. Calls of
/// these connections that are not named are cancelled.
struct ResumeFrame {
  /// The sender's numbers of the lost connections.
  std::vector<std::uint64_t> LostLinkNumbers;
  std::vector<ResumedCall> Calls;
};

/// A packed status for the nodes of another zone.
struct RelayedStatusFrame {
  /// Address of the node that sent the status. Empty if it is the sender of the
  /// frame; then the receiver passes the status on to its zone.
  std::string Origin;
  std::string Packed;
};

/// Shows a peer that this node runs.
struct HeartbeatFrame {};

using PeerFrame = std::variant<CallFrame, AnswerFrame, CancelFrame, StatusFrame,
                               PullFrame, RecordsFrame, HelloFrame, ResumeFrame,
                               RelayedStatusFrame, HeartbeatFrame, RecallFrame>;

inline constexpr std::size_t PeerFrameKinds = std::variant_size_v<PeerFrame>;

/// Returns the name of a kind of frame, by its index in `PeerFrame`.
std::string_view peerFrameName(std::size_t Kind);

/// An encoded frame, in the order in which its parts are sent.
struct EncodedFrame {
  std::string Begin;
  SharedBytes Body; ///< A large body with its padding, which is not copied.
  std::string End;
  std::size_t size() const { return Begin.size() + Body.size() + End.size(); }
};

/// Returns the encoded frame. Deadlines are encoded as the time that remains
/// after `Now`.
EncodedFrame encodeFrame(const PeerFrame &Frame, Instant Now);

/// Appends the encoded frame to `Out`. Deadlines are encoded as the time that
/// remains after `Now`.
void encodeFrame(const PeerFrame &Frame, Instant Now, std::string &Out);

/// Splits the byte stream of a connection into frames.
class FrameReader {
public:
  /// `TheAccount` counts the bytes that are held; null: they are not counted.
  explicit FrameReader(MemoryAccount *TheAccount = nullptr);

  /// Calls `OnFrame` for each complete frame and keeps the rest for the next
  /// call. Returns InvalidArgument if the bytes are not valid frames; then the
  /// connection must be closed.
  absl::Status feed(std::string_view Bytes, Instant Now,
                    const std::function<void(PeerFrame &&)> &OnFrame);

  /// Reserves memory for the frame that is received in part. Returns false if
  /// there is no room now; then no more bytes should be read.
  bool reserve();

private:
  absl::Status readFrames(Instant Now,
                          const std::function<void(PeerFrame &&)> &OnFrame);

  MemoryAccount *Account;
  MemoryCharge Charge; ///< Of `Buffer` and of what is reserved.
  std::string Buffer;
  /// Size of the incomplete frame at the start of the buffer; 0 if it is not
  /// known yet.
  std::size_t FrameBytes = 0;
};

} // namespace pollenwick::agent

#endif
