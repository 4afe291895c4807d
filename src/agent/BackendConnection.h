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

/// One HTTP connection to the backend server; one call at a time.
class BackendConnection : public StreamOwner {
public:
  BackendConnection(EventLoop &Loop, const PlatformAdapter &Words,
                    Backend &Owner);

  bool open(const std::string &Address);
  void run(std::uint64_t Number, const CallRequest &Request, Instant Now);
  void close();

  bool connected() const { return Connected; }
  std::uint64_t call() const { return Number; }
  bool usable(Instant Now) const;

  void onConnected() override { Connected = true; }
  void onData(std::string_view Bytes) override;
  void onEnd(StreamEnd End) override;

private:
  void parse(std::string_view Bytes);
  void finish();
  void breakOff(std::string Cause);
  CallAnswer readAnswer(const ResponseMessage &Response) const;

  EventLoop &Loop;
  const PlatformAdapter &Words;
  Backend &Owner;
  std::shared_ptr<Stream> Connection;
  std::optional<ResponseParser> Parser;
  std::uint64_t Number = 0; ///< 0: no call is running.
  std::string RequestId;
  std::string Method;
  bool Connected = false;
  bool Spoiled = false; ///< Unexpected bytes were seen: not used again.
  Instant IdleUntil;
  Duration IdleLimit = std::chrono::milliseconds(8500);
};

} // namespace pollenwick::agent

#endif
