//! Deterministic simulation of hosts whose disks lose unsynced writes, on a network that loses,
//! delays, duplicates and reorders messages. Each step checks the invariants of the protocol.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use gooseberrylb_control::consensus::{
    Identity, Input, Message, Node, Output, Persisted, Proposal, Record, Rejection, Role,
};
use gooseberrylb_control::entry::{Entry, Payload, Snapshot};
use gooseberrylb_control::membership::{Change, Folder, Membership};
use gooseberrylb_control::repair::Goal;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use observation::{Delays, Observation};

mod observation;

/// Interval between ticks of the nodes.
pub const TICK: Duration = Duration::from_millis(10);

/// Interval at which instances report their cluster to each other, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;

pub fn instance(name: &str) -> id::Instance {
    name.parse().expect("names in tests are valid")
}

/// Contents of a disk, replayed independently of the journal.
#[derive(Debug, Clone)]
pub struct Storage {
    pub folder: Folder,
    pub persisted: Persisted,
}

impl Storage {
    fn new(folder: u64) -> Self {
        let persisted = Persisted::default();
        let folder = Folder(folder);
        Self { folder, persisted }
    }

    fn write(&mut self, record: &Record) {
        match record {
            Record::Vote { term, vote } => {
                assert!(*term >= self.persisted.term, "the term on disk decreased");
                self.persisted.term = *term;
                self.persisted.vote = vote.clone();
            }
            Record::Cluster(cluster) => self.persisted.cluster = Some(*cluster),
            Record::Entry(entry) => {
                let covered = self.persisted.snapshot.as_ref().map_or(0, |s| s.index.0);
                assert!(
                    entry.index.0 > covered,
                    "an entry covered by a snapshot was written again"
                );
                let position = (entry.index.0 - covered - 1) as usize;
                assert!(
                    position <= self.persisted.entries.len(),
                    "the entries on disk have a gap"
                );
                self.persisted.entries.truncate(position);
                self.persisted.entries.push(entry.clone());
            }
            Record::Snapshot(snapshot) => {
                let is_covered_entry =
                    |e: &Entry| e.index == snapshot.index && e.term == snapshot.term;
                match self.persisted.entries.iter().position(is_covered_entry) {
                    Some(position) => drop(self.persisted.entries.drain(..=position)),
                    None => self.persisted.entries.clear(),
                }
                self.persisted.snapshot = Some(snapshot.clone());
            }
        }
    }
}

/// Simulated host; its disk outlives its node.
#[derive(Debug)]
pub struct Host {
    pub disk: Storage,
    /// Node of the running process; none while the host is stopped.
    pub node: Option<Node>,
    /// Simulated time of the last start of the process.
    started_ms: u64,
    /// Whether the host reports that it is about to stop.
    pub leaving: bool,
    /// Simulated time until which the process is frozen.
    pub frozen_until_ms: u64,
    /// Simulated time until which the disk rejects writes.
    pub disk_full_until_ms: u64,
    /// Simulated time until which the disk completes no write.
    pub disk_hangs_until_ms: u64,
    /// Shortest and longest duration of a write with its sync, if they differ from those of other hosts.
    pub sync_ms: Option<(u64, u64)>,
    /// Entries applied since the start of the log, including those covered by a snapshot.
    pub applied: Vec<Entry>,
    /// Index up to which entries are applied.
    applied_to: Index,
    /// Batches being written: due time in milliseconds, sequence number and records.
    pending_writes: VecDeque<(u64, u64, Vec<Record>)>,
}

/// Message in transit.
#[derive(Debug)]
struct Delivery {
    /// Simulated time of arrival in milliseconds.
    due: u64,
    from: id::Instance,
    to: id::Instance,
    message: Message,
}

/// Behaviour of the network and the disks.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Probability that a copy of a message is lost.
    pub loss_percent: u32,
    /// Probability that a message is sent twice.
    pub duplicate_percent: u32,
    /// Longest delay of a message.
    pub delay_ms: u64,
    /// Longest duration of a write with its sync.
    pub sync_ms: u64,
    /// Shortest duration of a write with its sync.
    pub min_sync_ms: u64,
}

/// Conditions without faults and with short delays.
pub const NORMAL_CONDITIONS: Conditions = Conditions {
    loss_percent: 0,
    duplicate_percent: 0,
    delay_ms: 5,
    sync_ms: 5,
    min_sync_ms: 0,
};

