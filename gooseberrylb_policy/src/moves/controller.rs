//! The leader's decisions about moves.
//!
//! All state that is carried from one decision to the next is in the control state and in the
//! schedulers' reports, so a new leader continues where the previous one stopped. Step numbers keep
//! it from applying a step twice.

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

/// Evidence against a version at which its share is not raised, and at which it is reverted at its
/// deadline.
const MAX_DOUBT: f64 = 5.0;

/// Evidence against a canary at which its share is not raised.
const MAX_CANARY_DOUBT: f64 = 2.0;

/// Maximum number of loads ordered at once; those of the earliest deadlines share the rate of the
/// weight store.
const MAX_CONCURRENT_LOADS: usize = 4;

/// Minimum number of requests per failure for a version with little evidence to be kept.
const MIN_REQUESTS_PER_FAILURE: u64 = 20;

/// Time after the watch period during which the old version's engines are ordered to unload it.
const UNLOAD_WINDOW: Duration = Duration::from_secs(60);

/// An action that the leader has to take.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Propose the step to the control log.
    Step(Step),
    /// Pass the order to the [`Tracker`](crate::moves::order::Tracker).
    Order(Order),
}

/// The inputs of a decision besides the move itself.
#[derive(Debug, Clone, Copy)]
struct Context<'a> {
    /// The current time.
    wall: SystemTime,
    /// The configuration in force.
    directory: &'a Directory,
    /// The schedulers' reports.
    evidence: &'a Evidence,
    /// The state of the weight store and of the orders.
    weights: &'a weights::State,
}

/// Decides the steps and orders of moves.
#[derive(Debug, Clone, Copy, Default)]
pub struct Controller {
    schedule: Schedule,
}

impl Controller {
    /// Creates a controller with the default schedule.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the default schedule.
    pub fn with_schedule(mut self, schedule: Schedule) -> Self {
        self.schedule = schedule;
        self
    }

    /// Returns the actions to take now: at most one step for each move, and the orders that are
    /// needed, those of the earliest deadline first. A decision that is repeated before its step is
    /// applied gives the step the same number.
    pub fn decide(
        &self,
        wall: SystemTime,
        moves: &BTreeMap<id::Version, Move>,
        directory: &Directory,
        evidence: &Evidence,
        weights: &weights::State,
    ) -> Vec<Action> {
        let context = Context {
            wall,
            directory,
            evidence,
            weights,
        };
        let mut by_deadline: Vec<&Move> = moves.values().collect();
        by_deadline.sort_by_key(|mv| (mv.move_by, mv.version.clone()));
        let mut actions = Vec::new();
        let mut loading = Duration::ZERO;
        let mut orders = Vec::new();
        for mv in by_deadline {
            let pending = self.pending_orders(context, mv);
            if mv.phase == Phase::Planned && !pending.is_empty() {
                loading += weights.load_time(mv, directory);
            }
            let step = self.next_step(context, mv, &pending, loading);
            if step.is_none() {
                orders.extend(pending);
            }
            actions.extend(step.map(Action::Step));
        }
        actions.extend(limit_loads(orders).map(Action::Order));
        actions
    }

    fn pending_orders(&self, context: Context<'_>, mv: &Move) -> Vec<Order> {
        match mv.phase {
            Phase::Planned => context.weights.pending_orders(mv, context.directory),
            Phase::Done => self.unload_orders(context, mv),
            Phase::Canary | Phase::Ramping | Phase::Reverted => Vec::new(),
        }
    }

    /// Returns the orders that unload the old version from its engines, once the watch period is
    /// over and no traffic is routed to it.
    fn unload_orders(&self, context: Context<'_>, mv: &Move) -> Vec<Order> {
        let since = self.schedule.revert_until(mv);
        let over = context.wall >= since && context.wall < since + UNLOAD_WINDOW;
        let shares = &context.directory.shares;
        let idle = shares.get(&mv.replaces).is_none_or(|s| *s == Share::NONE);
        let Some(version) = context.directory.versions.get(&mv.replaces) else {
            return Vec::new();
        };
        let has_weights = version.model.is_some() || version.adapter.is_some();
        if !over || !idle || !has_weights {
            return Vec::new();
        }
        version
            .upstreams
            .iter()
            .map(|upstream| {
                Order::new(
                    mv.note,
                    upstream.clone(),
                    Kind::Unload(version.name.clone()),
                )
            })
            .collect()
    }

    fn next_step(
        &self,
        context: Context<'_>,
        mv: &Move,
        pending: &[Order],
        loading: Duration,
    ) -> Option<Step> {
        match mv.phase {
            Phase::Planned => self.step_from_planned(context, mv, pending, loading),
            Phase::Canary | Phase::Ramping => self.step_under_way(context, mv),
            Phase::Done => self.step_after_done(context, mv),
            Phase::Reverted => None,
        }
    }

