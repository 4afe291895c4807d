#ifndef POLLENWICK_PEER_PEERCONNECTIONS_H
#define POLLENWICK_PEER_PEERCONNECTIONS_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "peer/PeerTransport.h"

namespace pollenwick {

/// Pool of outgoing connections with one connection per peer address. Used on
/// the peer transport's thread only.
class PeerConnections {
public:
  PeerConnections(kj::Network &N, kj::Timer &T,
                  std::atomic<std::uint64_t> &OpenedCount, PeerTraffic &C)
      : Network(N), Timer(T), OpenedConnectionCount(OpenedCount), Traffic(C) {}

  /// Opens a connection if there is none, then runs the exchange. The promise
  /// is never rejected; errors become its `PeerError`. `Exchange` must outlive
  /// the promise.
  kj::Promise<PeerError> run(const PeerAddress &To, Duration Timeout,
                             const PeerTransport::Exchange &Exchange);

private:
  struct Connection {
    explicit Connection(kj::Own<kj::AsyncIoStream> S)
        : Stream(kj::mv(S)), Rpc(*Stream),
          Peer(Rpc.bootstrap().castAs<wire::Peer>()) {}
    kj::Own<kj::AsyncIoStream> Stream;
    capnp::TwoPartyClient Rpc;
    wire::Peer::Client Peer;
  };
  using SharedConnection = std::shared_ptr<Connection>;

  /// Returns the connection to `To`, which is opened if there is none.
  kj::Promise<SharedConnection> connect(const PeerAddress &To);
  /// Removes a failed connection, unless a new one has already replaced it.
  void forget(const PeerAddress &To, const SharedConnection &Lost);

  kj::Network &Network;
  kj::Timer &Timer;
  std::atomic<std::uint64_t> &OpenedConnectionCount;
  PeerTraffic &Traffic;
  std::map<PeerAddress, SharedConnection> ConnectionByAddress;
};

} // namespace pollenwick

#endif
