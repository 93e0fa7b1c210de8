@0xd9b0e1f4c65a7322;
# Messages between entries, and from controllers to entries. On TCP connections, each
# message has its length in front.

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
  # The sentUs of the heartbeat that this one answers and confirms, or 0.
  echoUs @1 :UInt64;
  # The offset after the last replayed batch.
  nextOffset @2 :UInt64;
  # Time since the sender's last successful read of the log.
  logAgeMs @3 :UInt32;
  draining @4 :Bool;
  # The organisations whose usage has changed, or all of them if complete is set.
  usage @5 :List(OrganisationUsage);
  complete @6 :Bool;
  # Workers that the sender reserves for large or urgent tasks that wait.
  reservedWorkers @7 :List(Text);
}

struct OrganisationUsage {
  organisation @0 :Text;
  running @1 :UInt32;
  queued @2 :UInt32;
  cores @3 :Float32;
  memoryMb @4 :UInt64;
  accelerators @5 :UInt32;
  # Requests that the sender may start under its grant once there is capacity.
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
  # The last period of which the sender has received a report, or 0.
  afterPeriod @0 :UInt64;
}

struct OutcomeReport {
  # The last period in this report. Periods count from the start of the sender's
  # monotonic clock.
  throughPeriod @0 :UInt64;
  counts @1 :List(OutcomeCount);
  # The queues in counts of which a task has succeeded on any worker.
  succeededQueues @2 :List(Text);
}

struct OutcomeCount {
  worker @0 :Text;
  queue @1 :Text;
  ended @2 :UInt32;
  # How many of the ended tasks have failed.
  failed @3 :UInt32;
}
