//! Gateway of an entry, that is, an instance that takes requests from callers on a platform. It
//! forwards requests to upstreams and the responses back.
//!
//! Targets, bodies and header fields are forwarded byte for byte, except for fields that concern a
//! single connection or that the platform adapter withholds or adds. The entry that receives a
//! request is the only one that sends it to upstreams, so it alone ensures that a request that must
//! not be repeated runs at most once. `docs/PLATFORM.md` describes how the parts work together.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use async_std::net::TcpListener;
use async_std::{future, task};
use futures::channel::oneshot;
use gooseberrylb_config::declaration::{Limits, Route, Table};
use gooseberrylb_config::dialect::Dialect;
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Bytes, Revision};
use gooseberrylb_config::settings::Deployment;
use gooseberrylb_policy::drain::Drain;
use gooseberrylb_policy::reach::Reach;
use gooseberrylb_policy::retry::Budget;
use rand::Rng;

use crate::control::{Core, Handle};
use crate::guard;
use crate::metrics::METRICS;
use caller::Origin;
use delegate::Delegates;
use http::Connection;
use place::Placer;
use pool::Pool;

mod backpressure;
pub mod caller;
mod delegate;
pub mod events;
pub mod forward;
pub mod http;
pub mod interfaces;
pub mod memory;
mod place;
pub mod pool;
mod reach;
pub mod relay;
pub mod session;
pub mod table;

/// Maximum number of connections waiting to be accepted. Beyond it, the kernel drops SYN packets,
/// and their connections are delayed by retransmission.
const BACKLOG: i32 = 1024;

/// Time from the start of a planned stop until idle connections are closed. By then callers know
/// that the entry is leaving and send no more requests that could cross the close.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2500);

/// Interval at which expired connections are removed from the pool and a lost session with the
/// dispatcher is replaced.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the configuration is checked while requests wait for a fresh one.
const FRESH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fraction of the allowed retry share that requests add to the budget. The margin is needed
/// because the platform's window for counting requests begins at other times than the window here.
const RETRY_SHARE_FACTOR: f64 = 0.5;

/// Time at the end of a planned stop for the last responses, of requests whose time ends with it.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(200);

/// Share of the process's memory for the bodies of requests, and for those of responses.
const REQUEST_MEMORY_DIVISOR: u64 = 3;
const RESPONSE_MEMORY_DIVISOR: u64 = 8;

/// Interval at which a planned stop checks for open requests. Also the delay after a failed accept.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the end of a planned stop checks for open requests.
const LAST_RESPONSES_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Minimum time from the start of a planned stop for which requests are served, for callers that
/// keep the entry's address slightly longer than its time to live.
const MIN_DRAIN: Duration = Duration::from_millis(4500);

