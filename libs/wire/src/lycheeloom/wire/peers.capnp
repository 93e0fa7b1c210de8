@0xd9b0e1f4c65a7322;
# Messages between entries, and from controllers to entries, length-prefixed on TCP.

struct PeerMessage {
  sender @0 :Text;
  union {
    heartbeat @1 :Heartbeat;
    recordRelay @2 :RecordRelay;
    rangeRequest @3 :RangeRequest;
    outcomeRequest @4 :OutcomeRequest;
    outcomeReport @5 :OutcomeReport;
  }
}

struct Heartbeat {
  # Send time on the sender's monotonic clock, in microseconds.
  sentUs @0 :UInt64;
  # The receiver's newest sentUs, returned to it.
  echoUs @1 :UInt64;
  # The offset after the last replayed batch.
  nextOffset @2 :UInt64;
  # Time since the sender's last successful log read.
  logAgeMs @3 :UInt32;
  draining @4 :Bool;
  # Only changed entries; complete at least every 10 s.
  usage @5 :List(OrganisationUsage);
  complete @6 :Bool;
  # Workers that the sender's large or urgent tasks wait for.
  reservedWorkers @7 :List(Text);
}

struct OrganisationUsage {
  organisation @0 :Text;
  running @1 :UInt32;
  queued @2 :UInt32;
  cores @3 :Float32;
  memoryMb @4 :UInt64;
  accelerators @5 :UInt32;
  # Requests that the sender could start if it had the capacity.
  startable @6 :List(QueueCount);
}

struct QueueCount {
  queue @0 :Text;
  count @1 :UInt32;
}

struct RecordRelay {
  offset @0 :UInt64;
  batches @1 :List(Data);
}

struct RangeRequest {
  firstOffset @0 :UInt64;
}

struct OutcomeRequest {
  # The last period that the sender has a report of, or 0.
  afterPeriod @0 :UInt64;
}

struct OutcomeReport {
  # The last period in this report, on the sender's monotonic clock.
  throughPeriod @0 :UInt64;
  counts @1 :List(OutcomeCount);
  # Of the queues in counts, those with a task that succeeded on any worker.
  succeededQueues @2 :List(Text);
}

struct OutcomeCount {
  worker @0 :Text;
  queue @1 :Text;
  ended @2 :UInt32;
  # How many of those that ended have failed.
  failed @3 :UInt32;
}
