@0xd1c6a94c7b1f4e53;

# Calls between the instances of a gooseberrylb cluster.
#
# The payloads are Rust types of the crates for control state, policy and links, encoded with postcard, so
# that one definition serves the decision logic, the journal and the link. Cap'n Proto provides the calls:
# many can be pending at once, and they are answered in any order. CONTRIBUTING.md describes how to
# regenerate src/peer_capnp.rs.

interface Control {
  # Served by the thread that holds the control state.

  ping @0 () -> ();
  # Proves that the link still makes progress in both directions.

  consensus @1 (message :Data) -> ();
  # Delivers a consensus message, which may be lost; no answer is awaited.

  propose @2 (command :Data) -> (reply :Data);
  # Proposes a command for the log; answered when it is committed or refused.

  follow @3 (report :Data) -> (update :Data);
  # Sends the report of an instance; the answer contains the changes that the instance lacks, and a lease.

  query @4 (question :Data) -> (answer :Data);
  # Reads the leader's state for an operator.

  evidence @5 (report :Data) -> ();
  # Sends what a scheduler has observed of versions under a move; a later report replaces a lost one.
}

interface Traffic {
  # Served by the thread that schedules requests.

  ping @0 () -> ();
  # Proves that the link still makes progress in both directions.

  enqueue @1 (call :Data) -> (decision :Data);
  # Requests permission to dispatch a request; answered when that is decided.

  notify @2 (notice :Data) -> (receipt :Data);
  # Notifies the scheduler of requests that ended or were withdrawn, and a new scheduler of those that are
  # running; answered when the events are applied.

  copy @3 (batch :Data) -> (held :Data);
  # Sends records of claims to a backup; answered when the backup holds them, or rejected by a later view.
}
