//! This instance's part of the control state: the consensus node, what its log adds up to, and the
//! configuration that is published.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::{future, task};
use futures::channel::oneshot;
use gooseberrylb_config::clock::Clock;
use gooseberrylb_config::declaration::Table;
use gooseberrylb_config::dialect::Dialect;
use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use gooseberrylb_config::settings::Settings;
use gooseberrylb_control::consensus::{Input, Node, Output, Proposal, Rejection, Role, Status};
use gooseberrylb_control::entry::{Entry, Payload, Snapshot};
use gooseberrylb_control::membership::{Change, Membership};
use gooseberrylb_control::state::{Reply, State};
use gooseberrylb_wire::codec;
use gooseberrylb_wire::plane::Control;

use super::disk::Job;
use super::dispatch;
use super::feed::Feed;
use super::follow::Followers;
use super::links::Links;
use super::moves::{self, Coordinator};
use super::peers::Accepted;
use super::query::{Answer, Question};
use super::rpc::Envelope;
use super::{Failure, Identity, Shared, relay};
use crate::gateway::table;
use crate::metrics::METRICS;
use crate::published::{Published, Snapshot as Publication};

/// The exit code of an instance that cannot read what it has agreed to.
const EXIT_UNREADABLE_STATE: i32 = 65;

/// How many entries are applied between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 1_000;

/// How long a proposal may take before its outcome is given as not known.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// The most consensus messages to one peer that are not answered yet; more are dropped, since the
/// consensus sends anew what is lost.
const MAX_IN_FLIGHT_MESSAGES: u32 = 512;

/// The most replies kept for proposals whose acceptance is yet to be told.
const MAX_REPLIES: usize = 1_024;

/// How far the log has been applied.
#[derive(Debug, Clone, Default)]
struct Applied {
    index: Index,
    term: Term,
    membership: Membership,
    snapshot: Index,
}

type ProposalWaiters = BTreeMap<Proposal, oneshot::Sender<Result<Index, Rejection>>>;

/// The state of the control thread; its parts are borrowed for short and never across an await.
pub struct Core {
    /// The settings.
    pub settings: Arc<Settings>,
    /// Who this instance is.
    pub identity: Identity,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// Where links for traffic go.
    pub traffic: Sender<Accepted>,
    /// What other threads put into this instance's reports.
    pub shared: Arc<Shared>,
    /// The links to other instances.
    pub links: Links<Control>,
    /// The data folder, where this instance has a disk.
    pub folder: Option<u64>,
    /// What the log adds up to, on an instance with a disk.
    pub state: RefCell<State>,
    /// The configuration that is held.
    pub feed: RefCell<Feed>,
    /// Those that follow this instance.
    pub followers: RefCell<Followers>,
    /// What the leader needs for moves between versions.
    pub move_coordinator: Coordinator,
    /// Decides where requests go, while this instance leads.
    pub dispatch: dispatch::Host,
    /// The platform's way to speak, where the instance runs on one.
    pub dialect: Option<Arc<dyn Dialect>>,
    tables: table::Cache,
    /// When this instance became leader.
    pub leader_since: Cell<Option<Instant>>,
    node: Option<RefCell<Node>>,
    jobs: Option<mpsc::Sender<Job>>,
    published: Published,
    applied: RefCell<Applied>,
    replies: RefCell<BTreeMap<Index, Reply>>,
    proposal_waiters: RefCell<ProposalWaiters>,
    next_proposal: Cell<u64>,
    in_flight: RefCell<BTreeMap<id::Instance, Rc<Cell<u32>>>>,
    change_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Ends the wait for an answer once the instance of this address is suspected.
    suspicion: RefCell<Option<(SocketAddr, oneshot::Sender<()>)>>,
}

/// What a core is made of.
pub struct Parts {
    /// The settings.
    pub settings: Arc<Settings>,
    /// Who this instance is.
    pub identity: Identity,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// Where links for traffic go.
    pub traffic: Sender<Accepted>,
    /// What other threads put into this instance's reports.
    pub shared: Arc<Shared>,
    /// Where the configuration is published.
    pub published: Published,
    /// The platform's way to speak, where the instance runs on one.
    pub dialect: Option<Arc<dyn Dialect>>,
    /// The consensus node with its folder and the journal's inbox, where there is a disk.
    pub voter: Option<(Node, u64, mpsc::Sender<Job>)>,
}