/// State of an entry's gateway, shared by all its connections.
pub struct Gateway {
    /// This instance's part of the control state.
    pub core: Rc<Core>,
    /// Adapter to the platform's formats.
    pub dialect: Arc<dyn Dialect>,
    /// Placement of requests on upstreams.
    pub placer: Rc<Placer>,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// Entries that requests are delegated to.
    delegates: Delegates,
    /// Whether this entry reaches the upstreams.
    reach: RefCell<Reach>,
    /// Time of the last failure whose reason is being looked for.
    suspected_at: Cell<Option<Instant>>,
    /// Retry budget of this entry.
    pub budget: RefCell<Budget>,
    /// Configuration revision that the slack of `budget` was computed from.
    budget_revision: Cell<Option<Revision>>,
    /// Number of requests received but not answered yet.
    open_requests: Cell<usize>,
    /// Bytes of responses that wait for callers.
    pub held: backpressure::Held,
    /// Memory for the bodies of requests.
    request_memory: Rc<memory::Budget>,
    /// Memory for the bodies of responses that are read in full. It is separate, since requests keep
    /// their memory until they have a response.
    response_memory: Rc<memory::Budget>,
    /// Number of callers' connections.
    connections: Cell<usize>,
    /// Planned stop in progress, if any.
    drain: Cell<Option<Drain>>,
    /// Whether the process is about to exit and takes no more requests.
    exiting: Cell<bool>,
    /// Requests that wait for a fresh configuration.
    fresh_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Channel that is closed when idle connections are to be closed. It carries no messages.
    close_idle: (async_channel::Sender<()>, async_channel::Receiver<()>),
    /// Channel that is closed when the grace period is nearly over. It carries no messages.
    end: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Gateway {
    fn new(core: Rc<Core>, dialect: Arc<dyn Dialect>, deployment: &Deployment) -> Rc<Self> {
        let now = core.clock.now();
        // The slack is divided among all entries, whose number is not known yet.
        let share = deployment.retry_share * RETRY_SHARE_FACTOR;
        let budget = Budget::new(share, 0.0, deployment.retry_window_s, now);
        let memory = core.settings.limits.memory().0;
        Rc::new(Self {
            placer: Placer::new(core.clone()),
            core,
            dialect,
            pool: Pool::default(),
            delegates: Delegates::default(),
            reach: RefCell::default(),
            suspected_at: Cell::new(None),
            budget: RefCell::new(budget),
            budget_revision: Cell::new(None),
            open_requests: Cell::new(0),
            held: backpressure::Held::default(),
            request_memory: memory::Budget::new(Bytes(memory / REQUEST_MEMORY_DIVISOR)),
            response_memory: memory::Budget::new(Bytes(memory / RESPONSE_MEMORY_DIVISOR)),
            connections: Cell::new(0),
            drain: Cell::new(None),
            exiting: Cell::new(false),
            fresh_waiters: RefCell::default(),
            close_idle: async_channel::bounded(1),
            end: async_channel::bounded(1),
        })
    }

    /// Returns the table of the declaration in force, if there is one.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.core.table(&self.core.published().directory)
    }

    /// Whether the configuration is recent enough to act on.
    pub fn is_fresh(&self) -> bool {
        self.core.published().is_fresh(self.core.clock.now())
    }

