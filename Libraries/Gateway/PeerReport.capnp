@0xb1b7c1d3a4f0e7d2;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Radishplank::Rpc");

# Streams of one entry process at one upstream.
struct UpstreamStreams {
  upstream @0 :UInt64;   # Hash of the upstream's name.
  online @1 :UInt16;
  batch @2 :UInt16;
  onlineRemainingMs @3 :UInt32;  # Expected remaining slot time of the online streams; 0 if unknown.
  batchRemainingMs @4 :UInt32;   # Expected remaining slot time of the batch items; 0 if unknown.
  paceHundredths @5 :UInt16;     # How slow the sender sees the upstream, 100 is usual; 0 if unknown.
}

# Online streams of one owner at one entry process.
struct OwnerStreams {
  owner @0 :UInt64;              # Hash of the owner's name.
  online @1 :UInt16;
}

# A set of processes among which the homes of the owners' quotas are chosen.
struct QuotaHomes {
  nodes @0 :List(UInt64);        # Hashes of the processes' names.
}

# Batch items that wait for a slot of a service at one entry process.
struct ServiceDemand {
  service @0 :UInt64;    # Hash of the service's name.
  items @1 :UInt32;      # Items that can be completed before they are due.
  lateItems @2 :UInt32;  # Items that cannot be completed before they are due.
  hasLimitedCalls @3 :Bool; # Whether online calls need the requests that limited upstreams take.
}

# An upstream whose responses announced that it is about to leave.
struct LeavingUpstream {
  upstream @0 :UInt64;   # Hash of the upstream's name.
  startedAt @1 :Int64;   # Start time of the instance that leaves.
}

# A limit on the requests of all processes that an upstream has named in an answer.
struct UpstreamLimit {
  upstream @0 :UInt64;   # Hash of the upstream's name.
  startedAt @1 :Int64;   # Start time of the instance.
  perSecond @2 :Float64;
  hasEnded @3 :Bool;     # Whether the upstream names no limit any more.
  ageMs @4 :UInt32;      # Time since the sender received the answer.
}

# A request to a limited upstream that the sender leaves to another process.
struct RequestGrant {
  upstream @0 :UInt64;   # Hash of the upstream's name.
  startedAt @1 :Int64;   # Start time of the instance.
  node @2 :UInt64;       # Hash of the name of the process that may send the request.
  id @3 :UInt64;         # Tells repetitions of a grant from another one.
  ageMs @4 :UInt32;
}

# An upstream that terminated while it was executing a call.
struct UpstreamCrash {
  call @0 :UInt64;           # Fingerprint of the call.
  upstreamStart @1 :UInt64;  # Hash of the upstream's name and start.
  ageMs @2 :UInt32;
  observation @3 :UInt64;    # Unique id of one process's observation.
}

# A call that an upstream had not begun to answer when it terminated.
struct SuspectCall {
  parts @0 :List(UInt64);    # Hashes of the shared parts of its prompt.
  upstreamStart @1 :UInt64;  # Hash of the upstream's name and start.
  ageMs @2 :UInt32;
  observation @3 :UInt64;    # Unique id of one process's observation.
  isItem @4 :Bool;           # Whether it was an item of a batch job.
}

# A suspected part that an upstream has answered since.
struct ClearedPart {
  part @0 :UInt64;
  ageMs @1 :UInt32;          # Time since the answer began.
}

# Parts of which one terminates the upstreams that answer it.
struct BlockedParts {
  parts @0 :List(UInt64);
  ageMs @1 :UInt32;          # Time since the first termination that counts against them.
  remainingMs @2 :UInt32;
  level @3 :UInt16;          # How many times the first duration the parts are blocked.
  isForItemsOnly @4 :Bool;   # Whether all terminations were under items of batch jobs.
  failedItemTrials @5 :UInt16;
  itemTrialMs @6 :UInt32;    # Time until another item may be tried, after a trial of the sender.
}

# A report of another process, which the sender passes on.
struct RelayedReport {
  ageMs @0 :UInt32;          # Time since the sender received it.
  report @1 :PeerReport;     # Without reports that its sender relayed.
}

# Report that an entry process sends to its peers, in one datagram. Reports do not depend on each
# other.
struct PeerReport {
  node @0 :Text;
  zone @1 :Text;
  controlAddress @2 :Text;
  controlPort @3 :UInt16;
  loads @4 :List(UpstreamStreams);
  hasJobs @5 :Bool;                  # Whether the lists of jobs are part of this report.
  ownedJobs @6 :List(UInt64);        # Hashes of the names of jobs that the sender runs.
  endedJobs @7 :List(Text);          # Jobs that have recently ended, as far as the sender knows.
  isLeaving @8 :Bool;
  isWatching @9 :Bool;               # Whether the sender watches the store itself.
  configuration @10 :UInt64;         # Version of the configuration that the sender has.
  upstreamRevision @11 :UInt64;      # Store revision of the sender's list of upstreams,
  upstreamDigest @12 :UInt64;        # and a hash of its content.
  isStoreReachable @13 :Bool;        # Whether the store answered when the sender last called it.
  waiting @14 :List(ServiceDemand);
  leaving @15 :List(LeavingUpstream);
  crashes @16 :List(UpstreamCrash);
  answeredCalls @17 :List(UInt64);   # Fingerprints of calls that turned out not to crash upstreams.
  suspectCalls @18 :List(SuspectCall);
  clearedParts @19 :List(ClearedPart);
  blockedParts @20 :List(BlockedParts);
  ownerLoads @21 :List(OwnerStreams); # Owners with the most streams at the sender.
  quotaHomes @22 :QuotaHomes;         # The sender pledges its share of each quota to these.
  previousQuotaHomes @23 :List(QuotaHomes); # Earlier sets that may still count its share.
  bootAgeMs @24 :UInt64;              # Time since the sender's process started.
  relaysReports @25 :Bool;            # Whether the sender understands the following fields.
  heardNodes @26 :List(UInt64);       # Processes of its zone that the sender has heard: hashes of
  heardAgesMs @27 :List(UInt16);      # their names, and the time since then.
  relayedReports @28 :List(RelayedReport); # Reports of some of these.
  upstreamLimits @29 :List(UpstreamLimit); # As answers to the sender named them.
  requestGrants @30 :List(RequestGrant);
}
