@0xd2b1c9f0a4e37715;

# Servers are identified by the CRC-32 of their id, which takes a third of the bytes of the id. Two
# servers with the same CRC-32 share one entry in each list: other nodes assume the same load for
# both, and avoid both if one fails.
struct LoadReport {
  node @0 :Text;
  sequence @1 :UInt64;
  shares @2 :List(Share);
  avoided @3 :List(Avoided);

  struct Share {
    server @0 :UInt32;
    requests @1 :UInt32;
    tokenLayers @2 :UInt32;
  }

  struct Avoided {
    server @0 :UInt32;
    forMs @1 :UInt32;
  }
}
