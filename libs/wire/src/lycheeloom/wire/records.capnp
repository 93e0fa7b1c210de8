@0xc3f1a5d27b9e4410;
# Batches of log records. Newer program versions may add optional fields and union
# members at the end; field numbers are never reused.

struct Batch {
  author @0 :Text;
  sequence @1 :UInt64;
  records @2 :List(Record);
}

struct Resources {
  cores @0 :Float64;
  memoryMb @1 :UInt64;
  accelerators @2 :UInt32;
}

struct Record {
  union {
    none @0 :Void;
    configChanged @1 :ConfigChanged;
    memberJoined @2 :MemberJoined;
    memberVote @3 :MemberVote;
    memberRefuted @4 :Empty;
    memberLeft @5 :Empty;
    grantsReclaimed @6 :GrantsReclaimed;
    grantRequested @7 :OrganisationCount;
    grantReturned @8 :OrganisationCount;
    requestSubmitted @9 :RequestSubmitted;
    requestClaimed @10 :RequestClaimed;
    requestReleased @11 :RequestAttempt;
    requestFinished @12 :RequestFinished;
    requestCancelled @13 :RequestCancelled;
    answersExpired @14 :AnswersExpired;
    dutyClaimed @15 :DutyClaimed;
    moveStep @16 :MoveStep;
    instanceHealth @17 :InstanceHealth;
    waveCommand @18 :WaveCommand;
    snapshotChunk @19 :SnapshotChunk;
  }
}

struct Empty {}

struct ConfigChanged {
  expectedVersion @0 :UInt64;
  patch @1 :Text;
  operator @2 :Text;
}

struct MemberJoined {
  instance @0 :Text;
  incarnation @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  programVersion @4 :Text;
}

struct MemberVote {
  target @0 :Text;
  reason @1 :Text;
}

struct GrantsReclaimed {
  target @0 :Text;
  expelledAt @1 :UInt64;
}

struct OrganisationCount {
  organisation @0 :Text;
  count @1 :UInt32;
}

struct RequestSubmitted {
  requestId @0 :Text;
  organisation @1 :Text;
  queue @2 :Text;
  payload @3 :Data;
  idempotent @4 :Bool;
  idempotencyKey @5 :Text;
  bodyDigest @6 :Data;
  resources @7 :Resources;
  runMs @8 :UInt64;
  urgent @9 :Bool;
  checkpointable @10 :Bool;
}

struct RequestClaimed {
  requestId @0 :Text;
  attempt @1 :UInt32;
  worker @2 :Text;
  workerBoot @3 :Text;
}

struct RequestAttempt {
  requestId @0 :Text;
  attempt @1 :UInt32;
  checkpoint @2 :Text;
}

struct RequestFinished {
  requestId @0 :Text;
  attempt @1 :UInt32;
  outcome @2 :Text;
  answer @3 :Data;
}

struct RequestCancelled {
  requestId @0 :Text;
}

struct AnswersExpired {
  throughOffset @0 :UInt64;
  queue @1 :Text;
}

struct DutyClaimed {
  duty @0 :Text;
  expectedEpoch @1 :UInt64;
  expectedRenewal @2 :UInt64;
}

struct MoveStep {
  instance @0 :Text;
  moveId @1 :Text;
  stage @2 :Text;
  dutyEpoch @3 :UInt64;
  toPool @4 :Text;
  reboot @5 :Bool;
  reason @6 :Text;
}

struct InstanceHealth {
  instance @0 :Text;
  health @1 :Text;
  dutyEpoch @2 :UInt64;
  reason @3 :Text;
}

struct WaveCommand {
  waveId @0 :Text;
  expected @1 :Text;
  wanted @2 :Text;
  pools @3 :List(Text);
  urgent @4 :Bool;
  reboot @5 :Bool;
  operator @6 :Text;
}

struct SnapshotChunk {
  snapshotId @0 :Text;
  coversOffset @1 :UInt64;
  index @2 :UInt32;
  count @3 :UInt32;
  digest @4 :Data;
  payload @5 :Data;
}
