#include "peer/PeerConnections.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace pollenwick {
namespace {

constexpr auto ConnectTimeout = 500 * kj::MILLISECONDS;

void setNoDelay(kj::AsyncIoStream &Stream) {
  int On = 1;
  Stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace

kj::Promise<PeerConnections::SharedConnection>
PeerConnections::connect(const PeerAddress &To) {
  if (auto It = ConnectionByAddress.find(To); It != ConnectionByAddress.end())
    return It->second;
  return Timer
      .timeoutAfter(ConnectTimeout,
                    Network.parseAddress(To.Address.c_str(), To.Port)
                        .then([](kj::Own<kj::NetworkAddress> &&Address) {
                          auto Promise = Address->connect();
                          return Promise.attach(kj::mv(Address));
                        }))
      .then([this, To](kj::Own<kj::AsyncIoStream> &&Stream) {
        setNoDelay(*Stream);
        auto NewConnection =
            std::make_shared<Connection>(countBytes(kj::mv(Stream), Traffic));
        ++OpenedConnectionCount;
        // If two exchanges connect concurrently, both use the connection that
        // was established first.
        return ConnectionByAddress.try_emplace(To, NewConnection).first->second;
      });
}

void PeerConnections::forget(const PeerAddress &To,
                             const SharedConnection &Lost) {
  if (auto It = ConnectionByAddress.find(To);
      It != ConnectionByAddress.end() && It->second == Lost)
    ConnectionByAddress.erase(It);
}

kj::Promise<PeerError>
PeerConnections::run(const PeerAddress &To, Duration Timeout,
                     const PeerTransport::Exchange &Exchange) {
  return connect(To).then(
      [this, To, Timeout, &Exchange](SharedConnection &&Used) {
        auto TimedOut = Timer.afterDelay(Timeout.count() * kj::MICROSECONDS)
                            .then([this, To, Used] {
                              // During a network partition, a connection stays
                              // open without an error. Removing it makes the
                              // next exchange open a new one.
                              forget(To, Used);
                              return PeerError::TimedOut;
                            });
        return Exchange(Used->Peer)
            .then([] { return PeerError::None; },
                  [this, To, Used](kj::Exception &&) {
                    forget(To, Used);
                    return PeerError::Lost;
                  })
            .exclusiveJoin(kj::mv(TimedOut))
            .attach(SharedConnection(Used));
      },
      [](kj::Exception &&) -> kj::Promise<PeerError> {
        return PeerError::NotConnected;
      });
}

} // namespace pollenwick
