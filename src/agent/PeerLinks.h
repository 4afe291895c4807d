#ifndef POLLENWICK_AGENT_PEERLINKS_H
#define POLLENWICK_AGENT_PEERLINKS_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <Poco/Net/ServerSocket.h>

#include "absl/container/flat_hash_map.h"
#include "agent/Call.h"
#include "agent/EventLoop.h"
#include "agent/Log.h"
#include "agent/PeerWire.h"
#include "agent/Stream.h"

namespace pollenwick::agent {

class PeerLinks;

/// One connection to another node. Both ends may send calls.
class PeerLink : public StreamOwner,
                 public std::enable_shared_from_this<PeerLink> {
public:
  PeerLink(EventLoop &Loop, PeerLinks &Links, std::string Ip);

  bool dial(const std::string &Address);
  void accept(const Poco::Net::StreamSocket &Socket);
  void close();
  void send(const PeerFrame &Frame);
  std::uint64_t call(CallRequest &&Request, AnswerHandler Done);
  void cancel(std::uint64_t Id);
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
  struct SentCall {
    AnswerHandler Done;
    bool Repeatable = false;
  };
  void failAll(const std::string &Cause);

  EventLoop &Loop;
  PeerLinks &Links;
  std::string Ip;
  std::shared_ptr<Stream> Connection;
  FrameReader Reader;
  bool Connected = false;
  bool Closed = false;
  Instant Heard;
  Instant Began;
  std::uint64_t LastId = 0;
  absl::flat_hash_map<std::uint64_t, SentCall> Sent;
  /// Calls of the peer that run here, by the peer's number.
  absl::flat_hash_map<std::uint64_t, std::uint64_t> Received;
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

/// Connections to all other nodes.
class PeerLinks : public EventHandler {
public:
  PeerLinks(EventLoop &Loop, LogWriter &Log, PeerEvents &Events,
            const std::string &ListenAddress);
  ~PeerLinks() override;

  /// The nodes that should be connected.
  void setPeers(const std::set<std::string> &Ips);
  /// A connected link that was heard of lately; null if there is none.
  PeerLink *find(const std::string &Ip);
  void broadcast(const PeerFrame &Frame);
  /// Dials missing peers and gives up silent links.
  void tick();
  void shutDown();
  std::size_t connectedCount() const;

  void onReady(const Readiness &State) override;

private:
  friend class PeerLink;
  void drop(PeerLink &Link);
  void dial(const std::string &Ip);

  EventLoop &Loop;
  LogWriter &Log;
  PeerEvents &Events;
  std::string OwnIp;
  std::uint16_t Port;
  Poco::Net::ServerSocket Listener;
  std::set<std::string> Wanted;
  std::map<std::string, Instant> MissingSince;
  std::map<std::string, std::vector<std::shared_ptr<PeerLink>>> ByIp;
};

} // namespace pollenwick::agent

#endif
