//! Checks that entries handle requests by the declarations in force: probes are sent to every entry on
//! routes that declarations add, remove, move and limit.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::declaration::{Content, PROBED_SERVICES, added_prefix};
use super::deployment::FIRST_ENTRY_HOST;
use super::history::{Declaration, Disruption, Execution, IN_FORCE_BOUND};

/// Time without a fault after which an entry is held to the bounds, as the platform states it.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after which a process that showed a version handles no request by an older one.
const REGRESSION_SLACK: Duration = Duration::from_millis(250);
/// Factor of [`REGRESSION_SLACK`] for an entry that a fault affects.
const DISRUPTED_SLACK_FACTOR: u32 = 8;

/// Time after the time limit of its route at which a request has its final answer.
const LIMIT_SLACK: Duration = Duration::from_millis(500);
/// Number of requests beyond it that are a violation if they are over a quarter.
const MIN_LATE: usize = 8;

/// Number of requests on added routes from which on they are compared with others.
const MIN_ADDED: usize = 20;

/// What a probe asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// Route that all declarations contain.
    Steady,
    /// The same with the revocable key.
    RevocableKey,
    /// Added route with this number.
    Added(u64),
    /// Route that is moved between services.
    Moved,
    /// Route that no declaration contains that may be in force.
    Forged(u64),
    /// Route whose time limit is shorter than its upstream takes.
    Slow,
}

/// Request of a probe and what became of it.
#[derive(Debug, Clone)]
pub struct Probe {
    /// Host number of the entry.
    pub entry: u8,
    /// What the request asks for.
    pub target: Target,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Status and time of the complete response, if there was any.
    pub answer: Option<(u16, Instant)>,
}

/// What shows which versions an entry handled a request by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// An upstream of this service ran it.
    RunBy(&'static str),
    /// It was refused for want of a route.
    NoRoute,
    /// It was refused for its key.
    KeyRefused,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RunBy(service) => write!(f, "was run by {service}"),
            Self::NoRoute => write!(f, "got 404"),
            Self::KeyRefused => write!(f, "was refused for its key"),
        }
    }
}

/// Effect of a request, and the time at which it was seen.
struct Observation<'a> {
    attempt: &'a str,
    probe: &'a Probe,
    effect: Effect,
    at: Instant,
}

/// Version that a process showed by what an upstream saw.
struct Shown<'a> {
    at: Instant,
    /// Lowest version that allows it.
    version: u64,
    attempt: &'a str,
}

/// Period in which keepers, or links between them, were disturbed.
#[derive(Debug, Clone, Copy)]
pub struct CoreDisruption {
    /// Time at which the fault began.
    pub start: Instant,
    /// Time at which its effect ended.
    pub end: Instant,
}

/// Records that the checks use.
pub struct Evidence<'a> {
    /// Probes by attempt id.
    pub probes: &'a HashMap<String, Probe>,
    /// Executions of all requests.
    pub executions: &'a [Execution],
    /// Declarations in the order of their versions.
    pub declarations: &'a [Declaration],
    /// Faults at entries.
    pub disruptions: &'a [Disruption],
    /// Entries that were cut off from upstreams beyond these.
    pub cuts: &'a [Disruption],
    /// Faults at keepers.
    pub core_disruptions: &'a [CoreDisruption],
    /// Starts of processes: host number and time.
    pub starts: &'a [(u8, Instant)],
}

/// Whether a declaration allows an effect of a request.
fn allows(content: &Content, target: &Target, effect: Effect) -> bool {
    match (target, effect) {
        (Target::Added(number), Effect::NoRoute) => content.added != Some(*number),
        (Target::Added(number), Effect::RunBy(service)) => {
            content.added == Some(*number) && service == PROBED_SERVICES[0]
        }
        (Target::Moved, Effect::RunBy(service)) => PROBED_SERVICES[content.moved_to] == service,
        (Target::RevocableKey, Effect::KeyRefused) => !content.has_revocable_key,
        (Target::RevocableKey, Effect::RunBy(service)) => {
            content.has_revocable_key && service == PROBED_SERVICES[0]
        }
        (Target::Steady, Effect::RunBy(service)) => service == PROBED_SERVICES[0],
        (Target::Forged(_), Effect::NoRoute) | (Target::Slow, Effect::RunBy(_)) => true,
        _ => false,
    }
}

/// Whether one of some faults affected an entry or its links.
fn affect(faults: &[Disruption], entry: u8, from: Instant, to: Instant) -> bool {
    let is_affected = |fault: &Disruption| fault.entry.is_none_or(|host| host == entry);
    let mut faults = faults.iter();
    faults.any(|fault| is_affected(fault) && fault.start <= to && fault.end >= from)
}

