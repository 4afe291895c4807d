#include "agent/CallerResponse.h"

#include "agent/Framing.h"
#include "agent/HttpMessage.h"
#include "agent/StringUtil.h"

namespace pollenwick::agent {
namespace {

constexpr int NoContentStatus = 204;

/// Returns the value of `Content-Length`; unset if the response has none.
std::optional<std::uint64_t> lengthField(const CallerResponse &Response,
                                         const ResponseFraming &Framing) {
  if (sendsBody(Response, Framing))
    return Response.Body.size();
  // With 204 the field is forbidden (RFC 9110, 8.6).
  return Response.Status == NoContentStatus ? std::nullopt
                                            : Response.UnsentLength;
}

} // namespace

bool sendsBody(const CallerResponse &Response, const ResponseFraming &Framing) {
  return !Framing.ToHead && !isBodiless(static_cast<unsigned>(Response.Status));
}

std::string responseHead(const CallerResponse &Response,
                         const ResponseFraming &Framing) {
  std::string Head =
      concat("HTTP/1.1 ", Response.Status, " ", reasonPhrase(Response.Status),
             "\r\n", Response.Headers);
  if (Framing.CloseAfterwards)
    appendAll(Head, "Connection: close\r\n");
  else if (Framing.ToHttp10)
    appendAll(Head, "Connection: keep-alive\r\n");
  if (const auto Length = lengthField(Response, Framing))
    appendAll(Head, "Content-Length: ", *Length, "\r\n");
  appendAll(Head, "\r\n");
  return Head;
}

CallerResponse makeLocalReply(int Status, std::string_view Cause,
                              std::string_view ExtraHeaders) {
  CallerResponse Reply;
  Reply.Status = Status;
  Reply.Headers = concat("Content-Type: application/json\r\n", ExtraHeaders);
  Reply.Body = concat("{\"error\":\"", Cause, "\"}");
  Reply.UnsentLength = Reply.Body.size();
  return Reply;
}

} // namespace pollenwick::agent
