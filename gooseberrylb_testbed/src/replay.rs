//! Replays recorded traces in virtual time against simulated engines, and compares the product's
//! scheduler with two simple load balancers on the same requests.

pub mod balancer;
pub mod baseline;
mod driver;
pub mod figures;
pub mod policy;
pub mod recorder;
pub mod trace;

use std::fmt::Write;
use std::time::Duration;

use crate::engine::Model;
use balancer::Balancer;
use baseline::{LeastInFlight, RoundRobin};
use driver::Driver;
use figures::Figures;
use policy::Policy;
use trace::{Request, Trace};

/// Loads at which a trace is replayed, as multiples of capacity.
pub const LOADS: [f64; 3] = [0.7, 1.0, 3.0];

/// Minimum goodput of the top tier at three times capacity, as a fraction of its goodput at low
/// load.
pub const MIN_TOP_TIER_RETENTION: f64 = 0.99;

/// Maximum fraction of prefilled tokens that may be wasted.
pub const MAX_WASTE: f64 = 0.02;

/// Maximum waste as a fraction of the waste of the better baseline.
pub const MAX_WASTE_OF_BASELINE: f64 = 0.25;

/// Seed of the scheduler's random number generator.
const SEED: u64 = 7;

/// Results of replaying one trace at one load with each balancer.
#[derive(Debug)]
pub struct Comparison {
    /// Load, as a multiple of capacity.
    pub load: f64,
    /// Results of the product's scheduler.
    pub policy: Figures,
    /// Results of round robin.
    pub round_robin: Figures,
    /// Results of choosing the engine with the fewest requests in flight by delayed load reports.
    pub least_in_flight: Figures,
}

/// Measures the capacity of all engines of `trace` together, in requests per second. Each engine is
/// saturated with the trace's own requests.
pub fn capacity(trace: &Trace) -> f64 {
    trace
        .engines
        .iter()
        .map(|engine| saturated_rate(trace, Model::new(engine.profile)))
        .sum()
}

/// Returns the requests per second that an engine completes when all requests of `trace` are queued
/// at once.
fn saturated_rate(trace: &Trace, mut model: Model) -> f64 {
    let mut now = Duration::ZERO;
    for number in 0..trace.requests.len() {
        model.admit(now, trace.job(number));
    }
    while let Some(step_end) = model.next_step_end() {
        now = step_end;
        model.advance(now);
    }
    trace.requests.len() as f64 / now.as_secs_f64()
}

/// Replays `trace` at `load` times `capacity` with each balancer.
pub fn compare(trace: &Trace, capacity: f64, load: f64) -> Comparison {
    let selected = select_evenly(trace, load * capacity);
    let run = |balancer: &mut dyn Balancer| Driver::new(trace, &selected).run(balancer);
    Comparison {
        load,
        policy: run(&mut Policy::new(trace, SEED)),
        round_robin: run(&mut RoundRobin::new(trace)),
        least_in_flight: run(&mut LeastInFlight::new(trace)),
    }
}

/// Selects requests evenly over the trace so that `rate` arrive per second on average. Returns
/// their numbers.
fn select_evenly(trace: &Trace, rate: f64) -> Vec<usize> {
    let recorded_rate = trace.requests.len() as f64 / trace.duration().as_secs_f64();
    let fraction = rate / recorded_rate;
    // The fractional parts of multiples of the golden ratio are evenly distributed over [0, 1).
    let golden = 0.618_033_988_749_895_f64;
    (0..trace.requests.len())
        .filter(|number| (*number as f64 * golden).fract() < fraction)
        .collect()
}

/// Whether `trace` has enough requests per second to be replayed at `load` times `capacity`.
pub fn is_dense_enough(trace: &Trace, capacity: f64, load: f64) -> bool {
    trace.requests.len() as f64 / trace.duration().as_secs_f64() >= load * capacity
}

