//! The way of declared requests: from a caller's connection to an upstream and back, byte for byte.
//!
//! A request enters at one entry and is sent on by that entry alone, so that "once at most" rests
//! with it. `docs/PLATFORM.md` tells how the parts fit together.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use async_std::net::TcpListener;
use async_std::{future, task};
use futures::channel::oneshot;
use gooseberrylb_config::declaration::{Limits, Route, Table};
use gooseberrylb_config::dialect::Dialect;
use gooseberrylb_config::id;
use gooseberrylb_config::number::Revision;
use gooseberrylb_config::settings::Deployment;
use gooseberrylb_policy::retry::Budget;
use rand::Rng;

use crate::control::{Core, Handle};
use crate::metrics::METRICS;
use http::Connection;
use place::Placer;
use pool::Pool;

pub mod caller;
pub mod events;
pub mod forward;
pub mod http;
pub mod interfaces;
mod place;
pub mod pool;
pub mod relay;
pub mod session;
pub mod table;

/// The connections that wait to be accepted; what finds no place is dropped and comes again late.
const BACKLOG: i32 = 1024;

/// How long after a planned stop began idle connections are closed. Callers know by then that the
/// entry leaves, so that no request crosses the close.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2500);

/// The time between two looks for kept connections whose time is over.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two looks for a fresh configuration while requests wait for one.
const FRESH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The part of the allowed share that requests earn: requests of the platform's window are counted at
/// other moments than here.
const RETRY_SHARE_FACTOR: f64 = 0.5;

/// What a planned stop leaves of its time for the process to end by itself.
const EXIT_RESERVE: Duration = Duration::from_millis(700);

/// The time between two looks at whether everything was answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long an instance goes on after the last request, so that callers that kept its address a
/// little longer than told are still served.
const MIN_DRAIN: Duration = Duration::from_millis(4500);

/// Serves callers at one entry.
pub struct Gateway {
    /// This instance's part of the control state.
    pub core: Rc<Core>,
    /// The platform's way to speak.
    pub dialect: Arc<dyn Dialect>,
    /// Finds upstreams for requests.
    pub placer: Rc<Placer>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// How many requests may be sent twice.
    pub budget: RefCell<Budget>,
    budget_revision: Cell<Option<Revision>>,
    open_requests: Cell<usize>,
    connections: Cell<usize>,
    leaving: Cell<bool>,
    fresh_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    close_idle: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Gateway {
    fn new(core: Rc<Core>, dialect: Arc<dyn Dialect>, deployment: &Deployment) -> Rc<Self> {
        let now = core.clock.now();
        // The slack is the fleet's, and nothing is known of the fleet yet.
        let share = deployment.retry_share * RETRY_SHARE_FACTOR;
        let budget = Budget::new(share, 0.0, deployment.retry_window_s, now);
        Rc::new(Self {
            placer: Placer::new(core.clone()),
            core,
            dialect,
            pool: Pool::default(),
            budget: RefCell::new(budget),
            budget_revision: Cell::new(None),
            open_requests: Cell::new(0),
            connections: Cell::new(0),
            leaving: Cell::new(false),
            fresh_waiters: RefCell::default(),
            close_idle: async_channel::bounded(1),
        })
    }

    /// The declaration in force.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.core.table(&self.core.published().directory)
    }

    /// Whether the configuration may be acted on.
    pub fn is_fresh(&self) -> bool {
        self.core.published().is_fresh(self.core.clock.now())
    }

    /// Waits until the configuration may be acted on, or for as long as `limit`.
    pub async fn wait_until_fresh(self: &Rc<Self>, limit: Duration) {
        if self.is_fresh() && self.table().is_some() {
            return;
        }
        let (waiter, wait_until_fresh) = oneshot::channel();
        let watched = {
            let mut waiters = self.fresh_waiters.borrow_mut();
            waiters.push(waiter);
            waiters.len() > 1
        };
        if !watched {
            task::spawn_local(watch_for_fresh(self.clone()));
        }
        future::timeout(limit, wait_until_fresh).await.ok();
    }

