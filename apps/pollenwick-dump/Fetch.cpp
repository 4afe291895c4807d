#include "Fetch.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <atomic>
#include <iterator>
#include <sstream>
#include <thread>
#include <variant>

#include "absl/strings/str_cat.h"

namespace pollenwick {
namespace {

using Clock = std::chrono::steady_clock;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t AskedAtOnce = 16;
constexpr std::size_t MaxAnswerBytes = 16U << 20;
constexpr std::size_t ReadBytes = 64U << 10;

/// Throws when `End` has passed.
Poco::Timespan timeLeft(Clock::time_point End) {
  const auto Left =
      std::chrono::duration_cast<std::chrono::microseconds>(End - Clock::now());
  if (Left.count() <= 0)
    throw Poco::TimeoutException();
  return Poco::Timespan(Left.count());
}

// The time limit of an HTTP client session of POCO holds for each read, so a
// server that sends byte by byte could hold it for ever. Here it holds for the
// whole answer.
std::string readAll(const std::string &Admin, Clock::time_point End) {
  Poco::Net::StreamSocket Socket;
  Socket.connect(Poco::Net::SocketAddress(Admin), timeLeft(End));
  HTTPRequest Request(HTTPRequest::HTTP_GET, "/state", HTTPRequest::HTTP_1_1);
  Request.setHost(Admin);
  Request.setKeepAlive(false);
  std::ostringstream Head;
  Request.write(Head);
  const std::string Sent = Head.str();
  Socket.setSendTimeout(timeLeft(End));
  Socket.sendBytes(Sent.data(), static_cast<int>(Sent.size()));
  std::string Out;
  std::string Buffer(ReadBytes, '\0');
  while (Out.size() <= MaxAnswerBytes) {
    Socket.setReceiveTimeout(timeLeft(End));
    const int Size =
        Socket.receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
    if (Size <= 0)
      return Out;
    Out.append(Buffer, 0, static_cast<std::size_t>(Size));
  }
  throw Poco::DataFormatException("the answer is too large");
}

std::variant<NodeState, MissingNode> fetch(const std::string &Admin,
                                           std::chrono::milliseconds Limit) {
  try {
    std::istringstream In(readAll(Admin, Clock::now() + Limit));
    HTTPResponse Response;
    Response.read(In);
    const std::string Body(std::istreambuf_iterator<char>(In), {});
    if (Response.getStatus() != HTTPResponse::HTTP_OK)
      return MissingNode{
          Admin,
          absl::StrCat("GET /state answered ", int{Response.getStatus()},
                       "; use the admin port of a pollenwick-node"),
          true};
    auto State = parseState(Admin, Body);
    if (!State.ok())
      return MissingNode{Admin, std::string(State.status().message()), true};
    return *std::move(State);
  } catch (const Poco::TimeoutException &) {
    return MissingNode{Admin,
                       absl::StrCat("no whole answer within ", Limit.count(),
                                    " ms; check the process or raise "
                                    "--timeout_ms"),
                       false};
  } catch (const Poco::Net::MessageException &) {
    return MissingNode{
        Admin, "the answer is not HTTP; use the admin port of a node", true};
  } catch (const Poco::Exception &Error) {
    return MissingNode{Admin,
                       Error.displayText() +
                           "; check the address and that the node runs",
                       false};
  }
}

} // namespace

Fleet fetchStates(const std::vector<std::string> &Admins,
                  std::chrono::milliseconds Limit) {
  std::vector<std::variant<NodeState, MissingNode>> Results(Admins.size());
  std::atomic<std::size_t> Next = 0;
  {
    std::vector<std::jthread> Threads;
    for (std::size_t I = 0; I < std::min(AskedAtOnce, Admins.size()); ++I)
      Threads.emplace_back([&] {
        for (std::size_t One = Next++; One < Admins.size(); One = Next++)
          Results[One] = fetch(Admins[One], Limit);
      });
  }
  Fleet Out;
  for (auto &Result : Results) {
    if (auto *State = std::get_if<NodeState>(&Result))
      Out.Nodes.push_back(std::move(*State));
    else
      Out.Missing.push_back(std::get<MissingNode>(std::move(Result)));
  }
  return Out;
}

} // namespace pollenwick
