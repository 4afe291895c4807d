#include "peer/PeerServer.h"

#include <kj/async.h>

#include "peer/Clock.h"
#include "peer/Wire.h"

namespace pollenwick {
namespace {

using Fulfiller = kj::CrossThreadPromiseFulfiller<kj::Own<CallReply>>;

/// Promise for a reply and the callback with which another thread fulfills it.
struct PendingReply {
  kj::Promise<kj::Own<CallReply>> Promise;
  ReplyCallback Callback;
  CancelFlag Cancelled;
};

PendingReply makePendingReply() {
  auto Pair = kj::newPromiseAndCrossThreadFulfiller<kj::Own<CallReply>>();
  // std::function requires a copyable target, and kj::Own is not copyable.
  auto Shared = std::make_shared<kj::Own<Fulfiller>>(kj::mv(Pair.fulfiller));
  auto Cancelled = std::make_shared<std::atomic<bool>>(false);
  auto Promise =
      Pair.promise.attach(kj::defer([Cancelled] { Cancelled->store(true); }));
  return {kj::mv(Promise),
          [Shared](CallReply Reply) {
            (*Shared)->fulfill(kj::heap<CallReply>(std::move(Reply)));
          },
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
  return Pending.Promise.then(
      [Context, Id](kj::Own<CallReply> &&Reply) mutable {
        writeReply(Context.getResults().initReply(), *Reply, Id);
      });
}

kj::Promise<void> PeerServer::claim(ClaimContext Context) {
  const std::string Ticket = toStdString(Context.getParams().getTicket());
  CallRequest Request = readCall(Context.getParams().getCall(), now());
  const CallId Id = Request.Id;
  Context.releaseParams();
  Context.allowCancellation();
  PendingReply Pending = makePendingReply();
  Handlers.OnClaim(Ticket, std::move(Request), Pending.Cancelled,
                   std::move(Pending.Callback));
  return Pending.Promise.then(
      [Context, Id](kj::Own<CallReply> &&Reply) mutable {
        writeReply(Context.getResults().initReply(), *Reply, Id);
      });
}

kj::Promise<void> PeerServer::borrow(BorrowContext Context) {
  Handlers.OnBorrow(Context.getParams().getRequest(),
                    Context.getResults().initReply());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::settle(SettleContext Context) {
  Handlers.OnSettle(Context.getParams().getSettlement());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::recall(RecallContext Context) {
  Handlers.OnRecall(Context.getParams().getRecall(), Context.getResults());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::pull(PullContext Context) {
  Handlers.OnPull(Context.getParams().getRequest(),
                  Context.getResults().initReply());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::release(ReleaseContext Context) {
  Handlers.OnRelease(Context.getParams().getClaim(), Context.getResults());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::confirm(ConfirmContext Context) {
  Handlers.OnConfirm(Context.getResults().initConfirmation());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::witness(WitnessContext Context) {
  Handlers.OnWitness(Context.getResults().initAnswer());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::suspect(SuspectContext Context) {
  Handlers.OnSuspect(Context.getParams().getSuspicions(), Context.getResults());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::pointer(PointerContext Context) {
  const auto Read = [](capnp::Data::Reader In) {
    return In.size() == 0 ? std::nullopt : std::optional(readDigest(In));
  };
  const auto Document = Handlers.OnPointer(Read(Context.getParams().getRoot()),
                                           Read(Context.getParams().getHeld()));
  auto Results = Context.getResults();
  Results.setUnchanged(!Document);
  if (Document)
    Results.setDocument({reinterpret_cast<const kj::byte *>(Document->data()),
                         Document->size()});
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
