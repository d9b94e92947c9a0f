//! Which causes were served, so that crashes and blocks do not count against sound ones.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Cause, Report, Table};

/// Number of served runs per crash from which on an instance takes a cause to be sound.
const SERVED_PER_CRASH: u32 = 10;

/// Period over which an instance counts its own runs; the one before counts too.
const TALLY_PERIOD: Duration = Duration::from_secs(60);

/// Maximum number of causes whose runs are counted in a period.
const MAX_TALLIES: usize = 4096;

/// Maximum number of causes that an instance tells a new dispatcher of because it often served them.
const MAX_SOUND: usize = 64;

/// Number of an instance's own runs with a cause.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    served: u32,
    crashed: u32,
    /// Time of the last served run.
    last: Option<Instant>,
}

/// An instance's own runs, by cause.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Runs in the current period.
    tallies: HashMap<Cause, Tally>,
    /// Those of the period before.
    earlier: HashMap<Cause, Tally>,
    /// Start of the current period.
    period_start: Option<Instant>,
}

impl Record {
    /// Starts a new period if the current one is over, or has too many causes.
    pub fn start_period(&mut self, now: Instant) {
        let start = *self.period_start.get_or_insert(now);
        if now >= start + TALLY_PERIOD || self.tallies.len() >= MAX_TALLIES {
            self.earlier = std::mem::take(&mut self.tallies);
            self.period_start = Some(now);
        }
    }

    pub fn count_served(&mut self, cause: Cause, now: Instant) {
        let tally = self.tallies.entry(cause).or_default();
        tally.served += 1;
        tally.last = Some(now);
    }

    pub fn count_crashed(&mut self, cause: Cause) {
        self.tallies.entry(cause).or_default().crashed += 1;
    }

    /// Returns the runs with a cause in both periods.
    fn tally(&self, cause: &Cause) -> Tally {
        let periods = [&self.earlier, &self.tallies];
        let tallies = periods.into_iter().filter_map(|period| period.get(cause));
        tallies.fold(Tally::default(), |sum, tally| Tally {
            served: sum.served + tally.served,
            crashed: sum.crashed + tally.crashed,
            last: sum.last.max(tally.last),
        })
    }

    /// Whether most runs with a cause are served.
    pub fn is_sound(&self, cause: &Cause) -> bool {
        let tally = self.tally(cause);
        tally.served > 0 && tally.served >= tally.crashed.saturating_mul(SERVED_PER_CRASH)
    }

    /// Whether most of many runs with a cause are served.
    fn is_often_served(&self, cause: &Cause) -> bool {
        self.is_sound(cause) && self.tally(cause).served >= SERVED_PER_CRASH
    }

    /// Returns the causes that are served most often, with the time of the last run.
    fn often_served(&self) -> Vec<(Cause, Instant)> {
        let causes = self.tallies.keys().chain(self.earlier.keys()).copied();
        let sound = causes.filter(|cause| self.is_often_served(cause));
        let mut ranked: Vec<_> = sound
            .map(|cause| (self.tally(&cause).served, cause))
            .collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.dedup();
        let last = |cause: Cause| Some((cause, self.tally(&cause).last?));
        let most = ranked.into_iter().take(MAX_SOUND);
        most.filter_map(|(_, cause)| last(cause)).collect()
    }
}

impl Table {
    /// Returns the time at which a cause was last served, here or where another instance told of it.
    pub(super) fn last_service(&self, cause: &Cause) -> Option<Instant> {
        let told = self.served.get(cause).copied();
        told.max(self.own.tally(cause).last)
    }

    /// Returns what was served, for an instance that knows nothing.
    pub(super) fn services(&self, now: Instant) -> Vec<Report> {
        let told = self.served.iter().map(|(cause, at)| (*cause, *at));
        let mut services: HashMap<Cause, Instant> = told.collect();
        for (cause, at) in self.own.often_served() {
            let last = services.entry(cause).or_insert(at);
            *last = at.max(*last);
        }
        let services = services.into_iter();
        services.map(|(cause, at)| served(cause, at, now)).collect()
    }

    /// Returns what to answer to the instance that told of crashes or a block: what has been served
    /// since, or is served often here.
    pub fn replies(&self, report: &Report, now: Instant) -> Vec<Report> {
        let (causes, age) = match report {
            Report::Crashed { causes, age, .. } => (causes.as_slice(), *age),
            Report::Blocked { cause, age, .. } => (std::slice::from_ref(cause), *age),
            Report::Served { .. } => return Vec::new(),
        };
        let told = now.checked_sub(age).unwrap_or(now);
        let known = causes.iter().filter_map(|cause| {
            let at = self.last_service(cause)?;
            (at >= told || self.own.is_often_served(cause)).then_some((*cause, at))
        });
        known.map(|(cause, at)| served(cause, at, now)).collect()
    }
}

fn served(cause: Cause, at: Instant, now: Instant) -> Report {
    Report::Served {
        cause,
        age: now.saturating_duration_since(at),
    }
}
