@0xd2b1c9f0a4e37715;

# Servers are named by the CRC-32 of their id: a third of the bytes. Two servers of one mark share
# their load, which only makes both look fuller.
struct LoadReport {
  node @0 :Text;
  sequence @1 :UInt64;
  shares @2 :List(Share);
  avoided @3 :List(Avoided);
  suspects @4 :Data;
  # 0 if the report has no usage of servers with a limit; an empty list then says nothing.
  usageMs @5 :UInt32;
  limited @6 :List(Limited);
  # Version of the configuration in force, 0 for none.
  version @7 :UInt64;
  # Whether the sender waits for the versions of others.
  asking @8 :Bool;
  # Whether the sender has lost its links to all servers.
  disconnected @9 :Bool;
  # Whether other zones learn of the shares only by what the readers of the sender's zone gather.
  gathered @10 :Bool;
  # Sums over the gathered shares of all nodes of a zone.
  zoneLoads @11 :List(ZoneLoad);

  struct ZoneLoad {
    zone @0 :Text;
    ageMs @1 :UInt32;
    # Rows of three little-endian 32-bit numbers as in Share. A zone has one for nearly each server,
    # and a list of structs takes forty times as long to read.
    shares @2 :Data;
  }

  struct Share {
    server @0 :UInt32;
    requests @1 :UInt32;
    tokenLayers @2 :UInt32;
  }

  struct Avoided {
    server @0 :UInt32;
    forMs @1 :UInt32;
  }

  struct Limited {
    server @0 :UInt32;
    limitPerS @1 :Float32;
    ageMs @2 :UInt32;
    requestsPerS @3 :Float32;
    wantedPerS @4 :Float32;
  }
}
