#ifndef POLLENWICK_TOOLS_EXCHANGE_H
#define POLLENWICK_TOOLS_EXCHANGE_H

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <Poco/Net/SocketAddress.h>

#include "Plan.h"

namespace Poco::Net {
class HTTPClientSession;
} // namespace Poco::Net

namespace pollenwick::tools {

using Target = Poco::Net::SocketAddress;

/// Throws Poco::InvalidArgumentException for a target that is not loopback.
std::vector<Target> parseTargets(const std::string &List);

struct Message {
  const RequestSpec *Spec = nullptr;
  std::string Id;
  std::string Key;    ///< Empty: none is sent.
  std::string Ticket; ///< Empty: none is sent.
};

enum class Delivery : std::uint8_t {
  Answered,
  NotSent, ///< The connection was refused.
  Lost,    ///< The connection ended before the whole answer was here.
};

struct Answer {
  Delivery How = Delivery::Lost;
  bool HeaderSeen = false;
  int Status = 0;
  std::string Outcome;
  std::string Reason;
  std::string Ticket;
  bool BodyRight = false; ///< Length, content and digest are as expected.
};

/// Open connections of one thread, one for each target in use.
class Exchange {
public:
  explicit Exchange(std::chrono::milliseconds Timeout);
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;
  ~Exchange();

  Answer send(const Target &To, const Message &Out);

private:
  Poco::Net::HTTPClientSession &session(const Target &To);

  const std::chrono::milliseconds Timeout;
  std::map<std::string, std::unique_ptr<Poco::Net::HTTPClientSession>> Open;
};

} // namespace pollenwick::tools

#endif
