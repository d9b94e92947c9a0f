//! Tests of a single node that is driven message by message.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use gooseberrylb_control::consensus::{
    Body, Identity, Input, Message, Node, Output, Persisted, Position, RETAINED, RETAINED_ENTRIES,
    Role,
};
use gooseberrylb_control::entry::{Entry, Payload, Snapshot};
use gooseberrylb_control::membership::{Cluster, Folder, Membership};

use crate::simulation::instance;

const CLUSTER: Cluster = Cluster(77);

/// Node `a` of a cluster with voters `a`, `b` and `c`, whose folders are 1, 2 and 3.
struct Harness {
    node: Node,
    now: Instant,
    outputs: Vec<Output>,
}

fn membership() -> Membership {
    let names = ["a", "b", "c"].map(instance);
    Membership {
        voters: names.into_iter().zip((1..).map(Folder)).collect(),
        learners: BTreeMap::new(),
    }
}

fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry {
        index: Index(index),
        term: Term(term),
        payload,
    }
}

fn position(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index: Index(index),
    }
}

fn command() -> Payload {
    Payload::Command(vec![1].into())
}

fn append(previous: Position) -> Body {
    Body::Append {
        previous,
        entries: Vec::new(),
        committed: Index(0),
        round: 1,
    }
}

impl Harness {
    fn new(cluster: Option<Cluster>, entries: Vec<Entry>) -> Self {
        let persisted = Persisted {
            cluster,
            term: entries.last().map_or(Term(0), |entry| entry.term),
            entries,
            ..Persisted::default()
        };
        let identity = Identity {
            instance: instance("a"),
            folder: Folder(1),
            founders: ["a", "b", "c"].map(instance).to_vec(),
            first_start: false,
            seed: 1,
        };
        let now = Instant::now();
        let node = Node::new(identity, persisted, now);
        let outputs = Vec::new();
        Self { node, now, outputs }
    }

    fn step(&mut self, input: Input) {
        self.outputs = self.node.step(self.now, input);
    }

    fn receive(&mut self, from: &str, folder: u64, addressee: u64, term: u64, body: Body) {
        let message = Message {
            cluster: Some(CLUSTER),
            folder: Folder(folder),
            addressee: Some(Folder(addressee)),
            term: Term(term),
            body,
        };
        let from = instance(from);
        self.step(Input::Receive { from, message });
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.step(Input::Tick);
    }

    /// Reports the last batch as synced.
    fn sync(&mut self) {
        let sequence = self.outputs.iter().find_map(|output| match output {
            Output::Persist { sequence, .. } => Some(*sequence),
            _ => None,
        });
        self.step(Input::Synced(sequence.expect("a batch was passed on")));
    }

    /// Returns the messages sent in the last step.
    fn sent(&self) -> Vec<(id::Instance, Body)> {
        let sent = self.outputs.iter().filter_map(|output| match output {
            Output::Send { to, message } => Some((to.clone(), message.body.clone())),
            _ => None,
        });
        sent.collect()
    }

    /// Returns the last entry that the last step acknowledged as synced, if any.
    fn matched(&self) -> Option<Index> {
        self.sent().iter().find_map(|(_, body)| match body {
            Body::AppendAnswer { matched, .. } => Some(*matched),
            _ => None,
        })
    }
}

#[test]
fn entries_of_an_earlier_term_are_not_committed_by_counting() {
    let entries = vec![
        entry(1, 1, Payload::Membership(membership())),
        entry(2, 2, command()),
    ];
    let mut harness = Harness::new(Some(CLUSTER), entries);
    harness.wait(Duration::from_secs(2));
    harness.receive("b", 2, 1, 3, Body::PreVoteAnswer { granted: true });
    harness.sync();
    harness.receive("b", 2, 1, 3, Body::VoteAnswer { granted: true });
    assert_eq!(harness.node.status().role, Role::Leader);
    let answer = |matched| Body::AppendAnswer {
        round: 1,
        matched: Index(matched),
        received: Index(matched),
        conflict: None,
    };
    harness.receive("b", 2, 1, 3, answer(2));
    harness.receive("c", 3, 1, 3, answer(2));
    assert_eq!(harness.node.status().committed, Index(0));
    harness.receive("b", 2, 1, 3, answer(3));
    assert_eq!(
        harness.node.status().committed,
        Index(0),
        "a single follower has synced it"
    );
    harness.receive("c", 4, 1, 3, answer(3));
    assert_eq!(
        harness.node.status().committed,
        Index(0),
        "the answer comes from another folder"
    );
    assert!(
        !harness.node.holds_lease(harness.now),
        "the leader may lack committed entries"
    );
    harness.receive("c", 3, 1, 3, answer(3));
    assert_eq!(harness.node.status().committed, Index(3));
    assert!(harness.node.holds_lease(harness.now));
}

