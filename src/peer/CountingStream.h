#ifndef POLLENWICK_PEER_COUNTINGSTREAM_H
#define POLLENWICK_PEER_COUNTINGSTREAM_H

#include <atomic>
#include <cstdint>

#include <kj/async-io.h>

namespace pollenwick {

/// Bytes of payload on the peer connections of a node, without the headers of
/// TCP and IP. Written by the peer thread, read by any thread.
struct PeerTraffic {
  std::atomic<std::uint64_t> BytesSent = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;
};

/// Returns a stream that passes everything to `Inner` and counts the bytes in
/// `Traffic`, which must outlive it.
kj::Own<kj::AsyncIoStream> countBytes(kj::Own<kj::AsyncIoStream> Inner,
                                      PeerTraffic &Traffic);

/// Returns a receiver whose accepted streams are counted in `Traffic`.
/// `Inner` and `Traffic` must outlive it.
kj::Own<kj::ConnectionReceiver> countBytes(kj::ConnectionReceiver &Inner,
                                           PeerTraffic &Traffic);

} // namespace pollenwick

#endif
