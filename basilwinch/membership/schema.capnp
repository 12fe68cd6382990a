@0x9d2f6a1c8b3e4f57;

# Packet between two nodes. Only this flat struct is read before the MAC is checked.
struct Envelope {
  version @0 :UInt8;
  keyId @1 :UInt8;
  cluster @2 :UInt32;      # digest of the cluster name
  sender @3 :UInt64;       # digest of the sender's name
  life @4 :UInt64;         # start time of the sender's process, microseconds
  sequence @5 :UInt32;     # counts the packets of this life
  destination @6 :UInt32;  # low bits of the receiver's life, 0 if not known
  macHigh @7 :UInt64;
  macLow @8 :UInt64;
  body @9 :Data;           # Body, packed
}

struct Update {
  node @0 :UInt64;
  life @1 :UInt64;
  incarnation @2 :UInt32;
  state @3 :UInt8;
  leaving @4 :Bool;
  name @5 :Text;           # this and the following only when the node is introduced
  address @6 :Text;
  zone @7 :Text;
  region @8 :Text;
}

struct Payload {
  kind @0 :UInt8;
  data @1 :Data;
}

struct Body {
  revision @0 :UInt64;     # configuration revision that the sender holds
  ready @1 :Bool;          # whether the sender's state is complete
  large @2 :Bool;          # the receiver is behind by more than a datagram holds
  roster @3 :UInt32;       # digest of the members that the sender knows
  updates @4 :List(Update);
  delta @5 :Data;          # changes that the receiver lacks, as the replica exports them
  payloads @6 :List(Payload);
  union {
    digest @7 :Void;
    ping @8 :Ping;
    ack @9 :Ack;
    pingReq @10 :PingReq;
    fetchRequest @11 :FetchRequest;
    fetchReply @12 :FetchReply;
  }
}

struct Ping {
  probe @0 :UInt32;
}

struct Ack {
  probe @0 :UInt32;
  about @1 :UInt64;        # node that answered if it was reached through a helper, else 0
}

struct PingReq {
  probe @0 :UInt32;
  target @1 :UInt64;
}

# Over TCP.
struct FetchRequest {
  since @0 :UInt64;
  members @1 :Bool;
}

struct FetchReply {
  members @0 :List(Update);
  state @1 :Data;          # empty if the requester is not behind
}