#[test]
fn a_snapshot_is_not_acknowledged_before_it_is_synced() {
    let founding = entry(1, 1, Payload::Membership(membership()));
    let old = (2..=9).map(|index| entry(index, 1, command()));
    let entries = [founding].into_iter().chain(old).collect();
    let mut harness = Harness::new(Some(CLUSTER), entries);
    let part = Body::Snapshot {
        covers: position(3, 8),
        membership: membership(),
        size: 2,
        offset: 0,
        part: vec![1, 2].into(),
        round: 1,
    };
    harness.receive("b", 2, 1, 3, part);
    let persist = harness.outputs.clone();
    harness.receive("b", 2, 1, 3, append(position(3, 8)));
    assert_eq!(harness.matched(), Some(Index(0)));
    harness.outputs = persist;
    harness.sync();
    // The same batch contained the new term.
    assert_eq!(harness.matched(), Some(Index(8)));
    assert_eq!(
        harness.node.status().last,
        Index(8),
        "entries of another log were kept"
    );
}

#[test]
fn one_vote_per_term_is_granted_and_only_after_it_is_synced() {
    let entries = vec![entry(1, 1, Payload::Membership(membership()))];
    let mut harness = Harness::new(Some(CLUSTER), entries);
    let vote_request = || Body::Vote {
        last: position(1, 1),
    };
    let refusal = Body::VoteAnswer { granted: false };
    harness.receive("b", 2, 1, 5, vote_request());
    assert_eq!(
        harness.sent(),
        [(instance("b"), refusal.clone())],
        "a leader may have been in contact recently"
    );
    harness.now += Duration::from_millis(501);
    harness.receive("b", 4, 1, 5, vote_request());
    assert_eq!(
        harness.sent(),
        [(instance("b"), refusal.clone())],
        "the candidate has another folder"
    );
    harness.sync();
    harness.receive("b", 2, 1, 6, vote_request());
    assert_eq!(harness.sent(), [], "the record is not synced yet");
    let persist = harness.outputs.clone();
    harness.receive("c", 3, 1, 6, vote_request());
    assert_eq!(
        harness.sent(),
        [(instance("c"), refusal)],
        "the vote was already granted"
    );
    harness.outputs = persist;
    harness.sync();
    let grant = Body::VoteAnswer { granted: true };
    assert_eq!(harness.sent(), [(instance("b"), grant)]);
}

/// Guards against a vote for an election that is over, whose sync makes the voter stand within the lease
/// of the leader that it has acknowledged since.
#[test]
fn vote_that_is_synced_late_does_not_break_the_lease_of_a_leader() {
    let entries = vec![entry(1, 1, Payload::Membership(membership()))];
    let mut harness = Harness::new(Some(CLUSTER), entries);
    while harness.node.status().term == Term(1) {
        harness.wait(Duration::from_millis(50));
        harness.receive("b", 2, 1, 2, Body::PreVoteAnswer { granted: true });
    }
    let vote = harness.outputs.clone();
    harness.receive("c", 3, 1, 2, append(position(1, 1)));
    harness.outputs = vote;
    harness.sync();
    for _ in 0..9 {
        harness.wait(Duration::from_millis(50));
        let is_pre_vote = |(_, body): &(id::Instance, Body)| matches!(body, Body::PreVote { .. });
        assert!(!harness.sent().iter().any(is_pre_vote));
    }
}

#[test]
fn a_node_with_an_empty_disk_joins_only_under_its_own_folder() {
    let mut harness = Harness::new(None, Vec::new());
    harness.receive("b", 2, 9, 4, append(Position::default()));
    assert_eq!(harness.sent(), [(instance("b"), Body::Stranger)]);
    assert_eq!(harness.node.cluster(), None);
    harness.receive("b", 2, 1, 4, append(Position::default()));
    assert_eq!(harness.node.cluster(), None, "the record is not synced yet");
    harness.sync();
    assert_eq!(harness.node.cluster(), Some(CLUSTER));
}

#[test]
fn founders_that_learn_of_a_cluster_do_not_form_one_but_may_join_it() {
    let mut harness = Harness::new(None, Vec::new());
    harness.step(Input::ClusterReported(CLUSTER));
    for _ in 0..50 {
        harness.wait(Duration::from_millis(100));
        assert_eq!(harness.outputs, []);
    }
    assert_eq!(harness.node.status().blocked_by, Some(CLUSTER));
    harness.receive("b", 2, 1, 4, append(Position::default()));
    assert_eq!(harness.node.cluster(), None, "the record is not synced yet");
    harness.sync();
    assert_eq!(harness.node.cluster(), Some(CLUSTER));
}

#[test]
fn an_answer_is_not_addressed_to_a_specific_folder() {
    let entries = vec![entry(1, 1, Payload::Membership(membership()))];
    let mut harness = Harness::new(Some(CLUSTER), entries);
    // The leader came back with a new folder, which later entries would tell this node.
    harness.receive("b", 9, 1, 4, append(position(1, 1)));
    let answers: Vec<_> = harness.outputs.iter().filter_map(addressee).collect();
    assert_eq!(answers, [None]);
}

fn addressee(output: &Output) -> Option<Option<Folder>> {
    match output {
        Output::Send { message, .. } => Some(message.addressee),
        _ => None,
    }
}

