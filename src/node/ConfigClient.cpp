#include "node/ConfigClient.h"

#include <istream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include "bundle/Published.h"

namespace pollenwick {
namespace {

/// The service normally answers within milliseconds. During an outage, a longer
/// timeout would delay the queries to other nodes that keep the view lease
/// valid.
constexpr int TimeoutMicroseconds = 400'000;

} // namespace

absl::StatusOr<std::string> ConfigClient::read(std::string_view Name) {
  using namespace Poco::Net;
  try {
    HTTPClientSession Session(Server.Address, Server.Port);
    Session.setTimeout(Poco::Timespan(TimeoutMicroseconds));
    HTTPRequest Request(HTTPRequest::HTTP_GET,
                        "/v1/values/" + std::string(Name),
                        HTTPRequest::HTTP_1_1);
    Session.sendRequest(Request);
    HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    if (Response.getStatus() == HTTPResponse::HTTP_NOT_FOUND)
      return absl::NotFoundError(std::string(Name));
    if (Response.getStatus() == HTTPResponse::HTTP_TOO_MANY_REQUESTS)
      return absl::ResourceExhaustedError(
          "configuration service limits the rate of reads (status 429)");
    if (Response.getStatus() != HTTPResponse::HTTP_OK)
      return absl::UnavailableError("configuration service answered " +
                                    std::to_string(Response.getStatus()));
    const auto Length = Response.getContentLength64();
    if (Length < 0 || Length > static_cast<std::int64_t>(MaxChunkBytes))
      return absl::UnavailableError(
          "configuration service sent a value without a usable length");
    std::string Body(static_cast<std::size_t>(Length), '\0');
    In.read(Body.data(), static_cast<std::streamsize>(Length));
    if (In.gcount() != Length)
      return absl::UnavailableError(
          "configuration service sent a truncated value");
    return Body;
  } catch (const Poco::Exception &Error) {
    return absl::UnavailableError("configuration service: " +
                                  Error.displayText());
  }
}

} // namespace pollenwick
