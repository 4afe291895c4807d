@0x9e2d5c1ab7f04c63;

# Messages between the nodes of a fleet. Each TCP connection carries a sequence
# of Frame messages in Cap'n Proto's stream framing.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pollenwick::mesh::wire");

# Load of the backend server beside a node.
struct Load {
  running @0 :UInt32;
  waiting @1 :UInt32;
  limit @2 :UInt32;          # Calls that the node lets run at once.
  serviceMicros @3 :UInt32;  # Mean time that a call holds a slot.
  leaving @4 :Bool;
  failedPermille @5 :UInt16; # Part of its calls that failed of late.
  recentCalls @6 :UInt16;    # Calls that ended of late.
  slowdownPercent @7 :UInt16; # Time of work on its host now, relative to the
                              # mean over the calls that form serviceMicros
                              # (100: no different from then); 0: not known.
  cold @8 :Bool;             # It tolerates few calls a second now.
  coldStartsLeft @9 :UInt16; # Calls that it may still begin while cold.
  memoryShort @10 :Bool;     # New large bodies may soon find no room there.
  milliPerS @11 :UInt32;     # Thousandths of requests a second that it takes,
                             # by its own word; 0: it named no limit.
  requestsLeft @12 :UInt16;  # Calls that may begin now at that limit.
  limitHeard @13 :Bool;      # The node has an answer of the server on which
                             # milliPerS rests.
  serverLeaving @14 :Bool;   # The server has said that it will end.
  serverStartedAt @15 :Int64; # Start of the run that said so, Unix time in ms;
                             # 0: not known.
}

struct Call {
  id @0 :UInt64;             # Unique on the connection.
  requestId @1 :Text;
  serverId @2 :Text;         # The only server that may run the call.
  route @3 :Text;
  remainingMicros @4 :UInt32;
  targetMicros @5 :UInt32;   # Latency target of the route.
  rank @6 :UInt16;
  nested @7 :Bool;           # Made by a backend server during a call.
  repeatable @8 :Bool;
  fingerprint @9 :UInt64;
  method @10 :Text;
  target @11 :Text;
  head @12 :Data;            # Header lines, each ended by CR LF.
  body @13 :Data;
  placedAgain @14 :Bool;     # Another node has refused the call before.
  limitMilliPerS @15 :UInt32; # Limit of the server as the sender has heard of
                             # it, like milliPerS.
}

enum Outcome { complete @0; notRun @1; unknown @2; }

struct Answer {
  id @0 :UInt64;
  outcome @1 :Outcome;
  status @2 :UInt16;
  cause @3 :Text;
  head @4 :Data;
  body @5 :Data;
  load @6 :Load;
  arrived @7 :Bool;          # The server received the request.
  unsentLength @8 :UInt64;   # Length of the body that the answer to HEAD, or one
                             # with the status 304, leaves out,
  hasUnsentLength @9 :Bool;  # if the server has told it.
}

struct Count { name @0 :Text; a @1 :UInt64; b @2 :UInt64; }

# Runs of a request that was running when a server crashed.
struct Crash {
  fingerprint @0 :UInt64;
  count @1 :UInt32;          # The server beside the node crashed.
  completions @2 :UInt32;    # The server answered, since the first crash.
}

# What a node tells each peer from time to time. Counts only grow while the
# node's start number stays the same.
struct Status {
  start @0 :UInt64;
  sentAtMicros @1 :UInt64;   # Steady clock of the sender: orders its statuses.
  rulesRevision @2 :UInt64;
  serversRevision @3 :UInt64;
  service @4 :Text;
  serverId @5 :Text;
  load @6 :Load;
  offeredMicros @7 :UInt64;  # Work that arrived at the server, slot time.
  limitMicros @8 :UInt64;    # Slot time that was there.
  customers @9 :List(Count); # a: admitted, b: offered.
  routes @10 :List(Count);   # a: admitted, b: offered by outside callers.
  retries @11 :List(Count);  # By service; a: repeats, b: first sends.
  calls @12 :List(Count);    # Nested calls by service; a: calls.
  runs @13 :UInt64;          # Runs of the server beside the node.
  crashes @14 :List(Crash);
  sourceUse @15 :UInt8;      # 0: idle, 1: reads, 2: probes.
  sourceLost @16 :Bool;      # The last read has failed.
  serversDigest @17 :UInt64; # Hash of the ids and revisions of all servers.
  sourceReadMillis @18 :UInt32; # Time without a failed read; 0: does not read.
  rulesAgeMillis @19 :UInt32;   # Time since its own read confirmed the rules,
  serversAgeMillis @20 :UInt32; # and the servers; 0: it has not read them.
  routeWork @21 :List(Count); # By route; a: calls that ended, b: their slot time
                             # in microseconds.
}

struct Record {
  kind @0 :UInt8;
  id @1 :Text;
  revision @2 :UInt64;
  deleted @3 :Bool;
  value @4 :Data;
}

# Records that a node has read, or that a pull asked for. A receiver that has
# all changes up to the "from" revisions has them up to the others afterwards. A
# full list holds all existing items of its kind.
struct RecordSet {
  rulesRevision @0 :UInt64;
  serversRevision @1 :UInt64;
  records @2 :List(Record);
  rulesFrom @3 :UInt64;
  serversFrom @4 :UInt64;
  rulesFull @5 :Bool;
  serversFull @6 :Bool;
}

struct Pull { rulesRevision @0 :UInt64; serversRevision @1 :UInt64; }

# The first frame on a connection, from both ends.
struct Hello {
  start @0 :UInt64;          # Of the sender's process.
  link @1 :UInt64;           # The sender's number of this connection.
}

# Connections of the sender were lost or went silent. What the receiver still
# has unread of them must not run. It says on this connection what became of the
# calls; those that are not named are cancelled.
struct Resume {
  links @0 :List(UInt64);    # The sender's numbers of the lost connections.
  calls @1 :List(ResumedCall);
}

struct ResumedCall {
  id @0 :UInt64;
  sentOn @1 :UInt64;         # The sender's number of the connection.
}

# A status that reaches the nodes of another zone through one of them.
struct RelayedStatus {
  origin @0 :Text;           # Node that sent the status; empty: the sender of
                             # the frame, and the receiver passes it on.
  status @1 :Data;           # A packed Status.
}

struct Frame {
  union {
    call @0 :Call;
    answer @1 :Answer;
    cancel @2 :UInt64;
    status @3 :Data;         # A packed Status: sent to every peer, often.
    pull @4 :Pull;
    records @5 :RecordSet;
    hello @6 :Hello;
    resume @7 :Resume;
    relayedStatus @8 :RelayedStatus;
    heartbeat @9 :Void;      # Shows that the sender runs.
    recall @10 :UInt64;      # A call that must not begin any more. If it still
                             # waits, its answer says that it has not run.
  }
}
