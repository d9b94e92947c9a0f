//! Full disks of keepers, one after the other, during declarations.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::change::{self, ACKNOWLEDGEMENT_BOUND, Change, TIMEOUT};
use super::deployment::Deployment;
use super::history::History;
use super::lock;
use super::operator::Operator;

/// Time for which a disk is full, in milliseconds.
const MIN_FULL_MS: u64 = 2_000;
/// See [`MIN_FULL_MS`].
const MAX_FULL_MS: u64 = 6_000;

/// Longest pause between a disk that has room again and the next one that is full, in milliseconds.
const MAX_PAUSE_MS: u64 = 500;

/// Time for which declarations go on when all disks have room.
const CALM_TIME: Duration = Duration::from_secs(10);

/// Period in which the disk of a keeper was full.
#[derive(Debug)]
struct Period {
    keeper: u8,
    start: Instant,
    end: Instant,
}

/// Fills the disk of each keeper for a while, one after the other in random order. Prints how long changes
/// took, and records a violation if one took too long.
pub fn fill_in_turn(
    deployment: &Arc<Deployment>,
    history: &Arc<History>,
    operator: &Arc<Mutex<Operator>>,
    rng: &mut ChaCha8Rng,
) -> anyhow::Result<()> {
    // The other thread that declares waits until the end of the series.
    let mut guard = lock(operator);
    let operator = &mut *guard;
    let started_at = Instant::now();
    let (changes, periods) = change::declare_during(operator, || {
        let periods = fill_all(deployment, rng)?;
        thread::sleep(CALM_TIME);
        Ok(periods)
    })?;
    let line = describe(&changes, &periods, started_at);
    println!("{line}");
    for line in check(&changes, &periods) {
        history.record_violation(line);
    }
    Ok(())
}

/// Fills the disk of each keeper for a while.
fn fill_all(deployment: &Deployment, rng: &mut ChaCha8Rng) -> anyhow::Result<Vec<Period>> {
    let mut periods = Vec::new();
    let keepers = deployment.keepers();
    let first = rng.random_range(0..keepers.len());
    let in_turn = keepers.iter().cycle().skip(first);
    for keeper in in_turn.take(keepers.len()).copied() {
        let start = Instant::now();
        deployment.set_disk_full(keeper, true)?;
        thread::sleep(Duration::from_millis(
            rng.random_range(MIN_FULL_MS..MAX_FULL_MS),
        ));
        deployment.set_disk_full(keeper, false)?;
        let end = Instant::now();
        periods.push(Period { keeper, start, end });
        thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
    }
    Ok(periods)
}

/// Returns a line with the keepers whose disks were full, and how long changes took meanwhile.
fn describe(changes: &[Change], periods: &[Period], started_at: Instant) -> String {
    let since = |at: Instant| at.saturating_duration_since(started_at).as_secs_f64();
    let full = periods.iter().map(|period| {
        let end = period.end;
        let meanwhile = changes
            .iter()
            .filter(|change| change.sent_at >= period.start && change.sent_at < end);
        let longest = meanwhile
            .map(|change| change.confirmed_after.unwrap_or(TIMEOUT))
            .max();
        format!(
            "{} from {:.1} to {:.1} s, longest change {:.1} s",
            period.keeper,
            since(period.start),
            since(end),
            longest.unwrap_or_default().as_secs_f64()
        )
    });
    let full: Vec<_> = full.collect();
    let end = periods.last().map_or(started_at, |period| period.end);
    let after = changes.iter().filter(|change| change.sent_at >= end);
    let longest = after
        .map(|change| change.confirmed_after.unwrap_or(TIMEOUT))
        .max();
    format!(
        "full disks: {} changes; {}; then {:.1} s",
        changes.len(),
        full.join("; "),
        longest.unwrap_or_default().as_secs_f64()
    )
}

/// Returns the violations of declarations that took too long to be confirmed.
fn check(changes: &[Change], periods: &[Period]) -> Vec<String> {
    let Some(last) = periods.last() else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    for change in changes {
        let end = change.sent_at + change.confirmed_after.unwrap_or(TIMEOUT);
        let is_late = |from: Instant| end > from + ACKNOWLEDGEMENT_BOUND;
        let in_calm_since = change.sent_at.max(last.end + ACKNOWLEDGEMENT_BOUND);
        if is_late(in_calm_since) {
            violations.push(format!(
                "ACKS {change}, over {ACKNOWLEDGEMENT_BOUND:?} since all disks have room"
            ));
        } else if is_late(change.sent_at) {
            let meanwhile = periods
                .iter()
                .filter(|period| period.start <= end && period.end >= change.sent_at);
            let keepers: Vec<u8> = meanwhile.map(|period| period.keeper).collect();
            violations.push(format!(
                "ACKS {change}, while at most one disk was full, in turn of {keepers:?}"
            ));
        }
    }
    violations
}

#[cfg(test)]
mod tests;
