#ifndef POLLENWICK_AGENT_CALLERCONNECTION_H
#define POLLENWICK_AGENT_CALLERCONNECTION_H

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/CallerResponse.h"
#include "agent/EventLoop.h"
#include "agent/HttpMessage.h"
#include "agent/SharedBytes.h"
#include "agent/Stream.h"
#include "pollenwick/Rules.h"

namespace pollenwick::agent {

class CallerListener;

/// Identifies a request on its listener.
using CallerRequestNumber = std::uint64_t;

/// A complete HTTP request of a caller.
struct CallerRequest {
  CallerRequestNumber Number = 0;
  std::string Method;
  std::string Target;
  unsigned HttpVersion = Http11;
  HeaderFields Headers;
  SharedBytes Body;
  MemoryCharge HeaderCharge; ///< Of the header, until the request is answered.
  std::string CallerIp;
  Instant FirstByteAt; ///< When the first byte was received. The caller's
                       ///< waiting time is counted from then.
};

/// Limits on the requests that a caller sends on one connection before the
/// earlier ones are answered.
struct PipelineLimits {
  /// Requests that may run at once, at least 1.
  std::size_t MaxRequests = 8;
  /// Received bytes that wait to be parsed. Beyond it nothing is read.
  std::size_t MaxWaitingBytes = std::size_t{256} * 1024;
};

/// One connection of a caller. Responses are sent in the order of the requests.
/// A request that may run only once starts when all earlier ones have been
/// answered and the connection stays open, so that a caller may send it again
/// when an earlier response closes the connection.
class CallerConnection : public StreamOwner,
                         public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(EventLoop &Loop, CallerListener &Port, std::string PeerIp);

  void start(const Poco::Net::StreamSocket &Socket);
  /// Sends a response, or keeps it until the earlier requests are answered.
  /// Does nothing if the caller has left. Whether the connection closes after
  /// it is decided, and said in it, when it is sent.
  void respond(CallerRequestNumber Number, CallerResponse &&Response);
  /// Returns whether a request has no complete response yet.
  bool busy() const { return !Outstanding.empty(); }
  /// Returns whether the caller can expect nothing more from this connection.
  bool idle() const {
    return Outstanding.empty() && !Closing && !hasUnfinishedInput();
  }
  /// Returns whether a request was received, wholly or in part, that has not
  /// been started.
  bool hasUnfinishedInput() const {
    return !Closing && (Parser || HeldRequest || !UnparsedBytes.empty());
  }
  bool hasUnsentBytes() const { return Transport->unsentBytes() > 0; }
  bool closed() const { return Transport->closed(); }
  /// Returns since when the connection has been idle, or has kept the header of
  /// a request incomplete for longer than `ProgressGrace`; `Now` otherwise.
  Instant idleSince(Instant Now) const;
  /// Closes a connection that `idleSince` has found idle.
  void closeIdle() { close(); }
  /// Returns the ids of the requests whose responses are not sent wholly.
  std::vector<std::string> unsentResponses() const;
  /// Handles the requests that have been received, then closes the connection.
  void drain();
  /// Answers a request that was received in part as not run, because this
  /// process ends, and closes the connection after it.
  void refuseUnfinishedInput();

  /// Closes the connection when the caller was idle, or was slow to send a
  /// request header or to read a response, for too long.
  void enforceTimeouts(Instant Now, const CallerLimits &Limits);

  void onData(std::string_view Bytes) override;
  void onClosed(const StreamEnd &End) override;
  void onFlushed() override;

private:
  /// A request that was passed to the handler.
  struct OutstandingRequest {
    CallerRequestNumber Number = 0;
    bool KeepAlive = true; ///< What the caller asked for.
    bool ToHead = false;   ///< See `ResponseFraming`.
    bool ToHttp10 = false;
    std::string RequestId; ///< For the log.
    std::optional<CallerResponse> Response;
  };
  /// When the bytes before an offset of the stream had been received.
  struct ReceiptTime {
    std::uint64_t EndOffset = 0;
    Instant At;
  };

  /// Returns whether another request may be parsed now.
  bool acceptsRequest() const;
  /// Parses and starts as many requests as the limits allow.
  void parseRequests();
  void parse();
  void beginRequest();
  void finishRequest();
  void startRequest(CallerRequest &&Request, bool KeepAlive);
  void startHeldRequest();
  void sendReadyResponses();
  /// Returns whether the connection closes after the response to the earliest
  /// request. Nothing that was received may be left then.
  bool closesAfterFirst() const;
  void send(const OutstandingRequest &Request, bool CloseAfterwards);
  void sendContinueIfDue();
  /// Counts what has been received of the current request, and reserves what
  /// its body needs. Pauses the reading, or refuses the request, if there is no
  /// room.
  void reserveMemory();
  /// Returns the bytes that must be reserved before more of the current request
  /// is read, including what has been received.
  std::size_t neededBytes() const;
  void waitForRoom();
  /// Returns true when the request has its memory or no longer waits.
  bool retryReservation();
  /// Refuses or closes what makes no progress while memory is short. Returns
  /// whether it did.
  bool abandonStalled(Instant Now, const CallerLimits &Limits);
  void updateReading();
  /// Refuses the request if its header, once complete, does not say without
  /// doubt where the body ends. Returns whether it was not refused.
  bool acceptsFraming();
  void recordReceipt(std::size_t Bytes);
  void reject(int Status, std::string_view Cause,
              std::string_view ExtraHeaders = {});
  /// Refuses a request that has not run for lack of memory.
  void rejectForMemory(int Status, std::string_view Cause);
  void close();
  /// Drops what was received and not started.
  void releaseInput();
  void closeAfterResponse(CloseMode Mode);

  EventLoop &Loop;
  CallerListener &Port;
  std::string CallerIp;
  std::shared_ptr<Stream> Transport;
  std::optional<IncrementalParser<RequestParser>> Parser;
  std::string UnparsedBytes;      ///< Received but not parsed.
  std::uint64_t ParsedOffset = 0; ///< Bytes of the stream that were parsed.
  std::deque<ReceiptTime> ReceiptTimes;
  std::deque<OutstandingRequest> Outstanding; ///< In the order of arrival.
  /// Ids of the latest requests whose responses were sent since the send buffer
  /// was last empty.
  std::vector<std::string> RespondedIds;
  /// A complete request that waits until all earlier ones are answered.
  std::optional<CallerRequest> HeldRequest;
  bool HeldRequestKeepsAlive = true;
  bool ContinueSent = false;   ///< `100 Continue` was sent for this request.
  bool FramingChecked = false; ///< `acceptsFraming` has seen the whole header.
  /// Received bytes of requests that have not been started, and what is
  /// reserved for the current body.
  MemoryCharge InputCharge;
  std::optional<Instant>
      RoomAwaitedSince;            ///< Set while reading waits for room.
  BodyProgress Progress;           ///< Of the current body, or of unsent bytes.
  std::uint64_t RequestOffset = 0; ///< `ParsedOffset` at the first byte.
  bool Closing = false;
  bool Parsing = false; ///< `parse` is on the call stack.
  Instant LastActivity; ///< Start of the idle or slow period.
  Instant RequestFirstByteAt;
};

} // namespace pollenwick::agent

#endif
