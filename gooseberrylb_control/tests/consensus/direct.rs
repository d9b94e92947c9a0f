//! One node, told what happens message by message.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use gooseberrylb_control::consensus::{
    Body, Identity, Input, Message, Node, Output, Persisted, Position, Role,
};
use gooseberrylb_control::entry::{Entry, Payload};
use gooseberrylb_control::membership::{Cluster, Folder, Membership};

use crate::simulation::instance;

const CLUSTER: Cluster = Cluster(77);

/// The node `a` of `a`, `b` and `c`, with folders 1, 2 and 3.
struct Bench {
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

impl Bench {
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
            seed: 1,
        };
        let now = Instant::now();
        let node = Node::new(identity, persisted, now);
        let outputs = Vec::new();
        Self { node, now, outputs }
    }

    fn feed(&mut self, input: Input) {
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
        self.feed(Input::Receive { from, message });
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.feed(Input::Tick);
    }

    /// Reports the last batch as synced.
    fn sync(&mut self) {
        let sequence = self.outputs.iter().find_map(|output| match output {
            Output::Persist { sequence, .. } => Some(*sequence),
            _ => None,
        });
        self.feed(Input::Synced(sequence.expect("a batch was given")));
    }

    fn sent(&self) -> Vec<(id::Instance, Body)> {
        let sent = self.outputs.iter().filter_map(|output| match output {
            Output::Send { to, message } => Some((to.clone(), message.body.clone())),
            _ => None,
        });
        sent.collect()
    }

    fn matched(&self) -> Option<Index> {
        self.sent().iter().find_map(|(_, body)| match body {
            Body::AppendAnswer { matched, .. } => Some(*matched),
            _ => None,
        })
    }
}

#[test]
fn an_earlier_terms_entry_is_not_committed_by_count() {
    let entries = vec![
        entry(1, 1, Payload::Membership(membership())),
        entry(2, 2, command()),
    ];
    let mut bench = Bench::new(Some(CLUSTER), entries);
    bench.wait(Duration::from_secs(2));
    bench.receive("b", 2, 1, 3, Body::PreVoteAnswer { granted: true });
    bench.sync();
    bench.receive("b", 2, 1, 3, Body::VoteAnswer { granted: true });
    assert_eq!(bench.node.status().role, Role::Leader);
    let answer = |matched| Body::AppendAnswer {
        round: 1,
        matched: Index(matched),
        received: Index(matched),
        conflict: None,
    };
    bench.receive("b", 2, 1, 3, answer(2));
    bench.receive("c", 3, 1, 3, answer(2));
    assert_eq!(bench.node.status().committed, Index(0));
    bench.receive("b", 2, 1, 3, answer(3));
    assert_eq!(
        bench.node.status().committed,
        Index(0),
        "synced at one voter"
    );
    bench.receive("c", 4, 1, 3, answer(3));
    assert_eq!(
        bench.node.status().committed,
        Index(0),
        "from another folder"
    );
    assert!(
        !bench.node.holds_lease(bench.now),
        "it may lack committed entries"
    );
    bench.receive("c", 3, 1, 3, answer(3));
    assert_eq!(bench.node.status().committed, Index(3));
    assert!(bench.node.holds_lease(bench.now));
}

#[test]
fn a_snapshot_is_not_vouched_for_before_it_is_synced() {
    let founding = entry(1, 1, Payload::Membership(membership()));
    let old = (2..=9).map(|index| entry(index, 1, command()));
    let entries = [founding].into_iter().chain(old).collect();
    let mut bench = Bench::new(Some(CLUSTER), entries);
    let part = Body::Snapshot {
        covers: position(3, 8),
        membership: membership(),
        size: 2,
        offset: 0,
        part: vec![1, 2].into(),
        round: 1,
    };
    bench.receive("b", 2, 1, 3, part);
    let persist = bench.outputs.clone();
    bench.receive("b", 2, 1, 3, append(position(3, 8)));
    assert_eq!(bench.matched(), Some(Index(0)));
    bench.outputs = persist;
    bench.sync();
    // The term was given to the journal in the same batch.
    assert_eq!(bench.matched(), Some(Index(8)));
    assert_eq!(
        bench.node.status().last,
        Index(8),
        "entries of another log stay"
    );
}

