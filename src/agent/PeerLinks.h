#ifndef POLLENWICK_AGENT_PEERLINKS_H
#define POLLENWICK_AGENT_PEERLINKS_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <Poco/Net/ServerSocket.h>

#include "agent/Call.h"
#include "agent/EventLoop.h"
#include "agent/LinkRecovery.h"
#include "agent/Log.h"
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
  std::uint64_t call(CallRequest &&Request, AnswerHandler Done);
  /// Gives up the repeatable calls of a peer that has gone silent.
  void releaseRepeatable();

  const std::string &ip() const { return Ip; }
  bool connected() const { return Connected; }
  Instant lastHeard() const { return Heard; }
  std::size_t pending() const { return Sent.size(); }

  void onConnected() override;
  void onData(std::string_view Bytes) override;
  void onEnd(StreamEnd End) override;

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
  void answer(std::uint64_t Id, CallAnswer &&Answer);
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
  CallLedger Ledger; ///< Calls of the peer.
};

/// What happens to frames of peers.
class PeerEvents {
public:
  virtual ~PeerEvents() = default;
  /// A call for the server beside this node. Returns a number for `cancel`.
  virtual std::uint64_t onPeerCall(CallRequest &&Request,
                                   AnswerHandler Done) = 0;
  virtual void onPeerCancel(std::uint64_t Number) = 0;
  virtual void onPeerStatus(const std::string &Ip, StatusFrame &&Status) = 0;
  virtual void onPeerPull(PeerLink &Link, const PullFrame &Pull) = 0;
  virtual void onPeerRecords(RecordsFrame &&Records) = 0;
  virtual void onPeerConnected(PeerLink &Link) = 0;
};

/// Connections to all other nodes. A call outlives its connection: it is taken
/// up on the next one, or its sender learns that it has not run.
class PeerLinks : public EventHandler {
public:
  /// `Start` names this process.
  PeerLinks(EventLoop &Loop, LogWriter &Log, PeerEvents &Events,
            const std::string &ListenAddress, std::uint64_t Start);
  ~PeerLinks() override;

  /// The nodes that should be connected.
  void setPeers(const std::set<std::string> &Ips);
  /// A connected link that was heard of lately; null if there is none.
  PeerLink *find(const std::string &Ip);
  /// The caller of a call to the peer no longer waits.
  void cancel(const std::string &Ip, std::uint64_t Id);
  void broadcast(const PeerFrame &Frame);
  /// Dials missing peers and gives up silent links.
  void tick();
  void shutDown();
  std::size_t connectedCount() const;

  void onReady(const Readiness &State) override;

private:
  friend class PeerLink;
  std::shared_ptr<PeerLink> addLink(const std::string &Ip);
  void drop(PeerLink &Link);
  void dial(const std::string &Ip);
  bool isLive(const PeerLink &Link) const;
  bool isSilent(const PeerLink &Link) const;
  void onLinkLost(PeerLink &Link);
  void resumeOn(PeerLink &Link);
  void takeUp(PeerLink &Link, const ResumeFrame &Frame);
  void tellFate(PeerLink &Link, std::uint64_t Id, CallFate Fate);
  void answerCall(const LinkName &From, std::uint64_t Id, CallAnswer &&Answer);
  void fail(std::vector<SentCall> &&Calls);
  void failOrphans(const std::string &Ip);
  void cancelRunning(const std::vector<std::uint64_t> &Numbers);
  void giveUpDead();
  void dialMissing();

  EventLoop &Loop;
  LogWriter &Log;
  PeerEvents &Events;
  std::uint64_t Start;
  std::uint64_t LastLink = 0;
  std::uint64_t LastCall = 0;
  LinkRecovery Recovery;
  std::string OwnIp;
  std::uint16_t Port;
  Poco::Net::ServerSocket Listener;
  std::set<std::string> Wanted;
  std::map<std::string, Instant> MissingSince;
  std::map<std::string, std::vector<std::shared_ptr<PeerLink>>> ByIp;
};

} // namespace pollenwick::agent

#endif
