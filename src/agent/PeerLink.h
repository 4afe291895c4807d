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

/// One connection to another node. Both ends may send calls.
class PeerLink : public StreamOwner,
                 public std::enable_shared_from_this<PeerLink> {
public:
  PeerLink(EventLoop &Loop, PeerLinks &Links, std::string Ip,
           std::uint64_t Number);

  bool dial(const std::string &Address);
  void accept(const Poco::Net::StreamSocket &Socket);
  void close();
  void send(const PeerFrame &Frame);
  /// Returns the id of the call, for `PeerLinks::cancel`.
  std::uint64_t call(CallRequest &&Request, CallResultHandler Done);
  /// Gives up the repeatable calls of a peer that has gone silent.
  void releaseRepeatable();

  const std::string &ip() const { return Ip; }
  bool connected() const { return Connected; }
  Instant lastHeard() const { return Heard; }
  std::size_t pending() const { return Sent.size(); }

  void onConnected() override;
  void onData(std::string_view Bytes) override;
  void onClosed(StreamCloseReason End) override;

private:
  friend class PeerLinks;

  void take(HelloFrame &&Frame);
  void take(CallFrame &&Frame);
  void take(AnswerFrame &&Frame);
  void take(CancelFrame &&Frame);
  void take(StatusFrame &&Frame);
  void take(PullFrame &&Frame);
  void take(RecordsFrame &&Frame);
  void take(ResumeFrame &&Frame);
  void answer(std::uint64_t Id, CallResult &&Answer);
  bool cancel(std::uint64_t Id);

  EventLoop &Loop;
  PeerLinks &Links;
  std::string Ip;
  std::uint64_t Number; ///< Unique within this process.
  LinkName PeerName;    ///< How the peer names the connection; see Hello.
  std::shared_ptr<Stream> Connection;
  FrameReader Reader;
  bool Connected = false;
  bool WasConnected = false;
  bool Closed = false;
  Instant Heard;
  SentCalls Sent;
  /// Lost connections whose calls the peer was asked about on this one.
  std::vector<std::uint64_t> ResumedFrom;
  CallLedger Ledger; ///< Calls of the peer.
};

} // namespace pollenwick::agent

#endif
