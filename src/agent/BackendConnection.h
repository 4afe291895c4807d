#ifndef POLLENWICK_AGENT_BACKENDCONNECTION_H
#define POLLENWICK_AGENT_BACKENDCONNECTION_H

#include <optional>
#include <string>
#include <vector>

#include "agent/Call.h"
#include "agent/HttpMessage.h"
#include "agent/PlatformAdapter.h"
#include "agent/Stream.h"

namespace pollenwick::agent {

class Backend;

/// One HTTP connection to the backend server. It carries one call at a time.
class BackendConnection
    : public StreamOwner,
      public std::enable_shared_from_this<BackendConnection> {
public:
  BackendConnection(EventLoop &Loop, const PlatformAdapter &Protocol,
                    Backend &Owner);

  /// Starts to connect to `Address` (IP:PORT). Returns false when the system
  /// refuses immediately.
  bool open(const std::string &Address);
  void startCall(std::uint64_t Number, const CallRequest &Request, Instant Now);
  void close();

  bool connected() const { return Connected; }
  std::uint64_t callNumber() const { return ActiveCall; }
  /// Returns whether the connection is idle and can carry another call.
  bool usable(Instant Now) const;
  /// Returns whether the server has refused this request on the connection. A
  /// late copy of that refusal could be taken for the answer to the request
  /// when it is sent once more.
  bool hasRefused(const std::string &Id) const;

  void onConnected() override;
  void onData(std::string_view Bytes) override;
  void onClosed(const StreamEnd &End) override;

private:
  /// Parses the answer to the active call. Returns the number of bytes that
  /// are parsed; the rest is an incomplete line of a header or chunk.
  std::size_t parse(std::string_view Bytes);
  /// Returns false once the header is complete and its status is none of HTTP,
  /// or does not say without doubt where the body ends.
  bool hasValidHead();
  /// Handles a complete response. `MoreReceived` is true when bytes after it
  /// have arrived already.
  void finishResponse(bool MoreReceived);
  /// Counts a response that does not answer the active call. Ends the call
  /// when the server keeps sending such responses.
  void skipResponse();
  /// Reports the size of the received part of an answer to `Owner`. Returns
  /// false when it has to be dropped for lack of memory.
  bool updateBufferedBytes();
  /// Reserves memory for the answer, or stops reading it until there is room.
  /// Returns false if it can never fit.
  bool reserveMemory();
  /// Returns true when the answer to `Call` is read again or no longer needed.
  bool resumeWithRoom(std::uint64_t Call, std::size_t Needed);
  void closeUnusable();
  /// Logs how the connection ended under the active call.
  void logEnd(const StreamEnd &End) const;
  void abortConnection(std::string Cause);
  ServerNotice noticeOf(const ResponseMessage &Response) const;
  CallResult toCallResult(ResponseMessage &&Response) const;

  EventLoop &Loop;
  const PlatformAdapter &Protocol;
  Backend &Owner;
  std::shared_ptr<Stream> Transport;
  std::optional<IncrementalParser<ResponseParser>> Parser;
  std::string UnparsedBytes;     ///< Received but not parsed.
  MemoryCharge AnswerCharge;     ///< What is reserved for the answer.
  std::size_t BufferedBytes = 0; ///< Last size that was reported to `Owner`.
  bool HeadChecked = false;      ///< `hasValidHead` has seen the header.
  int SkippedResponses = 0;      ///< Since the start of the active call.
  int CallsStarted = 0;          ///< On this connection.
  /// Ids of the requests that the server refused on this connection.
  std::vector<std::string> RefusedIds;
  std::uint64_t ActiveCall = 0; ///< 0 when no call is running.
  std::string RequestId;
  std::string Method;
  bool Connected = false;
  /// True when the connection must carry no further call, for example after
  /// unexpected bytes.
  bool NotReusable = false;
  /// Time from which the idle connection is not reused; `Instant::max()` before
  /// the first answer.
  Instant IdleDeadline;
  /// Idle time after which the connection is not reused.
  Duration IdleTimeout = std::chrono::milliseconds(8500);
};

} // namespace pollenwick::agent

#endif
