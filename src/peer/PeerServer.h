#ifndef POLLENWICK_PEER_PEERSERVER_H
#define POLLENWICK_PEER_PEERSERVER_H

#include "peer/PeerHandlers.h"

namespace pollenwick {

/// Cap'n Proto server of the peer port, which passes requests to the handlers.
/// Used on the peer transport's thread only.
class PeerServer final : public wire::Peer::Server {
public:
  explicit PeerServer(const PeerHandlers &H) : Handlers(H) {}

protected:
  kj::Promise<void> call(CallContext Context) override;
  kj::Promise<void> claim(ClaimContext Context) override;
  kj::Promise<void> borrow(BorrowContext Context) override;
  kj::Promise<void> settle(SettleContext Context) override;
  kj::Promise<void> recall(RecallContext Context) override;
  kj::Promise<void> pull(PullContext Context) override;
  kj::Promise<void> release(ReleaseContext Context) override;
  kj::Promise<void> confirm(ConfirmContext Context) override;
  kj::Promise<void> witness(WitnessContext Context) override;
  kj::Promise<void> suspect(SuspectContext Context) override;
  kj::Promise<void> pointer(PointerContext Context) override;
  kj::Promise<void> chunk(ChunkContext Context) override;

private:
  const PeerHandlers &Handlers;
};

} // namespace pollenwick

#endif
