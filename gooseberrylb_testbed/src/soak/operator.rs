//! Operators of a soak test: one declares configurations at random keepers and tries invalid ones,
//! the other reads back the declaration in force.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::bail;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::caller::send_request;
use super::deployment::Deployment;
use super::history::{Declaration, History, IN_FORCE_BOUND};
use super::platform;

/// Timeout of a call to a keeper, after which a declaration is sent to a keeper chosen anew.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of times that a declaration is sent before the next version is declared.
const MAX_ATTEMPTS: usize = 8;

/// Longest pause between two declarations, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_500;

/// Probability that a declaration adds or removes the revocable key. It is low enough that a
/// removed key stays away for longer than an isolated instance may accept it.
const KEY_TOGGLE_PROBABILITY: f64 = 0.15;

/// Pause between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(60);

/// Version of the first declaration.
const FIRST_VERSION: u64 = 3;

/// Sends a declaration to a keeper and returns the status of its response, if any.
fn put(deployment: &Deployment, keeper: u8, text: &str) -> Option<u16> {
    let response = send_request(
        deployment.control_address(keeper),
        platform::DECLARE,
        text,
        CALL_TIMEOUT,
    )?;
    Some(response.status())
}

/// Sends the first declaration until a keeper accepts it, before any fault is injected.
pub fn declare_initial(
    deployment: &Deployment,
    history: &History,
    timeout: Duration,
) -> anyhow::Result<()> {
    let end = Instant::now() + timeout;
    let text = platform::declaration(FIRST_VERSION, true);
    history.record_declaration(Declaration {
        version: FIRST_VERSION,
        text: text.clone(),
        has_revocable_key: true,
        sent_at: Instant::now(),
        acknowledged_at: None,
    });
    while Instant::now() < end {
        for keeper in &deployment.keepers {
            if put(deployment, *keeper, &text) == Some(200) {
                history.record_acknowledgement(FIRST_VERSION);
                return Ok(());
            }
            thread::sleep(READ_INTERVAL);
        }
    }
    bail!("no keeper accepted the first declaration within {timeout:?}")
}

/// Declares new versions until `stop` is set.
pub fn declare(deployment: &Arc<Deployment>, history: &Arc<History>, stop: &AtomicBool, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xdec1);
    let (mut version, mut has_revocable_key) = (FIRST_VERSION, true);
    while !stop.load(Ordering::SeqCst) {
        version += rng.random_range(1..4);
        has_revocable_key ^= rng.random_bool(KEY_TOGGLE_PROBABILITY);
        let text = platform::declaration(version, has_revocable_key);
        history.record_declaration(Declaration {
            version,
            text: text.clone(),
            has_revocable_key,
            sent_at: Instant::now(),
            acknowledged_at: None,
        });
        for _ in 0..MAX_ATTEMPTS {
            let keeper = deployment.keepers[rng.random_range(0..deployment.keepers.len())];
            match put(deployment, keeper, &text) {
                Some(200) => {
                    history.record_acknowledgement(version);
                    break;
                }
                Some(status @ (400 | 409 | 412 | 413 | 422)) => {
                    history.record_violation(format!(
                        "CONFIG {version} was rejected: status {status}"
                    ));
                    break;
                }
                Some(_) | None => thread::sleep(Duration::from_millis(100)),
            }
        }
        let keeper = deployment.keepers[rng.random_range(0..deployment.keepers.len())];
        // Two routes with the same path prefix are invalid in any version.
        let invalid = text.replace("\"/once/\"", "\"/safe/\"");
        if put(deployment, keeper, &invalid) == Some(200) {
            history.record_violation(format!(
                "CONFIG {version} was acknowledged although it is invalid"
            ));
        }
        thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
    }
}

/// Reads back the declaration in force until `stop` is set.
pub fn read(deployment: &Arc<Deployment>, history: &Arc<History>, stop: &AtomicBool, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x4ead);
    while !stop.load(Ordering::SeqCst) {
        let keeper = deployment.keepers[rng.random_range(0..deployment.keepers.len())];
        let newest = history.newest_acknowledged(IN_FORCE_BOUND);
        if let Some(text) = get(deployment, keeper) {
            history.record_read(keeper, &text, newest);
        }
        thread::sleep(READ_INTERVAL);
    }
}

/// Returns the declaration that a keeper has in force, if it returns one.
fn get(deployment: &Deployment, keeper: u8) -> Option<String> {
    let response = send_request(
        deployment.control_address(keeper),
        platform::READ_BACK,
        "",
        CALL_TIMEOUT,
    )?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    (response.status() == 200).then_some(text)
}

/// Reads back the final declaration at every keeper. Returns a line for each keeper that returned
/// none.
pub fn read_final(deployment: &Deployment, history: &History, timeout: Duration) -> Vec<String> {
    let mut violations = Vec::new();
    let newest = history.newest_acknowledged(Duration::ZERO);
    for keeper in &deployment.keepers {
        let end = Instant::now() + timeout;
        let mut declaration = None;
        while declaration.is_none() && Instant::now() < end {
            declaration = get(deployment, *keeper);
            thread::sleep(READ_INTERVAL);
        }
        match declaration {
            Some(text) => history.record_read(*keeper, &text, newest),
            None => violations.push(format!(
                "CONFIG {keeper} returned no declaration within {timeout:?}"
            )),
        }
    }
    violations
}
