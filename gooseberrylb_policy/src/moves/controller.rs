//! The leader's decisions about moves. All that is carried from one decision to the next stands in
//! the control state and in the schedulers' reports, so that a new leader goes on where the old one
//! stopped; the numbers of the steps keep it from taking one twice.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use gooseberrylb_config::directory::{Directory, Share};
use gooseberrylb_config::id;

use crate::moves::breaker;
use crate::moves::evidence::{Counts, Evidence};
use crate::moves::order::{Kind, Order};
use crate::moves::plan::{self, Schedule};
use crate::moves::weights;
use crate::moves::{Move, Phase, Step};

/// The evidence against a version above which its share is not raised, and above which it is
/// reverted at its deadline.
const DOUBTFUL: f64 = 5.0;

/// The evidence against a canary above which its share is not raised.
const DOUBTFUL_CANARY: f64 = 2.0;

/// The loads that are ordered at once; the weight store's rate is shared by the move's deadline.
const MAX_LOADS: usize = 4;

/// With little evidence, the requests of which one may have failed for the version to be kept.
const LITTLE_EVIDENCE_PER_FAILURE: u64 = 20;

/// How long after the watch the old version's engines are ordered to drop it.
const UNLOAD_PERIOD: Duration = Duration::from_secs(60);

/// What the leader is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Propose the step to the control log.
    Step(Step),
    /// Give the order to the book of orders.
    Order(Order),
}

/// What the leader decides by, besides the moves themselves.
#[derive(Debug, Clone, Copy)]
struct Scene<'a> {
    wall: SystemTime,
    directory: &'a Directory,
    evidence: &'a Evidence,
    weights: &'a weights::State,
}

/// Decides about moves.
#[derive(Debug, Clone, Copy, Default)]
pub struct Controller {
    schedule: Schedule,
}

impl Controller {
    /// Makes one with the default schedule.
    pub fn new() -> Self {
        Self::default()
    }

    /// Uses another schedule.
    pub fn with_schedule(mut self, schedule: Schedule) -> Self {
        self.schedule = schedule;
        self
    }

    /// What is to be done now: at most one step for each move, and the orders that are wanted,
    /// those of the earliest deadline first. Deciding again before a step is applied repeats it
    /// under the same number.
    pub fn decide(
        &self,
        wall: SystemTime,
        moves: &BTreeMap<id::Version, Move>,
        directory: &Directory,
        evidence: &Evidence,
        weights: &weights::State,
    ) -> Vec<Action> {
        let scene = Scene {
            wall,
            directory,
            evidence,
            weights,
        };
        let mut by_deadline: Vec<&Move> = moves.values().collect();
        by_deadline.sort_by_key(|of| (of.move_by, of.version.clone()));
        let mut actions = Vec::new();
        let mut loading = Duration::ZERO;
        let mut orders = Vec::new();
        for of in by_deadline {
            let wanted = self.wanted(scene, of);
            if of.phase == Phase::Planned && !wanted.is_empty() {
                loading += weights.load_time(of, directory);
            }
            let step = self.step(scene, of, &wanted, loading);
            if step.is_none() {
                orders.extend(wanted);
            }
            actions.extend(step.map(Action::Step));
        }
        actions.extend(limit_loads(orders).map(Action::Order));
        actions
    }

    fn wanted(&self, scene: Scene<'_>, of: &Move) -> Vec<Order> {
        match of.phase {
            Phase::Planned => scene.weights.wanted(of, scene.directory),
            Phase::Done => self.unload(scene, of),
            Phase::Canary | Phase::Ramping | Phase::Reverted => Vec::new(),
        }
    }

    /// The engines of the old version drop it when the watch is over and nothing routes to it.
    fn unload(&self, scene: Scene<'_>, of: &Move) -> Vec<Order> {
        let since = self.schedule.settled(of);
        let over = scene.wall >= since && scene.wall < since + UNLOAD_PERIOD;
        let shares = &scene.directory.shares;
        let idle = shares.get(&of.replaces).is_none_or(|s| *s == Share::NONE);
        let Some(version) = scene.directory.versions.get(&of.replaces) else {
            return Vec::new();
        };
        let weighty = version.model.is_some() || version.adapter.is_some();
        if !over || !idle || !weighty {
            return Vec::new();
        }
        version
            .upstreams
            .iter()
            .map(|upstream| {
                Order::new(
                    of.note,
                    upstream.clone(),
                    Kind::Unload(version.name.clone()),
                )
            })
            .collect()
    }

