//! Measures what the control state costs on this machine's disk: proposals accepted a second by
//! three nodes in one process, each with a journal, and the time to open a journal again.
//!
//! Usage: `journal_cost FOLDER`; the folder is created and left behind.

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

/// The size of one command, about that of a note with one upstream and one version.
const COMMAND_BYTES: usize = 600;

/// How many proposals are made in each run.
const PROPOSALS: u64 = 2_000;

/// The entries in the journals that are opened again.
const ENTRIES: [u64; 4] = [100, 500, 5_000, 50_000];

/// One node and its journal.
struct Voter {
    node: Node,
    journal: Journal,
}

/// Three voters that pass messages in memory and write to their journals in turn.
struct Trio {
    voters: BTreeMap<id::Instance, Voter>,
    messages: VecDeque<(id::Instance, id::Instance, Message)>,
    jobs: VecDeque<(id::Instance, u64, Vec<Record>)>,
    accepted: u64,
    syncs: u64,
}

impl Trio {
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
                seed,
            };
            let node = Node::new(identity, recovered.persisted, Instant::now());
            voters.insert(name.clone(), Voter { node, journal });
        }
        Ok(Self {
            voters,
            messages: VecDeque::new(),
            jobs: VecDeque::new(),
            accepted: 0,
            syncs: 0,
        })
    }

    /// Feeds a node, and carries out what it wants done.
    fn feed(&mut self, name: &id::Instance, input: Input) -> Result<()> {
        let voter = self.voters.get_mut(name).context("no such voter")?;
        for output in voter.node.step(Instant::now(), input) {
            match output {
                Output::Persist { sequence, records } => {
                    self.jobs.push_back((name.clone(), sequence, records));
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

    /// Delivers messages, and writes to a journal when there is none left.
    fn deliver_all(&mut self) -> Result<()> {
        loop {
            if let Some((from, to, message)) = self.messages.pop_front() {
                self.feed(&to, Input::Receive { from, message })?;
                continue;
            }
            let Some((name, sequence, records)) = self.jobs.pop_front() else {
                return Ok(());
            };
            let voter = self.voters.get_mut(&name).context("no such voter")?;
            voter.journal.append(&records)?;
            self.syncs += 1;
            self.feed(&name, Input::Synced(sequence))?;
        }
    }

    fn tick(&mut self) -> Result<()> {
        for name in self.voters.keys().cloned().collect::<Vec<_>>() {
            self.feed(&name, Input::Tick)?;
        }
        self.deliver_all()
    }

    fn leader(&self) -> Option<id::Instance> {
        let now = Instant::now();
        let mut leading = self
            .voters
            .iter()
            .filter(|(_, voter)| voter.node.holds_lease(now));
        leading.next().map(|(name, _)| name.clone())
    }

    fn elect(&mut self) -> Result<id::Instance> {
        loop {
            self.tick()?;
            if let Some(leader) = self.leader() {
                return Ok(leader);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Has proposals accepted, so many at a time.
    fn propose(&mut self, leader: &id::Instance, together: u64) -> Result<Duration> {
        let started = Instant::now();
        let first = self.accepted;
        let mut made = 0;
        while self.accepted < first + PROPOSALS {
            for _ in 0..together {
                made += 1;
                let command = vec![7; COMMAND_BYTES].into();
                let proposal = Proposal(made);
                self.feed(leader, Input::Propose { proposal, command })?;
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

/// The time to open a journal with so many entries, without and with snapshots in between.
fn restart(folder: PathBuf, entries: u64, snapshot_every: Option<u64>) -> Result<Duration> {
    let (mut journal, _) = Journal::open(&folder)?;
    // Ten entries a frame, as a busy leader writes them.
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
    let folder = PathBuf::from(env::args().nth(1).context("name a folder")?);
    let mut trio = Trio::new(&folder.join("trio"))?;
    let leader = trio.elect()?;
    for together in [1, 10, 100] {
        let syncs = trio.syncs;
        let elapsed = trio.propose(&leader, together)?;
        println!(
            "propose: {together} at a time: {:.0} a second, {:.2} syncs each over three journals",
            PROPOSALS as f64 / elapsed.as_secs_f64(),
            (trio.syncs - syncs) as f64 / PROPOSALS as f64
        );
    }
    for entries in ENTRIES {
        restart(folder.join(format!("plain-{entries}")), entries, None)?;
        restart(
            folder.join(format!("snapshots-{entries}")),
            entries,
            Some(1_000),
        )?;
    }
    Ok(())
}
