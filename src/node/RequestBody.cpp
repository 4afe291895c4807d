#include "node/RequestBody.h"

#include <istream>

#include <Poco/Net/HTTPServerRequest.h>

namespace pollenwick {
namespace {

Refusal makeRefusal(RefusalReason Reason, std::string Message) {
  Refusal Out;
  Out.Reason = Reason;
  Out.Message = std::move(Message);
  return Out;
}

} // namespace

std::optional<Refusal> RequestBody::read(Poco::Net::HTTPServerRequest &Request,
                                         std::size_t MaxBytes) {
  if (Request.getChunkedTransferEncoding())
    return makeRefusal(RefusalReason::BadRequest,
                       "the request body is chunked; send a Content-Length");
  if (!Request.hasContentLength())
    return std::nullopt;
  const auto Length = static_cast<std::uint64_t>(Request.getContentLength64());
  if (Length > MaxBytes)
    return makeRefusal(RefusalReason::BodyTooLarge,
                       "the request body has " + std::to_string(Length) +
                           " bytes; send at most " + std::to_string(MaxBytes));
  if (!Budget.tryReserve(Length))
    return makeRefusal(RefusalReason::QueueFull,
                       "too many request bodies are held; send again later");
  OwnBytes = Length;
  Bytes.resize(Length);
  Request.stream().read(Bytes.data(), static_cast<std::streamsize>(Length));
  if (static_cast<std::uint64_t>(Request.stream().gcount()) != Length)
    return makeRefusal(RefusalReason::BadRequest,
                       "the request body ended early; send all of it");
  return std::nullopt;
}

} // namespace pollenwick