    fn step_from_planned(
        &self,
        context: Context<'_>,
        mv: &Move,
        pending: &[Order],
        loading: Duration,
    ) -> Option<Step> {
        let wall = context.wall;
        let decide_by = self.schedule.decide_by(mv);
        if let Some((order, reason)) = context.weights.refusal(mv, context.directory) {
            let reason = format!(
                "{} refused the order {}: {reason}",
                order.upstream, order.kind
            );
            return Some(revert_step(wall, mv, reason));
        }
        let ready = match pending.is_empty() {
            true => wall,
            false => wall.max(mv.accepted + loading),
        };
        let left = decide_by.duration_since(ready).unwrap_or_default();
        if left < self.schedule.min_duration() {
            let reason = self.deadline_reason(wall, mv, ready);
            return Some(revert_step(wall, mv, reason));
        }
        if !pending.is_empty() {
            return None;
        }
        let sampled = wall >= mv.accepted + self.schedule.rate_sampling;
        if !sampled && left > self.schedule.min_duration() + self.schedule.rate_sampling {
            return None;
        }
        let rate = self.request_rate(context, mv);
        let share = self.schedule.canary_share(rate, left);
        let reason = format!("a first {} of a service with {rate:.1} requests/s", share);
        Some(new_step(wall, mv, Phase::Canary, share, reason))
    }

    fn deadline_reason(&self, wall: SystemTime, mv: &Move, ready: SystemTime) -> String {
        let seconds = |d: Duration| d.as_secs_f64();
        let left = mv.move_by.duration_since(wall).unwrap_or_default();
        let loading = ready.duration_since(wall).unwrap_or_default();
        let margin = mv.move_by.duration_since(self.schedule.decide_by(mv));
        format!(
            "deadline too short: {:.1} s left, but loading takes {:.1} s, the steps {:.1} s and \
             the margin {:.1} s",
            seconds(left),
            seconds(loading),
            seconds(self.schedule.min_duration()),
            seconds(margin.unwrap_or_default()),
        )
    }

    fn step_under_way(&self, context: Context<'_>, mv: &Move) -> Option<Step> {
        let wall = context.wall;
        if let Some(reason) = trip_reason(context, mv) {
            return Some(revert_step(wall, mv, reason));
        }
        if wall >= mv.move_by {
            let reason = format!("the deadline passed at a share of {}", mv.share);
            return Some(revert_step(wall, mv, reason));
        }
        let decide_by = self.schedule.decide_by(mv);
        let assessment = self.assess(context, mv);
        if wall >= decide_by {
            return Some(self.conclude(wall, mv, &assessment));
        }
        self.raise_share(wall, mv, &assessment, decide_by)
    }

    fn raise_share(
        &self,
        wall: SystemTime,
        mv: &Move,
        assessment: &Assessment<'_>,
        decide_by: SystemTime,
    ) -> Option<Step> {
        let holds = plan::holds_from(mv.share);
        let available = decide_by.duration_since(mv.since).unwrap_or_default();
        let hold = self.schedule.hold_time(available, holds);
        if wall < mv.since + hold || !assessment.complete || assessment.doubt >= max_doubt(mv.phase)
        {
            return None;
        }
        let quota = self
            .schedule
            .required_requests(assessment.rate * share_fraction(mv.share), hold);
        let enough = assessment.in_step.requests >= quota;
        let must_step = wall >= self.schedule.latest_step_end(decide_by, holds - 1);
        let has_min_evidence = assessment.total.requests >= self.schedule.min_evidence_requests;
        let allowed = enough || (must_step && has_min_evidence);
        if !allowed {
            return None;
        }
        let left = decide_by.duration_since(wall).unwrap_or_default();
        let share = self.schedule.next_share(mv.share, left);
        if share == Share::WHOLE {
            return has_min_evidence.then(|| self.conclude(wall, mv, assessment));
        }
        let reason = format!(
            "{} at a share of {}, evidence against it {:.2}",
            assessment.in_step, mv.share, assessment.doubt
        );
        Some(new_step(wall, mv, Phase::Ramping, share, reason))
    }