/// Replays `trace` at all [`LOADS`]. Returns a text with the figures and whether each target is
/// met.
pub fn report(trace: &Trace) -> String {
    let capacity = capacity(trace);
    let mut text = format!(
        "{}: {} engines, {} requests recorded, capacity {capacity:.1} requests a second\n",
        trace.name,
        trace.engines.len(),
        trace.requests.len()
    );
    let highest_load = LOADS.into_iter().fold(0.0, f64::max);
    if !is_dense_enough(trace, capacity, highest_load) {
        text.push_str("the trace has too few requests for the highest load\n");
        return text;
    }
    let comparisons = LOADS.map(|load| compare(trace, capacity, load));
    for comparison in &comparisons {
        // Writing to a `String` cannot fail.
        let _ = write!(text, "\n{}", table(trace, comparison));
    }
    let _ = write!(text, "\n{}", target_lines(&comparisons));
    text
}

/// Returns a table of the figures with a column for each balancer.
fn table(trace: &Trace, comparison: &Comparison) -> String {
    let columns = [
        ("scheduler", &comparison.policy),
        ("round robin", &comparison.round_robin),
        ("least in flight", &comparison.least_in_flight),
    ];
    let mut text = format!("at {:.1} times capacity", comparison.load);
    for (name, _) in columns {
        let _ = write!(text, "{name:>20}");
    }
    text.push('\n');
    let mut row = |label: &str, value: &dyn Fn(&Figures) -> String| {
        let _ = write!(text, "  {label:<20}");
        for (_, figures) in columns {
            let _ = write!(text, "{:>20}", value(figures));
        }
        text.push('\n');
    };
    for tier in trace.tiers() {
        let label = format!("goodput, tier {tier}");
        row(&label, &|f| format!("{:.2}%", 100.0 * f.goodput(tier)));
    }
    row("good tokens a second", &|f| {
        format!("{:.0}", f.good_tokens(trace))
    });
    row("refused", &|f| format!("{:.2}%", 100.0 * f.refused()));
    row("wasted prefill", &|f| format!("{:.2}%", 100.0 * f.waste()));
    for tier in trace.tiers() {
        let label = format!("fairness, tier {tier}");
        row(&label, &|f| format!("{:.2}", f.fairness(trace, tier)));
    }
    for (label, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        row(&format!("first token {label}"), &|f| {
            format!("{} ms", f.first_token(None, quantile).as_millis())
        });
        row(&format!("  top tier {label}"), &|f| {
            format!(
                "{} ms",
                f.first_token(trace.tiers().next(), quantile).as_millis()
            )
        });
    }
    row("tier inversions", &|f| f.inversions.to_string());
    text
}

/// Returns a line for each target with the measured figure and whether the target is met.
pub fn target_lines(comparisons: &[Comparison]) -> String {
    let (Some(low), Some(high)) = (comparisons.first(), comparisons.last()) else {
        return String::new();
    };
    let top = low.policy.top_tier();
    let retention = high.policy.goodput(top) / low.policy.goodput(top);
    let waste = high.policy.waste();
    let baseline = lower_baseline_waste(high);
    let inversions: u64 = comparisons.iter().map(|c| c.policy.inversions).sum();
    let line =
        |met: bool, text: String| format!("{}: {text}\n", if met { "met" } else { "MISSED" });
    [
        line(
            retention >= MIN_TOP_TIER_RETENTION,
            format!("top tier keeps {:.2}% of its goodput", 100.0 * retention),
        ),
        line(
            waste <= MAX_WASTE,
            format!("{:.2}% of prefill wasted", 100.0 * waste),
        ),
        line(
            waste <= MAX_WASTE_OF_BASELINE * baseline,
            format!("the better baseline wastes {:.2}%", 100.0 * baseline),
        ),
        line(inversions == 0, format!("{inversions} tier inversions")),
    ]
    .concat()
}

/// Returns the lower waste of the two baselines.
pub fn lower_baseline_waste(comparison: &Comparison) -> f64 {
    comparison
        .round_robin
        .waste()
        .min(comparison.least_in_flight.waste())
}

/// Returns the time since the start of the trace at which the caller of `request` stops waiting.
pub(crate) fn deadline(trace: &Trace, request: &Request) -> Duration {
    request.at() + trace.routes[request.route].timeout()
}
