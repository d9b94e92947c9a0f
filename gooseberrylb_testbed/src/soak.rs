//! Randomized soak test of a deployment on a simulated platform: runs real processes, injects
//! faults from outside, and checks the guarantees of the system against what callers, operators and
//! upstreams observe. A seed determines the series of faults, but not the timing of the processes,
//! which differs from run to run. See `docs/SOAK.md`.

mod caller;
mod change;
mod configuration;
mod declaration;
mod deployment;
mod evacuation;
mod faults;
mod full_disk;
mod history;
mod lost_keeper;
mod operator;
mod platform;
mod probe;
mod wire;

use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use caller::Caller;
use deployment::{Deployment, MAX_DELEGATES};
use history::{History, Kind};
use operator::Operator;
use probe::Series;

/// Time within which the deployment must serve at every entry, after its start and again after the
/// last fault. How long it takes within this limit is not checked.
const SERVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of consecutive requests, sent to the entries in turn, that must be served before the
/// deployment counts as healthy.
const HEALTHY_REQUESTS: usize = 12;

/// Time within which what one instance learns binds all, in a deployment without faults.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time for which requests with a known crashing prompt are sent at the end. The list shows crashed
/// upstreams again within a second.
const KNOWN_CRASH_TIME: Duration = Duration::from_secs(4);

/// Pause between these requests.
const CRASHING_PAUSE: Duration = Duration::from_millis(50);

/// Parameters of a soak test.
#[derive(Debug, Clone)]
pub struct Options {
    /// First seed to run.
    pub seed: u64,
    /// Number of consecutive seeds to run.
    pub seed_count: u64,
    /// Time during which faults are injected, in seconds.
    pub fault_seconds: u64,
    /// Number of instances with a disk.
    pub keepers: u8,
    /// Number of instances that serve callers.
    pub entries: u8,
    /// Number of callers, each of which sends one request after the other.
    pub callers: usize,
    /// Time within which the instances are told to put a confirmed declaration in force.
    pub change_limit_ms: u64,
    /// Time within which the instances are told to stop using an upstream that leaves.
    pub drain_limit_ms: u64,
    /// Whether the disks of keepers are full for a while, one after the other, once the faults are over.
    pub full_disks: bool,
    /// Whether keepers are lost for good, one after the other, once the faults are over.
    pub lost_keepers: bool,
    /// Folder to which the logs of a failed seed are copied.
    pub log_folder: PathBuf,
    /// Program that runs as an instance.
    pub program: Program,
}

/// Program that runs as an instance.
#[derive(Debug, Clone)]
pub struct Program {
    /// Path of the program.
    pub path: PathBuf,
    /// Whether it accepts the bounds and the tolerance of the platform in its settings. An older build
    /// rejects them.
    pub knows_bounds: bool,
}

impl Program {
    /// Returns the running program.
    pub fn current() -> io::Result<Self> {
        Ok(Self {
            path: std::env::current_exe()?,
            knows_bounds: true,
        })
    }

    /// Returns a program that may be an older build.
    pub fn older(path: PathBuf) -> Self {
        Self {
            path,
            knows_bounds: false,
        }
    }
}

/// Runs all seeds. Returns an error if any guarantee was violated.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let mut failed = Vec::new();
    for seed in options.seed..options.seed + options.seed_count {
        let violations = run_seed(options, seed).with_context(|| format!("seed {seed}"))?;
        if !violations.is_empty() {
            for line in &violations {
                println!("seed {seed}: BROKEN {line}");
            }
            failed.push(seed);
        }
    }
    if !failed.is_empty() {
        bail!("guarantees were violated with seeds {failed:?}");
    }
    Ok(())
}

/// Runs one seed and returns the violations found.
pub fn run_seed(options: &Options, seed: u64) -> anyhow::Result<Vec<String>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let history = Arc::new(History::default());
    let deployment = Arc::new(Deployment::start(options, history.clone())?);
    let stop = Arc::new(AtomicBool::new(false));
    let operator = Operator::new(&deployment, &history, seed);
    operator.declare_initial(SERVE_TIMEOUT)?;
    let operator = Arc::new(Mutex::new(operator));
    let mut violations = Vec::new();
    if !wait_until_serving(&deployment, &history, SERVE_TIMEOUT) {
        violations.push("the deployment did not start to serve in time".to_owned());
    }
    let mut threads = Vec::new();
    for index in 0..options.callers {
        let caller = Caller::new(&deployment, &history, seed, index);
        let stop = stop.clone();
        threads.push(thread::spawn(move || caller.run(&stop)));
    }
    {
        let (operator, stop) = (operator.clone(), stop.clone());
        threads.push(thread::spawn(move || Operator::repeat(&operator, &stop)));
    }
    {
        let (deployment, history, stop) = (deployment.clone(), history.clone(), stop.clone());
        threads.push(thread::spawn(move || {
            operator::read(&deployment, &history, &stop, seed);
        }));
    }
    for entry in deployment.entries.iter().copied() {
        for series in [Series::Quick, Series::Slow] {
            let (deployment, history, stop) = (deployment.clone(), history.clone(), stop.clone());
            threads.push(thread::spawn(move || {
                probe::repeat(&deployment, &history, &stop, entry, series, seed);
            }));
        }
    }
    let stop_evacuations = Arc::new(AtomicBool::new(false));
    let evacuations = {
        let (deployment, history) = (deployment.clone(), history.clone());
        let stop = stop_evacuations.clone();
        thread::spawn(move || evacuation::repeat(&deployment, &history, &stop, seed))
    };
    let injected = faults::inject_random(
        &deployment,
        &mut rng,
        Duration::from_secs(options.fault_seconds),
    );
    if !wait_until_serving(&deployment, &history, SERVE_TIMEOUT) {
        violations.push(format!(
            "not every entry serves {SERVE_TIMEOUT:?} after the last fault"
        ));
    }
    stop_evacuations.store(true, Ordering::SeqCst);
    if evacuations.join().is_err() {
        bail!("the thread that evacuates panicked");
    }
    if options.full_disks {
        full_disk::fill_in_turn(&deployment, &history, &operator, &mut rng)
            .context("filling disks")?;
    }
    if options.lost_keepers {
        lost_keeper::replace_in_turn(&deployment, &history, &operator, &mut rng)
            .context("losing keepers")?;
    }
    evacuation::check(&deployment, &history, seed);
    check_crashes(&deployment, &history);
    check_cut_off(&deployment, &history, &mut rng);
    check_brittle(options, &deployment, &history);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        if thread.join().is_err() {
            bail!("a thread of the soak test panicked");
        }
    }
    violations.extend(operator::read_final(&deployment, &history, SERVE_TIMEOUT));
    violations.extend(deployment.unexpected_exits());
    violations.extend(history.check());
    println!(
        "seed {seed}: {}; faults: {}",
        history.summary(),
        injected.join(", ")
    );
    if !violations.is_empty() {
        let folder = options.log_folder.join(format!("seed-{seed}"));
        deployment.copy_logs(&folder)?;
        std::fs::write(folder.join("broken"), violations.join("\n"))?;
        std::fs::write(folder.join("faults"), injected.join("\n"))?;
        println!("seed {seed}: logs are kept in {}", folder.display());
    }
    Ok(violations)
}

