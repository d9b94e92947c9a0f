//! Operators of a soak test: one declares configurations at random keepers and tries invalid ones,
//! the other reads back the declaration in force.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::bail;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::caller::send_request;
use super::declaration::{self, Content, DEFECTS};
use super::deployment::Deployment;
use super::history::{Declaration, History, IN_FORCE_BOUND};
use super::{lock, platform};

/// Timeout of a call to a keeper, after which a declaration is sent to a keeper chosen anew.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of times that a declaration is sent before the next version is declared.
const MAX_ATTEMPTS: usize = 8;

/// Longest pause between two declarations, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_500;

/// Probability that a declaration adds or removes the revocable key. It is low enough that a
/// removed key stays away for longer than an isolated instance may accept it.
const KEY_TOGGLE_PROBABILITY: f64 = 0.15;

/// Probability that a declaration adds or removes a route.
const ADD_PROBABILITY: f64 = 0.3;

/// Probability that a declaration moves a route to another service.
const MOVE_PROBABILITY: f64 = 0.4;

/// Probability that a declaration changes a time limit.
const LIMIT_PROBABILITY: f64 = 0.2;

/// Time limits of the route whose upstream takes longer, in milliseconds.
const SLOW_LIMITS_MS: [u64; 2] = [500, 1_600];

/// Pause before a declaration is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

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

/// Operator that declares configurations.
pub struct Operator {
    deployment: Arc<Deployment>,
    history: Arc<History>,
    rng: ChaCha8Rng,
    version: u64,
    content: Content,
}

impl Operator {
    /// Returns an operator whose choices are determined by `seed`.
    pub fn new(deployment: &Arc<Deployment>, history: &Arc<History>, seed: u64) -> Self {
        let content = Content {
            has_revocable_key: true,
            added: None,
            moved_to: 0,
            slow_limit_ms: SLOW_LIMITS_MS[0],
        };
        Self {
            deployment: deployment.clone(),
            history: history.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0xdec1),
            version: FIRST_VERSION,
            content,
        }
    }

    /// Records the declaration before it is sent, and returns its text.
    fn record(&self) -> String {
        let text = declaration::valid(self.version, &self.content);
        self.history.record_declaration(Declaration {
            version: self.version,
            text: text.clone(),
            content: self.content.clone(),
            sent_at: Instant::now(),
            acknowledged_at: None,
        });
        text
    }

    /// Sends the first declaration until a keeper accepts it, before any fault is injected.
    pub fn declare_initial(&self, timeout: Duration) -> anyhow::Result<()> {
        let end = Instant::now() + timeout;
        let text = self.record();
        while Instant::now() < end {
            for keeper in &self.deployment.keepers() {
                if put(&self.deployment, *keeper, &text) == Some(200) {
                    self.history.record_acknowledgement(self.version);
                    return Ok(());
                }
                thread::sleep(READ_INTERVAL);
            }
        }
        bail!("no keeper accepted the first declaration within {timeout:?}")
    }

    /// Chooses the contents of the next version.
    fn change(&mut self) {
        self.version += self.rng.random_range(1..4);
        let content = &mut self.content;
        content.has_revocable_key ^= self.rng.random_bool(KEY_TOGGLE_PROBABILITY);
        if self.rng.random_bool(ADD_PROBABILITY) {
            // A route is removed where another one is added, or for a while without another one.
            let is_added = self.rng.random_bool(0.75);
            content.added = is_added.then_some(self.version);
        }
        if self.rng.random_bool(MOVE_PROBABILITY) {
            content.moved_to = 1 - content.moved_to;
        }
        if self.rng.random_bool(LIMIT_PROBABILITY) {
            let limit = self.rng.random_range(0..SLOW_LIMITS_MS.len());
            content.slow_limit_ms = SLOW_LIMITS_MS[limit];
        }
    }

    /// Returns a random keeper.
    fn keeper(&mut self) -> u8 {
        let keepers = self.deployment.keepers();
        keepers[self.rng.random_range(0..keepers.len())]
    }

    /// Sends the declaration to random keepers, at most `attempts` times. Returns whether one of them has
    /// confirmed it.
    fn send(&mut self, text: &str, attempts: usize) -> bool {
        for _ in 0..attempts {
            let keeper = self.keeper();
            match put(&self.deployment, keeper, text) {
                Some(200) => {
                    self.history.record_acknowledgement(self.version);
                    return true;
                }
                Some(status @ (400 | 409 | 412 | 413 | 422)) => {
                    self.history.record_violation(format!(
                        "CONFIG {} was rejected: status {status}",
                        self.version
                    ));
                    return false;
                }
                Some(_) | None => thread::sleep(RETRY_DELAY),
            }
        }
        false
    }

    /// Declares a new version, and then, to random keepers, the same again, other content as the same
    /// version, and an invalid declaration.
    fn declare(&mut self) {
        self.change();
        let text = self.record();
        if self.send(&text, MAX_ATTEMPTS) {
            let keeper = self.keeper();
            let status = put(&self.deployment, keeper, &text);
            if let Some(status) = status.filter(|status| is_rejection(*status)) {
                self.history.record_violation(format!(
                    "CONFIG {} was confirmed, and rejected as it was repeated: status {status}",
                    self.version
                ));
            }
            let number = self.next_forged();
            let keeper = self.keeper();
            let other = declaration::forged(self.version, &self.content, number);
            put(&self.deployment, keeper, &other);
        }
        let number = self.next_forged();
        let defect = DEFECTS[self.rng.random_range(0..DEFECTS.len())];
        // An invalid declaration of a version that is not held yet could take effect.
        let version = self.version + self.rng.random_range(0..2);
        let invalid = declaration::invalid(version, &self.content, number, defect);
        let keeper = self.keeper();
        if put(&self.deployment, keeper, &invalid) == Some(200) {
            self.history.record_violation(format!(
                "CONFIG {version} was acknowledged although it is invalid: {defect:?}"
            ));
        }
    }

    /// Declares a new version at random keepers until one of them confirms it. Returns the version,
    /// and whether it was confirmed in time.
    pub fn declare_until_confirmed(&mut self, timeout: Duration) -> (u64, bool) {
        self.change();
        let text = self.record();
        let end = Instant::now() + timeout;
        let mut is_confirmed = false;
        while !is_confirmed && Instant::now() < end {
            is_confirmed = self.send(&text, 1);
        }
        (self.version, is_confirmed)
    }

    /// Returns the number of the next route that must not be in force, and records it.
    fn next_forged(&mut self) -> u64 {
        let number = self.rng.random_range(0..u64::MAX);
        self.history.record_forged(number);
        number
    }

    /// Declares new versions until `stop` is set. Another thread may hold the operator meanwhile.
    pub fn repeat(operator: &Mutex<Self>, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            let mut operator = lock(operator);
            operator.declare();
            let pause = operator.rng.random_range(0..MAX_PAUSE_MS);
            drop(operator);
            thread::sleep(Duration::from_millis(pause));
        }
    }
}

/// Whether a status says that a declaration is invalid or conflicts.
fn is_rejection(status: u16) -> bool {
    (400..500).contains(&status) && status != 408 && status != 429
}

/// Reads back the declaration in force until `stop` is set.
pub fn read(deployment: &Arc<Deployment>, history: &Arc<History>, stop: &AtomicBool, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x4ead);
    while !stop.load(Ordering::SeqCst) {
        let keepers = deployment.keepers();
        let keeper = keepers[rng.random_range(0..keepers.len())];
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
    for keeper in &deployment.keepers() {
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
