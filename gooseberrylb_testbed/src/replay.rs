//! Replay of recorded traces in virtual time against modelled engines: the scheduler of the product
//! beside two simple balancers, on the same requests.

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
use trace::{Entry, Trace};

/// The loads at which a trace is replayed, as multiples of capacity.
pub const LOADS: [f64; 3] = [0.7, 1.0, 3.0];

/// The part of its goodput at low load that the top tier must keep at three times capacity.
pub const TOP_TIER_KEPT: f64 = 0.99;

/// The part of prefilled tokens that may be wasted.
pub const WASTE: f64 = 0.02;

/// The part of the better baseline's waste that may be wasted.
pub const WASTE_OF_BASELINE: f64 = 0.25;

/// The seed of the scheduler's own draws.
const SEED: u64 = 7;

/// What came of one trace at one load.
#[derive(Debug)]
pub struct Comparison {
    /// The load, as a multiple of capacity.
    pub load: f64,
    /// The product's scheduler.
    pub policy: Figures,
    /// Round robin.
    pub round_robin: Figures,
    /// Least in flight, by lagging reports.
    pub least_in_flight: Figures,
}

/// Measures the requests a second that all engines of `trace` together get through: each engine is
/// kept full with the trace's own requests.
pub fn capacity(trace: &Trace) -> f64 {
    trace
        .engines
        .iter()
        .map(|engine| saturated_rate(trace, Model::new(engine.profile)))
        .sum()
}

fn saturated_rate(trace: &Trace, mut model: Model) -> f64 {
    let mut now = Duration::ZERO;
    for number in 0..trace.requests.len() {
        model.admit(now, trace.job(number));
    }
    while let Some(wake) = model.wake() {
        now = wake;
        model.advance(now);
    }
    trace.requests.len() as f64 / now.as_secs_f64()
}

/// Replays `trace` at `load` times `capacity` with all balancers.
pub fn compare(trace: &Trace, capacity: f64, load: f64) -> Comparison {
    let numbers = thin(trace, load * capacity);
    let run = |balancer: &mut dyn Balancer| Driver::new(trace, &numbers).run(balancer);
    Comparison {
        load,
        policy: run(&mut Policy::new(trace, SEED)),
        round_robin: run(&mut RoundRobin::new(trace)),
        least_in_flight: run(&mut LeastInFlight::new(trace)),
    }
}

/// Picks requests evenly so that `rate` arrive a second on average.
fn thin(trace: &Trace, rate: f64) -> Vec<usize> {
    let recorded = trace.requests.len() as f64 / trace.duration().as_secs_f64();
    let kept = rate / recorded;
    // Multiples of the golden ratio are spread evenly over the unit interval.
    let golden = 0.618_033_988_749_895_f64;
    (0..trace.requests.len())
        .filter(|number| (*number as f64 * golden).fract() < kept)
        .collect()
}

/// Tells whether a trace is dense enough to be replayed at `load`.
pub fn is_dense_enough(trace: &Trace, capacity: f64, load: f64) -> bool {
    trace.requests.len() as f64 / trace.duration().as_secs_f64() >= load * capacity
}

/// Replays a trace at all loads, and writes the figures and whether the targets are met.
pub fn report(trace: &Trace) -> String {
    let capacity = capacity(trace);
    let mut text = format!(
        "{}: {} engines, {} requests recorded, capacity {capacity:.1} requests a second\n",
        trace.name,
        trace.engines.len(),
        trace.requests.len()
    );
    let densest = LOADS.into_iter().fold(0.0, f64::max);
    if !is_dense_enough(trace, capacity, densest) {
        text.push_str("the trace has too few requests for the highest load\n");
        return text;
    }
    let comparisons = LOADS.map(|load| compare(trace, capacity, load));
    for comparison in &comparisons {
        // Writing to a string cannot fail.
        let _ = write!(text, "\n{}", table(trace, comparison));
    }
    let _ = write!(text, "\n{}", verdicts(&comparisons));
    text
}

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

/// Whether the targets are met, with the figures that say so.
pub fn verdicts(comparisons: &[Comparison]) -> String {
    let (Some(low), Some(high)) = (comparisons.first(), comparisons.last()) else {
        return String::new();
    };
    let top = low.policy.top_tier();
    let kept = high.policy.goodput(top) / low.policy.goodput(top);
    let waste = high.policy.waste();
    let baseline = better_waste(high);
    let inversions: u64 = comparisons.iter().map(|c| c.policy.inversions).sum();
    let line =
        |met: bool, text: String| format!("{}: {text}\n", if met { "met" } else { "MISSED" });
    [
        line(
            kept >= TOP_TIER_KEPT,
            format!("top tier keeps {:.2}% of its goodput", 100.0 * kept),
        ),
        line(
            waste <= WASTE,
            format!("{:.2}% of prefill wasted", 100.0 * waste),
        ),
        line(
            waste <= WASTE_OF_BASELINE * baseline,
            format!("the better baseline wastes {:.2}%", 100.0 * baseline),
        ),
        line(inversions == 0, format!("{inversions} tier inversions")),
    ]
    .concat()
}

/// The waste of the baseline that wastes less.
pub fn better_waste(comparison: &Comparison) -> f64 {
    comparison
        .round_robin
        .waste()
        .min(comparison.least_in_flight.waste())
}

/// What a trace tells of one request, with the route that it came by.
pub(crate) fn deadline(trace: &Trace, entry: &Entry) -> Duration {
    entry.at() + trace.routes[entry.route].timeout()
}
