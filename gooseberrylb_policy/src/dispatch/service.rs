//! The requests of one service: which wait, in which order they are granted, and where they go.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::rollout::Rollout;
use gooseberrylb_config::id;

use super::rates::{NEWEST, NEWEST_POOLED, Rates, learn};
use super::release::{Ended, Release};
use super::turns::{Turn, Turns};
use super::upstream::State;
use super::{Decision, Key, Outcome, Rank, Reason, Request, Running, Upstream};
use crate::occupancy::Occupancy;
use crate::rollout::Observation;

/// When callers may come back to a service without upstreams; the list is read about so often.
pub(super) const NO_UPSTREAM_PAUSE: Duration = Duration::from_secs(1);

/// How much sooner than from another data centre an answer must be expected to go there; bytes
/// between data centres cost, and a round trip takes a few milliseconds.
const DISTANCE: Duration = Duration::from_millis(30);

/// How much later an answer counts that shares its upstream with as many others as there are slots:
/// prompts that are read delay the other requests' tokens.
const COMPANY: Duration = Duration::from_millis(40);

/// What is added to the expected end where the first event would be late.
const LATE: Duration = Duration::from_secs(60);

/// The part of the objective by which a first event must be expected for a request to count as in
/// time, since expectations err.
const CERTAINTY: f64 = 0.85;

/// The part of the time that a late request is worth waiting in which its grant must be expected.
const HOLD_CERTAINTY: f64 = 0.6;

/// What is expected of a request's stay before any was measured, in seconds.
const UNMEASURED_STAY: f64 = 0.3;

/// How long an arrival counts for how often requests come; bursts last for seconds.
const MEMORY: Duration = Duration::from_secs(1);

/// The part of the slots that is reckoned with for a rank whose higher ones take all.
const LEAST_LEFT: f64 = 0.05;

/// The shortest pause before a refused request may come back.
const SHORTEST_RETURN: Duration = Duration::from_millis(200);

/// Callers come back after this part of the time that they have left, however long they are told to
/// wait (the platform's protocol, status codes).
const RETURNS: u32 = 3;

/// Over how much of its length a return is spread, so that refused callers don't come together.
const RETURN_SPREAD: f64 = 0.5;

/// A request at an upstream.
#[derive(Debug)]
struct Run {
    upstream: id::Upstream,
    since: Instant,
    prompt: u64,
    /// The route, where this dispatcher granted it.
    route: Option<Arc<str>>,
    /// The reading that was before it when it was granted.
    queued: Duration,
    silent: bool,
    /// When nobody waits for it any more, so that a lost end frees its slot.
    over: Instant,
}

/// A request that waits.
#[derive(Debug)]
struct Waiting {
    ask: Request,
    since: Instant,
}

/// The order of those that wait: by level, then by the turns of their accounts, then by their coming.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    level: Level,
    turn: Turn,
    number: u64,
}

/// What goes before what: the account's rank, then the route's. A request that is late already has
/// lost most of what it was worth, so it stands one rank lower, behind those of that rank which can
/// still be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Level {
    account: u8,
    route: u8,
    late: bool,
}

impl Level {
    fn new(rank: Rank, late: bool) -> Self {
        Self {
            account: rank.account,
            route: rank.route.saturating_add(u8::from(late)),
            late,
        }
    }
}

/// How often requests come: a count that fades.
#[derive(Debug, Default)]
struct Arrivals {
    count: f64,
    at: Option<Instant>,
}

