//! Fault injection. A seed determines a series of faults that start at random times, may overlap,
//! and are all cleared at the end.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::configuration::CONTACT_TIME;
use super::deployment::{Deployment, UPSTREAM_COUNT};
use super::history::Disruption;
use super::platform::{Behaviour, FAULTY_BEHAVIOURS, ListState};
use crate::proxy::{Direction, Faults, Flow, OpenConnections};

/// Longest pause between the starts of two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 900;

/// Longest duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 4_000;

/// Time for which an instance is isolated from all others: longer than it may accept a revoked key.
const ISOLATION_DURATION: Duration = Duration::from_secs(9);

/// Longest time for which a silent connection may still be used.
const SILENCE_DURATION: Duration = Duration::from_secs(10);

/// Longest time before a stopped process is started again, in milliseconds.
const MAX_DOWNTIME_MS: u64 = 1_500;

/// Fault that can be injected. A `u8` is the host number of an instance.
#[derive(Debug, Clone)]
enum Fault {
    /// Kills an instance.
    Kill(u8),
    /// Stops an instance gracefully.
    Stop(u8),
    /// Suspends an instance.
    Freeze(u8),
    /// Sends SIGHUP to an instance.
    Hangup(u8),
    /// Kills a keeper and removes its data.
    Wipe(u8),
    /// Kills a keeper and leaves a torn write in its journal.
    TornWrite(u8),
    /// Kills all keepers at once.
    KillKeepers,
    /// Kills all instances at once.
    KillAll,
    /// Restarts the entries gracefully, one after the other.
    StopEntries,
    /// Resets the connections of some links.
    Reset,
    /// Silences the connections of some links.
    Silence,
    /// Delays both directions of some links.
    Delay { ms: u64 },
    /// Holds back the bytes of some links in the direction to their targets.
    HoldOneWay,
    /// Holds back all bytes between an instance and the others.
    Isolate(u8),
    /// Cuts an entry off from all upstreams.
    CutOff(u8, OpenConnections),
    /// Sets the state of the list of upstreams.
    List(ListState),
    /// Sets the behaviour of the upstream with this index.
    Upstream(usize, Behaviour),
    /// Restarts the upstream with this index.
    RestartUpstream(usize),
}

/// Injects random faults for `length`, then clears them all. Returns a line for each fault
/// injected.
pub fn inject_random(
    deployment: &Arc<Deployment>,
    rng: &mut ChaCha8Rng,
    length: Duration,
) -> Vec<String> {
    let started = Instant::now();
    let mut injected = Vec::new();
    let mut threads = Vec::new();
    // Three keepers tolerate the loss of one disk; until the keeper has caught up and votes again,
    // which needs a time without faults, another loss is too many.
    let mut can_wipe = true;
    while started.elapsed() < length {
        let fault = random_fault(deployment, rng, can_wipe);
        if matches!(fault, Fault::Wipe(_)) {
            can_wipe = false;
        }
        let duration = Duration::from_millis(rng.random_range(200..MAX_FAULT_MS));
        let downtime = Duration::from_millis(rng.random_range(50..MAX_DOWNTIME_MS));
        let link_bits = rng.next_u64();
        injected.push(format!(
            "{:.1} s {fault:?}",
            started.elapsed().as_secs_f64()
        ));
        let deployment = deployment.clone();
        threads.push(thread::spawn(move || {
            let injection = Injection {
                deployment,
                duration,
                downtime,
                link_bits,
            };
            let start = Instant::now();
            if let Err(error) = injection.inject(&fault) {
                println!("failed to inject {fault:?}: {error:#}");
            }
            let stand_ins = &injection.deployment.stand_ins;
            if let Some(end) = injection.core_disruption_end(&fault) {
                stand_ins.record_core_disruption(start, end);
            }
            if let Some(disruption) = injection.disruption(&fault, start) {
                stand_ins.record_disruption(disruption);
            }
        }));
        thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
    }
    for thread in threads {
        if thread.join().is_err() {
            println!("a fault injection thread panicked");
        }
    }
    clear_all(deployment);
    injected
}

/// Clears all faults and starts all processes that are not running, whatever faults overlapped.
fn clear_all(deployment: &Deployment) {
    deployment
        .links()
        .iter()
        .for_each(|link| link.set_faults(Faults::default()));
    deployment.end_cut_off();
    deployment.stand_ins.set_list_state(ListState::Available);
    (0..usize::from(UPSTREAM_COUNT))
        .for_each(|i| deployment.stand_ins.set_behaviour(i, Behaviour::Normal));
    for host in deployment.keepers().iter().chain(&deployment.entries) {
        let resumed = deployment.signal(*host, "CONT");
        if let Err(error) = resumed.and_then(|()| deployment.spawn(*host, false)) {
            println!("failed to restart instance {host}: {error:#}");
        }
    }
}

