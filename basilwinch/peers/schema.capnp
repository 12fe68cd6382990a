@0xd2b1c9f0a4e37715;

struct LoadReport {
  node @0 :Text;
  sequence @1 :UInt64;
  shares @2 :List(Share);

  struct Share {
    server @0 :Text;
    requests @1 :UInt32;
    tokenLayers @2 :Int64;
  }
}