/// Locks a mutex, also if a thread panicked while it held the lock: the guarded values are
/// consistent after each change.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends requests that crash upstreams to all entries, and sound ones between them, first for as long
/// as the fleet may take to learn of it, then to check that it has.
fn check_crashes(deployment: &Arc<Deployment>, history: &Arc<History>) {
    let mut caller = Caller::new(deployment, history, u64::MAX, 1);
    let mut send_for = |time: Duration| {
        let end = Instant::now() + time;
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < end {
            caller.probe(sent, Kind::CrashingPrompt);
            caller.probe(sent, Kind::CrashingRequest);
            served += usize::from(caller.probe(sent, Kind::Stream));
            sent += 1;
            thread::sleep(CRASHING_PAUSE);
        }
        (sent, served)
    };
    send_for(CONTACT_TIME);
    history.check_known_crashes(|| send_for(KNOWN_CRASH_TIME));
}

/// Cuts some entries off from the upstreams, but not all, and checks that others serve the requests of
/// one of them.
fn check_cut_off(deployment: &Arc<Deployment>, history: &Arc<History>, rng: &mut ChaCha8Rng) {
    let entries = &deployment.entries;
    if entries.len() < 2 {
        return;
    }
    // The entry before those that are cut off is not.
    let index = rng.random_range(0..entries.len());
    // One that it has a link to is not cut off.
    let count = rng.random_range(1..entries.len().min(MAX_DELEGATES + 1));
    let cut_off = entries.iter().cycle().skip(index).take(count).copied();
    let cut_off: Vec<u8> = cut_off.collect();
    let cut_at = Instant::now();
    deployment.cut_off(&cut_off, faults::random_cut(rng));
    let call_for = |number: usize, index: usize, time: Duration| {
        let mut caller = Caller::new(deployment, history, u64::MAX, number);
        let end = Instant::now() + time;
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < end {
            let kind = [Kind::Once, Kind::Safe, Kind::Stream][sent % 3];
            served += usize::from(caller.probe(index, kind));
            sent += 1;
            thread::sleep(CRASHING_PAUSE);
        }
        (sent, served)
    };
    call_for(2, index, CONTACT_TIME);
    let (served_cut_off, served_others) = thread::scope(|scope| {
        let before = index + entries.len() - 1;
        let others = scope.spawn(move || call_for(3, before, KNOWN_CRASH_TIME));
        let served = call_for(4, index, KNOWN_CRASH_TIME);
        (served, others.join().unwrap_or_default())
    });
    deployment.end_cut_off();
    history.record_cut(&cut_off, cut_at);
    history.check_cut_off(entries[index], served_cut_off, served_others);
}

/// Sends more requests than the brittle upstream has room for, and checks that it rarely falls over.
fn check_brittle(options: &Options, deployment: &Arc<Deployment>, history: &Arc<History>) {
    let stop = Arc::new(AtomicBool::new(false));
    let callers = (0..2 * options.callers).map(|index| {
        let caller = Caller::new(deployment, history, u64::MAX - 1, index);
        let stop = stop.clone();
        thread::spawn(move || caller.run(&stop))
    });
    let callers: Vec<_> = callers.collect();
    thread::sleep(CONTACT_TIME);
    history.check_falls(|| thread::sleep(KNOWN_CRASH_TIME));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        if caller.join().is_err() {
            history.record_violation("a caller panicked".to_owned());
        }
    }
}

/// Waits until every entry serves requests, and returns whether it did in time. The requests sent
/// meanwhile are recorded and checked like all others.
fn wait_until_serving(
    deployment: &Arc<Deployment>,
    history: &Arc<History>,
    timeout: Duration,
) -> bool {
    let mut caller = Caller::new(deployment, history, u64::MAX, 0);
    let end = Instant::now() + timeout;
    let mut served = 0;
    while served < HEALTHY_REQUESTS && Instant::now() < end {
        served = match caller.probe(served, Kind::Safe) {
            true => served + 1,
            false => 0,
        };
        if served == 0 {
            thread::sleep(Duration::from_millis(100));
        }
    }
    served >= HEALTHY_REQUESTS
}
