#include "peer/PeerServer.h"

#include <kj/async.h>

#include "peer/Clock.h"
#include "peer/Wire.h"

namespace pollenwick {
namespace {

using Fulfiller = kj::CrossThreadPromiseFulfiller<CallReply>;

/// Promise of a reply that another thread will give, and the callback for it.
struct PendingReply {
  kj::Promise<CallReply> Promise;
  ReplyCallback Callback;
  CancelFlag Cancelled;
};

PendingReply makePendingReply() {
  auto Pair = kj::newPromiseAndCrossThreadFulfiller<CallReply>();
  // std::function requires a copyable target, kj::Own cannot be copied.
  auto Shared = std::make_shared<kj::Own<Fulfiller>>(kj::mv(Pair.fulfiller));
  auto Cancelled = std::make_shared<std::atomic<bool>>(false);
  auto Promise =
      Pair.promise.attach(kj::defer([Cancelled] { Cancelled->store(true); }));
  return {kj::mv(Promise),
          [Shared](CallReply Reply) { (*Shared)->fulfill(kj::mv(Reply)); },
          Cancelled};
}

} // namespace

kj::Promise<void> PeerServer::call(CallContext Context) {
  CallRequest Request = readCall(Context.getParams().getCall(), now());
  const CallId Id = Request.Id;
  Context.releaseParams();
  Context.allowCancellation();
  PendingReply Pending = makePendingReply();
  Handlers.OnCall(std::move(Request), Pending.Cancelled,
                  std::move(Pending.Callback));
  return Pending.Promise.then([Context, Id](CallReply &&Reply) mutable {
    writeReply(Context.getResults().initReply(), Reply, Id);
  });
}

kj::Promise<void> PeerServer::claim(ClaimContext Context) {
  const auto Claim = Context.getParams().getClaim();
  const std::string Ticket(Claim.getTicket().cStr());
  CallRequest Request = readCall(Claim.getCall(), now());
  const CallId Id = Request.Id;
  Context.releaseParams();
  Context.allowCancellation();
  PendingReply Pending = makePendingReply();
  Handlers.OnClaim(Ticket, std::move(Request), Pending.Cancelled,
                   std::move(Pending.Callback));
  return Pending.Promise.then([Context, Id](CallReply &&Reply) mutable {
    writeReply(Context.getResults().initReply(), Reply, Id);
  });
}

kj::Promise<void> PeerServer::borrow(BorrowContext Context) {
  Handlers.OnBorrow(Context.getParams().getRequest(),
                    Context.getResults().initReply());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::quota(QuotaContext Context) {
  Handlers.OnQuota(Context.getParams(), Context.getResults());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::confirm(ConfirmContext Context) {
  auto Results = Context.getResults();
  Results.setNonce(Context.getParams().getNonce());
  Handlers.OnConfirm(Results.initConfirmation());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::pointer(PointerContext Context) {
  const std::string Document = Handlers.OnPointer();
  Context.getResults().setDocument(
      {reinterpret_cast<const kj::byte *>(Document.data()), Document.size()});
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::chunk(ChunkContext Context) {
  const auto Content =
      Handlers.OnChunk(readDigest(Context.getParams().getDigest()));
  auto Results = Context.getResults();
  Results.setFound(Content.has_value());
  if (Content)
    Results.setContent(
        {reinterpret_cast<const kj::byte *>(Content->data()), Content->size()});
  return kj::READY_NOW;
}

} // namespace pollenwick
