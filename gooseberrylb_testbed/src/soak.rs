//! A randomized soak of a deployment on a platform: real processes, harmed from outside, whose promises
//! are checked by what callers, operators and upstreams see. One seed gives one series of faults; the
//! machine's timing still differs from run to run. See `docs/SOAK.md`.

mod caller;
mod deployment;
mod faults;
mod history;
mod operator;
mod platform;
mod wire;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use caller::Caller;
use deployment::Deployment;
use history::History;

/// How long the deployment may take to serve at first and again after the last fault. Nothing is
/// asserted about how long it took below that.
const SERVE_TIMEOUT: Duration = Duration::from_secs(60);

/// The served requests in a row, one at each entry in turn, after which a deployment counts as well.
const HEALTHY_REQUESTS: usize = 12;

/// What is played.
#[derive(Debug, Clone)]
pub struct Options {
    /// The first seed, and how many follow one another.
    pub seed: u64,
    /// How many seeds.
    pub seed_count: u64,
    /// How long faults are put in, in seconds.
    pub fault_seconds: u64,
    /// The instances with a disk.
    pub keepers: u8,
    /// The instances that serve callers.
    pub entries: u8,
    /// The callers that send one request after the other.
    pub callers: usize,
    /// Where the logs of a failed seed are kept.
    pub log_folder: PathBuf,
    /// The program that runs as an instance.
    pub program: PathBuf,
}

/// Plays all seeds, and fails if any promise was broken.
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
        bail!("promises were broken with seeds {failed:?}");
    }
    Ok(())
}

/// Plays one seed, and gives what was broken.
pub fn run_seed(options: &Options, seed: u64) -> anyhow::Result<Vec<String>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let history = Arc::new(History::default());
    let deployment = Arc::new(Deployment::start(options, history.clone())?);
    let stop = Arc::new(AtomicBool::new(false));
    operator::declare_initial(&deployment, &history, SERVE_TIMEOUT)?;
    let mut violations = Vec::new();
    if !wait_until_serving(&deployment, &history) {
        violations.push("the deployment never began to serve".to_owned());
    }
    let mut threads = Vec::new();
    for index in 0..options.callers {
        let caller = Caller::new(&deployment, &history, seed, index);
        let stop = stop.clone();
        threads.push(thread::spawn(move || caller.run(&stop)));
    }
    for task in [operator::declare, operator::read] {
        let (deployment, history, stop) = (deployment.clone(), history.clone(), stop.clone());
        threads.push(thread::spawn(move || {
            task(&deployment, &history, &stop, seed);
        }));
    }
    let injected = faults::inject_random(
        &deployment,
        &mut rng,
        Duration::from_secs(options.fault_seconds),
    );
    if !wait_until_serving(&deployment, &history) {
        violations.push(format!(
            "not well within {SERVE_TIMEOUT:?} after the last fault"
        ));
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        if thread.join().is_err() {
            bail!("a thread of the soak failed");
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

/// Locks what is whole after each change, so that a thread that failed leaves it usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until requests are served at every entry; what is asked meanwhile is judged like all else.
fn wait_until_serving(deployment: &Arc<Deployment>, history: &Arc<History>) -> bool {
    let mut caller = Caller::new(deployment, history, u64::MAX, 0);
    let end = Instant::now() + SERVE_TIMEOUT;
    let mut served = 0;
    while served < HEALTHY_REQUESTS && Instant::now() < end {
        served = match caller.probe(served) {
            true => served + 1,
            false => 0,
        };
        if served == 0 {
            thread::sleep(Duration::from_millis(100));
        }
    }
    served >= HEALTHY_REQUESTS
}