impl Core {
    /// Makes the core.
    pub fn new(parts: Parts) -> Rc<Self> {
        let (node, folder, jobs) = match parts.voter {
            Some((node, folder, jobs)) => (Some(RefCell::new(node)), Some(folder), Some(jobs)),
            None => (None, None, None),
        };
        Rc::new(Self {
            links: Links::new(&parts.identity),
            settings: parts.settings,
            identity: parts.identity,
            clock: parts.clock,
            traffic: parts.traffic,
            shared: parts.shared,
            folder,
            state: RefCell::default(),
            feed: RefCell::default(),
            followers: RefCell::default(),
            move_coordinator: Coordinator::default(),
            dispatch: dispatch::Host::default(),
            dialect: parts.dialect,
            tables: table::Cache::default(),
            leader_since: Cell::new(None),
            node,
            jobs,
            published: parts.published,
            applied: RefCell::default(),
            replies: RefCell::default(),
            proposal_waiters: RefCell::default(),
            next_proposal: Cell::new(0),
            in_flight: RefCell::default(),
            change_waiters: RefCell::default(),
            suspicion: RefCell::default(),
        })
    }

    /// How many instances follow the leader themselves.
    pub fn max_direct_followers(&self) -> usize {
        match self.settings.deployment {
            Some(_) => relay::MAX_DIRECT_FOLLOWERS_ON_PLATFORM,
            None => relay::MAX_DIRECT_FOLLOWERS,
        }
    }

    /// The declaration of a configuration, decoded and indexed.
    pub fn table(&self, directory: &Directory) -> Option<Rc<Table>> {
        self.tables.read(directory, self.dialect.as_deref()?)
    }

    /// Where the consensus node stands, where there is one.
    pub fn status(&self) -> Option<Status> {
        self.node.as_ref().map(|node| node.borrow().status())
    }

    /// The cluster that this instance belongs to, as far as it knows.
    pub fn cluster(&self) -> Option<u64> {
        let node = self.node.as_ref();
        let formed = node
            .and_then(|node| node.borrow().cluster())
            .map(|cluster| cluster.0);
        formed.or(self.published.read().cluster)
    }

    /// Whether this instance leads and may act on it without asking the other voters.
    pub fn is_leading(&self) -> bool {
        let now = self.clock.now();
        self.node
            .as_ref()
            .is_some_and(|node| node.borrow().holds_lease(now))
    }

    /// The leader as this instance's consensus node knows it.
    pub fn known_leader(&self) -> Option<id::Instance> {
        self.status().and_then(|status| status.leader)
    }

    /// Where another instance listens, by the configuration or the settings.
    pub fn address_of(&self, instance: &id::Instance) -> Option<SocketAddr> {
        let by_settings = self.settings.peer_address(instance);
        let by_directory = || {
            let feed = self.feed.borrow();
            feed.directory().instances.get(instance).map(|i| i.peers)
        };
        // The settings go first, since they may name a way that differs from the peer's own address.
        by_settings.or_else(by_directory)
    }

