//! Keepers that are lost for good and replaced, one after the other, during declarations.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::caller::Caller;
use super::change::{self, ACKNOWLEDGEMENT_BOUND, Change, TIMEOUT};
use super::configuration::CONTACT_TIME;
use super::deployment::{CATCH_UP_S, Deployment, MAX_LOSSES};
use super::history::{Disruption, History, Kind};
use super::operator::{self, Operator};
use super::{CRASHING_PAUSE, lock, wait_until_serving};

/// Time from the loss of a keeper until the start of its successor, or the other way round, in
/// milliseconds.
const MIN_GAP_MS: u64 = 500;
/// See [`MIN_GAP_MS`].
const MAX_GAP_MS: u64 = 3_000;

/// Longest time from the start of a successor until all keepers are killed, in milliseconds.
const MAX_KILL_DELAY_MS: u64 = 2_000;

/// Shortest downtime of processes that start again, in milliseconds.
const MIN_DOWNTIME_MS: u64 = 50;
/// Longest such downtime, within the second that the platform states.
const MAX_DOWNTIME_MS: u64 = 800;

/// Probability that the keeper that leads is the next one to be lost.
const LEADER_PROBABILITY: f64 = 0.75;

/// Probability that the successor of a lost keeper starts before.
const PLANNED_PROBABILITY: f64 = 0.2;

/// Probability that all keepers are killed between two losses.
const KILL_PROBABILITY: f64 = 0.3;

/// Time for which keepers are asked which of them leads.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time from the return of all processes until the deployment has recovered, as the platform states it.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);

/// Time for which requests are sent after it if entries did not serve before.
const SERVED_TIME: Duration = Duration::from_secs(4);

/// Losses of a seed, spaced as closely as the platform allows.
struct Series<'a> {
    deployment: &'a Arc<Deployment>,
    history: &'a Arc<History>,
    rng: &'a mut ChaCha8Rng,
    started_at: Instant,
    /// Time from which on another keeper may be lost.
    next_loss_at: Instant,
    /// What happened so far.
    events: Vec<String>,
}

/// Replaces keepers one after the other, and wipes the disk of one in the end, right after a declaration was
/// confirmed. Records a violation if that one cannot be read back, if no further one is accepted in
/// time, or if entries do not serve again.
pub fn replace_in_turn(
    deployment: &Arc<Deployment>,
    history: &Arc<History>,
    operator: &Arc<Mutex<Operator>>,
    rng: &mut ChaCha8Rng,
) -> anyhow::Result<()> {
    // The other thread that declares waits until the end of the series.
    let mut guard = lock(operator);
    let operator = &mut *guard;
    let now = Instant::now();
    let mut series = Series {
        deployment,
        history,
        rng,
        started_at: now,
        // Processes may have started just now.
        next_loss_at: now + Duration::from_secs(CATCH_UP_S),
        events: Vec::new(),
    };
    let (changes, ()) = change::declare_during(operator, || series.replace_keepers())?;
    let keeper = series.next_keeper();
    let (version, is_confirmed) = operator.declare_until_confirmed(TIMEOUT);
    if !is_confirmed {
        series.violate(format!(
            "ACKS version {version} was not confirmed in {TIMEOUT:?} after the last replaced keeper"
        ));
    }
    let calm_at = series.wipe(keeper)?;
    println!("{}", describe(&changes, &series.events));
    series.check_recovery(operator, calm_at);
    Ok(())
}

/// Returns a line with what happened, and how long changes took meanwhile.
fn describe(changes: &[Change], events: &[String]) -> String {
    let times = changes.iter().map(|c| c.confirmed_after.unwrap_or(TIMEOUT));
    format!(
        "lost keepers: {} changes, the longest {:.1} s; {}",
        changes.len(),
        times.max().unwrap_or_default().as_secs_f64(),
        events.join("; ")
    )
}

