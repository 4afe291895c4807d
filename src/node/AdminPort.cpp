#include "node/AdminPort.h"

#include <ostream>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace pollenwick {
namespace {

using Poco::Net::HTTPServerResponse;

void send(HTTPServerResponse &Response, HTTPServerResponse::HTTPStatus Status,
          const std::string &Type, const std::string &Body) {
  Response.setStatusAndReason(Status);
  Response.setContentType(Type);
  Response.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  Response.send() << Body << std::flush;
}

} // namespace

void handleAdminRequest(const AdminCallbacks &Callbacks,
                        Poco::Net::HTTPServerRequest &Request,
                        HTTPServerResponse &Response) {
  const std::string &Path = Request.getURI();
  const bool IsGet = Request.getMethod() == "GET";
  if (IsGet && Path == "/state")
    return send(Response, HTTPServerResponse::HTTP_OK, "application/json",
                Callbacks.StateJson());
  if (IsGet && Path == "/metrics")
    return send(Response, HTTPServerResponse::HTTP_OK,
                "text/plain; version=0.0.4", Callbacks.MetricsText());
  if (IsGet && Path == "/healthz") {
    const bool Healthy = Callbacks.IsHealthy();
    return send(Response,
                Healthy ? HTTPServerResponse::HTTP_OK
                        : HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE,
                "text/plain", Healthy ? "ok\n" : "not ready\n");
  }
  if (Request.getMethod() == "POST" && Path == "/drain") {
    Callbacks.BeginDrain();
    return send(Response, HTTPServerResponse::HTTP_OK, "text/plain",
                "draining\n");
  }
  send(Response, HTTPServerResponse::HTTP_NOT_FOUND, "text/plain",
       "unknown path; use /state, /metrics, /healthz or POST /drain\n");
}

} // namespace pollenwick
