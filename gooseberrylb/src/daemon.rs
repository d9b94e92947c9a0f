//! Starts an instance, runs it, and stops it without cutting off requests in flight.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use anyhow::Context;
use async_std::task;
use gooseberrylb_config::clock::{Clock, System};
use gooseberrylb_config::dialect::Dialect;
use gooseberrylb_config::directory;
use gooseberrylb_config::finding::Findings;
use gooseberrylb_config::settings::Settings;
use gooseberrylb_control::journal::{Journal, Recovered};
use gooseberrylb_wire::handshake::Key;

use crate::control::{self, Identity};
use crate::entry::{self, Entry};
use crate::listener::{self, Limits, Listener};
use crate::operators::{self, Operators};
use crate::published::Published;
use crate::signal::{Action, Receiver};
use crate::tally::{Accumulator, Shipper};
use crate::{callers, cli, gateway, guard, logging, traffic};

/// Exit code for settings that are invalid or name something unusable.
const EXIT_USAGE: u8 = 2;

/// Exit code after an internal error.
const EXIT_INTERNAL: i32 = 70;

/// Maximum number of open connections from operators.
const MAX_OPERATOR_CONNECTIONS: usize = 256;

/// Time between two checks of whether draining or handing over is complete.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time that a connection accepted just before the listener closes has for its first request, which
/// may be on its way.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time that a planned stop waits for the handover of its schedulers and backups.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a drained instance still votes, so that instances that stop at the same time get
/// their last tallies accepted.
const VOTING_LINGER: Duration = Duration::from_secs(1);

/// Runs an instance until a signal stops it, and returns the exit code.
///
/// `dialect` translates the formats of the platform, for settings with a deployment.
pub fn run(options: cli::Options, dialect: Arc<dyn Dialect>) -> ExitCode {
    // Handlers are installed before all else, so that no signal kills a starting instance.
    let signals = match Receiver::new() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("gooseberrylb: cannot install signal handlers: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let settings = match Settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings.iter() {
                eprintln!("{}: {finding}", options.settings.display());
            }
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.check {
        print_check(&options.settings, &settings.shortfalls());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::start(&settings.log) {
        eprintln!("gooseberrylb: {error:#}");
        return ExitCode::from(EXIT_USAGE);
    }
    for finding in settings.shortfalls().iter() {
        log::warn!(finding:% = finding; "a promise of the platform leaves too little time");
    }
    exit_on_panic();
    match start(Arc::new(settings), dialect) {
        Ok(instance) => {
            task::block_on(instance.serve(signals, &options.settings));
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!("cannot start instance: {error:#}");
            eprintln!("gooseberrylb: {error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Installs a panic hook that ends the process when the control, traffic or journal thread panics.
/// Without its control state, schedulers or journal, the instance would keep answering to no use.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        if guard::is_guarded() {
            log::error!("{panic}");
            return;
        }
        let thread = std::thread::current();
        if matches!(thread.name(), Some("control" | "traffic" | "journal")) {
            log::error!("{panic}; stopping the process");
            log::logger().flush();
            std::process::exit(EXIT_INTERNAL);
        }
    }));
}

/// State shared by the parts of an instance.
struct Shared {
    identity: Identity,
    clock: Arc<dyn Clock>,
    published: Published,
    control: control::Handle,
}

/// Component that serves callers.
enum Frontend {
    /// gooseberrylb's own interface.
    Entry {
        entry: Arc<Entry>,
        callers: listener::Handle,
        shipper: task::JoinHandle<()>,
        /// Closed to have the shipper send its last tally.
        stop_shipper: async_channel::Sender<()>,
    },
    /// Gateway of a platform, which runs on the control thread.
    Gateway {
        /// Closed to start draining.
        stop: async_channel::Sender<()>,
        /// Closed by the gateway when it has drained.
        stopped: async_channel::Receiver<()>,
    },
}

/// Listeners of an instance that runs on a platform.
struct Platform {
    callers: Option<std::net::TcpListener>,
    /// Listeners of the readiness, control and directory interfaces.
    interfaces: Vec<std::net::TcpListener>,
}

impl Platform {
    /// Binds the listeners in the settings; returns `None` if the settings name no platform.
    fn bind(settings: &Settings) -> anyhow::Result<Option<Self>> {
        let Some(deployment) = &settings.deployment else {
            return Ok(None);
        };
        let named = [deployment.ready, deployment.control, deployment.directory];
        let interfaces: anyhow::Result<Vec<_>> =
            named.into_iter().flatten().map(gateway::bind).collect();
        let callers = deployment.ready.map(|_| gateway::bind(settings.callers));
        Ok(Some(Self {
            callers: callers.transpose()?,
            interfaces: interfaces?,
        }))
    }
}

/// Running instance.
struct Instance {
    settings: Arc<Settings>,
    control: control::Handle,
    published: Published,
    frontend: Frontend,
}