    fn step(
        &self,
        scene: Scene<'_>,
        of: &Move,
        wanted: &[Order],
        loading: Duration,
    ) -> Option<Step> {
        match of.phase {
            Phase::Planned => self.planned(scene, of, wanted, loading),
            Phase::Canary | Phase::Ramping => self.moving(scene, of),
            Phase::Done => self.watched(scene, of),
            Phase::Reverted => None,
        }
    }

    fn planned(
        &self,
        scene: Scene<'_>,
        of: &Move,
        wanted: &[Order],
        loading: Duration,
    ) -> Option<Step> {
        let wall = scene.wall;
        let finish = self.schedule.finish(of);
        if let Some((order, reason)) = scene.weights.refusal(of, scene.directory) {
            let reason = format!(
                "{} refused the order {}: {reason}",
                order.upstream, order.kind
            );
            return Some(revert(wall, of, reason));
        }
        let ready = match wanted.is_empty() {
            true => wall,
            false => wall.max(of.accepted + loading),
        };
        let left = finish.duration_since(ready).unwrap_or_default();
        if left < self.schedule.shortest() {
            let reason = self.too_short(wall, of, ready);
            return Some(revert(wall, of, reason));
        }
        if !wanted.is_empty() {
            return None;
        }
        let settled = wall >= of.accepted + self.schedule.rate_sampling;
        if !settled && left > self.schedule.shortest() + self.schedule.rate_sampling {
            return None;
        }
        let rate = self.rate(scene, of);
        let share = self.schedule.canary(rate, left);
        let reason = format!("a first {} of a service with {rate:.1} requests/s", share);
        Some(step(wall, of, Phase::Canary, share, reason))
    }

    fn too_short(&self, wall: SystemTime, of: &Move, ready: SystemTime) -> String {
        let seconds = |d: Duration| d.as_secs_f64();
        let left = of.move_by.duration_since(wall).unwrap_or_default();
        let loading = ready.duration_since(wall).unwrap_or_default();
        let margin = of.move_by.duration_since(self.schedule.finish(of));
        format!(
            "deadline too short: {:.1} s left, but loading takes {:.1} s, the steps {:.1} s and \
             the margin {:.1} s",
            seconds(left),
            seconds(loading),
            seconds(self.schedule.shortest()),
            seconds(margin.unwrap_or_default()),
        )
    }

    fn moving(&self, scene: Scene<'_>, of: &Move) -> Option<Step> {
        let wall = scene.wall;
        if let Some(reason) = tripped(scene, of) {
            return Some(revert(wall, of, reason));
        }
        if wall >= of.move_by {
            let reason = format!("the deadline passed at a share of {}", of.share);
            return Some(revert(wall, of, reason));
        }
        let finish = self.schedule.finish(of);
        let standing = self.standing(scene, of);
        if wall >= finish {
            return Some(self.last(wall, of, &standing));
        }
        self.widen(wall, of, &standing, finish)
    }

    fn widen(
        &self,
        wall: SystemTime,
        of: &Move,
        standing: &Standing<'_>,
        finish: SystemTime,
    ) -> Option<Step> {
        let holds = plan::holds_from(of.share);
        let available = finish.duration_since(of.since).unwrap_or_default();
        let hold = self.schedule.hold(available, holds);
        if wall < of.since + hold || !standing.whole || standing.doubt >= doubtful(of.phase) {
            return None;
        }
        let quota = self
            .schedule
            .quota(standing.rate * fraction(of.share), hold);
        let enough = standing.in_step.requests >= quota;
        let pressed = wall >= self.schedule.latest(finish, holds - 1);
        let some = standing.total.requests >= self.schedule.min_evidence_requests;
        let allowed = enough || (pressed && some);
        if !allowed {
            return None;
        }
        let left = finish.duration_since(wall).unwrap_or_default();
        let share = self.schedule.next(of.share, left);
        if share == Share::WHOLE {
            return some.then(|| self.last(wall, of, standing));
        }
        let reason = format!(
            "{} at a share of {}, evidence against it {:.2}",
            standing.in_step, of.share, standing.doubt
        );
        Some(step(wall, of, Phase::Ramping, share, reason))
    }

    /// Ends a move one way or the other.
    fn last(&self, wall: SystemTime, of: &Move, standing: &Standing<'_>) -> Step {
        let total = standing.total;
        let doubt = standing.doubt;
        let leading = standing.leading;
        if !standing.whole {
            let reason = "no late report from the scheduler of every region by the deadline";
            return revert(wall, of, reason.to_owned());
        }
        if doubt >= DOUBTFUL {
            let reason =
                format!("not cleared by the deadline: {total}, evidence {doubt:.1}; {leading}");
            return revert(wall, of, reason);
        }
        if total.requests < self.schedule.min_evidence_requests {
            let reason = format!(
                "too little traffic to judge: {total}, at least {} are needed",
                self.schedule.min_evidence_requests
            );
            return revert(wall, of, reason);
        }
        let little = total.requests < self.schedule.full_evidence_requests;
        if little && total.failed * LITTLE_EVIDENCE_PER_FAILURE > total.requests {
            let reason = format!("little evidence, and {total}; {leading}");
            return revert(wall, of, reason);
        }
        let reason = match little {
            true => format!("little evidence: {total}, evidence against it {doubt:.2}"),
            false => format!("{total}, evidence against it {doubt:.2}"),
        };
        step(wall, of, Phase::Done, Share::WHOLE, reason)
    }

