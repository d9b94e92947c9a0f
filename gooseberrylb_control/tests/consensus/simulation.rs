//! Hosts with disks that lose unsynced writes, and a network that loses, delays, doubles and
//! reorders messages. Each step checks what must always hold.

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
use gooseberrylb_control::repair::{self, Disk, Liveness};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How often time is passed to the nodes.
pub const TICK: Duration = Duration::from_millis(10);

/// How often instances tell each other of their cluster, in milliseconds.
const REPORT_MS: u64 = 500;

pub fn instance(name: &str) -> id::Instance {
    name.parse().expect("test names are valid")
}

/// What is on a disk, replayed independently of the journal.
#[derive(Debug, Clone)]
pub struct Storage {
    pub folder: Folder,
    pub kept: Persisted,
}

impl Storage {
    fn new(folder: u64) -> Self {
        let kept = Persisted::default();
        let folder = Folder(folder);
        Self { folder, kept }
    }

    fn write(&mut self, record: &Record) {
        match record {
            Record::Vote { term, vote } => {
                assert!(*term >= self.kept.term, "the term on disk goes back");
                self.kept.term = *term;
                self.kept.vote = vote.clone();
            }
            Record::Cluster(cluster) => self.kept.cluster = Some(*cluster),
            Record::Entry(entry) => {
                let covered = self.kept.snapshot.as_ref().map_or(0, |s| s.index.0);
                assert!(
                    entry.index.0 > covered,
                    "an entry under a snapshot is replaced"
                );
                let place = (entry.index.0 - covered - 1) as usize;
                assert!(place <= self.kept.entries.len(), "a gap on disk");
                self.kept.entries.truncate(place);
                self.kept.entries.push(entry.clone());
            }
            Record::Snapshot(snapshot) => {
                let same = |e: &Entry| e.index == snapshot.index && e.term == snapshot.term;
                match self.kept.entries.iter().position(same) {
                    Some(place) => drop(self.kept.entries.drain(..=place)),
                    None => self.kept.entries.clear(),
                }
                self.kept.snapshot = Some(snapshot.clone());
            }
        }
    }
}

/// One host: its disk outlives its node.
#[derive(Debug)]
pub struct Host {
    pub disk: Storage,
    pub node: Option<Node>,
    pub frozen_until: u64,
    pub full_until: u64,
    pub applied: Vec<Entry>,
    applied_to: Index,
    writing: VecDeque<(u64, u64, Vec<Record>)>,
}

#[derive(Debug)]
struct Flight {
    due: u64,
    from: id::Instance,
    to: id::Instance,
    message: Message,
}

/// How badly the network and the disks behave, in parts of a hundred and milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Weather {
    pub lost: u32,
    pub doubled: u32,
    pub delay_ms: u64,
    pub sync_ms: u64,
}

pub const FAIR: Weather = Weather {
    lost: 0,
    doubled: 0,
    delay_ms: 5,
    sync_ms: 5,
};

/// All hosts, and what was seen of them.
pub struct World {
    pub hosts: BTreeMap<id::Instance, Host>,
    pub weather: Weather,
    pub cut: BTreeSet<(id::Instance, id::Instance)>,
    pub random: ChaCha8Rng,
    pub now_ms: u64,
    /// The one content of each index that was ever applied.
    pub committed: BTreeMap<Index, Entry>,
    /// Where each acknowledged command was said to be.
    pub acknowledged: BTreeMap<u64, Index>,
    pub rejections: BTreeMap<u64, Rejection>,
    disks: BTreeMap<id::Instance, Disk>,
    founders: Vec<id::Instance>,
    leaders: BTreeMap<Term, id::Instance>,
    flights: Vec<Flight>,
    start: Instant,
    proposals: u64,
    folders: u64,
}

impl World {
    /// Hosts with empty disks; the first `founders` of them form the cluster.
    pub fn new(seed: u64, names: &[&str], founders: usize) -> Self {
        let names: Vec<_> = names.iter().map(|name| instance(name)).collect();
        let mut world = Self {
            hosts: BTreeMap::new(),
            weather: FAIR,
            cut: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            committed: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            rejections: BTreeMap::new(),
            disks: BTreeMap::new(),
            founders: names[..founders].to_vec(),
            leaders: BTreeMap::new(),
            flights: Vec::new(),
            start: Instant::now(),
            proposals: 0,
            folders: 0,
        };
        for name in names {
            let disk = world.empty_disk();
            let host = Host {
                disk,
                node: None,
                frozen_until: 0,
                full_until: 0,
                applied: Vec::new(),
                applied_to: Index(0),
                writing: VecDeque::new(),
            };
            world.hosts.insert(name.clone(), host);
            world.start(&name);
        }
        world
    }