/// Returns a random fault; a wiped disk only if `can_wipe` is set.
fn random_fault(deployment: &Deployment, rng: &mut ChaCha8Rng, can_wipe: bool) -> Fault {
    let keeper = deployment.keepers().choose(rng).copied().unwrap_or(1);
    let entry = deployment.entries.choose(rng).copied().unwrap_or(keeper);
    let instance = if rng.random_bool(0.5) { keeper } else { entry };
    let upstream = rng.random_range(0..usize::from(UPSTREAM_COUNT));
    match rng.random_range(0..23) {
        0..3 => Fault::Kill(instance),
        3..5 => Fault::Stop(instance),
        5..8 => Fault::Freeze(instance),
        8 => Fault::Hangup(instance),
        9 if can_wipe => Fault::Wipe(keeper),
        9 | 10 => Fault::TornWrite(keeper),
        11 if rng.random_bool(0.5) => Fault::KillAll,
        11 => Fault::KillKeepers,
        12 => Fault::StopEntries,
        13 => Fault::Reset,
        14 => Fault::Silence,
        15 => Fault::Delay {
            ms: rng.random_range(5..300),
        },
        16 => Fault::HoldOneWay,
        17 => Fault::List(
            *[ListState::Down, ListState::Malformed]
                .choose(rng)
                .unwrap_or(&ListState::Down),
        ),
        22 => Fault::CutOff(entry, random_cut(rng)),
        18 => Fault::RestartUpstream(upstream),
        19 | 20 => Fault::Isolate(instance),
        _ => Fault::Upstream(
            upstream,
            *FAULTY_BEHAVIOURS
                .choose(rng)
                .unwrap_or(&Behaviour::ServerError),
        ),
    }
}

/// Returns what happens to open connections in a cut of an entry from upstreams.
pub fn random_cut(rng: &mut ChaCha8Rng) -> OpenConnections {
    let cuts = [
        OpenConnections::Reset,
        OpenConnections::Silent,
        OpenConnections::Live,
    ];
    cuts[rng.random_range(0..cuts.len())]
}

/// Fault being injected, with its parameters.
struct Injection {
    deployment: Arc<Deployment>,
    /// Duration of the fault.
    duration: Duration,
    /// Time before a stopped process is started again.
    downtime: Duration,
    /// Random bits that select the affected links and seed the bytes of a torn write.
    link_bits: u64,
}

impl Injection {
    /// Returns the effect of a fault that began at `start` and has ended, if it affects entries or
    /// links that they use.
    fn disruption(&self, fault: &Fault, start: Instant) -> Option<Disruption> {
        let now = Instant::now();
        let (entry, interrupts, end) = match fault {
            Fault::Kill(host) | Fault::Stop(host) | Fault::Freeze(host) => (Some(*host), true, now),
            Fault::Isolate(host) | Fault::CutOff(host, _) => (Some(*host), false, now),
            Fault::KillAll | Fault::StopEntries => (None, true, now),
            Fault::Reset | Fault::Delay { .. } | Fault::HoldOneWay => (None, false, now),
            // Connections stay silent until they are given up.
            Fault::Silence => (None, false, now + SILENCE_DURATION),
            Fault::Hangup(_)
            | Fault::Wipe(_)
            | Fault::TornWrite(_)
            | Fault::KillKeepers
            | Fault::List(_)
            | Fault::Upstream(..)
            | Fault::RestartUpstream(_) => return None,
        };
        Some(Disruption {
            entry,
            interrupts,
            start,
            end,
        })
    }

    /// Returns when the effect of a fault that has ended on keepers or links between them ends, if it has
    /// any.
    fn core_disruption_end(&self, fault: &Fault) -> Option<Instant> {
        let now = Instant::now();
        let is_keeper = |host: &u8| self.deployment.keepers().contains(host);
        match fault {
            Fault::Kill(host) | Fault::Stop(host) | Fault::Freeze(host) | Fault::Isolate(host) => {
                is_keeper(host).then_some(now)
            }
            Fault::Wipe(_) | Fault::TornWrite(_) => Some(now),
            // The rules give twice the time where most of the keepers were lost.
            Fault::KillKeepers | Fault::KillAll => Some(now + CONTACT_TIME),
            Fault::Reset | Fault::Delay { .. } | Fault::HoldOneWay => Some(now),
            Fault::Silence => Some(now + SILENCE_DURATION),
            Fault::Hangup(_)
            | Fault::StopEntries
            | Fault::CutOff(..)
            | Fault::List(_)
            | Fault::Upstream(..)
            | Fault::RestartUpstream(_) => None,
        }
    }

