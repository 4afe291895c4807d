#include "Exchange.h"

#include <sstream>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include "../common/Payload.h"

namespace pollenwick::tools {
namespace {

using namespace Poco::Net;

// A thread sends to its own target and now and then to another one.
constexpr std::size_t MaxOpenPerThread = 3;

std::string bodyOf(const Message &Out) {
  std::string Body = Out.Spec->BodyText;
  if (Body.size() < Out.Spec->BodyBytes)
    Body += payloadOf(Out.Id, Out.Spec->BodyBytes - Body.size());
  return Body;
}

HTTPRequest headerOf(const Message &Out, std::size_t BodyBytes) {
  const bool Post = BodyBytes > 0 || Out.Spec->NonIdempotent;
  HTTPRequest Request(Post ? HTTPRequest::HTTP_POST : HTTPRequest::HTTP_GET,
                      "/" + Out.Spec->Route +
                          "?bytes=" + std::to_string(Out.Spec->ReplyBytes),
                      HTTPMessage::HTTP_1_1);
  Request.set("Client-Request-Id", Out.Id);
  if (!Out.Key.empty())
    Request.set("Authorization", "Bearer " + Out.Key);
  if (!Out.Ticket.empty())
    Request.set("Pollenwick-Ticket", Out.Ticket);
  if (Out.Spec->DeadlineMs > 0)
    Request.set("Pollenwick-Deadline-Ms", std::to_string(Out.Spec->DeadlineMs));
  if (Post)
    Request.setContentLength(static_cast<std::streamsize>(BodyBytes));
  return Request;
}

void receive(HTTPClientSession &Session, const Message &Out, Answer &Result) {
  HTTPResponse Reply;
  std::istream &In = Session.receiveResponse(Reply);
  Result.HeaderSeen = true;
  Result.Status = Reply.getStatus();
  Result.Outcome = Reply.get("Pollenwick-Outcome", "");
  Result.Reason = Reply.get("Pollenwick-Reason", "");
  Result.Ticket = Reply.get("Pollenwick-Ticket", "");
  std::string Body;
  char Chunk[16384];
  while (In.read(Chunk, sizeof Chunk) || In.gcount() > 0)
    Body.append(Chunk, static_cast<std::size_t>(In.gcount()));
  // POCO ends the stream without an error when the connection closes early.
  if (Reply.hasContentLength() &&
      static_cast<std::size_t>(Reply.getContentLength64()) != Body.size())
    throw ConnectionResetException("truncated answer");
  Result.How = Delivery::Answered;
  if (Result.Status != HTTPResponse::HTTP_OK)
    return;
  const std::string Digest = Reply.get("Content-Digest-Hex", "");
  Result.BodyRight = Body == payloadOf(Out.Id, Out.Spec->ReplyBytes) &&
                     (Digest.empty() || Digest == sha256Hex(Body));
}

} // namespace

std::vector<Target> parseTargets(const std::string &List) {
  std::vector<Target> Targets;
  std::istringstream In(List);
  for (std::string Text; std::getline(In, Text, ',');) {
    Targets.emplace_back(Text);
    if (!Targets.back().host().isLoopback())
      throw Poco::InvalidArgumentException(
          Text + " is not a loopback address; only loopback is allowed");
  }
  if (Targets.empty())
    throw Poco::InvalidArgumentException("no target is given");
  return Targets;
}

Exchange::Exchange(std::chrono::milliseconds Timeout) : Timeout(Timeout) {}
Exchange::~Exchange() = default;

HTTPClientSession &Exchange::session(const Target &To) {
  const std::string Name = To.toString();
  if (!Open.contains(Name) && Open.size() >= MaxOpenPerThread)
    Open.clear();
  std::unique_ptr<HTTPClientSession> &Entry = Open[Name];
  if (!Entry) {
    Entry = std::make_unique<HTTPClientSession>(To);
    Entry->setKeepAlive(true);
    Entry->setTimeout(Poco::Timespan(Timeout.count() * 1000));
  }
  // A connection that its server closed while idle is readable.
  if (Entry->connected() &&
      Entry->socket().poll(Poco::Timespan(0), Socket::SELECT_READ))
    Entry->reset();
  return *Entry;
}

Answer Exchange::send(const Target &To, const Message &Out) {
  Answer Result;
  HTTPClientSession &Session = session(To);
  try {
    const std::string Body = bodyOf(Out);
    HTTPRequest Request = headerOf(Out, Body.size());
    Session.sendRequest(Request).write(
        Body.data(), static_cast<std::streamsize>(Body.size()));
    receive(Session, Out, Result);
  } catch (const ConnectionRefusedException &) {
    Result.How = Delivery::NotSent;
    Session.reset();
  } catch (const Poco::Exception &) {
    Result.How = Delivery::Lost;
    Session.reset();
  }
  return Result;
}

} // namespace pollenwick::tools
