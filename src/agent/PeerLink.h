#ifndef POLLENWICK_AGENT_PEERLINK_H
#define POLLENWICK_AGENT_PEERLINK_H

#include <memory>
#include <string>

#include "agent/Call.h"
#include "agent/EventLoop.h"
#include "agent/LinkRecovery.h"
#include "agent/PeerWire.h"
#include "agent/Stream.h"

namespace pollenwick::agent {

class PeerLinks;

/// A connection to another node, on which both ends may send calls.
class PeerLink : public StreamOwner,
                 public std::enable_shared_from_this<PeerLink> {
public:
  PeerLink(EventLoop &Loop, PeerLinks &Links, std::string Ip,
           std::uint64_t LinkNumber);

  /// Starts to connect to `Address` from `LocalIp`. Returns false if that fails
  /// at once.
  bool dial(const std::string &Address, const std::string &LocalIp);
  /// Takes over a connection that the peer opened.
  void accept(const Poco::Net::StreamSocket &Socket);
  /// Closes the connection and hands its unfinished calls to `PeerLinks`.
  void close();
  void send(const PeerFrame &Frame);
  /// Sends a call; `Done` receives its result. `OnSilence` is called at most
  /// once, if the peer is silent before. Returns the id of the call, for
  /// `PeerLinks::cancel`.
  std::uint64_t call(CallRequest &&Request, CallResultHandler Done,
                     SilenceHandler OnSilence = {});
  /// Calls the silence handlers of the outstanding calls.
  void reportSilence();

  const std::string &ip() const { return Ip; }
  bool isConnected() const { return Connected; }
  Instant lastReceivedAt() const { return LastReceivedAt; }
  std::size_t outstandingCallCount() const { return Outstanding.size(); }

  void onConnected() override;
  void onData(std::string_view Bytes) override;
  void onClosed(const StreamEnd &End) override;

private:
  friend class PeerLinks;

  void handle(HelloFrame &&Frame);
  void handle(CallFrame &&Frame);
  void handle(AnswerFrame &&Frame);
  void handle(CancelFrame &&Frame);
  void handle(RecallFrame &&Frame);
  void handle(StatusFrame &&Frame);
  void handle(PullFrame &&Frame);
  void handle(RecordsFrame &&Frame);
  void handle(ResumeFrame &&Frame);
  void handle(RelayedStatusFrame &&Frame);
  /// The time of the receipt is recorded for every frame.
  void handle(HeartbeatFrame && /*Frame*/) {}
  /// Sends the answer to the peer's call `Id` and keeps it if the peer may ask
  /// for it after a loss of the connection.
  void sendAnswer(std::uint64_t Id, CallResult &&Answer);
  /// Stops reading until there is memory for the frame that has begun.
  void waitForRoom();
  /// Cancels an outstanding call. Returns whether it was sent on this link.
  bool cancel(std::uint64_t Id);
  /// Recalls an outstanding call. Returns whether it was sent on this link.
  bool recall(std::uint64_t Id);

  EventLoop &Loop;
  PeerLinks &Links;
  std::string Ip;
  std::uint64_t LinkNumber; ///< Unique within this process.
  LinkId PeerLinkId;        ///< The peer's numbers, from its Hello frame.
  std::shared_ptr<Stream> Connection;
  FrameReader Reader;
  bool Connected = false;
  bool WasConnected = false; ///< The connection was established once.
  bool Closed = false;
  Instant LastReceivedAt;
  OutstandingCalls Outstanding;
  /// Lost connections whose calls were named in Resume frames on this one, by
  /// this process's numbers.
  std::vector<std::uint64_t> ResumedLinks;
  CallLedger Ledger; ///< Calls that the peer sent on this connection.
};

} // namespace pollenwick::agent

#endif