    /// Feeds the consensus node, and carries out what it wants done.
    pub fn step(self: &Rc<Self>, input: Input) {
        let Some(node) = &self.node else {
            return;
        };
        let outputs = node.borrow_mut().step(self.clock.now(), input);
        for output in outputs {
            self.execute(output);
        }
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::Persist { sequence, records } => self.persist(Job { sequence, records }),
            Output::Send { to, message } => self.send(to, message),
            Output::Apply(entry) => self.apply(entry),
            Output::Restore(snapshot) => self.restore(&snapshot),
            Output::Accepted { proposal, index } => self.complete_proposal(proposal, Ok(index)),
            Output::Rejected { proposal, reason } => self.complete_proposal(proposal, Err(reason)),
            Output::Role { role, term } => self.change_role(&role, term),
        }
    }

    fn persist(&self, job: Job) {
        if let Some(jobs) = &self.jobs {
            // The journal's thread ends only with the process.
            jobs.send(job).ok();
        }
    }

    fn send(self: &Rc<Self>, to: id::Instance, message: gooseberrylb_control::consensus::Message) {
        let Some(address) = self.address_of(&to) else {
            return;
        };
        let in_flight = self.in_flight.borrow_mut().entry(to).or_default().clone();
        if in_flight.get() >= MAX_IN_FLIGHT_MESSAGES {
            return;
        }
        let from = self.identity.name.clone();
        let Ok(bytes) = codec::encode(&Envelope { from, message }) else {
            return;
        };
        let link = self.links.to(address);
        in_flight.set(in_flight.get() + 1);
        task::spawn_local(async move {
            if let Ok(client) = link.client().await {
                let mut request = client.consensus_request();
                request.get().set_message(&bytes);
                request.send().promise.await.ok();
            }
            in_flight.set(in_flight.get() - 1);
        });
    }

    fn apply(self: &Rc<Self>, entry: Entry) {
        {
            let mut applied = self.applied.borrow_mut();
            applied.index = entry.index;
            applied.term = entry.term;
            METRICS
                .committed
                .set(i64::try_from(entry.index.0).unwrap_or(i64::MAX));
            if let Payload::Membership(membership) = &entry.payload {
                applied.membership = membership.clone();
            }
        }
        self.apply_to_state(&entry);
        self.snapshot_if_due();
    }

    fn apply_to_state(&self, entry: &Entry) {
        let applied = self.state.borrow_mut().apply_entry(entry);
        match applied {
            Ok(Some(reply)) => self.store_reply(entry.index, reply),
            Ok(None) => {}
            Err(error) => {
                // Skipping it here while other voters apply it would split the state.
                exit_unreadable(&format!("entry {}", entry.index), &error);
            }
        }
        self.publish_state();
    }

    fn store_reply(&self, index: Index, reply: Reply) {
        let mut replies = self.replies.borrow_mut();
        replies.insert(index, reply);
        if replies.len() > MAX_REPLIES {
            replies.pop_first();
        }
    }

    fn restore(&self, snapshot: &Snapshot) {
        match State::decode(&snapshot.state) {
            Ok(state) => *self.state.borrow_mut() = state,
            Err(error) => exit_unreadable("the snapshot", &error),
        }
        *self.applied.borrow_mut() = Applied {
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
            snapshot: snapshot.index,
        };
        self.publish_state();
    }

    /// Publishes the configuration that the log adds up to.
    fn publish_state(&self) {
        if self.leader_since.get().is_some() {
            self.feed.borrow_mut().set_moves(moves::open_moves(self));
        }
        let state = self.state.borrow();
        let replaced = self.feed.borrow_mut().replace(state.directory());
        drop(state);
        if replaced {
            self.publish(None);
        }
    }

    fn snapshot_if_due(self: &Rc<Self>) {
        let applied = self.applied.borrow().clone();
        if applied.index.0 < applied.snapshot.0 + SNAPSHOT_INTERVAL {
            return;
        }
        let state = self.state.borrow().encode();
        self.applied.borrow_mut().snapshot = applied.index;
        self.step(Input::Compact(Snapshot {
            index: applied.index,
            term: applied.term,
            membership: applied.membership,
            state: state.into(),
        }));
    }

    fn complete_proposal(&self, proposal: Proposal, result: Result<Index, Rejection>) {
        if let Some(waiter) = self.proposal_waiters.borrow_mut().remove(&proposal) {
            waiter.send(result).ok();
        }
    }

    fn change_role(&self, role: &Role, term: Term) {
        log::info!("role {role:?} in term {term}");
        let leads = *role == Role::Leader;
        METRICS.leader.set(i64::from(leads));
        METRICS.term.set(i64::try_from(term.0).unwrap_or(i64::MAX));
        if leads != self.leader_since.get().is_some() {
            self.followers.borrow_mut().clear();
            self.leader_since.set(leads.then(|| self.clock.now()));
            self.publish_state();
        }
    }

    /// Has a command accepted, if this instance leads.
    pub async fn propose_here(self: &Rc<Self>, command: Arc<[u8]>) -> Result<Reply, Failure> {
        let index = self
            .commit(|proposal| Input::Propose { proposal, command })
            .await
            .map_err(|reason| self.failure(reason))?;
        let reply = self.replies.borrow().get(&index).cloned();
        reply.ok_or(Failure::Unreachable)
    }

    /// Has a membership change accepted, if this instance leads.
    pub async fn change_here(self: &Rc<Self>, change: Change) -> Result<Index, Rejection> {
        self.commit(|proposal| Input::Change { proposal, change })
            .await
    }

    async fn commit(
        self: &Rc<Self>,
        input: impl FnOnce(Proposal) -> Input,
    ) -> Result<Index, Rejection> {
        if self.node.is_none() {
            return Err(Rejection::NotLeader { leader: None });
        }
        let proposal = Proposal(self.next_proposal.get());
        self.next_proposal.set(proposal.0 + 1);
        let (waiter, result) = oneshot::channel();
        self.proposal_waiters.borrow_mut().insert(proposal, waiter);
        self.step(input(proposal));
        let outcome = future::timeout(PROPOSAL_TIMEOUT, result).await;
        self.proposal_waiters.borrow_mut().remove(&proposal);
        match outcome {
            Ok(Ok(result)) => result,
            _ => Err(Rejection::Uncertain),
        }
    }

    fn failure(&self, reason: Rejection) -> Failure {
        match reason {
            Rejection::NotLeader { leader } => {
                let leader = leader.and_then(|leader| self.address_of(&leader));
                Failure::NotLeader { leader }
            }
            Rejection::Full => Failure::Full,
            Rejection::NotReady | Rejection::Uncertain => Failure::Unreachable,
        }
    }

    /// Reads the state, if this instance leads.
    pub fn query_here(&self, question: &Question) -> Result<Answer, Failure> {
        if !self.is_leading() {
            let leader = self
                .known_leader()
                .and_then(|leader| self.address_of(&leader));
            return Err(Failure::NotLeader { leader });
        }
        Ok(super::query::answer(self, question))
    }

    /// Publishes what is held; with `fresh_until`, its lease is renewed.
    pub fn publish(&self, fresh_until: Option<(Instant, Source)>) {
        let before = self.published.read();
        let directory = self.feed.borrow().directory().clone();
        let moves = self.feed.borrow().moves().clone();
        let mut next = Publication {
            directory,
            moves,
            ..(*before).clone()
        };
        if let Some((end, source)) = fresh_until {
            next.fresh_until = next.fresh_until.max(Some(end));
            next.leader = Some(source.leader);
            next.term = source.term;
            next.cluster = Some(source.cluster);
            next.loads = Arc::new(source.loads);
        }
        METRICS
            .revision
            .set(i64::try_from(next.directory.revision.0).unwrap_or(i64::MAX));
        let is_news = next.directory.revision > before.directory.revision
            || !Arc::ptr_eq(&next.moves, &before.moves);
        if self.published.publish(next) && is_news {
            self.notify_change_waiters();
        }
    }

    /// Reads what is published.
    pub fn published(&self) -> Arc<Publication> {
        self.published.read()
    }

    /// Has this instance look for a leader elsewhere than at `address`, which is silent. An answer of
    /// anybody else, who may be the new leader, is still waited for.
    pub fn suspect(&self, address: SocketAddr) {
        let mut suspicion = self.suspicion.borrow_mut();
        if let Some((_, suspicion)) = suspicion.take_if(|(awaited, _)| *awaited == address) {
            // Nobody waits for an answer then.
            suspicion.send(()).ok();
        }
    }

    /// Ends once the instance at `address` is suspected.
    pub async fn suspected(&self, address: SocketAddr) {
        let (suspicion, suspected) = oneshot::channel();
        *self.suspicion.borrow_mut() = Some((address, suspicion));
        if suspected.await.is_err() {
            // Somebody else waits now.
            futures::future::pending::<()>().await;
        }
    }

    fn add_change_waiter(&self, waiter: oneshot::Sender<()>) {
        let mut waiters = self.change_waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(waiter);
    }

    fn notify_change_waiters(&self) {
        for waiter in self.change_waiters.borrow_mut().drain(..) {
            waiter.send(()).ok();
        }
    }

    /// Waits until the configuration changes, or for as long as `limit`.
    pub async fn wait_for_change(&self, limit: Duration) {
        let (waiter, change) = oneshot::channel();
        self.add_change_waiter(waiter);
        future::timeout(limit, change).await.ok();
    }
}

fn exit_unreadable(what: &str, error: &dyn std::error::Error) -> ! {
    log::error!("{what} cannot be read, so this instance stops: {error}");
    log::logger().flush();
    std::process::exit(EXIT_UNREADABLE_STATE)
}

/// Who says that a configuration is fresh.
pub struct Source {
    /// The leader.
    pub leader: id::Instance,
    /// Its term.
    pub term: Term,
    /// The cluster.
    pub cluster: u64,
    /// The instances' loads.
    pub loads: BTreeMap<id::Instance, u32>,
}
