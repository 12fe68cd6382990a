@0xb3f7a1c92d5e6081;

# What a node asks a reader of its zone. Fields are only added, and never change their meaning.
struct ReadRequest {
  # Whether the changes after a revision are asked for; otherwise the last confirmed position is.
  changes @0 :Bool;
  after @1 :UInt64;
  # Longest wait for a change.
  waitMs @2 :UInt32;
}

struct ReadAnswer {
  # Names the process of the reader and the history of the store that the answer is from.
  lineage @0 :Text;
  # Whether the reader can answer; if not, the store itself must be asked.
  known @1 :Bool;
  # Revision up to which the reader was complete, ageMs before it answered.
  revision @2 :UInt64;
  ageMs @3 :UInt32;
  events @4 :List(Event);
  # Era of the store's history that the answer is from, 0 if it is not known for certain.
  era @5 :UInt64;
  # Whether the position came to the reader through a relay, as the store refuses the reader.
  relayed @6 :Bool;

  struct Event {
    key @0 :Text;
    value @1 :Data;
    deleted @2 :Bool;
    revision @3 :UInt64;
  }
}