/// All hosts, and what was observed of them.
pub struct Simulation {
    pub hosts: BTreeMap<id::Instance, Host>,
    pub conditions: Conditions,
    /// Links, from sender to receiver, that drop all messages.
    pub blocked_links: BTreeSet<(id::Instance, id::Instance)>,
    pub rng: ChaCha8Rng,
    /// Simulated time since the start.
    pub now_ms: u64,
    /// Entry applied at each index; the checks allow only one content per index.
    pub committed: BTreeMap<Index, Entry>,
    /// Index reported for each acknowledged proposal, by its number.
    pub acknowledged: BTreeMap<u64, Index>,
    /// Reason for each rejected proposal, by its number.
    pub rejections: BTreeMap<u64, Rejection>,
    /// What the repair policy aims at.
    pub goal: Goal,
    /// Disks as the repair policy sees them.
    pub observation: Observation,
    pub founders: Vec<id::Instance>,
    /// Whether only the first start tells hosts of the founders.
    pub first_start: bool,
    /// Leader elected in each term.
    leaders: BTreeMap<Term, id::Instance>,
    deliveries: Vec<Delivery>,
    /// Time that corresponds to zero in `now_ms`.
    start: Instant,
    /// Number of proposals made so far; each one takes the next number.
    proposal_count: u64,
    /// Number of folders created so far; each one takes the next identifier.
    folder_count: u64,
}

impl Simulation {
    /// Creates hosts with empty disks; the first `founders` of them form the cluster.
    pub fn new(seed: u64, names: &[&str], founders: usize) -> Self {
        let names: Vec<_> = names.iter().map(|name| instance(name)).collect();
        let mut sim = Self {
            hosts: BTreeMap::new(),
            conditions: NORMAL_CONDITIONS,
            blocked_links: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            committed: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            rejections: BTreeMap::new(),
            goal: Goal::fixed(founders),
            observation: Observation::default(),
            founders: names[..founders].to_vec(),
            first_start: false,
            leaders: BTreeMap::new(),
            deliveries: Vec::new(),
            start: Instant::now(),
            proposal_count: 0,
            folder_count: 0,
        };
        for name in names {
            sim.add_host(&name);
        }
        sim
    }

    /// Adds a host with an empty disk, and starts it.
    pub fn add_host(&mut self, name: &id::Instance) {
        let disk = self.empty_disk();
        let host = Host {
            disk,
            node: None,
            started_ms: 0,
            leaving: false,
            frozen_until_ms: 0,
            disk_full_until_ms: 0,
            disk_hangs_until_ms: 0,
            sync_ms: None,
            applied: Vec::new(),
            applied_to: Index(0),
            pending_writes: VecDeque::new(),
        };
        self.hosts.insert(name.clone(), host);
        self.start(name);
    }

    pub fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn empty_disk(&mut self) -> Storage {
        self.folder_count += 1;
        Storage::new(self.folder_count)
    }

    fn host(&mut self, name: &id::Instance) -> &mut Host {
        self.hosts.get_mut(name).expect("the host exists")
    }

    pub fn start(&mut self, name: &id::Instance) {
        let now = self.now();
        let identity = Identity {
            instance: name.clone(),
            folder: self.hosts[name].disk.folder,
            founders: self.founders.clone(),
            first_start: self.first_start,
            seed: self.rng.random(),
        };
        let now_ms = self.now_ms;
        let host = self.host(name);
        if host.node.is_some() {
            return;
        }
        host.started_ms = now_ms;
        host.applied.clear();
        host.applied_to = Index(0);
        host.node = Some(Node::new(identity, host.disk.persisted.clone(), now));
    }

    /// Stops the process. A write in progress is either kept whole or lost whole, as the journal's
    /// frames are.
    pub fn crash(&mut self, name: &id::Instance) {
        let is_written = self.rng.random();
        let host = self.host(name);
        host.node = None;
        let first = host.pending_writes.drain(..).next().filter(|_| is_written);
        for record in first.iter().flat_map(|(_, _, records)| records) {
            host.disk.write(record);
        }
    }

    /// Stops the process and replaces its disk with an empty one.
    pub fn lose_disk(&mut self, name: &id::Instance) {
        let disk = self.empty_disk();
        let host = self.host(name);
        host.node = None;
        host.pending_writes.clear();
        host.disk = disk;
    }

    /// Returns the node that leads in the latest term, if any.
    pub fn leader(&self) -> Option<id::Instance> {
        let nodes = self.hosts.iter().filter_map(|(name, host)| {
            let status = host.node.as_ref()?.status();
            (status.role == Role::Leader).then(|| (status.term, name.clone()))
        });
        nodes.max().map(|(_, name)| name)
    }

    pub fn node(&self, name: &id::Instance) -> &Node {
        self.hosts[name].node.as_ref().expect("the host is running")
    }

    /// Whether there are at least three voters, and every voter of the last committed membership
    /// still has the disk that it votes with.
    pub fn has_intact_voters(&self) -> bool {
        let membership = self.membership();
        let holds = |(name, folder): (&id::Instance, &Folder)| {
            self.hosts
                .get(name)
                .is_some_and(|h| h.disk.folder == *folder)
        };
        membership.voters.len() >= 3 && membership.voters.iter().all(holds)
    }

