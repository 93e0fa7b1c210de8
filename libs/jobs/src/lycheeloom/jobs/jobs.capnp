@0xb3f2c1a7d4e69805;
# Records of jobs in the platform's store.

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
  # One bit for each task that is done.
  done @2 :Data;
  failures @3 :List(TaskFailures);
  checkpoints @4 :List(TaskCheckpoint);
}

struct TaskFailures {
  index @0 :UInt32;
  count @1 :UInt32;
  # Numbers of the runs that are counted.
  runs @2 :List(UInt32);
}

struct TaskCheckpoint {
  index @0 :UInt32;
  checkpoint @1 :Text;
}

struct JobProgress {
  state @0 :Text;
  # Highest run number used for any task.
  highestRun @1 :UInt32;
  steps @2 :List(StepProgress);
  # When the job reached a final state, since 1970; 0 before.
  finishedMs @3 :UInt64;
}

struct LeaderRecord {
  token @0 :UInt64;
  instance @1 :Text;
  # Written at a graceful stop: another instance takes over at once.
  resigned @2 :Bool;
}

struct InstanceOrder {
  # Time of day at which an order was about to be sent.
  atMs @0 :UInt64;
}

struct WaveProgress {
  # Instances whose maintenance has begun.
  begun @0 :List(Text);
}