#[test]
fn a_founder_sends_nothing_until_its_membership_is_synced() {
    let mut harness = Harness::new(None, Vec::new());
    let folders = membership().voters;
    for (from, folder) in [("b", 2), ("c", 3)] {
        let message = Message {
            cluster: None,
            folder: Folder(folder),
            addressee: None,
            term: Term(0),
            body: Body::Probe {
                folders: folders.clone(),
            },
        };
        let from = instance(from);
        harness.step(Input::Receive { from, message });
    }
    harness.wait(Duration::from_secs(2));
    let formation_outputs = harness.outputs.clone();
    for _ in 0..50 {
        harness.wait(Duration::from_millis(100));
        assert_eq!(harness.sent(), []);
    }
    harness.outputs = formation_outputs;
    harness.sync();
    harness.wait(Duration::from_secs(1));
    let requests_pre_votes = harness
        .sent()
        .iter()
        .any(|(_, body)| matches!(body, Body::PreVote { .. }));
    assert!(requests_pre_votes);
}

/// Returns a log with the membership and then entries of `size` bytes up to index `last`.
fn log(last: u64, size: usize) -> Vec<Entry> {
    let founding = entry(1, 1, Payload::Membership(membership()));
    let payload = || Payload::Command(vec![0; size].into());
    let rest = (2..=last).map(|index| entry(index, 1, payload()));
    [founding].into_iter().chain(rest).collect()
}

/// Returns a heartbeat that commits all entries up to index `last`.
fn commit(last: u64) -> Body {
    Body::Append {
        previous: position(1, last),
        entries: Vec::new(),
        committed: Index(last),
        round: 1,
    }
}

impl Harness {
    /// Returns the entries that the last step passed on to be applied.
    fn applied(&self) -> Vec<Index> {
        let applied = self.outputs.iter().filter_map(|output| match output {
            Output::Apply(entry) => Some(entry.index),
            _ => None,
        });
        applied.collect()
    }
}

/// Guards against a restarted node that applies its whole log in one step, sends no heartbeats meanwhile and
/// loses its leadership to another node that does the same.
#[test]
fn log_is_applied_in_batches_between_which_the_node_answers() {
    const MAX_ENTRIES: usize = 100;
    const MAX_BYTES: usize = 1024 * 1024;
    for (last, size) in [(60, 200_000), (1_000, 100)] {
        let mut harness = Harness::new(Some(CLUSTER), log(last, size));
        harness.receive("b", 2, 1, 2, commit(last));
        let mut applied = harness.applied();
        assert!(applied.len() <= MAX_ENTRIES && applied.len() * size <= MAX_BYTES);
        while harness.node.has_unapplied() {
            harness.receive("b", 2, 1, 2, append(position(1, last)));
            assert!(!harness.sent().is_empty(), "the heartbeat is answered");
            let batch = harness.applied();
            assert!(batch.len() <= MAX_ENTRIES && batch.len() * size <= MAX_BYTES);
            applied.extend(batch);
        }
        assert!(applied.iter().copied().eq((1..=last).map(Index)));
    }
}

#[test]
fn leader_that_has_not_applied_all_entries_answers_no_reads() {
    let mut harness = Harness::new(Some(CLUSTER), log(60, 200_000));
    harness.wait(Duration::from_secs(2));
    harness.receive("b", 2, 1, 2, Body::PreVoteAnswer { granted: true });
    harness.sync();
    harness.receive("b", 2, 1, 2, Body::VoteAnswer { granted: true });
    harness.sync();
    let answer = Body::AppendAnswer {
        round: 1,
        matched: Index(61),
        received: Index(61),
        conflict: None,
    };
    harness.receive("b", 2, 1, 2, answer);
    assert_eq!(harness.node.status().committed, Index(61));
    while harness.node.has_unapplied() {
        assert!(!harness.node.holds_lease(harness.now));
        harness.step(Input::Tick);
    }
    assert!(harness.node.holds_lease(harness.now));
}

/// Guards against entries that are kept for slow followers by their number only, and fill the memory.
#[test]
fn entries_kept_before_a_snapshot_are_bounded_by_size() {
    const LAST: u64 = 1_500;
    for (size, most) in [(200_000, RETAINED.0 / 200_000), (100, RETAINED_ENTRIES)] {
        let entries = log(LAST, size);
        let payloads: Vec<Weak<[u8]>> = entries.iter().filter_map(payload).collect();
        let mut harness = Harness::new(Some(CLUSTER), entries);
        harness.receive("b", 2, 1, 2, commit(LAST));
        while harness.node.has_unapplied() {
            harness.step(Input::Tick);
        }
        harness.step(Input::Compact(Snapshot {
            index: Index(LAST),
            term: Term(1),
            membership: membership(),
            state: Arc::from([]),
        }));
        harness.outputs.clear();
        let kept = payloads.iter().filter(|payload| payload.strong_count() > 0);
        assert_eq!(kept.count() as u64, most, "entries of {size} bytes");
    }
}

/// Returns the command of an entry without keeping it.
fn payload(entry: &Entry) -> Option<Weak<[u8]>> {
    match &entry.payload {
        Payload::Command(command) => Some(Arc::downgrade(command)),
        Payload::Noop | Payload::Membership(_) => None,
    }
}
