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
struct PeerAvailabilityChange {
  std::string Ip;
  bool Usable = false;
  Duration PreviousStateDuration{}; ///< How long the other state lasted.
};

/// Calls of a peer's lost connection, by what the peer was told of them.
struct ResumedCallCounts {
  std::string Ip;
  std::map<CallStatus, std::size_t> CountByFate;
};

/// What happens to frames of peers, and to connections.
class PeerEventHandler {
public:
  virtual ~PeerEventHandler() = default;
  virtual void
  onPeerAvailabilityChange(const PeerAvailabilityChange &Change) = 0;
  /// This node told the peer what became of its calls.
  virtual void onCallsResumed(const ResumedCallCounts &Calls) = 0;
  /// A call for the server beside this node. Returns a number for `cancel`.
  virtual std::uint64_t onPeerCall(CallRequest &&Request,
                                   CallResultHandler Done) = 0;
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
  /// `Incarnation` names this process.
  PeerLinks(EventLoop &Loop, LogWriter &Log, PeerEventHandler &Handler,
            const std::string &ListenAddress, std::uint64_t Incarnation);
  ~PeerLinks() override;

  /// The nodes that should be connected.
  void setPeers(const std::set<std::string> &Ips);
  /// A connected link that was heard of lately; null if there is none.
  PeerLink *findLiveLink(const std::string &Ip);
  /// The caller of a call to the peer no longer waits.
  void cancel(const std::string &Ip, std::uint64_t Id);
  void broadcast(const PeerFrame &Frame);
  /// Dials missing peers and gives up silent links.
  void tick();
  void shutDown();
  std::size_t connectedPeerCount() const;

  void onReady(const Readiness &State) override;

private:
  friend class PeerLink;
  std::shared_ptr<PeerLink> addLink(const std::string &Ip);
  void removeLink(PeerLink &Link);
  void dial(const std::string &Ip);
  bool isLive(const PeerLink &Link) const;
  bool isSilent(const PeerLink &Link) const;
  void onLinkLost(PeerLink &Link);
  void resumeCallsOn(PeerLink &Link);
  void handleResume(PeerLink &Link, const ResumeFrame &Frame);
  /// Closes a connection that the peer has lost. Returns what it carried, if it
  /// is known here.
  std::optional<CallLedger> closeLostLink(const PeerLink &NewLink,
                                          std::uint64_t Number);
  void sendCallFate(PeerLink &Link, std::uint64_t Id, CallStatus Fate);
  void answerCall(const LinkId &From, std::uint64_t Id, CallResult &&Answer);
  void failCalls(std::vector<OutstandingCall> &&Calls);
  void failOrphans(const std::string &Ip);
  void cancelRunningCalls(const std::vector<std::uint64_t> &CallNumbers);
  void closeDeadLinks();
  void dialMissingPeers();
  void updateAvailability(const std::string &Ip);

  EventLoop &Loop;
  LogWriter &Log;
  PeerEventHandler &Handler;
  std::uint64_t Incarnation;
  std::uint64_t LastLinkNumber = 0;
  std::uint64_t LastCallId = 0;
  LinkRecovery Recovery;
  std::string OwnIp;
  std::uint16_t Port;
  Poco::Net::ServerSocket Listener;
  std::set<std::string> PeerIps;
  std::map<std::string, Instant> MissingSince;
  struct Availability {
    bool Usable = false;
    Instant Since;
  };
  std::map<std::string, Availability>
      AvailabilityByPeer; ///< Peers that were usable once.
  std::map<std::string, std::vector<std::shared_ptr<PeerLink>>> LinksByIp;
};

} // namespace pollenwick::agent

#endif
