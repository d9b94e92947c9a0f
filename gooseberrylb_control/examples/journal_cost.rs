//! Benchmark of the consensus log on a local disk.
//!
//! Measures the proposals accepted per second by three nodes in one process, each with its own
//! journal, and the time needed to reopen a journal.
//!
//! Usage: `journal_cost FOLDER`; the folder is created and not deleted.

use std::collections::{BTreeMap, VecDeque};
use std::env;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use gooseberrylb_control::consensus::{Identity, Input, Message, Node, Output, Proposal, Record};
use gooseberrylb_control::entry::{Entry, Payload, Snapshot};
use gooseberrylb_control::journal::Journal;
use gooseberrylb_control::membership::Membership;

/// Size of one command in bytes, about that of a note with one upstream and one version.
const COMMAND_BYTES: usize = 600;

/// Number of proposals per run.
const PROPOSALS: u64 = 2_000;

/// Numbers of entries in the journals that are reopened.
const ENTRIES: [u64; 4] = [100, 500, 5_000, 50_000];

/// Consensus node with its journal.
struct Voter {
    node: Node,
    journal: Journal,
}

/// Three voters that exchange messages in memory and write to their journals in turn.
struct Cluster {
    voters: BTreeMap<id::Instance, Voter>,
    messages: VecDeque<(id::Instance, id::Instance, Message)>,
    writes: VecDeque<(id::Instance, u64, Vec<Record>)>,
    accepted: u64,
    syncs: u64,
}

impl Cluster {
    fn new(folder: &Path) -> Result<Self> {
        let names: Vec<id::Instance> = ["a", "b", "c"]
            .iter()
            .map(|n| n.parse())
            .collect::<Result<_, _>>()?;
        let mut voters = BTreeMap::new();
        for (seed, name) in (1..).zip(&names) {
            let (journal, recovered) = Journal::open(&folder.join(name.as_str()))?;
            let identity = Identity {
                instance: name.clone(),
                folder: recovered.folder,
                founders: names.clone(),
                first_start: false,
                seed,
            };
            let node = Node::new(identity, recovered.persisted, Instant::now());
            voters.insert(name.clone(), Voter { node, journal });
        }
        Ok(Self {
            voters,
            messages: VecDeque::new(),
            writes: VecDeque::new(),
            accepted: 0,
            syncs: 0,
        })
    }

    /// Passes an input to a node and queues or counts its outputs.
    fn handle(&mut self, name: &id::Instance, input: Input) -> Result<()> {
        let voter = self.voters.get_mut(name).context("no such voter")?;
        for output in voter.node.step(Instant::now(), input) {
            match output {
                Output::Persist { sequence, records } => {
                    self.writes.push_back((name.clone(), sequence, records));
                }
                Output::Send { to, message } => {
                    self.messages.push_back((name.clone(), to, message));
                }
                Output::Accepted { .. } => self.accepted += 1,
                Output::Rejected { reason, .. } => bail!("a proposal was rejected: {reason:?}"),
                Output::Apply(_) | Output::Restore(_) | Output::Role { .. } => {}
            }
        }
        Ok(())
    }

    /// Delivers messages and performs journal writes until none are left, messages first.
    fn deliver_all(&mut self) -> Result<()> {
        loop {
            if let Some((from, to, message)) = self.messages.pop_front() {
                self.handle(&to, Input::Receive { from, message })?;
                continue;
            }
            let Some((name, sequence, records)) = self.writes.pop_front() else {
                return Ok(());
            };
            let voter = self.voters.get_mut(&name).context("no such voter")?;
            voter.journal.append(&records)?;
            self.syncs += 1;
            self.handle(&name, Input::Synced(sequence))?;
        }
    }

    /// Ticks every node and delivers all resulting messages.
    fn tick(&mut self) -> Result<()> {
        for name in self.voters.keys().cloned().collect::<Vec<_>>() {
            self.handle(&name, Input::Tick)?;
        }
        self.deliver_all()
    }

    /// Returns the node that holds the lease, if any.
    fn leader(&self) -> Option<id::Instance> {
        let now = Instant::now();
        let mut leading = self
            .voters
            .iter()
            .filter(|(_, voter)| voter.node.holds_lease(now));
        leading.next().map(|(name, _)| name.clone())
    }

    /// Ticks until a leader is elected, and returns it.
    fn elect(&mut self) -> Result<id::Instance> {
        loop {
            self.tick()?;
            if let Some(leader) = self.leader() {
                return Ok(leader);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the time to have [`PROPOSALS`] proposals accepted in batches of `batch`.
    fn propose(&mut self, leader: &id::Instance, batch: u64) -> Result<Duration> {
        let started = Instant::now();
        let first = self.accepted;
        let mut made = 0;
        while self.accepted < first + PROPOSALS {
            for _ in 0..batch {
                made += 1;
                let command = vec![7; COMMAND_BYTES].into();
                let proposal = Proposal(made);
                self.handle(leader, Input::Propose { proposal, command })?;
            }
            while self.accepted < first + made {
                self.deliver_all()?;
                self.tick()?;
            }
        }
        Ok(started.elapsed())
    }
}

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        index: Index(index),
        term: Term(1),
        payload: Payload::Command(vec![7; COMMAND_BYTES].into()),
    })
}

/// Measures the time to reopen a journal with `entries` entries.
///
/// With `snapshot_every`, a snapshot is written after each multiple of that index.
fn reopen(folder: PathBuf, entries: u64, snapshot_every: Option<u64>) -> Result<Duration> {
    let (mut journal, _) = Journal::open(&folder)?;
    // Ten entries per frame, as written by a busy leader.
    for first in (1..=entries).step_by(10) {
        let records: Vec<_> = (first..first + 10).map(entry).collect();
        journal.append(&records)?;
        let last = first + 9;
        if snapshot_every.is_some_and(|every| last.is_multiple_of(every)) {
            journal.append(&[Record::Snapshot(Snapshot {
                index: Index(last),
                term: Term(1),
                membership: Membership::default(),
                state: vec![7; COMMAND_BYTES * 500].into(),
            })])?;
        }
    }
    drop(journal);
    let started = Instant::now();
    let (_, recovered) = Journal::open(&folder)?;
    let elapsed = started.elapsed();
    println!(
        "restart: {entries} entries, snapshot every {snapshot_every:?}: {elapsed:?} ({} replayed)",
        recovered.persisted.entries.len()
    );
    Ok(elapsed)
}

fn main() -> Result<()> {
    let folder = PathBuf::from(env::args().nth(1).context("missing argument FOLDER")?);
    let mut cluster = Cluster::new(&folder.join("trio"))?;
    let leader = cluster.elect()?;
    for batch in [1, 10, 100] {
        let syncs = cluster.syncs;
        let elapsed = cluster.propose(&leader, batch)?;
        println!(
            "propose: {batch} at a time: {:.0} a second, {:.2} syncs each over three journals",
            PROPOSALS as f64 / elapsed.as_secs_f64(),
            (cluster.syncs - syncs) as f64 / PROPOSALS as f64
        );
    }
    for entries in ENTRIES {
        reopen(folder.join(format!("plain-{entries}")), entries, None)?;
        reopen(
            folder.join(format!("snapshots-{entries}")),
            entries,
            Some(1_000),
        )?;
    }
    Ok(())
}