    /// Injects a fault, and clears it once its duration is over.
    fn inject(&self, fault: &Fault) -> anyhow::Result<()> {
        let deployment = &self.deployment;
        match fault {
            Fault::Kill(host) => self.restart(&[*host], |_| Ok(())),
            Fault::Wipe(host) => self.restart(&[*host], |host| deployment.wipe(host)),
            Fault::TornWrite(host) => {
                let mut rng = ChaCha8Rng::seed_from_u64(self.link_bits);
                self.restart(&[*host], |host| {
                    deployment.append_torn_write(host, &mut rng)
                })
            }
            Fault::KillKeepers => self.restart(&deployment.keepers(), |_| Ok(())),
            Fault::KillAll => {
                let mut all = deployment.keepers();
                all.extend(&deployment.entries);
                self.restart(&all, |_| Ok(()))
            }
            Fault::Stop(host) => {
                deployment.terminate(*host)?;
                thread::sleep(self.downtime);
                deployment.spawn(*host, false)
            }
            Fault::StopEntries => {
                for host in &deployment.entries {
                    deployment.terminate(*host)?;
                    deployment.spawn(*host, false)?;
                }
                Ok(())
            }
            Fault::Freeze(host) => {
                deployment.signal(*host, "STOP")?;
                thread::sleep(self.duration);
                deployment.signal(*host, "CONT")
            }
            Fault::Hangup(host) => deployment.signal(*host, "HUP"),
            Fault::Reset => {
                self.affected_links().for_each(crate::proxy::Link::cut);
                Ok(())
            }
            Fault::Silence => {
                self.affected_links().for_each(crate::proxy::Link::silence);
                Ok(())
            }
            Fault::Delay { ms } => self.fault_links(Faults::delayed(Duration::from_millis(*ms))),
            Fault::HoldOneWay => self.fault_links(Faults {
                to_target: Direction {
                    flow: Flow::Hold,
                    ..Direction::default()
                },
                ..Faults::default()
            }),
            Fault::Isolate(host) => {
                let links = || deployment.links_of(*host);
                links().for_each(|link| link.set_faults(Faults::frozen()));
                thread::sleep(ISOLATION_DURATION);
                links().for_each(|link| link.set_faults(Faults::default()));
                Ok(())
            }
            Fault::CutOff(host, open) => {
                deployment.cut_off(&[*host], *open);
                thread::sleep(self.duration);
                deployment.end_cut_off();
                Ok(())
            }
            Fault::List(list_state) => {
                deployment.stand_ins.set_list_state(*list_state);
                thread::sleep(self.duration);
                deployment.stand_ins.set_list_state(ListState::Available);
                Ok(())
            }
            Fault::Upstream(number, behaviour) => {
                deployment.stand_ins.set_behaviour(*number, *behaviour);
                thread::sleep(self.duration);
                deployment
                    .stand_ins
                    .set_behaviour(*number, Behaviour::Normal);
                Ok(())
            }
            Fault::RestartUpstream(number) => {
                deployment.stand_ins.restart(*number);
                Ok(())
            }
        }
    }

    /// Kills all `hosts`, calls `between` for each once none of them runs, and starts them again.
    fn restart(
        &self,
        hosts: &[u8],
        mut between: impl FnMut(u8) -> anyhow::Result<()>,
    ) -> anyhow::Result<()> {
        for host in hosts {
            self.deployment.kill(*host)?;
        }
        hosts.iter().try_for_each(|host| between(*host))?;
        thread::sleep(self.downtime);
        hosts
            .iter()
            .try_for_each(|host| self.deployment.spawn(*host, false))
    }

    /// Returns the links that `link_bits` selects, about one in four.
    fn affected_links(&self) -> impl Iterator<Item = &crate::proxy::Link> {
        let bits = self.link_bits;
        let links = self.deployment.links().iter().enumerate();
        let affected_links =
            links.filter(move |(i, _)| bits.rotate_right((*i % 64) as u32) & 3 == 0);
        affected_links.map(|(_, link)| link)
    }

    /// Applies `faults` to the affected links for the duration of the fault.
    fn fault_links(&self, faults: Faults) -> anyhow::Result<()> {
        self.affected_links()
            .for_each(|link| link.set_faults(faults));
        thread::sleep(self.duration);
        self.affected_links()
            .for_each(|link| link.set_faults(Faults::default()));
        Ok(())
    }
}
