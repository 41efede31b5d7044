@0xe96ead66f66f0cd6;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Radishplank::Rpc");

# The load of an agent; counts are streams. Sent many times a second, so kept small.
struct LoadReport {
  incarnation @0 :UInt64;
  slots @1 :UInt16;
  onlineRunning @2 :UInt16;
  onlineQueued @3 :UInt16;
  batchRunning @4 :UInt16;
  batchQueued @5 :UInt16;
  isAccepting @6 :Bool;
}

# How far an attempt had progressed when it was cancelled.
enum AttemptFate {
  neverBegan @0;   # It was not sent to any upstream, and this agent will never send it to one.
  began @1;        # An upstream has, or may have, processed it.
  unknown @2;      # This incarnation of the agent has no record of it.
}

struct ConfigurationObject {
  key @0 :Text;
  value @1 :Text;
  version @2 :UInt64;
  isRemoval @3 :Bool;
}

# A crash of an upstream for which one request is the only possible cause.
struct CrashNotice {
  fingerprint @0 :Text;
  attempt @1 :Text;
  ageMilliseconds @2 :UInt64;
}

# A share of one limit that is requested, or lent.
struct LimitShare {
  key @0 :Text;
  requestsPerSecond @1 :Float64;
  slots @2 :Int64;       # Request: needed beyond slotsHeld. Response: may be in use, with slotsHeld.
  slotsHeld @3 :Int64;
  sequence @4 :UInt64;   # Sequence number of the request for slots; 0 if it requests none.
}

# The demand for one pool at an entry process since the process started.
struct PoolDemand {
  pool @0 :Text;
  slotSeconds @1 :Float64;
  refused @2 :UInt64;
  answered @3 :UInt64;
  hasBatch @4 :Bool;
}

interface Gate {
  # Returns the control interface to a caller with the cluster secret.
  open @0 (secret :Text) -> (control :Control);
}

interface Control {
  # Called on agents. Also serves as the heartbeat.
  observe @0 () -> (report :LoadReport);
  # Called on agents. Idempotent; also cancels the attempt if it arrives after this call.
  cancelAttempt @1 (attempt :Text, incarnation :Text) -> (fate :AttemptFate);
  # Called on entry processes. Returns the configuration changes since the caller's revision, and
  # exchanges recent crashes.
  exchange @2 (node :Text, revision :UInt64, crashes :List(CrashNotice))
           -> (revision :UInt64, objects :List(ConfigurationObject), crashes :List(CrashNotice),
               stalenessMilliseconds :UInt64, digest :UInt64);
  # Called on entry processes. Lends unused shares of limits for a fixed lease time. The borrower
  # counts the lease from before it sends the request, the lender from when it responds.
  lend @3 (node :Text, wanted :List(LimitShare)) -> (lent :List(LimitShare));
  # Called on entry processes by the one that places models.
  demand @4 () -> (pools :List(PoolDemand));
}