    /// Returns the time since the leader confirmed that the configuration was the latest.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        let left = self.core.published().fresh_until?;
        let left = left.saturating_duration_since(now);
        Some(self.core.lease_duration().saturating_sub(left))
    }

    /// Waits until the configuration is fresh and has a declaration, but no longer than `limit`.
    pub async fn wait_until_fresh(self: &Rc<Self>, limit: Duration) {
        if self.is_fresh() && self.table().is_some() {
            return;
        }
        let (waiter, fresh) = oneshot::channel();
        let is_watched = {
            let mut waiters = self.fresh_waiters.borrow_mut();
            waiters.push(waiter);
            waiters.len() > 1
        };
        if !is_watched {
            task::spawn_local(watch_for_fresh(self.clone()));
        }
        future::timeout(limit, fresh).await.ok();
    }

    /// Whether a planned stop is in progress.
    pub fn is_leaving(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Whether a request that takes at most `limit` is taken now: always, except late in a planned
    /// stop.
    pub fn admits(&self, limit: Duration) -> bool {
        if self.exiting.get() {
            return false;
        }
        let now = self.core.clock.now();
        self.drain
            .get()
            .is_none_or(|drain| drain.admits(now, limit))
    }

    /// Whether this entry can serve callers.
    pub fn is_ready(&self) -> bool {
        let has_upstreams = !self.core.published().directory.listed.is_empty();
        !self.is_leaving() && self.is_fresh() && has_upstreams && self.table().is_some()
    }

    /// Adds a request to the retry budget. Updates the slack first if the configuration changed.
    fn deposit_retry(&self) {
        let published = self.core.published();
        let now = self.core.clock.now();
        let mut budget = self.budget.borrow_mut();
        let revision = Some(published.directory.revision);
        if let Some(deployment) = &self.core.settings.deployment
            && self.budget_revision.replace(revision) != revision
        {
            let instances = published.directory.instances.values();
            let entries = instances.filter(|instance| instance.entry).count().max(1);
            let slack = deployment.retry_slack / entries as f64;
            budget.set_slack(slack, deployment.retry_window_s, now);
        }
        budget.deposit(now);
    }

    /// Returns the limits for callers' requests.
    pub fn limits(&self) -> Limits {
        self.table()
            .map_or_else(Limits::default, |table| table.declaration.limits)
    }

    /// Returns the maximum size in bytes of responses that are read in full.
    pub fn body_limit(&self) -> usize {
        Limits::default().body_bytes
    }

    /// Picks one of the route's services at random, by weight.
    pub fn pick_target(&self, route: &Route) -> id::Service {
        let total: u32 = route.targets.iter().map(|target| target.weight).sum();
        let mut remaining = match total {
            0 | 1 => 0,
            total => rand::rng().random_range(0..total),
        };
        for target in &route.targets {
            match remaining.checked_sub(target.weight) {
                Some(rest) => remaining = rest,
                None => return target.service.clone(),
            }
        }
        // Not reached: declarations in which all weights of a route are 0 are rejected.
        route.targets[0].service.clone()
    }

    /// Waits until idle connections are to be closed.
    pub async fn idle_close(&self) {
        // No message is ever sent; the wait ends when the channel is closed.
        self.close_idle.1.recv().await.ok();
    }

    /// Waits until the grace period of a planned stop is nearly over.
    pub async fn end_of_grace(&self) {
        // No message is ever sent; the wait ends when the channel is closed.
        self.end.1.recv().await.ok();
    }

    /// Counts a request that was received, until the returned value is dropped.
    fn begin_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        METRICS.in_flight.inc();
        let open_requests = u32::try_from(self.open_requests.get()).unwrap_or(u32::MAX);
        let load = &self.core.shared.load;
        load.store(open_requests, std::sync::atomic::Ordering::Relaxed);
        OpenRequest(self.clone())
    }
}

/// A request that was received and has not ended.
struct OpenRequest(Rc<Gateway>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
        METRICS.in_flight.dec();
    }
}

/// Parameters of [`start`].
pub struct Start {
    /// Adapter to the platform's formats.
    pub dialect: Arc<dyn Dialect>,
    /// Handle for proposals and queries to the leader.
    pub control: Handle,
    /// Closed when a planned stop begins; carries no messages.
    pub stop: async_channel::Receiver<()>,
    /// Closed when the process may exit.
    pub stopped: async_channel::Sender<()>,
    /// Listener for callers, if this instance is an entry.
    pub callers: Option<std::net::TcpListener>,
    /// Listeners of the platform interfaces.
    pub interfaces: Vec<std::net::TcpListener>,
}

/// Binds a listener whose backlog holds a burst of new connections.
pub fn bind(address: SocketAddr) -> anyhow::Result<std::net::TcpListener> {
    let bound = || {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok::<_, std::io::Error>(socket.into())
    };
    bound().with_context(|| format!("cannot listen on {address}"))
}

/// Starts the gateway and the platform interfaces on the current thread, which is the control
/// thread.
pub fn start(core: Rc<Core>, start: Start) {
    let Some(deployment) = core.settings.deployment.clone() else {
        return;
    };
    let gateway = Gateway::new(core.clone(), start.dialect.clone(), &deployment);
    let ready = gateway.clone();
    let interfaces = Rc::new(interfaces::Interfaces {
        core: core.clone(),
        control: start.control,
        dialect: start.dialect,
        is_ready: Box::new(move || ready.is_ready()),
    });
    for listener in start.interfaces {
        task::spawn_local(interfaces::serve(
            interfaces.clone(),
            TcpListener::from(listener),
        ));
    }
    let serves_callers = start.callers.is_some();
    if let Some(listener) = start.callers {
        task::spawn_local(accept(gateway.clone(), TcpListener::from(listener)));
        task::spawn_local(sweep(gateway.clone()));
        task::spawn_local(accept_delegated(gateway.clone()));
    }
    let grace = deployment.grace();
    task::spawn_local(async move {
        start.stop.recv().await.ok();
        if serves_callers {
            drain(&gateway, grace).await;
        }
        start.stopped.close();
    });
}

