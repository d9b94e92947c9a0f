//! State of the control thread: the consensus node, the state machine that the log is applied to,
//! and the published configuration.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::{future, task};
use futures::channel::oneshot;
use gooseberrylb_config::clock::Clock;
use gooseberrylb_config::declaration::Table;
use gooseberrylb_config::dialect::Dialect;
use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Bytes, Index, Revision, Term};
use gooseberrylb_config::settings::{Settings, Timing};
use gooseberrylb_control::consensus::{Input, Node, Output, Proposal, Rejection, Role, Status};
use gooseberrylb_control::entry::{Entry, Snapshot};
use gooseberrylb_control::membership::Change;
use gooseberrylb_control::state::{Reply, State};
use gooseberrylb_policy::dispatch::shard::Plan;
use gooseberrylb_wire::codec;
use gooseberrylb_wire::plane::Control;

use super::applied::Applied;
use super::disk::Job;
use super::dispatch;
use super::evacuation;
use super::feed::Feed;
use super::follow::Followers;
use super::in_flight;
use super::links::Links;
use super::listening::Listening;
use super::moves::{self, Coordinator};
use super::peers::Accepted;
use super::query::{Answer, Question};
use super::rpc::Envelope;
use super::{Failure, Identity, Shared, relay, voters};
use crate::gateway::table;
use crate::metrics::METRICS;
use crate::published::{Published, Snapshot as Publication};

/// Exit code of an instance that cannot decode an accepted entry or snapshot; equals `EX_DATAERR`
/// of `sysexits.h`.
const EXIT_UNREADABLE_STATE: i32 = 65;

/// Pause between two batches of committed entries that are applied, for other tasks of the thread.
const APPLY_PAUSE: Duration = Duration::from_millis(1);

/// Maximum number of replies kept until their proposals are reported as accepted.
const MAX_REPLIES: usize = 1_024;

/// Maximum number of accepted connections that wait for the gateway.
const MAX_DELEGATED: usize = 64;

/// Callers that wait for the outcome of their proposals.
type ProposalWaiters = BTreeMap<Proposal, oneshot::Sender<Result<Index, Rejection>>>;

/// State of the control thread, shared by its tasks. Its parts are borrowed briefly and never
/// across an await.
pub struct Core {
    /// Settings of the instance.
    pub settings: Arc<Settings>,
    /// Durations that fit the promises of the platform.
    pub timing: Timing,
    /// Identity of this instance.
    pub identity: Identity,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Receives accepted connections for the traffic plane.
    pub traffic: Sender<Accepted>,
    /// Passes accepted connections with requests of other entries to the gateway.
    pub delegated: (Sender<Accepted>, Receiver<Accepted>),
    /// Values set by other threads for this instance's reports.
    pub shared: Arc<Shared>,
    /// Links to other instances.
    pub links: Links<Control>,
    /// Id of the data folder, if this instance has a disk.
    pub folder: Option<u64>,
    /// Replicated state as of the last applied entry; stays empty without a disk.
    pub state: RefCell<State>,
    /// Current configuration with its latest changes.
    pub feed: RefCell<Feed>,
    /// Instances that report to this instance.
    pub followers: RefCell<Followers>,
    /// Coordinator of moves between versions, active while this instance leads.
    pub move_coordinator: Coordinator,
    /// Dispatcher, active while this instance leads or dispatches a shard.
    pub dispatch: dispatch::Host,
    /// Progress of evacuations, kept while this instance leads.
    pub evacuations: evacuation::Progress,
    /// Adapter to the platform's formats, if the instance runs on a platform.
    pub dialect: Option<Arc<dyn Dialect>>,
    /// Last decoded declaration.
    tables: table::Cache,
    /// Plan of the fleet's shards and the revision that it was made for.
    plan: RefCell<(Revision, Rc<Plan>)>,
    /// State of the voters as logged last.
    pub voters: voters::Observer,
    /// Since when this instance has listened to its followers, while it leads.
    pub listening: Listening,
    /// When this instance became leader, while it is one.
    pub leader_since: Cell<Option<Instant>>,
    /// Consensus node, if this instance has a disk.
    node: Option<RefCell<Node>>,
    /// Whether a step that applies further committed entries is due.
    apply_due: Cell<bool>,
    /// Job queue of the journal thread, if this instance has a disk.
    jobs: Option<mpsc::Sender<Job>>,
    published: Published,
    applied: RefCell<Applied>,
    /// Replies of the latest applied commands, by the index of their entries.
    replies: RefCell<BTreeMap<Index, Reply>>,
    proposal_waiters: RefCell<ProposalWaiters>,
    next_proposal: Cell<u64>,
    /// Unanswered consensus messages per peer.
    in_flight: RefCell<BTreeMap<id::Instance, Rc<in_flight::Messages>>>,
    /// Channels that are notified when the configuration or the moves change.
    change_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Address of the instance whose answer is awaited, and the channel that ends the wait when
    /// that instance is suspected to have failed.
    suspicion: RefCell<Option<(SocketAddr, oneshot::Sender<()>)>>,
}