impl Arrivals {
    fn faded(&self, now: Instant) -> f64 {
        let passed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.count * (-passed.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }

    fn count(&mut self, now: Instant) {
        self.count = self.faded(now) + 1.0;
        self.at = Some(now);
    }

    /// The requests a second.
    fn rate(&self, now: Instant) -> f64 {
        self.faded(now) / MEMORY.as_secs_f64()
    }
}

/// One service.
#[derive(Debug, Default)]
pub(super) struct Service {
    upstreams: Vec<State>,
    running: HashMap<Key, Run>,
    queue: BTreeMap<Place, Waiting>,
    places: HashMap<Key, Place>,
    pooled: Rates,
    stay: Option<f64>,
    count: u64,
    arrivals: BTreeMap<Level, Arrivals>,
    turns: Turns,
    release: Option<Release>,
}

impl Service {
    pub(super) fn set_upstreams(&mut self, upstreams: Vec<Upstream>, now: Instant) {
        let mut known: HashMap<_, _> = std::mem::take(&mut self.upstreams)
            .into_iter()
            .map(|state| (state.upstream.name.clone(), state))
            .collect();
        for upstream in upstreams {
            let state = match known.remove(&upstream.name) {
                Some(state) => State { upstream, ..state },
                None => State::new(upstream, now),
            };
            self.upstreams.push(state);
        }
        self.recount(now);
        if let Some(release) = &mut self.release {
            release.set_upstreams(self.upstreams.iter().map(|state| &state.upstream));
        }
    }

    pub(super) fn set_rollout(
        &mut self,
        name: &id::Service,
        rollout: Option<&Rollout>,
        share: f64,
        now: Instant,
    ) {
        match (&mut self.release, rollout) {
            (release, None) => {
                *release = None;
                let states = self.upstreams.iter_mut();
                states.for_each(|state| state.occupancy = Occupancy::default());
            }
            (Some(release), Some(rollout)) if release.is_of(rollout) => {
                release.follow(name, rollout, share);
            }
            (release, Some(rollout)) => {
                let release = release.insert(Release::new(name, rollout, share, now));
                release.set_upstreams(self.upstreams.iter().map(|state| &state.upstream));
            }
        }
    }

    /// What was seen of the rollout.
    pub(super) fn observation(&self, now: Instant) -> Option<Observation> {
        let release = self.release.as_ref()?;
        let at_release = self.running_at(release) as usize;
        let upstreams = self.upstreams.iter().map(|state| &state.upstream);
        // What runs at upstreams that are listed no more is elsewhere as well.
        Some(release.observation(upstreams, self.running.len() - at_release, now))
    }

    fn running_at(&self, release: &Release) -> u32 {
        let at = self.upstreams.iter();
        let at = at.filter(|state| release.is_release(&state.upstream));
        at.map(|state| state.running).sum()
    }

    /// The upstreams that a request may go to: all, or by the rollout's stage.
    fn may_go(&self) -> impl Fn(&State) -> bool {
        let rule = self.release.as_ref().map(|release| {
            let wanted = release.allows(self.running_at(release)).is_none();
            // Where only others are there, serving goes before the rollout.
            let of_kind = |state: &State| is_wanted(release, wanted, state);
            (release, wanted, self.upstreams.iter().any(of_kind))
        });
        move |state| match rule {
            Some((release, wanted, true)) => is_wanted(release, wanted, state),
            Some((_, _, false)) | None => true,
        }
    }

    pub(super) fn ask(&mut self, ask: Request, now: Instant) -> Decision {
        if self.queue.is_empty()
            && let Some(upstream) = self.choose(&ask, ask.objective, now)
        {
            let turn = self.turns.next(&ask);
            self.turns.take(&ask, turn);
            self.turns.served(turn);
            let level = Level::new(ask.rank, false);
            self.arrivals.entry(level).or_default().count(now);
            return Decision::Grant(self.grant(&ask, upstream, now));
        }
        let slots = self.usable_slots();
        if slots == 0 {
            let pause = self.spread(NO_UPSTREAM_PAUSE, ask.patience);
            return Decision::Refuse(Reason::NoUpstream, pause);
        }
        let turn = self.turns.next(&ask);
        self.count += 1;
        let place = |late| Place {
            level: Level::new(ask.rank, late),
            turn,
            number: self.count,
        };
        let wait = |late| {
            let ahead = self.queue.range(..place(late)).count() + 1;
            self.pace(place(late).level, slots, now) * ahead as f64
        };
        let firsts = self
            .upstreams
            .iter()
            .map(|u| u.rates.first(&ask, &self.pooled));
        let first = firsts.min().unwrap_or_default().as_secs_f64();
        let is_in_time = wait(false) + first <= ask.objective.as_secs_f64() * CERTAINTY;
        let late_wait = wait(true);
        if !is_in_time && late_wait > ask.hold.as_secs_f64() * HOLD_CERTAINTY {
            let pause = Duration::from_secs_f64(late_wait).min(ask.patience);
            let pause = self.spread(pause.max(SHORTEST_RETURN), ask.patience);
            return Decision::Refuse(Reason::Busy, pause);
        }
        let place = place(!is_in_time);
        self.arrivals.entry(place.level).or_default().count(now);
        self.turns.take(&ask, turn);
        self.places.insert(ask.key.clone(), place);
        self.queue.insert(place, Waiting { ask, since: now });
        Decision::Wait
    }

