#ifndef POLLENWICK_PEER_COUNTINGSTREAM_H
#define POLLENWICK_PEER_COUNTINGSTREAM_H

#include <atomic>
#include <cstdint>

#include <kj/async-io.h>

namespace pollenwick {

/// Counts the payload bytes on the peer connections of a node, without TCP and
/// IP headers. The peer transport's thread updates the counts; any thread may
/// read them.
struct PeerTraffic {
  std::atomic<std::uint64_t> BytesSent = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;
};

/// Returns a stream that forwards all operations to `Inner` and adds the bytes
/// to `Traffic`, which must outlive the stream.
kj::Own<kj::AsyncIoStream> countBytes(kj::Own<kj::AsyncIoStream> Inner,
                                      PeerTraffic &Traffic);

/// Returns a receiver that accepts connections from `Inner` and adds the bytes
/// of their streams to `Traffic`. `Inner` and `Traffic` must outlive the
/// receiver and its streams.
kj::Own<kj::ConnectionReceiver> countBytes(kj::ConnectionReceiver &Inner,
                                           PeerTraffic &Traffic);

} // namespace pollenwick

#endif
