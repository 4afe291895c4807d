#include "Http.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <istream>

#include "absl/strings/str_cat.h"

namespace pollenwick {
namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::int64_t TimeoutMicros = 2'000'000;
constexpr std::size_t MaxAnswerBytes = 4U << 20;

absl::StatusOr<std::string> request(const std::string &Method,
                                    const std::string &Address,
                                    const std::string &Path,
                                    const std::string &Content) {
  try {
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Session.setTimeout(Poco::Timespan(TimeoutMicros));
    HTTPRequest Request(Method, Path, HTTPRequest::HTTP_1_1);
    if (Method == HTTPRequest::HTTP_PUT)
      Request.setContentLength(static_cast<std::streamsize>(Content.size()));
    Session.sendRequest(Request) << Content;
    HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    std::string Body(MaxAnswerBytes + 1, '\0');
    In.read(Body.data(), static_cast<std::streamsize>(Body.size()));
    Body.resize(static_cast<std::size_t>(In.gcount()));
    const int Code = Response.getStatus();
    if (Code == HTTPResponse::HTTP_NOT_FOUND)
      return absl::NotFoundError(
          absl::StrCat(Address, Path, " does not exist; publish it first"));
    if (Code / 100 != 2 || Body.size() > MaxAnswerBytes)
      return absl::UnavailableError(absl::StrCat(
          Method, " ", Address, Path, " answered ", Code, " with ", Body.size(),
          " bytes; check the address and the server's log"));
    return Body;
  } catch (const Poco::Exception &Error) {
    return absl::UnavailableError(absl::StrCat(
        Method, " ", Address, Path, " failed: ", Error.displayText(),
        "; check that HOST:PORT is right and the server runs"));
  }
}

} // namespace

absl::StatusOr<std::string> httpRead(const std::string &Address,
                                     const std::string &Path) {
  return request(HTTPRequest::HTTP_GET, Address, Path, "");
}

absl::StatusOr<std::string> readValue(const std::string &Service,
                                      const std::string &Name) {
  return httpRead(Service, "/v1/values/" + Name);
}

absl::Status writeValue(const std::string &Service, const std::string &Name,
                        const std::string &Content) {
  return request(HTTPRequest::HTTP_PUT, Service, "/v1/values/" + Name, Content)
      .status();
}

} // namespace pollenwick