impl Series<'_> {
    /// Records what happened, for the line that is printed.
    fn record(&mut self, event: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        self.events.push(format!("{at:.1} s {event}"));
    }

    /// Records a violation, and prints it at once: in a deployment that does not recover the checks that
    /// follow take minutes.
    fn violate(&self, line: String) {
        println!("lost keepers: BROKEN {line}");
        self.history.record_violation(line);
    }

    /// Waits for a random time between two numbers of milliseconds.
    fn pause(&mut self, min_ms: u64, max_ms: u64) {
        let pause = self.rng.random_range(min_ms..max_ms);
        thread::sleep(Duration::from_millis(pause));
    }

    /// Replaces as many keepers as there are spare ones.
    fn replace_keepers(&mut self) -> anyhow::Result<()> {
        for _ in 0..MAX_LOSSES {
            self.replace_keeper()?;
            if self.rng.random_bool(KILL_PROBABILITY) {
                self.pause(0, MAX_KILL_DELAY_MS);
                self.kill(&self.deployment.keepers(), None)?;
            }
        }
        Ok(())
    }

    /// Waits until another keeper may be lost, and returns the one that is next: the one that leads by
    /// preference.
    fn next_keeper(&mut self) -> u8 {
        let ask_at = self.next_loss_at - LEADER_TIMEOUT;
        thread::sleep(ask_at.saturating_duration_since(Instant::now()));
        let keepers = self.deployment.keepers();
        let random = keepers.choose(self.rng).copied().unwrap_or(1);
        let prefers_leader = self.rng.random_bool(LEADER_PROBABILITY);
        let leader = self.deployment.leader(LEADER_TIMEOUT);
        thread::sleep(self.next_loss_at.saturating_duration_since(Instant::now()));
        let next = leader.filter(|_| prefers_leader).unwrap_or(random);
        if leader == Some(next) {
            self.record(&format!("{next} leads"));
        }
        next
    }

    /// Ends a keeper for good, and starts its successor after or, if that is planned, before.
    fn replace_keeper(&mut self) -> anyhow::Result<()> {
        let lost = self.next_keeper();
        let deployment = self.deployment;
        let is_planned = self.rng.random_bool(PLANNED_PROBABILITY);
        let is_silent = self.rng.random_bool(0.5);
        let start = Instant::now();
        if !is_planned {
            self.record(&format!("{lost} is lost"));
            deployment.kill(lost)?;
            deployment.remove(lost, is_silent);
            self.pause(MIN_GAP_MS, MAX_GAP_MS);
        }
        let successor = deployment.add_successor(lost)?;
        self.record(&format!("{successor} replaces {lost}"));
        self.next_loss_at = Instant::now() + Duration::from_secs(CATCH_UP_S);
        if is_planned {
            self.pause(MIN_GAP_MS, MAX_GAP_MS);
            self.record(&format!("{lost} is stopped"));
            deployment.terminate(lost)?;
            deployment.remove(lost, is_silent);
        }
        self.history.record_core_disruption(start, Instant::now());
        Ok(())
    }

    /// Kills instances at the same moment, wipes the disk of one, if any, and starts all again.
    fn kill(&mut self, hosts: &[u8], wiped: Option<u8>) -> anyhow::Result<()> {
        let start = Instant::now();
        self.record(&format!("{hosts:?} are killed"));
        hosts
            .iter()
            .try_for_each(|host| self.deployment.kill(*host))?;
        if let Some(keeper) = wiped {
            self.record(&format!("{keeper} has lost its disk"));
            self.deployment.wipe(keeper)?;
        }
        self.pause(MIN_DOWNTIME_MS, MAX_DOWNTIME_MS);
        let mut hosts = hosts.iter();
        hosts.try_for_each(|host| self.deployment.spawn(*host, false))?;
        let end = Instant::now();
        self.next_loss_at = end + Duration::from_secs(CATCH_UP_S);
        // The rules give twice the time where most of the keepers were lost.
        self.history
            .record_core_disruption(start, end + CONTACT_TIME);
        Ok(())
    }

    /// Wipes the disk of a keeper, sometimes as all other keepers or all other instances are killed. Returns
    /// when the keepers count as stable again.
    fn wipe(&mut self, keeper: u8) -> anyhow::Result<Instant> {
        let deployment = self.deployment;
        let start = Instant::now();
        let mut killed = vec![keeper];
        let extent = self.rng.random_range(0..3);
        if extent > 0 {
            killed = deployment.keepers();
        }
        if extent > 1 {
            killed.extend(&deployment.entries);
        }
        self.kill(&killed, Some(keeper))?;
        let end = Instant::now();
        if extent > 1 {
            self.history.record_disruption(Disruption {
                entry: None,
                interrupts: true,
                start,
                end,
            });
        }
        Ok(end
            + if extent > 0 {
                2 * CONTACT_TIME
            } else {
                CONTACT_TIME
            })
    }

    /// Checks that the newest declaration is read back at every keeper, that another one is accepted, and that
    /// entries serve, once all processes are back and the keepers count as stable.
    fn check_recovery(&self, operator: &mut Operator, calm_at: Instant) {
        let (deployment, history) = (self.deployment, self.history);
        let recovered_at = self.next_loss_at - Duration::from_secs(CATCH_UP_S) + RECOVERY_BOUND;
        let left = || recovered_at.saturating_duration_since(Instant::now());
        thread::sleep(calm_at.saturating_duration_since(Instant::now()));
        for line in operator::read_final(deployment, history, left().max(ACKNOWLEDGEMENT_BOUND)) {
            self.violate(line);
        }
        let (version, is_confirmed) = operator.declare_until_confirmed(ACKNOWLEDGEMENT_BOUND);
        if !is_confirmed {
            self.violate(format!(
                "ACKS version {version} was not confirmed in {ACKNOWLEDGEMENT_BOUND:?} after the last loss"
            ));
        }
        if !wait_until_serving(deployment, history, left()) {
            thread::sleep(left());
            self.check_served();
        }
    }

    /// Records a violation if few requests are served from now on.
    fn check_served(&self) {
        let mut caller = Caller::new(self.deployment, self.history, u64::MAX, 5);
        let end = Instant::now() + SERVED_TIME;
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < end {
            served += usize::from(caller.probe(sent, Kind::Safe));
            sent += 1;
            thread::sleep(CRASHING_PAUSE);
        }
        if served * 4 < sent {
            self.violate(format!(
                "RECOVER {served} of {sent} were served {RECOVERY_BOUND:?} after the last loss"
            ));
        }
    }
}
