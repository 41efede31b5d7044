@0xd0c5b1f7e3a94c26;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Radishplank::Rpc");

struct QuotaAskEntry {
  owner @0 :UInt64;       # Hash of the owner's name.
  waiting @1 :UInt32;     # Calls that wait for a token.
  ahead @2 :UInt32;       # Tokens for calls that are expected.
  returned @3 :UInt32;    # Tokens of earlier grants that are not used any more.
  used @4 :UInt32;        # Tokens of earlier grants that were used since the last ask.
}

struct QuotaGrantEntry {
  owner @0 :UInt64;
  granted @1 :UInt32;
  retryAfterMs @2 :UInt32;  # Time until one more call would be admitted; 0 if all got a token.
  lifetimeMs @3 :UInt32;    # How long the tokens may be used after the ask was sent.
  hasNoShare @4 :Bool;      # Whether the sender can never grant a token of this owner.
}

# Asks for tokens, answers such an ask, or confirms a report with a change of homes, in one
# datagram.
struct QuotaMessage {
  id @0 :UInt64;          # Id of the ask; asks of one run of a process have ascending ids.
                          # 0 in a receipt.
  union {
    ask :group {
      run @1 :UInt64;     # Random number of the asking process's run.
      entries @2 :List(QuotaAskEntry);
    }
    grant :group {
      entries @3 :List(QuotaGrantEntry);
    }
    receipt :group {
      node @4 :UInt64;    # Hash of the sender's name.
      ageMs @5 :UInt64;   # The age of the process in the report.
    }
  }
}
