#ifndef POLLENWICK_AGENT_BACKENDCONNECTION_H
#define POLLENWICK_AGENT_BACKENDCONNECTION_H

#include <optional>
#include <string>

#include "agent/Call.h"
#include "agent/Dialect.h"
#include "agent/HttpMessage.h"
#include "agent/Stream.h"

namespace pollenwick::agent {

class Backend;

/// One HTTP connection to the backend server; one call at a time.
class BackendConnection : public StreamOwner {
public:
  BackendConnection(EventLoop &Loop, const Dialect &Protocol, Backend &Owner);

  bool open(const std::string &Address);
  void startCall(std::uint64_t Number, const CallRequest &Request, Instant Now);
  void close();

  bool connected() const { return Connected; }
  std::uint64_t callNumber() const { return ActiveCall; }
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
  const Dialect &Protocol;
  Backend &Owner;
  std::shared_ptr<Stream> Transport;
  std::optional<ResponseParser> Parser;
  std::uint64_t ActiveCall = 0; ///< 0: no call is running.
  std::string RequestId;
  std::string Method;
  bool Connected = false;
  bool NotReusable = false; ///< Unexpected bytes were seen: not used again.
  Instant IdleDeadline;
  Duration IdleTimeout = std::chrono::milliseconds(8500);
};

} // namespace pollenwick::agent

#endif