    fn usable_slots(&self) -> u32 {
        let may_go = self.may_go();
        let usable = self.upstreams.iter().filter(|state| may_go(state));
        usable.map(|state| state.upstream.slots).sum()
    }

    /// The time from one grant to the next for requests of a level, in seconds: what is admitted at
    /// higher ones takes its part of the slots first.
    fn pace(&self, level: Level, slots: u32, now: Instant) -> f64 {
        let all = f64::from(slots) / self.stay.unwrap_or(UNMEASURED_STAY);
        let higher = self.arrivals.range(..level);
        let taken: f64 = higher.map(|(_, arrivals)| arrivals.rate(now)).sum();
        1.0 / (all - taken).max(all * LEAST_LEFT)
    }

    /// Grants what has room now, and refuses what has waited for too long.
    pub(super) fn poll(&mut self, now: Instant, decided: &mut Vec<(Key, Decision)>) {
        self.drop_overdue(now);
        self.sort_out(now, decided);
        while !self.queue.is_empty() {
            let mut granted = None;
            for (place, waiting) in &self.queue {
                let waited = now.saturating_duration_since(waiting.since);
                let objective = waiting.ask.objective.saturating_sub(waited);
                if let Some(upstream) = self.choose(&waiting.ask, objective, now) {
                    granted = Some((*place, upstream));
                    break;
                }
                if waiting.ask.excluded.is_empty() {
                    // Whoever may go anywhere found no room, so nobody does.
                    return;
                }
            }
            let Some((place, upstream)) = granted else {
                return;
            };
            let Some(waiting) = self.queue.remove(&place) else {
                return;
            };
            self.places.remove(&waiting.ask.key);
            self.turns.served(place.turn);
            let upstream = self.grant(&waiting.ask, upstream, now);
            decided.push((waiting.ask.key, Decision::Grant(upstream)));
        }
    }

    /// Refuses those whose time to wait is over, and puts those behind that cannot be in time.
    fn sort_out(&mut self, now: Instant, decided: &mut Vec<(Key, Decision)>) {
        let over = |w: &Waiting| now >= w.since + w.ask.hold;
        let late = |p: &Place, w: &Waiting| !p.level.late && now >= w.since + w.ask.objective;
        let moved: Vec<Place> = self
            .queue
            .iter()
            .filter(|(place, waiting)| over(waiting) || late(place, waiting))
            .map(|(place, _)| *place)
            .collect();
        for place in moved {
            let Some(waiting) = self.queue.remove(&place) else {
                continue;
            };
            if over(&waiting) {
                self.places.remove(&waiting.ask.key);
                let waited = now.saturating_duration_since(waiting.since);
                let left = waiting.ask.patience.saturating_sub(waited);
                // What was too long to wait for will hardly be there sooner for the next try.
                let pause = self.spread(waiting.ask.hold.max(NO_UPSTREAM_PAUSE), left);
                decided.push((waiting.ask.key, Decision::Refuse(Reason::Busy, pause)));
            } else {
                let place = Place {
                    level: Level::new(waiting.ask.rank, true),
                    ..place
                };
                self.places.insert(waiting.ask.key.clone(), place);
                self.queue.insert(place, waiting);
            }
        }
    }