/// Prints the result of checking valid settings.
fn print_check(path: &Path, warnings: &Findings) {
    let path = path.display();
    for warning in warnings.iter() {
        println!("{path}: warning: {warning}");
    }
    match warnings.is_empty() {
        true => println!("{path}: no findings"),
        false => println!("{path}: no errors"),
    }
}

/// Returns the identity of an instance, whose incarnation is its start time in milliseconds.
fn identity(settings: &Settings, key: Key, clock: &dyn Clock) -> Identity {
    let since = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    Identity {
        name: settings.name.clone(),
        incarnation: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
        instance: directory::Instance {
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            callers: settings.callers,
            operators: settings.operators,
            peers: settings.peers_listen,
            leaving: false,
            entry: settings
                .deployment
                .as_ref()
                .is_none_or(|d| d.ready.is_some()),
        },
        key,
    }
}

/// Opens the journal, if the settings name a data folder.
fn open_journal(settings: &Settings) -> anyhow::Result<Option<(Journal, Recovered)>> {
    let Some(folder) = &settings.data_folder else {
        return Ok(None);
    };
    let opened = Journal::open(folder)
        .with_context(|| format!("cannot use data folder {}", folder.display()))?;
    Ok(Some(opened))
}

async fn bind(name: &'static str, address: SocketAddr, limits: Limits) -> anyhow::Result<Listener> {
    Listener::bind(name, address, limits)
        .await
        .with_context(|| format!("cannot listen on {address} for {name} (settings: {name})"))
}

fn start(settings: Arc<Settings>, dialect: Arc<dyn Dialect>) -> anyhow::Result<Instance> {
    let clock: Arc<dyn Clock> = Arc::new(System);
    let key = settings
        .cluster_key()
        .context("cannot read the cluster key")?;
    let token = settings
        .operator_token()
        .context("cannot read the operator token")?;
    let identity = identity(&settings, Key::new(key.expose().as_bytes()), &*clock);
    let idle = Duration::from_millis(settings.limits.idle_ms);
    let callers_limits = Limits {
        connections: settings.limits.connections,
        idle,
    };
    let operators_limits = Limits {
        connections: MAX_OPERATOR_CONNECTIONS,
        idle,
    };
    let platform = Platform::bind(&settings)?;
    let callers = match platform {
        Some(_) => None,
        None => Some(task::block_on(bind(
            "callers",
            settings.callers,
            callers_limits,
        ))?),
    };
    let operators = task::block_on(bind("operators", settings.operators, operators_limits))?;
    let peers = std::net::TcpListener::bind(settings.peers_listen).with_context(|| {
        format!(
            "cannot listen on {} for peers_listen",
            settings.peers_listen
        )
    })?;
    let journal = open_journal(&settings)?;

    let published = Published::new();
    let (control, requests) = control::Handle::new();
    let (accepted, links) = async_channel::bounded(1024);
    let (stops, stop_callers) = async_channel::bounded(1);
    let (stopped, callers_stopped) = async_channel::bounded(1);
    let on_platform = platform.is_some();
    let gateway = platform.map(|platform| gateway::Start {
        dialect,
        control: control.clone(),
        stop: stop_callers,
        stopped,
        callers: platform.callers,
        interfaces: platform.interfaces,
    });
    control::spawn(control::Start {
        settings: settings.clone(),
        identity: identity.clone(),
        journal,
        listener: peers,
        traffic: accepted,
        clock: clock.clone(),
        published: published.clone(),
        requests,
        shared: control.shared.clone(),
        gateway,
    })
    .context("cannot start the control thread")?;
    let frontend = if on_platform {
        Frontend::Gateway {
            stop: stops,
            stopped: callers_stopped,
        }
    } else {
        let shared = Shared {
            identity: identity.clone(),
            clock: clock.clone(),
            published: published.clone(),
            control: control.clone(),
        };
        start_entry(&settings, &shared, callers, links)?
    };
    let state = Operators {
        identity,
        clock,
        control: control.clone(),
        token,
    };
    task::spawn(operators.run(operators::app(Arc::new(state))));
    log::info!(
        "instance started: name {}, callers {}",
        settings.name,
        settings.callers
    );
    Ok(Instance {
        settings,
        control,
        published,
        frontend,
    })
}

