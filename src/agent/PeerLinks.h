#ifndef POLLENWICK_AGENT_PEERLINKS_H
#define POLLENWICK_AGENT_PEERLINKS_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <Poco/Net/ServerSocket.h>

#include "agent/EventLoop.h"
#include "agent/LinkRecovery.h"
#include "agent/Log.h"
#include "agent/PeerLink.h"
#include "agent/PeerWire.h"

namespace pollenwick::agent {

/// A peer became usable, or was no longer usable at a tick.
struct PeerPresence {
  std::string Ip;
  bool Usable = false;
  Duration Before{}; ///< How long the other state lasted.
};

/// Calls of a peer's lost connection, by what the peer was told of them.
struct ResumedCalls {
  std::string Ip;
  std::map<CallStatus, std::size_t> Told;
};

/// What happens to frames of peers, and to connections.
class PeerEvents {
public:
  virtual ~PeerEvents() = default;
  virtual void onPeerPresence(const PeerPresence &Change) = 0;
  /// This node told the peer what became of its calls.
  virtual void onCallsResumed(const ResumedCalls &Calls) = 0;
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
  /// Closes a connection that the peer has lost. Returns what it carried, if it
  /// is known here.
  std::optional<CallLedger> closeLost(const PeerLink &Next,
                                      std::uint64_t Number);
  void tellFate(PeerLink &Link, std::uint64_t Id, CallStatus Fate);
  void answerCall(const LinkName &From, std::uint64_t Id, CallAnswer &&Answer);
  void fail(std::vector<SentCall> &&Calls);
  void failOrphans(const std::string &Ip);
  void cancelRunning(const std::vector<std::uint64_t> &Numbers);
  void giveUpDead();
  void dialMissing();
  void notePresence(const std::string &Ip);

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
  struct Presence {
    bool Usable = false;
    Instant Since;
  };
  std::map<std::string, Presence> Present; ///< Peers that were usable once.
  std::map<std::string, std::vector<std::shared_ptr<PeerLink>>> ByIp;
};

} // namespace pollenwick::agent

#endif
