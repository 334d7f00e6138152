@0xc6f3d0a5b1e84f27;
# Calls between instances. After a change, run `cmake --build --preset release --target transport_schema` and commit the
# files under generated/. Fields are only added, never removed; a change of meaning needs a new protocol version.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chervilport::wire");

struct Member {
  id @0 :UInt64;
  incarnation @1 :UInt64;
  hasDisk @2 :Bool;
}

struct Membership {
  voters @0 :List(Member);
  learners @1 :List(Member);
}

enum EntryKind {
  noop @0;
  data @1;
  membership @2;
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :EntryKind;
  payload @3 :Data;
}

struct Snapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  members @2 :Membership;
  data @3 :Data;
}

struct VoteRequest {
  preVote @0 :Bool;
  transfer @1 :Bool;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
}

struct VoteResponse {
  preVote @0 :Bool;
  granted @1 :Bool;
}

struct AppendRequest {
  previousIndex @0 :UInt64;
  previousTerm @1 :UInt64;
  commitIndex @2 :UInt64;
  round @3 :UInt64;
  entries @4 :List(LogEntry);
}

struct AppendResponse {
  accepted @0 :Bool;
  matchIndex @1 :UInt64;
  round @2 :UInt64;
}

struct SnapshotRequest {
  content @0 :Snapshot;
  round @1 :UInt64;
}

struct Message {
  from @0 :UInt64;
  fromIncarnation @1 :UInt64;
  to @2 :UInt64;
  term @3 :UInt64;
  body :union {
    voteRequest @4 :VoteRequest;
    voteResponse @5 :VoteResponse;
    appendRequest @6 :AppendRequest;
    appendResponse @7 :AppendResponse;
    snapshotRequest @8 :SnapshotRequest;
    transferRequest @9 :Void;
  }
}

enum Scope {
  domain @0;
  fleet @1;
}

struct ScopedMessage {
  scope @0 :Scope;
  content @1 :Message;
}

struct Envelope {
  configurationVersion @0 :UInt64;
  messages @1 :List(ScopedMessage);
  notices @2 :List(Data);
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  method @0 :Text;
  path @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
  deadlineMs @4 :UInt64;
  # When the call was sent, on the clock of the receiver; 0 if the sender does not know that clock.
  sentMs @5 :UInt64;
}

struct CallReply {
  union {
    answer :group {
      status @0 :UInt16;
      headers @1 :List(Header);
      body @2 :Data;
    }
    # The call was not run and will not be run.
    refused @3 :Text;
  }
  # Clock of the instance that replies.
  clockMs @4 :UInt64;
}

struct Hello {
  clusterId @0 :Text;
  secret @1 :Data;
  instanceId @2 :UInt64;
  incarnation @3 :UInt64;
  protocolVersion @4 :UInt32;
}

enum Refusal {
  wrongProtocol @0;
  stranger @1;
  oldIncarnation @2;
  ownId @3;
  tooManyConnections @4;
}

struct HelloReply {
  union {
    refusal @0 :Refusal;
    accepted :group {
      session @1 :Session;
      instanceId @2 :UInt64;
      incarnation @3 :UInt64;
      # Clock of the accepting instance.
      clockMs @4 :UInt64;
    }
  }
}

# The calls of an accepted instance. Only a successful hello returns this interface.
interface Session {
  deliver @0 (envelope :Envelope) -> ();
  forward @1 (call :Call) -> (reply :CallReply);
  fetchConfiguration @2 (knownVersion :UInt64) -> (version :UInt64, content :Data);
}

# The bootstrap interface of every connection.
interface Gate {
  hello @0 (request :Hello) -> (reply :HelloReply);
}
