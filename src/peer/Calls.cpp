#include "peer/Calls.h"

#include <algorithm>
#include <array>

#include <Poco/String.h>

namespace pollenwick {

CallReply refuse(Outcome Result, RefusalReason Reason, std::string Message,
                 Duration RetryAfter) {
  CallReply Reply;
  Reply.Result = Result;
  Reply.Reason = Reason;
  Reply.Message = std::move(Message);
  Reply.Status = static_cast<std::uint16_t>(httpStatus(Reason));
  Reply.RetryAfter = RetryAfter;
  return Reply;
}

CallReply refuse(const Refusal &Refused) {
  return refuse(Refused.Result, Refused.Reason, Refused.Message,
                Refused.RetryAfter.value_or(Duration::zero()));
}

const std::string *findHeader(const std::vector<HeaderField> &Headers,
                              std::string_view Name) {
  const auto It = std::ranges::find_if(Headers, [&](const HeaderField &Field) {
    return Poco::icompare(Field.Name, std::string(Name)) == 0;
  });
  return It == Headers.end() ? nullptr : &It->Value;
}

bool isHopByHopHeader(std::string_view Name) {
  // Authorization and Cookie may contain the caller's key, which must not reach
  // a backend server. Host and Content-Length are set again on each hop.
  static constexpr std::array<std::string_view, 13> Names{"authorization",
                                                          "cookie",
                                                          "connection",
                                                          "keep-alive",
                                                          "proxy-connection",
                                                          "proxy-authorization",
                                                          "te",
                                                          "trailer",
                                                          "transfer-encoding",
                                                          "upgrade",
                                                          "host",
                                                          "content-length",
                                                          "expect"};
  std::string Lower(Name);
  Poco::toLowerInPlace(Lower);
  return std::ranges::find(Names, Lower) != Names.end() ||
         Lower.starts_with("pollenwick-");
}

} // namespace pollenwick
