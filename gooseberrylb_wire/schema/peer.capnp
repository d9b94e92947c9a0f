@0xd1c6a94c7b1f4e53;

# The calls between gooseberrylb's own processes.
#
# The payloads are the Rust types of the pure machines, encoded with postcard: one definition serves the
# machine, the journal and the link. Cap'n Proto gives the calls: many at once, answered in any order.
# Regenerate src/peer_capnp.rs as CONTRIBUTING.md tells.

interface Control {
  # Served by the thread that holds the control state.

  ping @0 () -> ();
  # Proves that the link still makes progress in both directions.

  consensus @1 (message :Data) -> ();
  # A message of the consensus; it may be lost, and no answer is awaited.

  propose @2 (command :Data) -> (reply :Data);
  # A command for the log, answered when it is committed or refused.

  follow @3 (report :Data) -> (update :Data);
  # An instance reports itself and what it holds; the answer is what has changed since, and a lease.

  query @4 (question :Data) -> (answer :Data);
  # A read of the leader's state for an operator.

  evidence @5 (report :Data) -> ();
  # What a scheduler has seen of versions under a move; a later report replaces a lost one.
}

interface Traffic {
  # Served by the thread that schedules requests.

  ping @0 () -> ();
  # Proves that the link still makes progress in both directions.

  enqueue @1 (call :Data) -> (decision :Data);
  # Asks for leave to dispatch a request; answered when that is decided.

  notify @2 (notice :Data) -> (receipt :Data);
  # Tells the scheduler of requests that ended or were given up; answered when taken in.

  copy @3 (batch :Data) -> (held :Data);
  # Claims for a backup to hold; answered when they are held, or refused by a later view.
}
