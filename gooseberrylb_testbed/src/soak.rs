//! A randomized soak of a deployment on a platform: real processes, harmed from outside, whose promises
//! are checked by what callers, operators and upstreams see. One seed gives one series of faults; the
//! machine's timing still differs from run to run. See `docs/SOAK.md`.

mod caller;
mod deployment;
mod faults;
mod judge;
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

use caller::Calls;
use deployment::Deployment;
use judge::Ledger;

/// How long the deployment may take to serve at first and again after the last fault. Nothing is
/// asserted about how long it took below that.
const SETTLE: Duration = Duration::from_secs(60);

/// The served requests in a row, one at each entry in turn, after which a deployment counts as well.
const WELL: usize = 12;

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
        let broken = play(options, seed).with_context(|| format!("seed {seed}"))?;
        if !broken.is_empty() {
            for line in &broken {
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
pub fn play(options: &Options, seed: u64) -> anyhow::Result<Vec<String>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let ledger = Arc::new(Ledger::default());
    let deployment = Arc::new(Deployment::start(options, ledger.clone())?);
    let stop = Arc::new(AtomicBool::new(false));
    operator::declare_first(&deployment, &ledger, SETTLE)?;
    let mut broken = Vec::new();
    if !settle(&deployment, &ledger) {
        broken.push("the deployment never began to serve".to_owned());
    }
    let mut threads = Vec::new();
    for number in 0..options.callers {
        let calls = Calls::new(&deployment, &ledger, seed, number);
        let stop = stop.clone();
        threads.push(thread::spawn(move || calls.run(&stop)));
    }
    for work in [operator::declare, operator::read] {
        let (deployment, ledger, stop) = (deployment.clone(), ledger.clone(), stop.clone());
        threads.push(thread::spawn(move || {
            work(&deployment, &ledger, &stop, seed);
        }));
    }
    let done = faults::play(
        &deployment,
        &mut rng,
        Duration::from_secs(options.fault_seconds),
    );
    if !settle(&deployment, &ledger) {
        broken.push(format!("not well within {SETTLE:?} after the last fault"));
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        if thread.join().is_err() {
            bail!("a thread of the soak failed");
        }
    }
    broken.extend(operator::read_back(&deployment, &ledger, SETTLE));
    broken.extend(deployment.ended_by_themselves());
    broken.extend(ledger.judge());
    println!(
        "seed {seed}: {}; faults: {}",
        ledger.summary(),
        done.join(", ")
    );
    if !broken.is_empty() {
        let place = options.log_folder.join(format!("seed-{seed}"));
        deployment.keep_logs(&place)?;
        std::fs::write(place.join("broken"), broken.join("\n"))?;
        std::fs::write(place.join("faults"), done.join("\n"))?;
        println!("seed {seed}: logs are kept in {}", place.display());
    }
    Ok(broken)
}

/// Locks what is whole after each change, so that a thread that failed leaves it usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until requests are served at every entry; what is asked meanwhile is judged like all else.
fn settle(deployment: &Arc<Deployment>, ledger: &Arc<Ledger>) -> bool {
    let mut calls = Calls::new(deployment, ledger, u64::MAX, 0);
    let end = Instant::now() + SETTLE;
    let mut served = 0;
    while served < WELL && Instant::now() < end {
        served = match calls.probe(served) {
            true => served + 1,
            false => 0,
        };
        if served == 0 {
            thread::sleep(Duration::from_millis(100));
        }
    }
    served >= WELL
}
