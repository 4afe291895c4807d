@0xd1b6f8a4c2e7930b;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pollenwick::wire");

enum Outcome { done @0; notRun @1; unknown @2; }

struct Incarnation {
  host @0 :Text;
  start @1 :UInt64;
}

struct Header { name @0 :Text; value @1 :Text; }

# A call on its way to a callee node. The customer and the class were resolved at
# the ingress of the root request.
struct Call {
  caller @0 :Incarnation;
  id @1 :UInt64;
  route @2 :Text;
  pathAndQuery @3 :Text;
  method @4 :Text;
  customer @5 :Text;
  class @6 :Text;
  rootId @7 :UInt64;
  requestHash @8 :UInt64;
  remainingMicros @9 :Int64;
  allowance @10 :UInt32;
  bodyDigest @11 :Data;
  ageMicros @12 :Int64;      # Time since the root request was admitted.
  headers @13 :List(Header);
  body @14 :Data;
  revision @15 :UInt64;
  key @16 :Data;             # Digest of the caller's key; empty without one.
  subCall @17 :Bool;
}

struct ThresholdReport {
  service @0 :Text;
  customerLevel @1 :UInt32;
  commonLevel @2 :UInt32;
  ageMicros @3 :Int64;
}

struct LoadReport {
  thresholds @0 :List(ThresholdReport);
  queueDelayMicros @1 :Int64;
  inFlight @2 :UInt32;
  draining @3 :Bool;
  known @4 :Bool;            # False: the reply was not made by a callee node.
}

struct Reply {
  id @0 :UInt64;
  outcome @1 :Outcome;
  reason @2 :UInt8;
  message @3 :Text;
  status @4 :UInt16;
  headers @5 :List(Header);
  body @6 :Data;
  unusedAllowance @7 :UInt32;
  load @8 :LoadReport;
  retryAfterMicros @9 :Int64;
  suspect @10 :Bool;         # The backend server crashed during the call.
  serverMicros @12 :Int64;   # Of the exchange with the backend server.
  tryHost @11 :Text;         # Only this host may run the call now.
}

struct Shard { customer @0 :Text; zone @1 :Text; }

struct BorrowRequest {
  shard @0 :Shard;
  holder @1 :Text;
  borrower @2 :Incarnation;
  sequence @3 :UInt64;
  neededMicro @4 :Int64;
  wantedMicro @5 :Int64;
}

struct BorrowReply {
  shard @0 :Shard;
  holder @1 :Incarnation;
  borrower @2 :Incarnation;
  sequence @3 :UInt64;
  lease @4 :UInt64;
  tokensMicro @5 :Int64;
  lifetimeMicros @6 :Int64;
  askAgain @7 :Bool;
}

struct LeaseReport {
  lease @0 :UInt64;
  spentMicro @1 :Int64;
  returnedMicro @2 :Int64;
  closed @3 :Bool;
}

struct Settlement {
  shard @0 :Shard;
  holder @1 :Incarnation;
  borrower @2 :Incarnation;
  reports @3 :List(LeaseReport);
}

struct Recall {
  shard @0 :Shard;
  holder @1 :Incarnation;
  borrower @2 :Incarnation;
  lease @3 :UInt64;
}

struct PullRequest {
  from @0 :Shard;
  holder @1 :Text;
  to @2 :Shard;
  puller @3 :Incarnation;
  sequence @4 :UInt64;
  wantedMicro @5 :Int64;
  balanceMicro @6 :Int64;
}

struct PullReply {
  to @0 :Shard;
  puller @1 :Incarnation;
  sequence @2 :UInt64;
  tokensMicro @3 :Int64;
}

struct ShardClaim {
  shard @0 :Shard;
  previousHolder @1 :Text;
  hostsSince @2 :Revision;
  claimant @3 :Incarnation;
}

struct Handover {
  shard @0 :Shard;
  hostsSince @1 :Revision;
  to @2 :Incarnation;
  balanceMicro @3 :Int64;
  outstandingMicro @4 :Int64;
  outstandingLifetimeMicros @5 :Int64;
}

struct Revision { number @0 :UInt64; root @1 :Data; }

struct Confirmation {
  known @0 :Bool;            # False: this node has no confirmation yet.
  held @1 :Revision;
  ageMicros @2 :Int64;
}

struct WitnessAnswer {
  known @0 :Bool;            # False: restarted and not confirmed since.
  held @1 :Revision;
  hostsSince @2 :Revision;
  hostsHeldMicros @3 :Int64;
}

struct Suspicion {
  fingerprint @0 :Data;
  host @1 :Text;
  start @2 :UInt64;
  number @3 :UInt32;
  cleared @4 :Bool;
  ageMicros @5 :Int64;
}

interface Peer {
  call @0 (call :Call) -> (reply :Reply);
  claim @1 (ticket :Text, call :Call) -> (reply :Reply);
  borrow @2 (request :BorrowRequest) -> (reply :BorrowReply);
  settle @3 (settlement :Settlement) -> ();
  recall @4 (recall :Recall) -> (held :Bool, settlement :Settlement);
  pull @5 (request :PullRequest) -> (reply :PullReply);
  release @6 (claim :ShardClaim) -> (released :Bool, handover :Handover);
  confirm @7 () -> (confirmation :Confirmation);
  witness @8 () -> (answer :WitnessAnswer);
  # An empty root asks for the pointer in force. When its root is the one in
  # `held`, the answer is `unchanged` without the document.
  pointer @9 (root :Data, held :Data) -> (document :Data, unchanged :Bool);
  chunk @10 (digest :Data) -> (found :Bool, content :Data);
  suspect @11 (suspicions :List(Suspicion))
      -> (known :List(Suspicion), inFlight :Bool);
}

enum Liveness { unknown @0; alive @1; suspected @2; dead @3; }

struct HostNews {
  host @0 :Text;
  start @1 :UInt64;
  sequence @2 :UInt64;
  status @3 :Liveness;
  leaving @4 :Bool;
}

# Sent over UDP, packed.
struct Heartbeat {
  self @0 :HostNews;
  held @1 :Revision;
  news @2 :List(HostNews);
  suspicions @3 :List(Suspicion);
}
