@0xe96ead66f66f0cd6;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Radishplank::Rpc");

# What an agent tells of itself; counts are streams. Sent many times a second, so kept small.
struct LoadReport {
  incarnation @0 :UInt64;
  slots @1 :UInt16;
  onlineRunning @2 :UInt16;
  onlineQueued @3 :UInt16;
  batchRunning @4 :UInt16;
  batchQueued @5 :UInt16;
  isAccepting @6 :Bool;
}

# How far an attempt had come when it was cancelled.
enum AttemptFate {
  neverBegan @0;   # No upstream has seen it, and this agent will never hand it to one.
  began @1;        # An upstream has, or may have, worked on it.
  unknown @2;      # This incarnation of the agent cannot tell.
}

struct ConfigurationObject {
  key @0 :Text;
  value @1 :Text;
  version @2 :UInt64;
  isRemoval @3 :Bool;
}

# One crash of an upstream in which a request was the only suspect.
struct CrashNotice {
  fingerprint @0 :Text;
  attempt @1 :Text;
  ageMilliseconds @2 :UInt64;
}

# A part of one limit that is asked for, or lent.
struct LimitShare {
  key @0 :Text;
  requestsPerSecond @1 :Float64;
  slots @2 :Int64;       # Asked: wanted beyond those held. Lent: may be in use, those held included.
  slotsHeld @3 :Int64;
  sequence @4 :UInt64;   # Numbers the asks for slots; 0 if none are asked for.
}

# What was asked of one pool at an entry process since it started.
struct PoolDemand {
  pool @0 :Text;
  slotSeconds @1 :Float64;
  refused @2 :UInt64;
  answered @3 :UInt64;
  hasBatch @4 :Bool;
}

interface Gate {
  # Hands out the control interface to holders of the cluster's secret.
  open @0 (secret :Text) -> (control :Control);
}

interface Control {
  # Asked of agents. Doubles as the heartbeat.
  observe @0 () -> (report :LoadReport);
  # Asked of agents. Idempotent, and beats a later arrival of the attempt itself.
  cancelAttempt @1 (attempt :Text, incarnation :Text) -> (fate :AttemptFate);
  # Asked of entry processes: what the caller lacks of the configuration, and recent crashes.
  exchange @2 (node :Text, revision :UInt64, crashes :List(CrashNotice))
           -> (revision :UInt64, objects :List(ConfigurationObject), crashes :List(CrashNotice),
               stalenessMilliseconds :UInt64, digest :UInt64);
  # Asked of entry processes: lends what they do not need of their parts of limits, for a fixed
  # time that the borrower counts from before it asked, and the lender from when it answers.
  lend @3 (node :Text, wanted :List(LimitShare)) -> (lent :List(LimitShare));
  # Asked of entry processes by the one that places models.
  demand @4 () -> (pools :List(PoolDemand));
}
