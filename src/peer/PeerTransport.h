#ifndef POLLENWICK_PEER_PEERTRANSPORT_H
#define POLLENWICK_PEER_PEERTRANSPORT_H

#include <atomic>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <tuple>

#include <kj/async.h>

#include "peer/Calls.h"
#include "peer/CountingStream.h"
#include "peer/PeerHandlers.h"

namespace pollenwick {

class PeerConnections;

/// Numeric IP address and TCP port at which a node accepts peer connections.
struct PeerAddress {
  std::string Address;
  std::uint16_t Port = 0;
  friend bool operator==(const PeerAddress &, const PeerAddress &) = default;
  friend bool operator<(const PeerAddress &A, const PeerAddress &B) {
    return std::tie(A.Address, A.Port) < std::tie(B.Address, B.Port);
  }
};

/// Result of an exchange with a peer.
enum class PeerError : std::uint8_t {
  None,
  Busy,         ///< Too many exchanges are in progress; nothing was sent.
  NotConnected, ///< No connection could be opened; nothing was sent.
  Lost,         ///< The connection ended after the request was sent.
  TimedOut,     ///< No reply before the timeout; the peer may have received the
                ///< request.
};

/// Runs the thread that serves the peer port and owns the connections to other
/// nodes.
class PeerTransport {
public:
  /// `MaxPendingExchanges` limits the number of concurrent outgoing exchanges.
  PeerTransport(PeerHandlers Handlers, std::uint32_t MaxPendingExchanges);
  ~PeerTransport();

  /// Starts the thread and binds the port. Returns an empty string on success,
  /// otherwise an error message that includes the remedy.
  std::string start(const std::string &Address, std::uint16_t Port);
  void stop();

  /// Sends a call and blocks until its reply arrives. Errors are returned as
  /// replies with the outcome `NotRun` if nothing was sent, otherwise
  /// `Unknown`. Must not be called on the transport's own thread.
  CallReply call(const PeerAddress &To, const CallRequest &Request);
  /// Like `call`, but uses `Ticket`, which the node at `To` has issued.
  CallReply claim(const PeerAddress &To, const std::string &Ticket,
                  const CallRequest &Request);

  /// Sends a request with the given Cap'n Proto client and processes the reply.
  /// Runs on the transport's thread and writes its result into state that the
  /// caller owns.
  using Exchange = std::function<kj::Promise<void>(wire::Peer::Client &)>;
  /// Runs an exchange with the peer at `To` on the transport's thread and
  /// blocks until it ends. Must not be called on the transport's own thread.
  PeerError exchange(const PeerAddress &To, Duration Timeout,
                     const Exchange &Run);

  /// Starts an exchange without waiting for its end. Drops the exchange if too
  /// many are in progress. `Run` must own all state that it uses. Any thread
  /// may call it.
  void post(const PeerAddress &To, Duration Timeout, Exchange Run);

  std::uint32_t pendingExchanges() const { return PendingExchanges.load(); }
  std::uint64_t connectionsOpened() const {
    return OpenedConnectionCount.load();
  }
  const PeerTraffic &traffic() const { return Traffic; }

private:
  void run(const std::string &Address, std::uint16_t Port,
           std::promise<std::string> Started);

  PeerHandlers Handlers;
  const std::uint32_t MaxPendingExchanges;
  std::atomic<std::uint32_t> PendingExchanges = 0;
  std::atomic<std::uint64_t> OpenedConnectionCount = 0;
  PeerTraffic Traffic;
  std::thread Thread;
  kj::Own<const kj::Executor> Executor;
  PeerConnections *Connections = nullptr;
  kj::TaskSet *PostedExchanges = nullptr;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> StopFulfiller;
};

} // namespace pollenwick

#endif