    /// Returns the final step of a move, which completes or reverts it.
    fn conclude(&self, wall: SystemTime, mv: &Move, assessment: &Assessment<'_>) -> Step {
        let total = assessment.total;
        let doubt = assessment.doubt;
        let leading = assessment.leading;
        if !assessment.complete {
            let reason = "no late report from the scheduler of every region by the deadline";
            return revert_step(wall, mv, reason.to_owned());
        }
        if doubt >= MAX_DOUBT {
            let reason =
                format!("not cleared by the deadline: {total}, evidence {doubt:.1}; {leading}");
            return revert_step(wall, mv, reason);
        }
        if total.requests < self.schedule.min_evidence_requests {
            let reason = format!(
                "too little traffic to judge: {total}, at least {} are needed",
                self.schedule.min_evidence_requests
            );
            return revert_step(wall, mv, reason);
        }
        let low_evidence = total.requests < self.schedule.full_evidence_requests;
        if low_evidence && total.failed * MIN_REQUESTS_PER_FAILURE > total.requests {
            let reason = format!("little evidence, and {total}; {leading}");
            return revert_step(wall, mv, reason);
        }
        let reason = match low_evidence {
            true => format!("little evidence: {total}, evidence against it {doubt:.2}"),
            false => format!("{total}, evidence against it {doubt:.2}"),
        };
        new_step(wall, mv, Phase::Done, Share::WHOLE, reason)
    }

    fn step_after_done(&self, context: Context<'_>, mv: &Move) -> Option<Step> {
        if context.wall >= self.schedule.revert_until(mv) {
            return None;
        }
        let reason = trip_reason(context, mv)?;
        let reason = format!("after it was done: {reason}");
        Some(revert_step(context.wall, mv, reason))
    }

    fn request_rate(&self, context: Context<'_>, mv: &Move) -> f64 {
        let findings = context.evidence.findings(&mv.version);
        findings.map(|(_, finding)| finding.rate).sum()
    }

    /// Summarises what the schedulers in charge report about the current step of the move.
    fn assess<'a>(&self, context: Context<'a>, mv: &'a Move) -> Assessment<'a> {
        let views = &context.directory.views;
        let active_cells = || views.iter().filter(|(cell, _)| cell.service == mv.service);
        let mut assessment = Assessment {
            complete: active_cells().next().is_some(),
            in_step: Counts::default(),
            total: context.evidence.total(&mv.version),
            doubt: 0.0,
            leading: "",
            rate: 0.0,
        };
        for (cell, view) in active_cells() {
            let finding = context.evidence.fresh_finding(
                cell,
                view.number,
                &mv.version,
                context.wall,
                self.schedule.max_report_age,
            );
            match finding.filter(|finding| finding.step == mv.steps) {
                Some(finding) => {
                    assessment.in_step += finding.in_step;
                    if finding.doubt >= assessment.doubt {
                        assessment.doubt = finding.doubt;
                        assessment.leading = &finding.leading;
                    }
                    assessment.rate += finding.rate;
                }
                None => assessment.complete = false,
            }
        }
        assessment
    }
}

/// The evidence on a version under a move.
#[derive(Debug, Clone, Copy)]
struct Assessment<'a> {
    /// Whether every scheduler in charge has recently reported on the current step.
    complete: bool,
    /// The version's requests during this step.
    in_step: Counts,
    /// All of the version's requests.
    total: Counts,
    /// The evidence against the version in the region where it is strongest.
    doubt: f64,
    /// A description of the strongest evidence in that region.
    leading: &'a str,
    /// The request rate of the service, in requests per second.
    rate: f64,
}

/// Returns why a version is bad, if one scheduler or all of them together have proven it.
fn trip_reason(context: Context<'_>, mv: &Move) -> Option<String> {
    let findings = || context.evidence.findings(&mv.version);
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

fn max_doubt(phase: Phase) -> f64 {
    match phase {
        Phase::Canary => MAX_CANARY_DOUBT,
        Phase::Planned | Phase::Ramping | Phase::Done | Phase::Reverted => MAX_DOUBT,
    }
}

fn limit_loads(orders: Vec<Order>) -> impl Iterator<Item = Order> {
    let mut loads = 0;
    orders.into_iter().filter(move |order| {
        loads += usize::from(order.kind.is_load());
        !order.kind.is_load() || loads <= MAX_CONCURRENT_LOADS
    })
}

fn revert_step(wall: SystemTime, mv: &Move, reason: String) -> Step {
    new_step(wall, mv, Phase::Reverted, Share::NONE, reason)
}

fn new_step(wall: SystemTime, mv: &Move, phase: Phase, share: Share, reason: String) -> Step {
    Step {
        version: mv.version.clone(),
        number: mv.steps + 1,
        phase,
        share,
        reason: Arc::from(reason),
        at: wall,
    }
}

fn share_fraction(share: Share) -> f64 {
    f64::from(share.0) / f64::from(Share::WHOLE.0)
}