    /// Whether a planned stop is under way.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Whether callers are served here.
    pub fn is_ready(&self) -> bool {
        let has_upstreams = !self.core.published().directory.listed.is_empty();
        !self.is_leaving() && self.is_fresh() && has_upstreams && self.table().is_some()
    }

    /// Takes in a request that may be repeated later.
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

    /// What callers may send.
    pub fn limits(&self) -> Limits {
        self.table()
            .map_or_else(Limits::default, |table| table.declaration.limits)
    }

    /// The largest answer that is read as a whole.
    pub fn body_limit(&self) -> usize {
        Limits::default().body_bytes
    }

    /// One of a route's services, by their weights.
    pub fn pick_target(&self, route: &Route) -> id::Service {
        let total: u32 = route.targets.iter().map(|target| target.weight).sum();
        let mut left = match total {
            0 | 1 => 0,
            total => rand::rng().random_range(0..total),
        };
        for target in &route.targets {
            match left.checked_sub(target.weight) {
                Some(rest) => left = rest,
                None => return target.service.clone(),
            }
        }
        // The weights were checked not to add up to nothing.
        route.targets[0].service.clone()
    }

    /// Ends when idle connections are to be closed.
    pub async fn idle_close(&self) {
        // The channel carries nothing; it is closed.
        self.close_idle.1.recv().await.ok();
    }

    fn begin_request(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
        METRICS.in_flight.inc();
        let open_requests = u32::try_from(self.open_requests.get()).unwrap_or(u32::MAX);
        let load = &self.core.shared.load;
        load.store(open_requests, std::sync::atomic::Ordering::Relaxed);
    }

    fn finish_request(&self) {
        self.open_requests.set(self.open_requests.get() - 1);
        METRICS.in_flight.dec();
    }
}

/// What runs on the control thread beside the control state.
pub struct Start {
    /// The platform's way to speak.
    pub dialect: Arc<dyn Dialect>,
    /// The way to the leader.
    pub control: Handle,
    /// Told once a planned stop has begun.
    pub stop: async_channel::Receiver<()>,
    /// Closed when the process may end.
    pub stopped: async_channel::Sender<()>,
    /// The listener for callers, where this is an entry.
    pub callers: Option<std::net::TcpListener>,
    /// The listeners of the other interfaces.
    pub interfaces: Vec<std::net::TcpListener>,
}

/// Binds a listener with room for a burst of new connections.
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

/// Starts everything on the current thread.
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
    }
    let grace = Duration::from_secs(deployment.grace_s);
    task::spawn_local(async move {
        start.stop.recv().await.ok();
        if serves_callers {
            drain(&gateway, grace).await;
        }
        start.stopped.close();
    });
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    let most = gateway.core.settings.limits.connections;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "a caller's connection cannot be accepted");
                task::sleep(DRAIN_POLL_INTERVAL).await;
                continue;
            }
        };
        if gateway.connections.get() >= most {
            METRICS
                .connections_refused
                .with_label_values(&["callers"])
                .inc();
            continue;
        }
        gateway.connections.set(gateway.connections.get() + 1);
        let gateway = gateway.clone();
        task::spawn_local(async move {
            caller::serve(gateway.clone(), Connection::new(stream)).await;
            gateway.connections.set(gateway.connections.get() - 1);
        });
    }
}

/// Wakes those that wait for a fresh configuration, once there is one or nobody waits.
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

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        task::sleep(POOL_SWEEP_INTERVAL).await;
        gateway.pool.sweep(gateway.core.clock.now());
    }
}

/// Answers what callers still send until they know better, and then what is under way.
async fn drain(gateway: &Gateway, grace: Duration) {
    let began = gateway.core.clock.now();
    gateway.leaving.set(true);
    task::sleep(IDLE_CLOSE_DELAY).await;
    gateway.close_idle.0.close();
    loop {
        let passed = gateway.core.clock.now().saturating_duration_since(began);
        let done = gateway.open_requests.get() == 0 && passed >= MIN_DRAIN;
        if done || passed + EXIT_RESERVE >= grace {
            let open_requests = gateway.open_requests.get();
            log::info!(open_requests = open_requests, ms = passed.as_millis() as u64; "callers are served no more");
            return;
        }
        task::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