/// Parameters of a [`Core`].
pub struct Parts {
    /// Settings of the instance.
    pub settings: Arc<Settings>,
    /// Identity of this instance.
    pub identity: Identity,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Receives accepted connections for the traffic plane.
    pub traffic: Sender<Accepted>,
    /// Values set by other threads for this instance's reports.
    pub shared: Arc<Shared>,
    /// Configuration published to the other threads.
    pub published: Published,
    /// Adapter to the platform's formats, if the instance runs on a platform.
    pub dialect: Option<Arc<dyn Dialect>>,
    /// Consensus node, id of its data folder, and job queue of the journal thread, if there is a
    /// disk.
    pub voter: Option<(Node, u64, mpsc::Sender<Job>)>,
}

impl Core {
    /// Creates the state with an empty configuration.
    pub fn new(parts: Parts) -> Rc<Self> {
        let (node, folder, jobs) = match parts.voter {
            Some((node, folder, jobs)) => (Some(RefCell::new(node)), Some(folder), Some(jobs)),
            None => (None, None, None),
        };
        Rc::new(Self {
            links: Links::new(&parts.identity),
            timing: parts.settings.timing(),
            settings: parts.settings,
            identity: parts.identity,
            clock: parts.clock,
            traffic: parts.traffic,
            delegated: async_channel::bounded(MAX_DELEGATED),
            shared: parts.shared,
            folder,
            state: RefCell::default(),
            feed: RefCell::default(),
            followers: RefCell::default(),
            move_coordinator: Coordinator::default(),
            dispatch: dispatch::Host::default(),
            evacuations: evacuation::Progress::default(),
            dialect: parts.dialect,
            tables: table::Cache::default(),
            plan: RefCell::default(),
            voters: voters::Observer::default(),
            listening: Listening::default(),
            leader_since: Cell::new(None),
            node,
            apply_due: Cell::new(false),
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

    /// Returns the number of instances up to which all of them follow the leader directly.
    pub fn max_direct_followers(&self) -> usize {
        match self.settings.deployment {
            Some(_) => relay::MAX_DIRECT_FOLLOWERS_ON_PLATFORM,
            None => relay::MAX_DIRECT_FOLLOWERS,
        }
    }

    /// Returns the time for which an instance may act on its configuration after the leader confirmed
    /// that it is the latest.
    pub fn lease_duration(&self) -> Duration {
        self.timing.lease
    }

    /// Returns the decoded and indexed declaration of a configuration, on a platform.
    pub fn table(&self, directory: &Directory) -> Option<Rc<Table>> {
        self.tables.read(directory, self.dialect.as_deref()?)
    }

    /// Returns the plan of the fleet's shards for a configuration.
    pub fn plan(&self, directory: &Directory) -> Rc<Plan> {
        let mut cached = self.plan.borrow_mut();
        if cached.0 != directory.revision {
            *cached = (directory.revision, Rc::new(Plan::new(directory)));
        }
        cached.1.clone()
    }

    /// Returns the status of the consensus node, if there is one.
    pub fn status(&self) -> Option<Status> {
        self.node.as_ref().map(|node| node.borrow().status())
    }

    /// Returns the role of the consensus node, if there is one.
    pub fn role(&self) -> Option<Role> {
        self.node.as_ref().map(|node| node.borrow().role())
    }

    /// Returns the id of this instance's cluster, if known.
    pub fn cluster(&self) -> Option<u64> {
        let node = self.node.as_ref();
        let formed = node
            .and_then(|node| node.borrow().cluster())
            .map(|cluster| cluster.0);
        formed.or(self.published.read().cluster)
    }

    /// Whether this instance is the leader and holds the lease to act without asking other voters.
    pub fn is_leading(&self) -> bool {
        let now = self.clock.now();
        self.node
            .as_ref()
            .is_some_and(|node| node.borrow().holds_lease(now))
    }

    /// Returns the leader known to this instance's consensus node.
    pub fn known_leader(&self) -> Option<id::Instance> {
        self.status().and_then(|status| status.leader)
    }

    /// Returns the peer address of another instance, from the settings or the configuration.
    pub fn address_of(&self, instance: &id::Instance) -> Option<SocketAddr> {
        let by_settings = self.settings.peer_address(instance);
        let by_directory = || {
            let feed = self.feed.borrow();
            feed.directory().instances.get(instance).map(|i| i.peers)
        };
        // The settings take precedence, since the route to a peer may differ from its own address.
        by_settings.or_else(by_directory)
    }

    /// Passes an input to the consensus node and executes its outputs.
    pub fn step(self: &Rc<Self>, input: Input) {
        let Some(node) = &self.node else {
            return;
        };
        let outputs = node.borrow_mut().step(self.clock.now(), input);
        for output in outputs {
            self.execute(output);
        }
        if node.borrow().has_unapplied() && !self.apply_due.replace(true) {
            let core = self.clone();
            task::spawn_local(async move {
                task::sleep(APPLY_PAUSE).await;
                core.apply_due.set(false);
                core.step(Input::Tick);
            });
        }
    }

    /// Executes one output of the consensus node.
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
            // The journal thread runs until the process ends.
            jobs.send(job).ok();
        }
    }

    fn send(self: &Rc<Self>, to: id::Instance, message: gooseberrylb_control::consensus::Message) {
        let Some(address) = self.address_of(&to) else {
            return;
        };
        let in_flight = self.in_flight.borrow_mut().entry(to).or_default().clone();
        if !in_flight.has_room() {
            return;
        }
        let from = self.identity.name.clone();
        let Ok(bytes) = codec::encode(&Envelope { from, message }) else {
            return;
        };
        let size = Bytes(bytes.len() as u64);
        let link = self.links.to(address);
        in_flight.begin(size);
        task::spawn_local(async move {
            if let Ok(client) = link.client().await {
                let mut request = client.consensus_request();
                request.get().set_message(&bytes);
                request.send().promise.await.ok();
            }
            in_flight.end(size);
        });
    }

    fn apply(self: &Rc<Self>, entry: Entry) {
        self.applied.borrow_mut().record(&entry);
        METRICS
            .committed
            .set(i64::try_from(entry.index.0).unwrap_or(i64::MAX));
        self.apply_to_state(&entry);
        self.snapshot_if_due();
    }

    fn apply_to_state(&self, entry: &Entry) {
        let applied = self.state.borrow_mut().apply_entry(entry);
        match applied {
            Ok(Some(reply)) => self.store_reply(entry.index, reply),
            Ok(None) => {}
            Err(error) => {
                // Skipping an entry that other voters apply would make the replicas diverge.
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
        *self.applied.borrow_mut() = Applied::restored(snapshot);
        self.publish_state();
    }

    /// Publishes the configuration of the replicated state if it is newer than the current one.
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

    /// Hands the consensus node a snapshot of the state, if one is due.
    fn snapshot_if_due(self: &Rc<Self>) {
        if !self.applied.borrow().is_snapshot_due() {
            return;
        }
        let state = self.state.borrow().encode();
        let snapshot = self.applied.borrow_mut().take_snapshot(state);
        log::debug!(index = snapshot.index.0, bytes = snapshot.state.len(); "took a snapshot of the state");
        self.step(Input::Compact(snapshot));
    }

    fn complete_proposal(&self, proposal: Proposal, result: Result<Index, Rejection>) {
        if let Some(waiter) = self.proposal_waiters.borrow_mut().remove(&proposal) {
            waiter.send(result).ok();
        }
    }

    fn change_role(&self, role: &Role, term: Term) {
        log::info!("consensus role {role:?} in term {term}");
        let leads = *role == Role::Leader;
        METRICS.leader.set(i64::from(leads));
        METRICS.term.set(i64::try_from(term.0).unwrap_or(i64::MAX));
        if leads != self.leader_since.get().is_some() {
            self.followers.borrow_mut().clear();
            self.listening.reset();
            self.leader_since.set(leads.then(|| self.clock.now()));
            self.publish_state();
        }
    }

    /// Proposes a command, if this instance leads, and returns the reply once it is accepted. The outcome
    /// is unknown if that takes longer than `limit`, or than a proposal may take.
    pub async fn propose_here(
        self: &Rc<Self>,
        command: Arc<[u8]>,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        let index = self
            .commit(|proposal| Input::Propose { proposal, command }, limit)
            .await
            .map_err(|reason| self.failure(reason))?;
        let reply = self.replies.borrow().get(&index).cloned();
        reply.ok_or(Failure::Unreachable)
    }

    /// Proposes a membership change, if this instance leads, and returns its index once it is
    /// accepted.
    pub async fn change_here(self: &Rc<Self>, change: Change) -> Result<Index, Rejection> {
        let input = |proposal| Input::Change { proposal, change };
        self.commit(input, self.timing.proposal).await
    }

    /// Passes a proposal to the consensus node and waits until it is accepted or rejected.
    async fn commit(
        self: &Rc<Self>,
        input: impl FnOnce(Proposal) -> Input,
        limit: Duration,
    ) -> Result<Index, Rejection> {
        if self.node.is_none() {
            return Err(Rejection::NotLeader { leader: None });
        }
        let proposal = Proposal(self.next_proposal.get());
        self.next_proposal.set(proposal.0 + 1);
        let (waiter, result) = oneshot::channel();
        self.proposal_waiters.borrow_mut().insert(proposal, waiter);
        self.step(input(proposal));
        let limit = limit.min(self.timing.proposal);
        let outcome = future::timeout(limit, result).await;
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

    /// Answers a question from the replicated state, if this instance leads.
    pub fn query_here(&self, question: &Question) -> Result<Answer, Failure> {
        if !self.is_leading() {
            let leader = self
                .known_leader()
                .and_then(|leader| self.address_of(&leader));
            return Err(Failure::NotLeader { leader });
        }
        Ok(super::query::answer(self, question))
    }

    /// Publishes the current configuration and moves. `fresh_until` renews the lease and replaces
    /// the leader, cluster and loads.
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
        let is_newer = next.directory.revision > before.directory.revision;
        if is_newer {
            evacuation::log_changes(&before.directory, &next.directory);
        }
        let is_news = is_newer || !Arc::ptr_eq(&next.moves, &before.moves);
        if self.published.publish(next) && is_news {
            self.notify_change_waiters();
        }
    }

    /// Returns the published configuration.
    pub fn published(&self) -> Arc<Publication> {
        self.published.read()
    }

    /// Ends the wait for an answer of the instance at `address`, which is silent, so that the
    /// leader is looked for elsewhere. A wait for any other instance, which may be the new leader,
    /// goes on.
    pub fn suspect(&self, address: SocketAddr) {
        let mut suspicion = self.suspicion.borrow_mut();
        if let Some((_, suspicion)) = suspicion.take_if(|(awaited, _)| *awaited == address) {
            // This fails if the wait has ended already.
            suspicion.send(()).ok();
        }
    }

    /// Waits until the instance at `address` is suspected to have failed.
    pub async fn suspected(&self, address: SocketAddr) {
        let (suspicion, suspected) = oneshot::channel();
        *self.suspicion.borrow_mut() = Some((address, suspicion));
        if suspected.await.is_err() {
            // A later call has replaced this one.
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

    /// Waits until the configuration or the moves change, but no longer than `limit`.
    pub async fn wait_for_change(&self, limit: Duration) {
        let (waiter, change) = oneshot::channel();
        self.add_change_waiter(waiter);
        future::timeout(limit, change).await.ok();
    }
}

/// Ends the process because replicated data cannot be decoded.
fn exit_unreadable(what: &str, error: &dyn std::error::Error) -> ! {
    log::error!("{what} cannot be decoded; stopping the instance: {error}");
    log::logger().flush();
    std::process::exit(EXIT_UNREADABLE_STATE)
}

/// Leader that granted a lease, and what it sent along.
pub struct Source {
    /// Name of the leader.
    pub leader: id::Instance,
    /// Term of the leader.
    pub term: Term,
    /// Id of the cluster.
    pub cluster: u64,
    /// Number of requests in flight at each instance.
    pub loads: BTreeMap<id::Instance, u32>,
}
