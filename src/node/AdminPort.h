#ifndef POLLENWICK_NODE_ADMINPORT_H
#define POLLENWICK_NODE_ADMINPORT_H

#include <functional>
#include <string>

#include "node/ComponentRegistry.h"
#include "node/Counters.h"

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace pollenwick {

/// Functions of the node that the handlers of the admin port call.
struct AdminCallbacks {
  std::function<std::string()> StateJson;   ///< Body of `GET /state`.
  std::function<std::string()> MetricsText; ///< Body of `GET /metrics`.
  std::function<bool()> IsHealthy;          ///< False: `/healthz` answers 503.
  std::function<void()> BeginDrain;         ///< Called by `POST /drain`.
};

/// Answers `GET /state`, `GET /metrics`, `GET /healthz` and `POST /drain`, and
/// any other request with status 404.
void handleAdminRequest(const AdminCallbacks &Callbacks,
                        Poco::Net::HTTPServerRequest &Request,
                        Poco::Net::HTTPServerResponse &Response);

} // namespace pollenwick

#endif