    pub fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn empty_disk(&mut self) -> Storage {
        self.folders += 1;
        Storage::new(self.folders)
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
            seed: self.random.random(),
        };
        let host = self.host(name);
        if host.node.is_some() {
            return;
        }
        host.applied.clear();
        host.applied_to = Index(0);
        host.node = Some(Node::new(identity, host.disk.kept.clone(), now));
    }

    /// Ends the process; a write under way is kept whole or lost whole, as the journal's frames are.
    pub fn crash(&mut self, name: &id::Instance) {
        let is_written = self.random.random();
        let host = self.host(name);
        host.node = None;
        let first = host.writing.drain(..).next().filter(|_| is_written);
        for record in first.iter().flat_map(|(_, _, records)| records) {
            host.disk.write(record);
        }
    }

    /// Ends the process and loses all that was on disk.
    pub fn wipe(&mut self, name: &id::Instance) {
        let disk = self.empty_disk();
        let host = self.host(name);
        host.node = None;
        host.writing.clear();
        host.disk = disk;
    }

    /// The node that leads in the latest term, if one does.
    pub fn leader(&self) -> Option<id::Instance> {
        let nodes = self.hosts.iter().filter_map(|(name, host)| {
            let status = host.node.as_ref()?.status();
            (status.role == Role::Leader).then(|| (status.term, name.clone()))
        });
        nodes.max().map(|(_, name)| name)
    }

    pub fn node(&self, name: &id::Instance) -> &Node {
        self.hosts[name].node.as_ref().expect("the host runs")
    }

    /// Whether every voter of the last committed membership still has the disk it voted with.
    pub fn is_whole(&self) -> bool {
        let membership = self.membership();
        let holds = |(name, folder): (&id::Instance, &Folder)| {
            self.hosts
                .get(name)
                .is_some_and(|h| h.disk.folder == *folder)
        };
        membership.voters.len() >= 3 && membership.voters.iter().all(holds)
    }

    /// The last committed membership.
    pub fn membership(&self) -> Membership {
        let named = self
            .committed
            .values()
            .rev()
            .find_map(|e| match &e.payload {
                Payload::Membership(membership) => Some(membership.clone()),
                Payload::Noop | Payload::Command(_) => None,
            });
        named.unwrap_or_default()
    }

    /// Proposes a command that names itself, and gives its number.
    pub fn propose(&mut self, name: &id::Instance) -> u64 {
        self.proposals += 1;
        let number = self.proposals;
        let command = Arc::from(number.to_le_bytes());
        let proposal = Proposal(number);
        self.feed(name, Input::Propose { proposal, command });
        number
    }

    pub fn change(&mut self, name: &id::Instance, change: Change) -> u64 {
        self.proposals += 1;
        let proposal = Proposal(self.proposals);
        self.feed(name, Input::Change { proposal, change });
        self.proposals
    }

    /// Takes a snapshot of what a host has applied.
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
        self.feed(name, Input::Compact(snapshot));
    }

    /// Cuts two hosts off from each other.
    pub fn part(&mut self, one: &id::Instance, other: &id::Instance) {
        self.cut.insert((one.clone(), other.clone()));
        self.cut.insert((other.clone(), one.clone()));
    }

    /// Cuts a host off from all others.
    pub fn isolate(&mut self, name: &id::Instance) {
        for other in self.hosts.keys().cloned().collect::<Vec<_>>() {
            self.part(name, &other);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now_ms + time.as_millis() as u64;
        while self.now_ms < end {
            self.advance();
        }
    }

    /// Lets time pass until `done`, and fails the test if that is not so after `time`.
    pub fn run_until(&mut self, time: Duration, what: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now_ms + time.as_millis() as u64;
        while !done(self) {
            assert!(self.now_ms < end, "not within {time:?}: {what}");
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.now_ms += TICK.as_millis() as u64;
        let now = self.now_ms;
        let names: Vec<_> = self.hosts.keys().cloned().collect();
        for name in &names {
            self.sync_due(name, now);
        }
        let (due, later) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition::<Vec<_>, _>(|flight| flight.due <= now);
        self.flights = later;
        for flight in due {
            self.deliver(flight);
        }
        for name in &names {
            if self.hosts[name].frozen_until <= now {
                self.feed(name, Input::Tick);
            }
        }
        if now.is_multiple_of(REPORT_MS) {
            self.report_clusters(&names);
        }
        self.check_lease();
    }

    /// Tells those without a cluster of the one that others belong to, as reports do.
    fn report_clusters(&mut self, names: &[id::Instance]) {
        let cluster = |name| self.hosts[name].node.as_ref().and_then(|n| n.cluster());
        let known: Vec<_> = names
            .iter()
            .filter_map(|n| Some((n, cluster(n)?)))
            .collect();
        for (from, cluster) in known {
            for to in names {
                let is_cut = self.cut.contains(&(from.clone(), to.clone()));
                let frozen_until = self.hosts[from]
                    .frozen_until
                    .max(self.hosts[to].frozen_until);
                if !is_cut && frozen_until <= self.now_ms {
                    self.feed(to, Input::ClusterReported(cluster));
                }
            }
        }
    }

    /// Checks that no node, frozen or not, trusts a lease while a later leader was elected.
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
                    "a lease overlaps"
                );
            }
        }
    }

    fn deliver(&mut self, mut flight: Flight) {
        let frozen_until = self.hosts[&flight.to].frozen_until;
        if frozen_until > self.now_ms {
            flight.due = frozen_until;
            self.flights.push(flight);
            return;
        }
        let Flight {
            from, to, message, ..
        } = flight;
        self.feed(&to, Input::Receive { from, message });
    }

    fn sync_due(&mut self, name: &id::Instance, now: u64) {
        let host = self.host(name);
        if host.frozen_until > now || host.node.is_none() {
            return;
        }
        let is_due = host.writing.front().is_some_and(|(due, ..)| *due <= now);
        let Some((_, sequence, records)) = host.writing.pop_front_if(|_| is_due) else {
            return;
        };
        if host.full_until > now {
            self.feed(name, Input::Refused(sequence));
            return;
        }
        for record in &records {
            host.disk.write(record);
        }
        self.feed(name, Input::Synced(sequence));
    }

    fn feed(&mut self, name: &id::Instance, input: Input) {
        let now = self.now();
        let Some(node) = &mut self.host(name).node else {
            return;
        };
        let outputs = node.step(now, input);
        for output in outputs {
            self.take(name, output);
        }
    }

    fn take(&mut self, name: &id::Instance, output: Output) {
        match output {
            Output::Persist { sequence, records } => {
                let due = self.now_ms + self.random.random_range(0..=self.weather.sync_ms);
                self.host(name).writing.push_back((due, sequence, records));
            }
            Output::Send { to, message } => self.transmit(name, to, message),
            Output::Apply(entry) => self.apply(name, entry),
            Output::Restore(snapshot) => {
                let host = self.host(name);
                assert!(snapshot.index > host.applied_to, "a snapshot goes back");
                host.applied = postcard::from_bytes(&snapshot.state).expect("it was encoded");
                host.applied_to = snapshot.index;
            }
            Output::Accepted { proposal, index } => {
                let applied = self.hosts[name].applied.last().map(|entry| entry.index);
                assert_eq!(applied, Some(index), "accepted before it was applied");
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
        assert_eq!(*first, entry, "two contents were committed at one index");
        let host = self.host(name);
        assert_eq!(entry.index, host.applied_to.next(), "applied out of order");
        host.applied_to = entry.index;
        host.applied.push(entry);
    }

    fn transmit(&mut self, from: &id::Instance, to: id::Instance, message: Message) {
        let encoded = postcard::to_stdvec(&message).expect("messages can be encoded");
        let message: Message = postcard::from_bytes(&encoded).expect("and decoded");
        let copies = 1 + u32::from(self.chance(self.weather.doubled));
        for _ in 0..copies {
            let is_cut = self.cut.contains(&(from.clone(), to.clone()));
            if is_cut || self.chance(self.weather.lost) || !self.hosts.contains_key(&to) {
                continue;
            }
            let due = self.now_ms + self.random.random_range(1..=self.weather.delay_ms);
            let (from, to, message) = (from.clone(), to.clone(), message.clone());
            let place = self.random.random_range(0..=self.flights.len());
            self.flights.insert(
                place,
                Flight {
                    due,
                    from,
                    to,
                    message,
                },
            );
        }
    }

    pub fn chance(&mut self, hundredths: u32) -> bool {
        self.random.random_range(0..100) < hundredths
    }

    /// Has the leader make the change that the repair policy asks for.
    pub fn repair(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let now = self.now();
        for (name, host) in &self.hosts {
            let is_alive = host.node.is_some() && host.frozen_until <= self.now_ms;
            let known = self.disks.get(name);
            let folder = match known {
                Some(disk) if !is_alive => disk.folder,
                Some(_) | None => host.disk.folder,
            };
            let liveness = match (is_alive, known.map(|disk| disk.liveness)) {
                (true, Some(known @ Liveness::Alive { .. })) => known,
                (false, Some(known @ Liveness::Silent { .. })) => known,
                (true, _) => Liveness::Alive { since: now },
                (false, _) => Liveness::Silent { since: now },
            };
            self.disks.insert(name.clone(), Disk { folder, liveness });
        }
        let status = self.node(&leader).status();
        if let Some(change) = repair::next_change(&status, &self.disks, self.founders.len(), now) {
            self.change(&leader, change);
        }
    }

    /// Checks that every acknowledged command is where it was said to be.
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