/// Starts gooseberrylb's own interface for callers, with the traffic thread behind it.
fn start_entry(
    settings: &Arc<Settings>,
    shared: &Shared,
    callers: Option<Listener>,
    links: async_channel::Receiver<control::Accepted>,
) -> anyhow::Result<Frontend> {
    let callers = callers.context("the listener for callers is missing")?;
    let (traffic, commands) = traffic::Handle::new();
    traffic::spawn(traffic::Start {
        identity: shared.identity.clone(),
        settings: settings.clone(),
        clock: shared.clock.clone(),
        published: shared.published.clone(),
        accepted: links,
        commands,
        control: shared.control.clone(),
    })
    .context("cannot start the traffic thread")?;
    let tallies = Arc::new(Accumulator::default());
    let shipper = Shipper::new(
        shared.identity.clone(),
        shared.clock.clone(),
        tallies.clone(),
        shared.control.clone(),
    );
    let (stop_shipper, stopped) = async_channel::bounded(1);
    let shipper = task::spawn(shipper.run(stopped));
    let entry = Entry::new(entry::Parts {
        identity: shared.identity.clone(),
        clock: shared.clock.clone(),
        published: shared.published.clone(),
        traffic,
        tallies,
        limits: settings.limits.clone(),
        shared: shared.control.shared.clone(),
    });
    let handle = callers.handle();
    task::spawn(callers.run(callers::app(entry.clone())));
    Ok(Frontend::Entry {
        entry,
        callers: handle,
        shipper,
        stop_shipper,
    })
}

impl Instance {
    /// Serves until a signal requests a stop, then drains, hands over and returns.
    async fn serve(mut self, mut signals: Receiver, path: &Path) {
        let signal = loop {
            match signals.next().await {
                Action::Stop(signal) => break signal,
                Action::Reload => self.reload(path),
            }
        };
        log::info!(
            "received {signal}: stopping instance {}",
            self.settings.name
        );
        self.control.leave();
        if let Frontend::Gateway { stop, stopped } = &self.frontend {
            stop.close();
            // The gateway closes the channel when it has drained, and never sends on it.
            stopped.recv().await.ok();
        } else {
            self.drain().await;
            self.hand_over().await;
            task::sleep(VOTING_LINGER).await;
        }
        log::info!("instance {} stopped", self.settings.name);
        log::logger().flush();
    }

    /// Reads the settings again and logs whether they have changed. A change takes effect at the
    /// next start only: addresses, limits and keys stay those of the start, so that no connection
    /// is cut.
    fn reload(&self, path: &Path) {
        match Settings::load(path) {
            Ok(settings) if settings == *self.settings => {
                log::info!("received SIGHUP: settings are unchanged");
            }
            Ok(_) => log::info!(
                "received SIGHUP: settings have changed and take effect at the next start"
            ),
            Err(findings) => {
                for finding in findings.iter() {
                    log::warn!(
                        finding:% = finding;
                        "received SIGHUP: settings are invalid and cannot be used at the next start"
                    );
                }
            }
        }
    }

    /// Keeps serving until the addresses that callers have cached expire, then waits for the
    /// requests in flight up to the configured limit.
    async fn drain(&mut self) {
        let Frontend::Entry {
            entry,
            callers,
            shipper,
            stop_shipper,
        } = &mut self.frontend
        else {
            return;
        };
        let limits = &self.settings.limits;
        callers.close_after_requests();
        task::sleep(Duration::from_millis(limits.addresses_ttl_ms)).await;
        let clock = System;
        let end = clock.now() + Duration::from_millis(limits.drain_ms);
        while (entry.in_flight() > 0 || callers.busy() > 0) && clock.now() < end {
            task::sleep(DRAIN_INTERVAL).await;
        }
        callers.stop();
        // Connections that crossed the close still get their answers.
        let unread_until = end.min(clock.now() + FIRST_REQUEST_TIMEOUT);
        let is_pending = || {
            let now = clock.now();
            let is_unread = callers.unread() > 0 && now < unread_until;
            let is_open = !callers.is_closed() || is_unread;
            now < end && (is_open || entry.in_flight() > 0 || callers.busy() > 0)
        };
        while is_pending() {
            task::sleep(DRAIN_INTERVAL).await;
        }
        let left = entry.in_flight();
        if left > 0 {
            log::warn!("drain time limit reached with {left} requests in flight");
        }
        // The last tally is sent before the handover: when all instances stop at once, there is
        // still a quorum to accept it.
        stop_shipper.close();
        shipper.await;
    }

    /// Waits until no cell is scheduled or backed up here, so that no claims are lost with this
    /// instance.
    async fn hand_over(&self) {
        let clock = System;
        let end = clock.now() + HANDOVER_TIMEOUT;
        while self.has_pending_handover() && clock.now() < end {
            task::sleep(DRAIN_INTERVAL).await;
        }
    }

    /// Whether this instance still has a scheduler or backup that another instance can take over.
    fn has_pending_handover(&self) -> bool {
        let snapshot = self.published.read();
        let name = &self.settings.name;
        let all_leaving = snapshot
            .directory
            .instances
            .values()
            .all(|instance| instance.leaving);
        let views = &snapshot.directory.views;
        let is_member = views
            .iter()
            .any(|(_, v)| v.scheduler == *name || v.backups.contains(name));
        is_member && !all_leaving && snapshot.is_fresh(System.now())
    }
}