    pub(super) fn silent(&mut self, key: &Key, now: Instant) {
        let Some(run) = self.running.get_mut(key).filter(|run| !run.silent) else {
            return;
        };
        run.silent = true;
        let name = run.upstream.clone();
        if let Some(state) = self.state(&name) {
            state.health.failed(now);
        }
        self.judge(key, None, now);
    }

    /// Has the rollout take in what became of a request; none stands for its silence.
    fn judge(&mut self, key: &Key, outcome: Option<&Outcome>, now: Instant) {
        let (Some(release), Some(run)) = (&mut self.release, self.running.get(key)) else {
            return;
        };
        let rest = match outcome {
            Some(Outcome::Served { rest, .. }) => *rest,
            Some(Outcome::Full | Outcome::Failed | Outcome::Dropped) | None => Duration::ZERO,
        };
        // A silent request was judged then.
        if run.silent && outcome.is_some() {
            return;
        }
        let mut states = self.upstreams.iter();
        if let Some(state) = states.find(|state| state.upstream.name == run.upstream) {
            let ended = Ended {
                upstream: &state.upstream,
                route: run.route.as_deref(),
                prompt: run.prompt,
                running: now
                    .checked_sub(rest)
                    .and_then(|first| state.occupancy.peak(run.since, first)),
            };
            release.ended(&ended, outcome, now);
        }
    }

    pub(super) fn end(&mut self, key: &Key, outcome: Outcome, now: Instant) {
        if let Some(place) = self.places.remove(key) {
            self.queue.remove(&place);
        }
        self.judge(key, Some(&outcome), now);
        let Some(run) = self.running.remove(key) else {
            return;
        };
        let mut pooled = self.pooled;
        let is_watched = self.release.is_some();
        if let Some(state) = self.state(&run.upstream) {
            state.set_running(state.running.saturating_sub(1), is_watched, now);
            match outcome {
                Outcome::Served { .. } => {
                    state.health.served();
                    let (prompt, queued) = (run.prompt, run.queued);
                    state.rates.learn(prompt, queued, &outcome, NEWEST);
                    pooled.learn(prompt, queued, &outcome, NEWEST_POOLED);
                }
                Outcome::Full => state.full(now),
                Outcome::Failed => state.health.failed(now),
                Outcome::Dropped => {}
            }
        }
        self.pooled = pooled;
        if let Outcome::Served { .. } = outcome {
            let stay = now.saturating_duration_since(run.since).as_secs_f64();
            learn(&mut self.stay, stay, NEWEST_POOLED);
        }
    }

    pub(super) fn resume(&mut self, running: Running, now: Instant) {
        let run = Run {
            upstream: running.upstream,
            since: now,
            prompt: running.prompt,
            route: None,
            queued: Duration::ZERO,
            silent: false,
            over: now + running.patience,
        };
        let is_watched = self.release.is_some();
        if let Some(state) = self.state(&run.upstream) {
            state.set_running(state.running + 1, is_watched, now);
        }
        self.running.insert(running.key, run);
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&Key) -> bool, now: Instant) {
        self.running.retain(|key, _| keep(key));
        self.queue.retain(|_, waiting| keep(&waiting.ask.key));
        self.places.retain(|key, _| keep(key));
        self.recount(now);
    }

    /// Takes over what an entry has measured of an upstream.
    pub(super) fn adopt(&mut self, upstream: &id::Upstream, rates: &Rates) {
        self.pooled.adopt(rates);
        if let Some(state) = self.state(upstream) {
            state.rates.adopt(rates);
        }
    }

    /// Forgets what runs, but for the keys that are to be kept.
    pub(super) fn retain_running(&mut self, keep: impl Fn(&Key) -> bool, now: Instant) {
        self.running.retain(|key, _| keep(key));
        self.recount(now);
    }

    /// Whether a request waits here.
    pub(super) fn waits(&self, key: &Key) -> bool {
        self.places.contains_key(key)
    }

