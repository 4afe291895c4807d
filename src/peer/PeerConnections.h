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

/// Outgoing connections by peer address; lives on the peer duty's thread.
class PeerConnections {
public:
  PeerConnections(kj::Network &N, kj::Timer &T,
                  std::atomic<std::uint64_t> &OpenedCount, PeerTraffic &C)
      : Network(N), Timer(T), OpenedConnectionCount(OpenedCount), Traffic(C) {}

  /// Connects when necessary, then runs the exchange. Never rejects.
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

  kj::Promise<SharedConnection> connect(const PeerAddress &To);
  void forget(const PeerAddress &To, const SharedConnection &Lost);

  kj::Network &Network;
  kj::Timer &Timer;
  std::atomic<std::uint64_t> &OpenedConnectionCount;
  PeerTraffic &Traffic;
  std::map<PeerAddress, SharedConnection> ConnectionByAddress;
};

} // namespace pollenwick

#endif
