#ifndef POLLENWICK_AGENT_PEERLINKS_H
#define POLLENWICK_AGENT_PEERLINKS_H

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <Poco/Net/ServerSocket.h>

#include "agent/EventLoop.h"
#include "agent/LinkRecovery.h"
#include "agent/Log.h"
#include "agent/PeerLink.h"
#include "agent/PeerWire.h"
#include "agent/RoomQueue.h"

namespace pollenwick::agent {

/// Reports that a peer became usable or unusable for calls.
struct PeerAvailabilityChange {
  std::string Ip;
  bool Usable = false;
  Duration PreviousStateDuration{}; ///< Time spent in the previous state.
};

/// Numbers of the calls that a peer resumed after it lost a connection, by the
/// status that this node reported for them.
struct ResumedCallCounts {
  std::string Ip;
  std::map<CallStatus, std::size_t> CountByStatus;
};

/// Handles the frames that peers send and the changes of their connections.
class PeerEventHandler {
public:
  virtual ~PeerEventHandler() = default;
  virtual void
  onPeerAvailabilityChange(const PeerAvailabilityChange &Change) = 0;
  /// Called after this node has told a peer the status of its resumed calls.
  virtual void onCallsResumed(const ResumedCallCounts &Calls) = 0;
  /// Starts a call to the server on this node's host. Returns its number, for
  /// `onPeerCancel`.
  virtual std::uint64_t onPeerCall(CallRequest &&Request,
                                   CallResultHandler Done) = 0;
  /// Cancels the call to which `onPeerCall` gave this number.
  virtual void onPeerCancel(std::uint64_t Number) = 0;
  /// Answers the call to which `onPeerCall` gave this number as not run if it
  /// still waits for a slot.
  virtual void onPeerRecall(std::uint64_t Number) = 0;
  virtual void onPeerStatus(const std::string &Ip, StatusFrame &&Status) = 0;
  /// Called for a status that the peer at `Ip` asks this node to pass on.
  virtual void onStatusToRelay(const std::string &Ip,
                               const RelayedStatusFrame &Frame) = 0;
  virtual void onPeerPull(PeerLink &Link, const PullFrame &Pull) = 0;
  virtual void onPeerRecords(const std::string &Ip, RecordsFrame &&Records) = 0;
  virtual void onPeerConnected(PeerLink &Link) = 0;
};

/// Manages the connections to all other nodes. A call outlives its connection:
/// it is resumed on the next one, or its sender learns that it has not run or
/// that its outcome is unknown.
class PeerLinks : public EventHandler {
public:
  /// `Incarnation` identifies this process; a restarted node has another one.
  /// Throws `Poco::Exception` if it cannot listen on `ListenAddress`.
  PeerLinks(EventLoop &Loop, LogWriter &Log, PeerEventHandler &Handler,
            const std::string &ListenAddress, std::uint64_t Incarnation);
  ~PeerLinks() override;

  /// Sets the addresses of the nodes to connect to; the own one is ignored.
  void setPeers(const std::set<std::string> &Ips);
  /// Returns a connected link on which the peer has sent its Hello frame and,
  /// within the silence timeout, some data; null if there is none.
  PeerLink *findLiveLink(const std::string &Ip);
  /// Cancels a call to the peer because its caller no longer waits.
  void cancel(const std::string &Ip, std::uint64_t Id);
  /// Asks the peer not to begin a call any more. The call is answered as not
  /// run if it had not begun; otherwise nothing changes.
  void recall(const std::string &Ip, std::uint64_t Id);
  /// Returns whether `findLiveLink` returns a link.
  bool hasLiveLink(const std::string &Ip) const;
  /// Sends the frame on every connected link.
  void broadcast(const PeerFrame &Frame);
  /// Sends on every connected link the frame that `FrameFor` returns for the
  /// peer's address. The frames must live until this call returns.
  void broadcast(
      const std::function<const PeerFrame &(const std::string &Ip)> &FrameFor);
  /// Sends the frame to those of the peers that have a live link.
  void sendTo(const std::vector<std::string> &Ips, const PeerFrame &Frame);
  /// Dials missing peers, closes dead links, reports silent ones and
  /// expires the calls of lost links.
  void tick();
  /// Stops accepting connections; existing ones stay open.
  void shutDown();
  std::size_t connectedPeerCount() const;
  /// Returns the bytes sent to peers since the start of the process, by the
  /// index of the frame in `PeerFrame`.
  const std::array<std::uint64_t, PeerFrameKinds> &sentBytes() const {
    return SentBytes;
  }

  void onReady(const Readiness &State) override;

private:
  friend class PeerLink;
  std::shared_ptr<PeerLink> addLink(const std::string &Ip);
  void removeLink(PeerLink &Link);
  void dial(const std::string &Ip);
  bool isLive(const PeerLink &Link) const;
  bool isSilent(const PeerLink &Link) const;
  void onLinkLost(PeerLink &Link);
  /// Closes silent links to the peer and sends a Resume frame on `Link` for the
  /// unanswered calls of all lost ones.
  void resumeCallsOn(PeerLink &Link);
  /// Tells the peer the status of the calls that it named and cancels the other
  /// calls of its lost connections.
  void handleResume(PeerLink &Link, const ResumeFrame &Frame);
  /// Closes a connection that the peer has lost. Returns the ledger of the
  /// calls received on it; nullopt if the connection is not known here.
  std::optional<CallLedger> closeLostLink(const PeerLink &NewLink,
                                          std::uint64_t Number);
  /// Answers a resumed call according to its status; sends nothing while it is
  /// still running.
  void sendCallStatus(PeerLink &Link, std::uint64_t Id,
                      CallStatus ResumedStatus);
  /// Sends the answer on the link whose ledger holds the call, or keeps it if
  /// that connection is lost.
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
  RoomQueue WaitingForRoom; ///< Links whose frames wait for memory.
  std::set<std::string> PeerIps;
  std::array<std::uint64_t, PeerFrameKinds> SentBytes{};
  /// Since when a peer has had no live link and none being dialed; has no entry
  /// for other peers.
  std::map<std::string, Instant> MissingSince;
  struct Availability {
    bool Usable = false;
    Instant Since;
  };
  std::map<std::string, Availability>
      AvailabilityByPeer; ///< Only peers that have been usable.
  std::map<std::string, std::vector<std::shared_ptr<PeerLink>>> LinksByIp;
};

} // namespace pollenwick::agent

#endif