    /// Returns the last committed membership.
    pub fn membership(&self) -> Membership {
        self.memberships().next_back().unwrap_or_default()
    }

    /// Returns all committed memberships, the oldest first.
    pub fn memberships(&self) -> impl DoubleEndedIterator<Item = Membership> {
        self.committed.values().filter_map(|e| match &e.payload {
            Payload::Membership(membership) => Some(membership.clone()),
            Payload::Noop | Payload::Command(_) => None,
        })
    }

    /// Proposes a command that contains its own number, and returns the number.
    pub fn propose(&mut self, name: &id::Instance) -> u64 {
        self.proposal_count += 1;
        let number = self.proposal_count;
        let command = Arc::from(number.to_le_bytes());
        let proposal = Proposal(number);
        self.step(name, Input::Propose { proposal, command });
        number
    }

    /// Proposes a membership change, and returns the number of the proposal.
    pub fn change(&mut self, name: &id::Instance, change: Change) -> u64 {
        self.proposal_count += 1;
        let proposal = Proposal(self.proposal_count);
        self.step(name, Input::Change { proposal, change });
        self.proposal_count
    }

    /// Passes the node a snapshot of what its host has applied.
    pub fn compact(&mut self, name: &id::Instance) {
        let host = &self.hosts[name];
        let Some(last) = host.applied.last().cloned() else {
            return;
        };
        let state = postcard::to_stdvec(&host.applied).expect("entries can be encoded");
        let snapshot = Snapshot {
            index: last.index,
            term: last.term,
            membership: Membership::default(),
            state: state.into(),
        };
        self.step(name, Input::Compact(snapshot));
    }

    /// Blocks the links between two hosts in both directions.
    pub fn disconnect(&mut self, one: &id::Instance, other: &id::Instance) {
        self.blocked_links.insert((one.clone(), other.clone()));
        self.blocked_links.insert((other.clone(), one.clone()));
    }

