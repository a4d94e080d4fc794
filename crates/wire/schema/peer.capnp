@0xd3f1a86b2c4e9075;

# The protocol between entries. crates/wire/src/peer_capnp.rs is generated from this file by
# scripts/generate and committed.

interface Peer {
  call @0 (request :Request) -> (reply :Reply);
}

struct Node {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Key {
  organisation @0 :Text;
  id @1 :Text;
}

struct Terms {
  key @0 :Key;
  service @1 :Text;
  path @2 :Text;
  body @3 :Data;
  digest @4 :UInt64;
  repeatable @5 :Bool;
  leftMs @6 :UInt64;   # milliseconds until the deadline when this was sent
}

struct Chunk {
  tokens @0 :UInt32;
  data @1 :Data;
  origin @2 :UInt64;   # names the run that the answer began with
}

struct Ending {
  union {
    answered @0 :Void;
    notRun @1 :UInt16;    # number of the result code
    rejected @2 :UInt16;
    unknown @3 :UInt16;
    follow @4 :Node;
  }
}

enum Right {
  none @0;
  granted @1;
  claimed @2;
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  refutation @2 :UInt32;
  ageS @3 :UInt32;            # seconds since it was declared dead
  state @4 :MemberState;
  peerPort @5 :UInt16;
  httpPort @6 :UInt16;
  peerIp @7 :Text;
  httpIp @8 :Text;            # absent when it is that for other entries
  region @9 :Text;
  dataCentre @10 :Text;
}

enum MemberState {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
}

struct LeavingServer {
  name @0 :Text;
  ageMs @1 :UInt64;           # since this was first said
}

struct Gossip {
  from @0 :Node;
  generation @1 :UInt64;      # of the configuration in force at the sender
  members @2 :List(Member);
  leavingServers @3 :List(LeavingServer);
  body :union {
    probe @4 :Void;
    join @5 :Void;
    probeFor @6 :Node;
    push @7 :Void;
    digest @8 :List(UInt32);
    differences @9 :Data;     # one bit for each bucket of the digest
    ack @10 :Void;
    nack @11 :Void;
  }
}

struct Request {
  to @0 :Node;                # the run addressed; an empty name addresses any run
  union {
    gossip @1 :Gossip;
    hold :group {
      terms @2 :Terms;
      round @3 :UInt64;
      owner @4 :Node;
    }
    ask :group {
      key @5 :Key;
      round @6 :UInt64;
    }
    void :group {
      key @7 :Key;
      round @8 :UInt64;
    }
    progress :group {
      key @9 :Key;
      from @10 :UInt64;       # number of the first chunk
      chunks @11 :List(Chunk);
      ending @12 :Ending;
      ended @13 :Bool;        # whether the ending counts
      round @24 :UInt64;
    }
    handOver :group {
      terms @14 :Terms;
      right @15 :Right;
      round @25 :UInt64;
      owner @27 :Node;
      chunks @16 :List(Chunk);
    }
    submit :group {
      terms @17 :Terms;
      ownerSilent @18 :Bool;
      round @26 :UInt64;      # the round that this may begin
    }
    read :group {
      key @19 :Key;
      from @20 :UInt64;
      waitMs @21 :UInt64;
      ownerSilent @22 :Bool;
    }
    configuration @23 :Void;
  }
}

struct Failure {
  code @0 :UInt16;
  rejected @1 :Bool;
  context @2 :Text;
  retryMs @3 :UInt64;
}

struct Reply {
  union {
    done @0 :Void;
    failure @1 :Failure;
    gossip @2 :Gossip;
    hold :group {
      union {
        held @3 :Void;
        taken @4 :Node;
        undecided @5 :Void;
        otherBody @6 :Void;
        otherRun @7 :Void;
      }
    }
    ask :group {
      union {
        granted @8 :Void;
        taken @9 :Node;
        undecided @10 :Void;
        notHeld @11 :Void;
      }
    }
    void :group {
      union {
        voided @12 :Void;
        taken @13 :Node;
        undecided @14 :Void;
      }
    }
    have @15 :UInt64;         # chunks that the witness holds
    read :group {
      from @16 :UInt64;
      chunks @17 :List(Chunk);
      ending @18 :Ending;
      ended @19 :Bool;
      origin @24 :UInt64;
      begun @25 :Bool;        # whether the origin counts
    }
    configuration :group {
      head @20 :Text;         # JSON of the head
      body @21 :Text;         # merged INI text
    }
    taken @22 :Node;          # has taken the request over
    over @23 :UInt64;         # this round is over, and nothing ran in it
  }
}
