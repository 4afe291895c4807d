#include "node/CallerPort.h"

#include <algorithm>
#include <ostream>
#include <variant>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/NumberParser.h>

#include "bundle/Digests.h"
#include "peer/Clock.h"

namespace pollenwick {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::string_view BearerPrefix = "Bearer ";
/// Limit of a request body while the node has no bundle.
constexpr std::size_t DefaultMaxBodyBytes = 8U << 20;

std::vector<HeaderField> forwardedHeaders(const HTTPServerRequest &Request) {
  std::vector<HeaderField> Out;
  for (const auto &[Name, Value] : Request)
    if (!isHopByHopHeader(Name))
      Out.push_back({Name, Value});
  return Out;
}

std::optional<KeyDigest> bearerKey(const HTTPServerRequest &Request) {
  const std::string Value = Request.get("Authorization", "");
  if (!Value.starts_with(BearerPrefix))
    return std::nullopt;
  return keyDigest(std::string_view(Value).substr(BearerPrefix.size()));
}

std::optional<Duration> requestedTimeout(const HTTPServerRequest &Request) {
  Poco::UInt64 Millis = 0;
  constexpr Poco::UInt64 MaxMillis = 3'600'000;
  if (!Poco::NumberParser::tryParseUnsigned64(
          Request.get("Pollenwick-Deadline-Ms", ""), Millis))
    return std::nullopt;
  return std::chrono::milliseconds(std::min(Millis, MaxMillis));
}

void writeReply(const CallReply &Reply, const std::string &Method,
                HTTPServerResponse &Response) {
  Response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(Reply.Status));
  Response.setReason(
      HTTPServerResponse::getReasonForStatus(Response.getStatus()));
  for (const HeaderField &Field : Reply.Headers)
    Response.add(Field.Name, Field.Value);
  Response.set("Pollenwick-Outcome", std::string(outcomeText(Reply.Result)));
  std::string Text;
  if (Reply.Result != Outcome::Done) {
    Response.set("Pollenwick-Reason", std::string(reasonText(Reply.Reason)));
    if (Reply.RetryAfter > Duration::zero())
      Response.set("Retry-After",
                   std::to_string(
                       std::chrono::ceil<std::chrono::seconds>(Reply.RetryAfter)
                           .count()));
    Text = Reply.Message + "\n";
    Response.setContentType("text/plain; charset=utf-8");
  }
  const std::string &Body = Reply.Result == Outcome::Done ? Reply.Body : Text;
  Response.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  std::ostream &Out = Response.send();
  if (Method != "HEAD")
    Out.write(Body.data(), static_cast<std::streamsize>(Body.size()));
  Out.flush();
}

std::size_t maxBodyBytes(const CallHandlingContext &Context) {
  const BundlePtr Active = Context.Bundles.current();
  return Active ? Active->SourceBundle->Rules.MaxBodyBytes
                : DefaultMaxBodyBytes;
}

CallReply bodyRefusedReply(const Refusal &Refused,
                           const HTTPServerRequest &Request,
                           HTTPServerResponse &Response) {
  // Closes the connection, because the unread rest of the body would be parsed
  // as the next request.
  Response.setKeepAlive(false);
  CallReply Reply = refuse(Refused);
  // An earlier request with the same ticket may have run the call.
  if (Request.has("Pollenwick-Ticket"))
    Reply.Result = Outcome::Unknown;
  return Reply;
}

CallReply runSubCall(const CallHandlingContext &Context,
                     HTTPServerRequest &Request, std::string Bytes) {
  Context.NodeCounters.add(Counter::SubCalls);
  const auto Handle = parseCallHandle(Request.get("Pollenwick-Call", ""));
  const BundlePtr Active = Context.Bundles.current();
  if (!Handle || !Active)
    return refuse(Outcome::NotRun, RefusalReason::EdgeNotDeclared,
                  "sub-call without a call handle; copy Pollenwick-Call from "
                  "the request that is running");
  const RouteEntry *Route = findRouteByPath(Active->Routes, Request.getURI());
  if (!Route)
    return refuse(Outcome::NotRun, RefusalReason::UnknownRoute,
                  "no route has this path; check it");
  auto Begun = Context.Running.beginSub(*Active, *Handle, Route->Spec->Id);
  if (const auto *Refused = std::get_if<Refusal>(&Begun))
    return refuse(*Refused);
  const GrantedSubCall &Sub = std::get<GrantedSubCall>(Begun);
  const Instant Start = now();
  CallRequest Call;
  Call.Route = Route->Spec->Id;
  Call.Method = Request.getMethod();
  Call.PathAndQuery = Request.getURI();
  Call.Headers = forwardedHeaders(Request);
  Call.Customer = Sub.Grant.Customer;
  // The priority class of the root request applies to its whole call tree.
  Call.Class = Sub.Grant.Class;
  Call.Root = Sub.Grant.Root;
  Call.Hash = Sub.Hash;
  Call.Deadline = Sub.Grant.Deadline;
  if (const auto Asked = requestedTimeout(Request))
    Call.Deadline = std::min(Call.Deadline, Start + *Asked);
  Call.AdmittedAt = Sub.AdmittedAt;
  Call.Allowance = Sub.Grant.Allowance;
  Call.Key = Sub.Key;
  Call.HasKey = Sub.HasKey;
  Call.DecisionRevision = Active->ActiveRevision.Number;
  Call.SubCall = true;
  Call.BodyDigest = sha256(Bytes);
  Call.Body = std::move(Bytes);
  CallReply Reply =
      Context.CallForwarder.forward(std::move(Call), *Active, *Route);
  Context.Running.finishSub(Sub, Reply, now() - Start);
  return Reply;
}

} // namespace

void handleCallerRequest(const CallHandlingContext &Context,
                         HTTPServerRequest &Request,
                         HTTPServerResponse &Response) {
  RequestBody Content(Context.BodyMemory);
  const std::string Method = Request.getMethod();
  if (auto Refused = Content.read(Request, maxBodyBytes(Context)))
    return writeReply(bodyRefusedReply(*Refused, Request, Response), Method,
                      Response);
  IncomingRequest Incoming;
  Incoming.Method = Method;
  Incoming.PathAndQuery = Request.getURI();
  Incoming.Headers = forwardedHeaders(Request);
  Incoming.Body = std::move(Content.Bytes);
  Incoming.Key = bearerKey(Request);
  Incoming.Ticket = Request.get("Pollenwick-Ticket", "");
  Incoming.Deadline = requestedTimeout(Request);
  writeReply(Context.RootIngress.handle(std::move(Incoming)), Method, Response);
}

void handleEgressRequest(const CallHandlingContext &Context,
                         HTTPServerRequest &Request,
                         HTTPServerResponse &Response) {
  RequestBody Content(Context.BodyMemory);
  const std::string Method = Request.getMethod();
  if (auto Refused = Content.read(Request, maxBodyBytes(Context)))
    return writeReply(bodyRefusedReply(*Refused, Request, Response), Method,
                      Response);
  writeReply(runSubCall(Context, Request, std::move(Content.Bytes)), Method,
             Response);
}

} // namespace pollenwick
