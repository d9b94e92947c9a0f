//! Probes of a soak test: requests to every entry that show by which declaration it handles them.

use std::io::BufReader;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::caller::{connect, exchange};
use super::configuration::{Probe, Target};
use super::declaration::{added_prefix, forged_prefix};
use super::deployment::Deployment;
use super::history::{Call, History, Kind};

/// Pause between two probes of a thread.
const INTERVAL: Duration = Duration::from_millis(40);

/// Number of the newest added or forged routes that are asked for.
const RECENT: usize = 3;

/// Which probes a thread sends.
#[derive(Debug, Clone, Copy)]
pub enum Series {
    /// All but those of [`Series::Slow`].
    Quick,
    /// Requests that take longer than the time limit of their route.
    Slow,
}

/// Returns what the next probe asks for.
fn choose_target(history: &History, series: Series, rng: &mut ChaCha8Rng) -> Target {
    let recent = |numbers: Vec<u64>, rng: &mut ChaCha8Rng| {
        let index = rng.random_range(0..RECENT.min(numbers.len()).max(1));
        numbers.iter().rev().nth(index).copied()
    };
    let choice = match series {
        Series::Slow => return Target::Slow,
        Series::Quick => rng.random_range(0..20),
    };
    let target = match choice {
        0..10 => recent(history.added_numbers(), rng).map(Target::Added),
        10..14 => Some(Target::Moved),
        14 => recent(history.forged_numbers(), rng).map(Target::Forged),
        15..17 => Some(Target::RevocableKey),
        _ => None,
    };
    target.unwrap_or(Target::Steady)
}

/// Sends probes to an entry until `stop` is set.
pub fn repeat(
    deployment: &Arc<Deployment>,
    history: &Arc<History>,
    stop: &AtomicBool,
    entry: u8,
    series: Series,
    seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ u64::from(entry) << 8 ^ 0x940b);
    let mut open: Option<BufReader<TcpStream>> = None;
    let mut number = 0u64;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(INTERVAL);
        let Some(mut connection) = open
            .take()
            .or_else(|| connect(deployment.caller_address(entry)))
        else {
            continue;
        };
        number += 1;
        let target = choose_target(history, series, &mut rng);
        let attempt = format!("{series:?}{entry}x{number}").to_lowercase();
        let prefix = match target {
            Target::Steady | Target::RevocableKey => "/steady/".to_owned(),
            Target::Added(number) => added_prefix(number),
            Target::Moved => "/moved/".to_owned(),
            Target::Forged(number) => forged_prefix(number),
            Target::Slow => "/slow/".to_owned(),
        };
        let sent_at = Instant::now();
        let call = Call {
            kind: Kind::Probe,
            target: format!("{prefix}{attempt}"),
            body: String::new(),
            uses_revocable_key: target == Target::RevocableKey,
            sent_at,
            entry: connection.get_ref().peer_addr().ok(),
        };
        history.record_request(&attempt, &call);
        let probe = Probe {
            entry,
            target,
            sent_at,
            answer: None,
        };
        history.record_probe(&attempt, probe);
        if let Ok(Some(response)) = exchange(&mut connection, &attempt, &call) {
            history.record_response(&attempt, &response);
            if response.is_complete {
                history.record_probe_answer(&attempt, response.status());
            }
            open = response.is_reusable().then_some(connection);
        }
    }
}