    pub(super) fn waiting(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    fn drop_overdue(&mut self, now: Instant) {
        let before = self.running.len();
        self.running.retain(|_, run| now < run.over);
        if self.running.len() != before {
            self.recount(now);
        }
    }

    fn recount(&mut self, now: Instant) {
        let mut counts: HashMap<&id::Upstream, u32> = HashMap::new();
        for run in self.running.values() {
            *counts.entry(&run.upstream).or_default() += 1;
        }
        for state in &mut self.upstreams {
            let running = counts.get(&state.upstream.name).copied().unwrap_or(0);
            state.set_running(running, self.release.is_some(), now);
        }
    }

    fn state(&mut self, name: &id::Upstream) -> Option<&mut State> {
        let mut states = self.upstreams.iter_mut();
        states.find(|state| state.upstream.name == *name)
    }

    /// The upstream with room whose answer is expected to end first, of those that can be in time.
    fn choose(&self, ask: &Request, objective: Duration, now: Instant) -> Option<usize> {
        let healthy = |state: &State| state.health.bound(state.upstream.slots, now) > 0;
        // Where most upstreams fail, resting them all would leave nobody to serve.
        let trusted =
            self.upstreams.iter().filter(|s| healthy(s)).count() * 2 >= self.upstreams.len();
        let best = |may_go: &dyn Fn(&State) -> bool| {
            let candidates = self.upstreams.iter().enumerate();
            candidates
                .filter(|(_, state)| may_go(state) && state.has_room(trusted, now))
                .filter(|(_, state)| !ask.excluded.contains(&state.upstream.name))
                .min_by_key(|(_, state)| self.cost(ask, objective, state, now))
                .map(|(i, _)| i)
        };
        let tried = self.release.as_ref().and_then(|release| {
            let may_try = release.allows(self.running_at(release)) == Some(true);
            let of_release = |state: &State| release.is_release(&state.upstream);
            may_try.then(|| best(&of_release)).flatten()
        });
        tried.or_else(|| best(&self.may_go()))
    }

    fn cost(&self, ask: &Request, objective: Duration, state: &State, now: Instant) -> Duration {
        let (first, end) = state.expect(ask, &self.pooled, now);
        let mut cost = end + COMPANY * state.running / state.upstream.slots.max(1);
        if first > objective {
            cost += LATE + first;
        }
        if state.upstream.data_centre != ask.data_centre {
            cost += DISTANCE;
        }
        cost
    }

    fn grant(&mut self, ask: &Request, upstream: usize, now: Instant) -> id::Upstream {
        let pooled = self.pooled;
        let state = &mut self.upstreams[upstream];
        let queued = state.read_until.saturating_duration_since(now);
        if ask.prompt > 0 {
            state.read_until = state.read_until.max(now) + state.rates.first(ask, &pooled);
        }
        state.set_running(state.running + 1, self.release.is_some(), now);
        if let Some(release) = &mut self.release {
            release.granted(&state.upstream);
        }
        let run = Run {
            upstream: state.upstream.name.clone(),
            since: now,
            prompt: ask.prompt,
            route: Some(ask.route.clone()),
            queued,
            silent: false,
            over: now + ask.patience + NO_UPSTREAM_PAUSE,
        };
        self.running.insert(ask.key.clone(), run);
        self.upstreams[upstream].upstream.name.clone()
    }

    /// Lengthens a pause by a part that differs from one refusal to the next, as far as a caller with
    /// `left` of its time waits for it.
    fn spread(&mut self, pause: Duration, left: Duration) -> Duration {
        self.count += 1;
        // Multiples of the golden ratio fall evenly between 0 and 1.
        let part = (self.count as f64 * 0.618_034).fract();
        pause
            .mul_f64(1.0 + RETURN_SPREAD * part)
            .min(left / RETURNS)
    }
}

/// Whether an upstream runs the release, where that is wanted, or else one that was not taken back.
fn is_wanted(release: &Release, wanted: bool, state: &State) -> bool {
    release.is_release(&state.upstream) == wanted && !release.is_refused(&state.upstream)
}