#[test]
fn one_vote_a_term_is_given_and_only_once_it_is_synced() {
    let entries = vec![entry(1, 1, Payload::Membership(membership()))];
    let mut bench = Bench::new(Some(CLUSTER), entries);
    let wish = || Body::Vote {
        last: position(1, 1),
    };
    let refusal = Body::VoteAnswer { granted: false };
    bench.receive("b", 2, 1, 5, wish());
    assert_eq!(
        bench.sent(),
        [(instance("b"), refusal.clone())],
        "heard of late"
    );
    bench.now += Duration::from_millis(501);
    bench.receive("b", 4, 1, 5, wish());
    assert_eq!(
        bench.sent(),
        [(instance("b"), refusal.clone())],
        "another folder"
    );
    bench.sync();
    bench.receive("b", 2, 1, 6, wish());
    assert_eq!(bench.sent(), [], "not synced yet");
    let persist = bench.outputs.clone();
    bench.receive("c", 3, 1, 6, wish());
    assert_eq!(
        bench.sent(),
        [(instance("c"), refusal)],
        "the vote is given"
    );
    bench.outputs = persist;
    bench.sync();
    let grant = Body::VoteAnswer { granted: true };
    assert_eq!(bench.sent(), [(instance("b"), grant)]);
}

#[test]
fn an_empty_disk_joins_only_under_its_own_folder() {
    let mut bench = Bench::new(None, Vec::new());
    bench.receive("b", 2, 9, 4, append(Position::default()));
    assert_eq!(bench.sent(), [(instance("b"), Body::Stranger)]);
    assert_eq!(bench.node.cluster(), None);
    bench.receive("b", 2, 1, 4, append(Position::default()));
    assert_eq!(bench.node.cluster(), None, "not synced yet");
    bench.sync();
    assert_eq!(bench.node.cluster(), Some(CLUSTER));
}

#[test]
fn founders_that_hear_of_a_cluster_form_none_but_may_join_it() {
    let mut bench = Bench::new(None, Vec::new());
    bench.feed(Input::ClusterReported(CLUSTER));
    for _ in 0..50 {
        bench.wait(Duration::from_millis(100));
        assert_eq!(bench.outputs, []);
    }
    assert_eq!(bench.node.status().blocked_by, Some(CLUSTER));
    bench.receive("b", 2, 1, 4, append(Position::default()));
    assert_eq!(bench.node.cluster(), None, "not synced yet");
    bench.sync();
    assert_eq!(bench.node.cluster(), Some(CLUSTER));
}

#[test]
fn an_answer_is_meant_for_whoever_asked_under_whatever_folder() {
    let entries = vec![entry(1, 1, Payload::Membership(membership()))];
    let mut bench = Bench::new(Some(CLUSTER), entries);
    // The leader came back with a new folder, which the entries behind would tell.
    bench.receive("b", 9, 1, 4, append(position(1, 1)));
    let answers: Vec<_> = bench.outputs.iter().filter_map(addressee).collect();
    assert_eq!(answers, [None]);
}

fn addressee(output: &Output) -> Option<Option<Folder>> {
    match output {
        Output::Send { message, .. } => Some(message.addressee),
        _ => None,
    }
}

#[test]
fn a_founder_invites_nobody_before_the_membership_is_synced() {
    let mut bench = Bench::new(None, Vec::new());
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
        bench.feed(Input::Receive { from, message });
    }
    bench.wait(Duration::from_secs(2));
    let formed = bench.outputs.clone();
    for _ in 0..50 {
        bench.wait(Duration::from_millis(100));
        assert_eq!(bench.sent(), []);
    }
    bench.outputs = formed;
    bench.sync();
    bench.wait(Duration::from_secs(1));
    let asked = bench
        .sent()
        .iter()
        .any(|(_, body)| matches!(body, Body::PreVote { .. }));
    assert!(asked);
}
