@0xb3f2c1a7d4e69805;
# Job records in the platform's store.

struct Job {
  jobId @0 :Text;
  queue @1 :Text;
  organisation @2 :Text;
  specification @3 :Text;
  steps @4 :List(Step);
  acceptedMs @5 :UInt64;
  repetitions @6 :UInt32;
  firstRunMs @7 :UInt64;
  intervalMs @8 :UInt64;
  # Rejections of the id that the accepting instance knew of; 0 in older records.
  rejections @9 :UInt32;
  # Unix time of the first attempt to submit the job; 0 if it is the accepted one.
  firstOfferedMs @10 :UInt64;
}

struct Step {
  count @0 :UInt32;
  cpuMilli @1 :UInt32;
  memoryMb @2 :UInt32;
  accelerators @3 :UInt32;
  estimatedMs @4 :UInt32;
  after @5 :List(UInt32);
  checkpointing @6 :Bool;
  gang @7 :Bool;
  sameRack @8 :Bool;
  label @9 :Text;
  rack @10 :Text;
  maxPerWorker @11 :UInt32;
  speculative @12 :Bool;
  longRunning @13 :Bool;
  image @14 :Text;
  targetMs @15 :UInt32;
  fills @16 :Bool;
  mayMiss @17 :UInt32;
}

struct StepProgress {
  occurrence @0 :UInt32;
  step @1 :UInt32;
  # Bit set of the tasks that are done, lowest bit of the first byte first.
  done @2 :Data;
  failures @3 :List(TaskFailures);
  checkpoints @4 :List(TaskCheckpoint);
}

struct TaskFailures {
  index @0 :UInt32;
  count @1 :UInt32;
  # Run numbers of the counted failures; absent in older records.
  runs @2 :List(UInt32);
}

struct TaskCheckpoint {
  index @0 :UInt32;
  checkpoint @1 :Text;
}

struct JobProgress {
  state @0 :Text;
  # Highest run number assigned to any task of the job.
  highestRun @1 :UInt32;
  steps @2 :List(StepProgress);
  # Unix time at which the job reached a final state; 0 before that.
  finishedMs @3 :UInt64;
}

struct ProgressPart {
  # Bit set of the tasks of the part that are done, as in StepProgress. Here and in the
  # lists, tasks are numbered from the first one of the part.
  done @0 :Data;
  failures @1 :List(TaskFailures);
  checkpoints @2 :List(TaskCheckpoint);
}

struct LeaderRecord {
  token @0 :UInt64;
  instance @1 :Text;
  # Set at a graceful shutdown, so that another instance takes over immediately.
  resigned @2 :Bool;
  # Processor capacity of the instance, in cores; 0 in older records.
  cores @3 :Float64;
}

struct LeadBid {
  # Fencing token of the leader that is asked to hand over.
  token @0 :UInt64;
  # Processor capacity of the bidding instance, in cores.
  cores @1 :Float64;
}

struct InstanceOrder {
  # Unix time just before the order was sent.
  atMs @0 :UInt64;
  # The wave that a maintenance order belongs to; empty for a move.
  wave @1 :Text;
}

struct WaveProgress {
  # Ids of the instances whose maintenance has begun.
  begun @0 :List(Text);
}

struct Cancellation {
  # Unix time at which the cancellation was asked for.
  atMs @0 :UInt64;
}

struct Rejection {
  # Rejections of the job so far, this one included.
  count @0 :UInt32;
  # Unix time of the first attempt to submit the job.
  firstOfferedMs @1 :UInt64;
  # Unix time of this rejection.
  atMs @2 :UInt64;
}

struct LoadReport {
  # Fencing token of the leader that measured the load.
  token @0 :UInt64;
  # The overloaded queues; empty when the last of them no longer is.
  queues @1 :List(QueueLoad);
}

struct QueueLoad {
  queue @0 :Text;
  # Time until a job that is accepted now would start, behind all that waits.
  waitMs @1 :UInt64;
  # The same for organisations with waiting work, behind their own share of it.
  organisations @2 :List(OrganisationWait);
}

struct OrganisationWait {
  organisation @0 :Text;
  waitMs @1 :UInt64;
}