    fn watched(&self, scene: Scene<'_>, of: &Move) -> Option<Step> {
        if scene.wall >= self.schedule.settled(of) {
            return None;
        }
        let reason = tripped(scene, of)?;
        let reason = format!("after it was done: {reason}");
        Some(revert(scene.wall, of, reason))
    }

    fn rate(&self, scene: Scene<'_>, of: &Move) -> f64 {
        let findings = scene.evidence.findings(&of.version);
        findings.map(|(_, finding)| finding.rate).sum()
    }

    /// What the schedulers in charge say of the step that the move stands at.
    fn standing<'a>(&self, scene: Scene<'a>, of: &'a Move) -> Standing<'a> {
        let views = &scene.directory.views;
        let in_charge = || views.iter().filter(|(cell, _)| cell.service == of.service);
        let mut standing = Standing {
            whole: in_charge().next().is_some(),
            in_step: Counts::default(),
            total: scene.evidence.total(&of.version),
            doubt: 0.0,
            leading: "",
            rate: 0.0,
        };
        for (cell, view) in in_charge() {
            let finding = scene.evidence.fresh(
                cell,
                view.number,
                &of.version,
                scene.wall,
                self.schedule.max_report_age,
            );
            match finding.filter(|finding| finding.step == of.steps) {
                Some(finding) => {
                    standing.in_step += finding.in_step;
                    if finding.doubt >= standing.doubt {
                        standing.doubt = finding.doubt;
                        standing.leading = &finding.leading;
                    }
                    standing.rate += finding.rate;
                }
                None => standing.whole = false,
            }
        }
        standing
    }
}

/// What is known of a version under a move.
#[derive(Debug, Clone, Copy)]
struct Standing<'a> {
    /// Whether every scheduler in charge has lately reported on the present step.
    whole: bool,
    /// The version's requests at this step.
    in_step: Counts,
    /// All of the version's requests.
    total: Counts,
    /// The evidence against the version in the region where it is worst.
    doubt: f64,
    /// What speaks most against it there.
    leading: &'a str,
    /// The requests a second of the service.
    rate: f64,
}

/// Why a version is bad, where a scheduler or all of them together have shown it.
fn tripped(scene: Scene<'_>, of: &Move) -> Option<String> {
    let findings = || scene.evidence.findings(&of.version);
    if let Some(trip) = findings().find_map(|(_, finding)| finding.trip.as_ref()) {
        return Some(trip.reason.to_string());
    }
    let regions = findings().count();
    let joint: f64 = findings().map(|(_, finding)| finding.doubt).product();
    if regions < 2 || joint < breaker::joint_trip_limit() {
        return None;
    }
    let leading: Vec<String> = findings()
        .map(|(cell, finding)| format!("in {}, {}", cell.region, finding.leading))
        .collect();
    Some(format!(
        "{}; joint evidence {joint:.0} against a limit of {:.0}",
        leading.join("; "),
        breaker::joint_trip_limit(),
    ))
}

fn doubtful(phase: Phase) -> f64 {
    match phase {
        Phase::Canary => DOUBTFUL_CANARY,
        Phase::Planned | Phase::Ramping | Phase::Done | Phase::Reverted => DOUBTFUL,
    }
}

fn limit_loads(orders: Vec<Order>) -> impl Iterator<Item = Order> {
    let mut loads = 0;
    orders.into_iter().filter(move |order| {
        loads += usize::from(order.kind.loads());
        !order.kind.loads() || loads <= MAX_LOADS
    })
}

fn revert(wall: SystemTime, of: &Move, reason: String) -> Step {
    step(wall, of, Phase::Reverted, Share::NONE, reason)
}

fn step(wall: SystemTime, of: &Move, phase: Phase, share: Share, reason: String) -> Step {
    Step {
        version: of.version.clone(),
        number: of.steps + 1,
        phase,
        share,
        reason: Arc::from(reason),
        at: wall,
    }
}

fn fraction(share: Share) -> f64 {
    f64::from(share.0) / f64::from(Share::WHOLE.0)
}
