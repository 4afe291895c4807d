#ifndef POLLENWICK_NODE_ADMINPORT_H
#define POLLENWICK_NODE_ADMINPORT_H

#include <functional>
#include <string>

#include "node/Counters.h"
#include "node/ServiceRegistry.h"

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace pollenwick {

/// What the admin port needs of the node.
struct AdminCallbacks {
  std::function<std::string()> StateJson;
  std::function<std::string()> MetricsText;
  std::function<bool()> IsHealthy;
  std::function<void()> BeginDrain;
};

/// Answers `GET /state`, `/metrics`, `/healthz` and `POST /drain`.
void handleAdminRequest(const AdminCallbacks &Callbacks,
                        Poco::Net::HTTPServerRequest &Request,
                        Poco::Net::HTTPServerResponse &Response);

} // namespace pollenwick

#endif
