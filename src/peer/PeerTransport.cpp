#include "peer/PeerTransport.h"

#include <algorithm>
#include <utility>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "peer/Clock.h"
#include "peer/PeerConnections.h"
#include "peer/PeerServer.h"
#include "peer/Wire.h"

namespace pollenwick {
namespace {

/// Time after the deadline during which a reply is still accepted, so that a
/// reply in transit takes precedence over a local timeout error.
constexpr Duration ReplyGracePeriod = std::chrono::milliseconds(20);
constexpr Duration MinReplyTimeout = std::chrono::milliseconds(1);

/// Ignores errors of posted exchanges, because their senders repeat them
/// periodically.
class IgnoreErrors final : public kj::TaskSet::ErrorHandler {
public:
  void taskFailed(kj::Exception &&) override {}
};

CallReply replyForPeerError(PeerError Error) {
  switch (Error) {
  case PeerError::None:
    break;
  case PeerError::Busy:
    return refuse(Outcome::NotRun, RefusalReason::QueueFull,
                  "too many calls are waiting for peers; send fewer");
  case PeerError::NotConnected:
    return refuse(Outcome::NotRun, RefusalReason::PeerLost,
                  "no connection to the callee node");
  case PeerError::Lost:
    return refuse(Outcome::Unknown, RefusalReason::PeerLost,
                  "connection to the callee node was lost");
  case PeerError::TimedOut:
    return refuse(Outcome::Unknown, RefusalReason::DeadlineExceeded,
                  "callee node did not answer before the deadline");
  }
  return refuse(Outcome::Unknown, RefusalReason::PeerLost,
                "callee node sent no reply");
}

Duration replyTimeout(const CallRequest &Request) {
  return std::max(Request.Deadline - now() + ReplyGracePeriod, MinReplyTimeout);
}

} // namespace

PeerTransport::PeerTransport(PeerHandlers H, std::uint32_t M)
    : Handlers(std::move(H)), MaxPendingExchanges(M) {}

PeerTransport::~PeerTransport() { stop(); }

std::string PeerTransport::start(const std::string &Address,
                                 std::uint16_t Port) {
  std::promise<std::string> Started;
  auto Result = Started.get_future();
  Thread = std::thread([this, Address, Port, S = std::move(Started)]() mutable {
    run(Address, Port, std::move(S));
  });
  std::string Error = Result.get();
  if (!Error.empty())
    Thread.join();
  return Error;
}

void PeerTransport::stop() {
  if (!Thread.joinable())
    return;
  StopFulfiller->fulfill();
  Thread.join();
}

void PeerTransport::run(const std::string &Address, std::uint16_t Port,
                        std::promise<std::string> Started) {
  bool Ready = false;
  try {
    auto Io = kj::setupAsyncIo();
    auto &Network = Io.provider->getNetwork();
    auto Listener = Network.parseAddress(Address.c_str(), Port)
                        .wait(Io.waitScope)
                        ->listen();
    capnp::TwoPartyServer Server(kj::heap<PeerServer>(Handlers));
    auto Counted = countBytes(*Listener, Traffic);
    auto Serving =
        Server.listen(*Counted).eagerlyEvaluate([](kj::Exception &&) {});
    PeerConnections Outgoing(Network, Io.provider->getTimer(),
                             OpenedConnectionCount, Traffic);
    Connections = &Outgoing;
    IgnoreErrors Errors;
    kj::TaskSet Posted(Errors);
    PostedExchanges = &Posted;
    Executor = kj::getCurrentThreadExecutor().addRef();
    auto Stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    StopFulfiller = kj::mv(Stop.fulfiller);
    Ready = true;
    Started.set_value("");
    Stop.promise.wait(Io.waitScope);
  } catch (const kj::Exception &Error) {
    if (!Ready)
      Started.set_value("cannot listen on peer port " + Address + ":" +
                        std::to_string(Port) + ": " +
                        Error.getDescription().cStr() +
                        "; use a free port or end the process that holds it");
  }
}

PeerError PeerTransport::exchange(const PeerAddress &To, Duration Timeout,
                                  const Exchange &Run) {
  if (PendingExchanges.fetch_add(1) >= MaxPendingExchanges) {
    PendingExchanges.fetch_sub(1);
    return PeerError::Busy;
  }
  PeerError Result = PeerError::Lost;
  try {
    Result = Executor->executeSync(
        [&] { return Connections->run(To, Timeout, Run); });
  } catch (const kj::Exception &) {
    // The transport's thread has stopped, possibly after sending the request.
    Result = PeerError::Lost;
  }
  PendingExchanges.fetch_sub(1);
  return Result;
}

void PeerTransport::post(const PeerAddress &To, Duration Timeout,
                         Exchange Run) {
  if (PendingExchanges.fetch_add(1) >= MaxPendingExchanges) {
    PendingExchanges.fetch_sub(1);
    return;
  }
  auto Start = [&] {
    auto Owned = std::make_shared<Exchange>(std::move(Run));
    PostedExchanges->add(Connections->run(To, Timeout, *Owned)
                             .ignoreResult()
                             .attach(kj::defer([this, Owned] {
                               PendingExchanges.fetch_sub(1);
                             })));
  };
  if (std::this_thread::get_id() == Thread.get_id())
    return Start();
  try {
    Executor->executeSync(Start);
  } catch (const kj::Exception &) {
    PendingExchanges.fetch_sub(1); // The transport's thread has stopped.
  }
}

CallReply PeerTransport::call(const PeerAddress &To,
                              const CallRequest &Request) {
  CallReply Reply;
  CallId Id;
  const PeerError Error =
      exchange(To, replyTimeout(Request), [&](wire::Peer::Client &Peer) {
        auto Message = Peer.callRequest();
        writeCall(Message.initCall(), Request, now());
        return Message.send().then([&](auto &&Response) {
          Reply = readReply(Response.getReply(), Id);
        });
      });
  if (Error != PeerError::None || Id != Request.Id)
    return replyForPeerError(Error);
  return Reply;
}

CallReply PeerTransport::claim(const PeerAddress &To, const std::string &Ticket,
                               const CallRequest &Request) {
  CallReply Reply;
  CallId Id;
  const PeerError Error =
      exchange(To, replyTimeout(Request), [&](wire::Peer::Client &Peer) {
        auto Message = Peer.claimRequest();
        Message.setTicket(Ticket);
        writeCall(Message.initCall(), Request, now());
        return Message.send().then([&](auto &&Response) {
          Reply = readReply(Response.getReply(), Id);
        });
      });
  if (Error != PeerError::None || Id != Request.Id)
    return replyForPeerError(Error);
  return Reply;
}

} // namespace pollenwick