/// Accepts callers' connections up to the configured number and closes those beyond it.
async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    let max_connections = gateway.core.settings.limits.connections;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "accepting a caller's connection failed");
                task::sleep(DRAIN_POLL_INTERVAL).await;
                continue;
            }
        };
        if gateway.connections.get() >= max_connections {
            METRICS
                .connections_refused
                .with_label_values(&["callers"])
                .inc();
            continue;
        }
        gateway.connections.set(gateway.connections.get() + 1);
        let gateway = gateway.clone();
        task::spawn_local(async move {
            let connection = Connection::new(stream);
            let serving = caller::serve(gateway.clone(), connection, Origin::Caller);
            guard::run("a caller", serving).await;
            gateway.connections.set(gateway.connections.get() - 1);
        });
    }
}

/// Serves the connections on which other entries delegate requests.
async fn accept_delegated(gateway: Rc<Gateway>) {
    while let Ok(accepted) = gateway.core.delegated.1.recv().await {
        let origin = Origin::Entry(accepted.greeting.instance);
        let connection = Connection::new(accepted.stream);
        let serving = caller::serve(gateway.clone(), connection, origin);
        task::spawn_local(guard::run("another entry", serving));
    }
}

/// Wakes the waiting requests once the configuration is fresh. Ends when no request waits.
async fn watch_for_fresh(gateway: Rc<Gateway>) {
    loop {
        task::sleep(FRESH_POLL_INTERVAL).await;
        let mut waiters = gateway.fresh_waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_canceled());
        if gateway.is_fresh() && gateway.table().is_some() {
            for waiter in waiters.drain(..) {
                waiter.send(()).ok();
            }
        }
        if waiters.is_empty() {
            return;
        }
    }
}

/// Removes expired connections from the pool at regular intervals, and keeps a session with the
/// dispatcher. Without one, an entry without requests would neither tell a new dispatcher what it
/// knows nor learn from it.
async fn sweep(gateway: Rc<Gateway>) {
    loop {
        task::sleep(POOL_SWEEP_INTERVAL).await;
        let now = gateway.core.clock.now();
        gateway.pool.sweep(now);
        gateway.delegates.sweep(now);
        gateway.placer.keep_session();
    }
}

/// Serves requests during a planned stop, until callers have moved to other entries and all
/// requests have ended, or until the grace period is nearly over.
async fn drain(gateway: &Gateway, grace: Duration) {
    let drain = Drain::new(gateway.core.clock.now(), grace);
    gateway.drain.set(Some(drain));
    task::sleep(IDLE_CLOSE_DELAY).await;
    gateway.close_idle.0.close();
    loop {
        let now = gateway.core.clock.now();
        let elapsed = drain.elapsed(now);
        let done = gateway.open_requests.get() == 0 && elapsed >= MIN_DRAIN;
        // A request that arrives from now on is refused, and not cut off by the exit.
        let was_exiting = gateway.exiting.replace(done || gateway.exiting.get());
        let is_over = drain.is_over(now);
        if is_over {
            end_open_requests(gateway).await;
        }
        if (done && was_exiting) || is_over {
            let open_requests = gateway.open_requests.get();
            log::info!(open = open_requests, ms = elapsed.as_millis() as u64; "stopped serving callers");
            return;
        }
        task::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Has the requests that wait for an upstream answered before the process exits.
async fn end_open_requests(gateway: &Gateway) {
    gateway.exiting.set(true);
    gateway.end.0.close();
    let clock = &gateway.core.clock;
    let end = clock.now() + LAST_RESPONSES_TIME;
    while gateway.open_requests.get() > 0 && clock.now() < end {
        task::sleep(LAST_RESPONSES_POLL_INTERVAL).await;
    }
}
