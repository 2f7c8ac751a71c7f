@0xb7c1f2a94de80f36;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("firefly::wire");

struct OwnedShard {
  shard @0 :Text;
  term @1 :UInt64;
  freeSlots @2 :Int64;
}

struct ShardTerm {
  shard @0 :Text;
  term @1 :UInt64;
}

struct Heartbeat {
  from @0 :Text;
  writer @1 :Text;
  zone @2 :Text;
  draining @3 :Bool;
  logReachable @4 :Bool;
  acceptsShards @5 :Bool;
  lastReadOffset @6 :UInt64;
  # Time since the sender sent its last successful read of the log's tail; negative if none yet.
  logProofAgeUs @7 :Int64;
  shards @8 :List(OwnedShard);
  plansVersion @9 :UInt64;
  limitsVersion @10 :UInt64;
  reaches @11 :List(Text);
}

struct ForwardedCall {
  request @0 :Text;
  customer @1 :Text;
  service @2 :Text;
  remainingUs @3 :Int64;
  body @4 :Data;
  key @5 :Text;
}

struct ForwardedResult {
  request @0 :Text;
  result @1 :Result;
  body @2 :Data;
  retryAfterUs @3 :Int64;

  enum Result {
    done @0;
    refused @1;
    notSent @2;
    uncertain @3;
    serviceError @4;
  }
}

interface Peer {
  # lists is JSON, and empty if the sender of the heartbeat has lists that are as new.
  heartbeat @0 (beat :Heartbeat)
      -> (beat :Heartbeat, superseded :List(ShardTerm), lists :Text);
  forward @1 (call :ForwardedCall) -> (result :ForwardedResult);
}
