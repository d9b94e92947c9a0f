//! Starts an instance, runs it, and stops it without cutting a request.

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
use gooseberrylb_config::settings::Settings;
use gooseberrylb_control::journal::{Journal, Recovered};
use gooseberrylb_wire::handshake::Key;

use crate::control::{self, Identity};
use crate::entry::{self, Entry};
use crate::listener::{self, Limits, Listener};
use crate::operators::{self, Operators};
use crate::published::Published;
use crate::signal::{Order, Orders};
use crate::tally::{Accumulator, Shipper};
use crate::{callers, cli, gateway, logging, traffic};

/// The exit code where the settings or what they name cannot be used.
const EXIT_USAGE: u8 = 2;

/// The exit code after a fault of the program itself.
const EXIT_INTERNAL: i32 = 70;

/// The most operators' connections open at once.
const OPERATOR_CONNECTIONS: usize = 256;

/// The pause between two looks at what is still in flight.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// How long a planned stop waits for its schedulers and backups to be handed over.
const HAND_OVER: Duration = Duration::from_secs(10);

/// How long an instance with nothing left to do still votes, so that others which stop at the same
/// time get their last tallies accepted.
const LINGER: Duration = Duration::from_secs(1);

/// Runs an instance until it is told to stop; the exit code says how it went.
///
/// `dialect` is how the platform speaks, for settings that name one.
pub fn run(options: cli::Options, dialect: Arc<dyn Dialect>) -> ExitCode {
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
        println!("{}: no findings", options.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::start(&settings.log) {
        eprintln!("gooseberrylb: {error:#}");
        return ExitCode::from(EXIT_USAGE);
    }
    stop_at_panics();
    // Before anything else, so that no signal ends a process that is about to serve.
    let orders = match Orders::new() {
        Ok(orders) => orders,
        Err(error) => {
            log::error!("cannot listen for signals: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match start(Arc::new(settings), dialect) {
        Ok(instance) => {
            task::block_on(instance.serve(orders, &options.settings));
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!("cannot start: {error:#}");
            eprintln!("gooseberrylb: {error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Ends the process when one of its single threads panics: without its control state, its schedulers
/// or its journal, an instance would go on answering and be of no use.
fn stop_at_panics() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        let thread = std::thread::current();
        if matches!(thread.name(), Some("control" | "traffic" | "journal")) {
            log::error!("{panic}; this instance stops");
            log::logger().flush();
            std::process::exit(EXIT_INTERNAL);
        }
    }));
}

/// What the parts of an instance share.
struct Seat {
    identity: Identity,
    clock: Arc<dyn Clock>,
    published: Published,
    control: control::Handle,
}

/// What serves callers.
enum Part {
    /// The product's own interface.
    Entry {
        entry: Arc<Entry>,
        callers: listener::Handle,
        shipper: task::JoinHandle<()>,
        end_of_tallies: async_channel::Sender<()>,
    },
    /// The gateway of a platform, which runs on the control thread.
    Gateway {
        stop: async_channel::Sender<()>,
        stopped: async_channel::Receiver<()>,
    },
}

/// The listeners of an instance that runs on a platform.
struct Platform {
    callers: Option<std::net::TcpListener>,
    interfaces: Vec<std::net::TcpListener>,
}

impl Platform {
    /// Binds what the settings name; none where they name no platform.
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

/// A started instance.
struct Instance {
    settings: Arc<Settings>,
    control: control::Handle,
    published: Published,
    part: Part,
}

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

fn open_journal(settings: &Settings) -> anyhow::Result<Option<(Journal, Recovered)>> {
    let Some(folder) = &settings.data_folder else {
        return Ok(None);
    };
    let opened = Journal::open(folder)
        .with_context(|| format!("the data folder {} cannot be used", folder.display()))?;
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
        .context("the cluster's key cannot be read")?;
    let token = settings
        .operator_token()
        .context("the operators' token cannot be read")?;
    let identity = identity(&settings, Key::new(key.expose().as_bytes()), &*clock);
    let idle = Duration::from_millis(settings.limits.idle_ms);
    let callers_limits = Limits {
        connections: settings.limits.connections,
        idle,
    };
    let operators_limits = Limits {
        connections: OPERATOR_CONNECTIONS,
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
    let part = if on_platform {
        Part::Gateway {
            stop: stops,
            stopped: callers_stopped,
        }
    } else {
        let seat = Seat {
            identity: identity.clone(),
            clock: clock.clone(),
            published: published.clone(),
            control: control.clone(),
        };
        start_entry(&settings, &seat, callers, links)?
    };
    let state = Operators {
        identity,
        clock,
        control: control.clone(),
        token,
    };
    task::spawn(operators.run(operators::app(Arc::new(state))));
    log::info!("{} serves callers on {}", settings.name, settings.callers);
    Ok(Instance {
        settings,
        control,
        published,
        part,
    })
}

/// Starts the product's own interface for callers, with the schedulers behind it.
fn start_entry(
    settings: &Arc<Settings>,
    seat: &Seat,
    callers: Option<Listener>,
    links: async_channel::Receiver<control::Accepted>,
) -> anyhow::Result<Part> {
    let callers = callers.context("there is no listener for callers")?;
    let (traffic, commands) = traffic::Handle::new();
    traffic::spawn(traffic::Start {
        identity: seat.identity.clone(),
        settings: settings.clone(),
        clock: seat.clock.clone(),
        published: seat.published.clone(),
        accepted: links,
        commands,
        control: seat.control.clone(),
    })
    .context("cannot start the traffic thread")?;
    let tallies = Arc::new(Accumulator::default());
    let shipper = Shipper::new(
        seat.identity.clone(),
        seat.clock.clone(),
        tallies.clone(),
        seat.control.clone(),
    );
    let (end_of_tallies, stopped) = async_channel::bounded(1);
    let shipper = task::spawn(shipper.run(stopped));
    let entry = Entry::new(entry::Parts {
        identity: seat.identity.clone(),
        clock: seat.clock.clone(),
        published: seat.published.clone(),
        traffic,
        tallies,
        limits: settings.limits.clone(),
        shared: seat.control.shared.clone(),
    });
    let handle = callers.handle();
    task::spawn(callers.run(callers::app(entry.clone())));
    Ok(Part::Entry {
        entry,
        callers: handle,
        shipper,
        end_of_tallies,
    })
}

impl Instance {
    /// Serves until a signal comes, then stops in good order.
    async fn serve(mut self, mut orders: Orders, path: &Path) {
        let signal = loop {
            match orders.next().await {
                Order::Stop(signal) => break signal,
                Order::Reload => self.reload(path),
            }
        };
        log::info!("{signal}: {} leaves", self.settings.name);
        self.control.leave();
        if let Part::Gateway { stop, stopped } = &self.part {
            stop.close();
            // Closed once callers are served no more; nothing is ever sent.
            stopped.recv().await.ok();
        } else {
            self.drain().await;
            self.hand_over().await;
            task::sleep(LINGER).await;
        }
        log::info!("{} has stopped", self.settings.name);
        log::logger().flush();
    }

    /// Looks at the settings anew. Addresses, limits and keys are those of the start for as long as
    /// the process runs, so that is told and nothing is cut.
    fn reload(&self, path: &Path) {
        match Settings::load(path) {
            Ok(settings) if settings == *self.settings => {
                log::info!("SIGHUP: the settings are as they were");
            }
            Ok(_) => log::info!("SIGHUP: the settings have changed; they hold from the next start"),
            Err(findings) => {
                for finding in findings.iter() {
                    log::warn!(finding:% = finding; "SIGHUP: the settings cannot be used at the next start");
                }
            }
        }
    }

    /// Goes on serving until callers have stopped using the addresses that they keep, then waits for
    /// the requests in flight, but not for ever.
    async fn drain(&mut self) {
        let Part::Entry {
            entry,
            callers,
            shipper,
            end_of_tallies,
        } = &mut self.part
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
        let left = entry.in_flight();
        if left > 0 {
            log::warn!("{left} requests were still in flight when the time to drain was over");
        }
        // The last tally goes before the hand-over: when all instances stop at once, there is still a
        // quorum to take it.
        end_of_tallies.close();
        shipper.await;
    }

    /// Waits until no cell is scheduled or backed up here, so that no claim leaves with it.
    async fn hand_over(&self) {
        let clock = System;
        let end = clock.now() + HAND_OVER;
        while self.is_needed() && clock.now() < end {
            task::sleep(DRAIN_INTERVAL).await;
        }
    }

    fn is_needed(&self) -> bool {
        let snapshot = self.published.read();
        let name = &self.settings.name;
        let alone = snapshot
            .directory
            .instances
            .values()
            .all(|instance| instance.leaving);
        let views = &snapshot.directory.views;
        let member = views
            .iter()
            .any(|(_, v)| v.scheduler == *name || v.backups.contains(name));
        member && !alone && snapshot.is_fresh(System.now())
    }
}