    /// Blocks the links between a host and all others.
    pub fn isolate(&mut self, name: &id::Instance) {
        for other in self.hosts.keys().cloned().collect::<Vec<_>>() {
            self.disconnect(name, &other);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now_ms + time.as_millis() as u64;
        while self.now_ms < end {
            self.advance();
        }
    }

    /// Advances time until `condition` holds, and fails the test if that takes longer than `time`.
    pub fn run_until(&mut self, time: Duration, expected: &str, condition: impl Fn(&Self) -> bool) {
        let end = self.now_ms + time.as_millis() as u64;
        while !condition(self) {
            assert!(self.now_ms < end, "not reached within {time:?}: {expected}");
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.now_ms += TICK.as_millis() as u64;
        let now = self.now_ms;
        let names: Vec<_> = self.hosts.keys().cloned().collect();
        for name in &names {
            self.finish_write(name, now);
        }
        let (due, later) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition::<Vec<_>, _>(|delivery| delivery.due <= now);
        self.deliveries = later;
        for delivery in due {
            self.deliver(delivery);
        }
        for name in &names {
            if self.hosts[name].frozen_until_ms <= now {
                self.step(name, Input::Tick);
            }
        }
        if now.is_multiple_of(REPORT_INTERVAL_MS) {
            self.report_clusters(&names);
        }
        self.check_lease();
    }

    /// Tells all instances within reach about the clusters that others belong to, as reports do.
    fn report_clusters(&mut self, names: &[id::Instance]) {
        let cluster = |name| self.hosts[name].node.as_ref().and_then(|n| n.cluster());
        let known: Vec<_> = names
            .iter()
            .filter_map(|n| Some((n, cluster(n)?)))
            .collect();
        for (from, cluster) in known {
            for to in names {
                let is_cut = self.blocked_links.contains(&(from.clone(), to.clone()));
                let frozen_until_ms = self.hosts[from]
                    .frozen_until_ms
                    .max(self.hosts[to].frozen_until_ms);
                if !is_cut && frozen_until_ms <= self.now_ms {
                    self.step(to, Input::ClusterReported(cluster));
                }
            }
        }
    }

    /// Checks that no node, frozen or not, trusts its lease after another leader was elected in a
    /// later term.
    fn check_lease(&self) {
        let latest = self.leaders.last_key_value();
        for (name, host) in &self.hosts {
            if host
                .node
                .as_ref()
                .is_some_and(|n| n.holds_lease(self.now()))
            {
                assert_eq!(
                    latest.map(|(_, leader)| leader),
                    Some(name),
                    "a lease outlasted the election of another leader"
                );
            }
        }
    }

    fn deliver(&mut self, mut delivery: Delivery) {
        let frozen_until_ms = self.hosts[&delivery.to].frozen_until_ms;
        if frozen_until_ms > self.now_ms {
            delivery.due = frozen_until_ms;
            self.deliveries.push(delivery);
            return;
        }
        let Delivery {
            from, to, message, ..
        } = delivery;
        self.step(&to, Input::Receive { from, message });
    }

    /// Completes the first pending write of a host when it is due, or refuses it if the disk is
    /// full.
    fn finish_write(&mut self, name: &id::Instance, now: u64) {
        let host = self.host(name);
        let busy_until_ms = host.frozen_until_ms.max(host.disk_hangs_until_ms);
        if busy_until_ms > now || host.node.is_none() {
            return;
        }
        let is_due = host
            .pending_writes
            .front()
            .is_some_and(|(due, ..)| *due <= now);
        let Some((_, sequence, records)) = host.pending_writes.pop_front_if(|_| is_due) else {
            return;
        };
        if host.disk_full_until_ms > now {
            self.step(name, Input::Refused(sequence));
            return;
        }
        for record in &records {
            host.disk.write(record);
        }
        self.step(name, Input::Synced(sequence));
    }

    fn step(&mut self, name: &id::Instance, input: Input) {
        let now = self.now();
        let Some(node) = &mut self.host(name).node else {
            return;
        };
        let outputs = node.step(now, input);
        for output in outputs {
            self.handle_output(name, output);
        }
    }

    fn handle_output(&mut self, name: &id::Instance, output: Output) {
        match output {
            Output::Persist { sequence, records } => {
                let usual = (self.conditions.min_sync_ms, self.conditions.sync_ms);
                let (shortest, longest) = self.hosts[name].sync_ms.unwrap_or(usual);
                let due = self.now_ms + self.rng.random_range(shortest..=longest);
                self.host(name)
                    .pending_writes
                    .push_back((due, sequence, records));
            }
            Output::Send { to, message } => self.transmit(name, to, message),
            Output::Apply(entry) => self.apply(name, entry),
            Output::Restore(snapshot) => {
                let host = self.host(name);
                assert!(
                    snapshot.index > host.applied_to,
                    "a snapshot is not newer than the applied state"
                );
                host.applied =
                    postcard::from_bytes(&snapshot.state).expect("snapshots can be decoded");
                host.applied_to = snapshot.index;
            }
            Output::Accepted { proposal, index } => {
                let applied = self.hosts[name].applied.last().map(|entry| entry.index);
                assert_eq!(
                    applied,
                    Some(index),
                    "a proposal was accepted before it was applied"
                );
                self.acknowledged.insert(proposal.0, index);
            }
            Output::Rejected { proposal, reason } => {
                self.rejections.insert(proposal.0, reason);
            }
            Output::Role { role, term } => {
                if role == Role::Leader {
                    let leader = self.leaders.entry(term).or_insert_with(|| name.clone());
                    assert_eq!(leader, name, "two leaders in term {term}");
                }
            }
        }
    }

    fn apply(&mut self, name: &id::Instance, entry: Entry) {
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(
            *first, entry,
            "different entries were committed at one index"
        );
        let host = self.host(name);
        assert_eq!(
            entry.index,
            host.applied_to.next(),
            "an entry was applied out of order"
        );
        host.applied_to = entry.index;
        host.applied.push(entry);
    }

    fn transmit(&mut self, from: &id::Instance, to: id::Instance, message: Message) {
        let encoded = postcard::to_stdvec(&message).expect("messages can be encoded");
        let message: Message = postcard::from_bytes(&encoded).expect("messages can be decoded");
        let copies = 1 + u32::from(self.chance(self.conditions.duplicate_percent));
        for _ in 0..copies {
            let is_cut = self.blocked_links.contains(&(from.clone(), to.clone()));
            if is_cut || self.chance(self.conditions.loss_percent) || !self.hosts.contains_key(&to)
            {
                continue;
            }
            let due = self.now_ms + self.rng.random_range(1..=self.conditions.delay_ms);
            let (from, to, message) = (from.clone(), to.clone(), message.clone());
            let position = self.rng.random_range(0..=self.deliveries.len());
            self.deliveries.insert(
                position,
                Delivery {
                    due,
                    from,
                    to,
                    message,
                },
            );
        }
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Checks that every acknowledged command is committed at the index reported for it.
    pub fn check_acknowledged(&self) {
        for (number, index) in &self.acknowledged {
            let payload = &self.committed[index].payload;
            if let Payload::Command(command) = payload {
                assert_eq!(
                    **command,
                    number.to_le_bytes(),
                    "an accepted command was lost"
                );
            }
        }
    }
}