impl Evidence<'_> {
    /// Whether no fault has affected an entry, the keepers or links from [`CONTACT_TIME`] before
    /// `from` until `to`, and none of their processes started.
    fn is_in_touch(&self, entry: u8, from: Instant, to: Instant) -> bool {
        let since = from - CONTACT_TIME;
        let is_free = |start: Instant, end: Instant| start > to || end < since;
        let is_core = |host: u8| host < FIRST_ENTRY_HOST;
        let mut core = self.core_disruptions.iter();
        let mut starts = self.starts.iter();
        core.all(|fault| is_free(fault.start, fault.end))
            && starts.all(|(host, at)| !(is_core(*host) || *host == entry) || is_free(*at, *at))
            && !self.is_disrupted(entry, since, to)
            && !affect(self.cuts, entry, since, to)
    }

    /// Whether a fault affected an entry or its links.
    fn is_disrupted(&self, entry: u8, from: Instant, to: Instant) -> bool {
        affect(self.disruptions, entry, from, to)
    }

    /// Returns the newest version that was confirmed [`IN_FORCE_BOUND`] before a time.
    fn newest_in_force(&self, at: Instant) -> u64 {
        let is_in_force = |d: &&Declaration| {
            let confirmed = d.acknowledged_at;
            confirmed.is_some_and(|confirmed| confirmed + IN_FORCE_BOUND < at)
        };
        let in_force = self.declarations.iter().filter(is_in_force);
        in_force.map(|d| d.version).max().unwrap_or(0)
    }

    /// Returns the declarations that may be in force for a request that was sent at one time and
    /// handled until another.
    fn candidates(&self, sent_at: Instant, until: Instant) -> impl Iterator<Item = &Declaration> {
        let newest = self.newest_in_force(sent_at);
        let declarations = self.declarations.iter();
        declarations.filter(move |d| d.version >= newest && d.sent_at <= until)
    }

    /// Returns all effects that tell versions apart, in the order of time.
    fn observations(&self) -> Vec<Observation<'_>> {
        let runs = self.executions.iter().filter_map(|execution| {
            let attempt = &execution.attempt;
            let (effect, at) = (Effect::RunBy(execution.service), execution.started_at);
            let probe = self.probes.get(attempt)?;
            Some(Observation {
                attempt,
                probe,
                effect,
                at,
            })
        });
        let refusals = self.probes.iter().filter_map(|(attempt, probe)| {
            let (status, at) = probe.answer?;
            let effect = match status {
                404 => Effect::NoRoute,
                401 | 403 => Effect::KeyRefused,
                _ => return None,
            };
            Some(Observation {
                attempt,
                probe,
                effect,
                at,
            })
        });
        let mut observations: Vec<_> = runs.chain(refusals).collect();
        observations.sort_by_key(|observation| observation.at);
        observations
    }

    /// Returns the violations that the probes show.
    pub fn check(&self) -> Vec<String> {
        let observations = self.observations();
        let mut violations = self.check_in_force(&observations);
        violations.extend(self.check_regressions(&observations));
        violations.extend(self.check_added());
        violations.extend(self.check_limits());
        violations
    }

    /// Returns a summary in one line.
    pub fn summary(&self) -> String {
        let observations = self.observations();
        let in_touch = observations
            .iter()
            .filter(|o| self.is_in_touch(o.probe.entry, o.probe.sent_at, o.at));
        format!(
            "{} probes, {} effects, {} of them in touch, added routes {:?}, others {:?}, slow {:?}",
            self.probes.len(),
            observations.len(),
            in_touch.count(),
            self.served(|target| matches!(target, Target::Added(_))),
            self.served(|target| *target == Target::Steady),
            self.late(),
        )
    }

    /// Returns the violations of requests that were handled as only an older version allows, or none
    /// at all.
    fn check_in_force(&self, observations: &[Observation<'_>]) -> Vec<String> {
        let mut violations = Vec::new();
        for o in observations {
            let Probe {
                target,
                entry,
                sent_at,
                ..
            } = o.probe;
            let is_forged = matches!(target, Target::Forged(_));
            if is_forged && matches!(o.effect, Effect::RunBy(_)) {
                let attempt = o.attempt;
                let line =
                    format!("CONFIG {attempt} {target:?} at {entry} ran by what is not valid");
                violations.push(line);
                continue;
            }
            let mut candidates = self.candidates(*sent_at, o.at);
            let is_allowed = candidates.any(|d| allows(&d.content, target, o.effect));
            if !is_allowed && self.is_in_touch(*entry, *sent_at, o.at) {
                let newest = self.newest_in_force(*sent_at);
                let confirmed = self.declarations.iter().find(|d| d.version == newest);
                let confirmed = confirmed.and_then(|d| d.acknowledged_at);
                let age = confirmed.map(|at| sent_at.saturating_duration_since(at));
                violations.push(format!(
                    "CONFIG {} {target:?} at {entry} {}, {age:?} after version {newest} was confirmed",
                    o.attempt, o.effect
                ));
            }
        }
        violations
    }

    /// Returns the violations of processes that went back to an older version.
    fn check_regressions(&self, observations: &[Observation<'_>]) -> Vec<String> {
        let start_count = |entry: u8, at: Instant| {
            let starts = self.starts.iter();
            starts
                .filter(|(host, start)| *host == entry && *start <= at)
                .count()
        };
        // By entry and lifetime, in the order of versions.
        let mut shown: HashMap<(u8, usize), Vec<Shown<'_>>> = HashMap::new();
        let mut violations = Vec::new();
        for o in observations {
            let entry = o.probe.entry;
            let lifetime = start_count(entry, o.probe.sent_at);
            if start_count(entry, o.at) != lifetime {
                continue;
            }
            let allowing = self.declarations.iter();
            let allowing = allowing
                .filter(|d| d.sent_at <= o.at && allows(&d.content, &o.probe.target, o.effect));
            let versions: Vec<u64> = allowing.map(|d| d.version).collect();
            let (Some(lowest), Some(highest)) = (versions.iter().min(), versions.iter().max())
            else {
                continue;
            };
            let before = shown.entry((entry, lifetime)).or_default();
            let regressed_from = before.iter().rev().find(|shown| {
                let factor = match self.is_disrupted(entry, shown.at, o.at) {
                    true => DISRUPTED_SLACK_FACTOR,
                    false => 1,
                };
                let slack = REGRESSION_SLACK * factor;
                *highest < shown.version && shown.at + slack < o.probe.sent_at
            });
            if let Some(Shown {
                at,
                version,
                attempt,
            }) = regressed_from
            {
                violations.push(format!(
                    "CONFIG {} {:?} at {entry} {}, as version {highest} or older, {:?} after {attempt} \
                     showed version {version}",
                    o.attempt,
                    o.probe.target,
                    o.effect,
                    o.probe.sent_at - *at
                ));
            }
            // Only what an upstream saw counts as shown.
            if matches!(o.effect, Effect::RunBy(_))
                && before.last().is_none_or(|shown| shown.version < *lowest)
            {
                before.push(Shown {
                    at: o.at,
                    version: *lowest,
                    attempt: o.attempt,
                });
            }
        }
        violations
    }

    /// Returns the numbers of probes of some targets that were sent and served, at entries in touch, on
    /// routes that all declarations contain that may be in force.
    fn served(&self, is_target: impl Fn(&Target) -> bool) -> (usize, usize) {
        let (mut sent, mut served) = (0, 0);
        for probe in self
            .probes
            .values()
            .filter(|probe| is_target(&probe.target))
        {
            let end = probe
                .answer
                .map_or(probe.sent_at + CONTACT_TIME, |(_, at)| at);
            let mut candidates = self.candidates(probe.sent_at, end);
            let is_declared = candidates.all(|d| match probe.target {
                Target::Added(number) => d.content.added == Some(number),
                _ => true,
            });
            if is_declared && self.is_in_touch(probe.entry, probe.sent_at, end) {
                sent += 1;
                served += usize::from(matches!(probe.answer, Some((200, _))));
            }
        }
        (sent, served)
    }

    /// Returns the violation of added routes that are served less than a quarter as often as others.
    fn check_added(&self) -> Option<String> {
        let added = self.served(|target| matches!(target, Target::Added(_)));
        let steady = self.served(|target| *target == Target::Steady);
        let is_worse = added.1 * steady.0 * 4 < steady.1 * added.0;
        (added.0 >= MIN_ADDED && is_worse).then(|| {
            let first = added_prefix(0);
            format!("CONFIG of requests on routes such as {first} {added:?} were served, on others {steady:?}")
        })
    }

    /// Returns the numbers of requests that lasted longer than the time limit of their route, and of
    /// those without an answer [`LIMIT_SLACK`] later, at entries in touch.
    fn late(&self) -> (usize, usize) {
        let (mut longer, mut late) = (0, 0);
        for probe in self
            .probes
            .values()
            .filter(|probe| probe.target == Target::Slow)
        {
            let answered_at = probe.answer.map(|(_, at)| at);
            let until = answered_at.unwrap_or(probe.sent_at + CONTACT_TIME);
            let candidates = self.candidates(probe.sent_at, until);
            let Some(limit_ms) = candidates.map(|d| d.content.slow_limit_ms).max() else {
                continue;
            };
            let end = probe.sent_at + Duration::from_millis(limit_ms);
            if !self.is_in_touch(probe.entry, probe.sent_at, end + LIMIT_SLACK) {
                continue;
            }
            longer += usize::from(answered_at.is_none_or(|at| at > end));
            late += usize::from(answered_at.is_none_or(|at| at > end + LIMIT_SLACK));
        }
        (longer, late)
    }

    /// Returns the violation of requests without an answer in time.
    fn check_limits(&self) -> Option<String> {
        let (longer, late) = self.late();
        (late >= MIN_LATE && late * 4 > longer).then(|| {
            format!(
                "CONFIG {late} of {longer} requests had no answer {LIMIT_SLACK:?} after the time limit of \
                 their route"
            )
        })
    }
}

#[cfg(test)]
mod tests;
