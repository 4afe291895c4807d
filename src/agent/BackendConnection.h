#ifndef POLLENWICK_AGENT_BACKENDCONNECTION_H
#define POLLENWICK_AGENT_BACKENDCONNECTION_H

#include <optional>
#include <string>

#include "agent/Call.h"
#include "agent/HttpMessage.h"
#include "agent/PlatformAdapter.h"
#include "agent/Stream.h"

namespace pollenwick::agent {

class Backend;

/// One HTTP connection to the backend server. It carries one call at a time.
class BackendConnection : public StreamOwner {
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

  void onConnected() override { Connected = true; }
  void onData(std::string_view Bytes) override;
  void onClosed(StreamCloseReason Reason) override;

private:
  void parse(std::string_view Bytes);
  void finishResponse();
  void abortConnection(std::string Cause);
  CallResult toCallResult(const ResponseMessage &Response) const;

  EventLoop &Loop;
  const PlatformAdapter &Protocol;
  Backend &Owner;
  std::shared_ptr<Stream> Transport;
  std::optional<ResponseParser> Parser;
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
