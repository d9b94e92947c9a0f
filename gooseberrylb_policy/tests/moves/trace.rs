//! Format of the recorded traces and of the faults in them.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde::Deserialize;

/// A route's fraction of the traffic and the mean sizes of its requests, in tokens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub name: String,
    pub share: f64,
    pub prompt: u64,
    pub output: u64,
}

/// The properties of the engines of a data centre, the same for both versions.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The speed relative to other engines.
    pub speed: f64,
    /// The weight of the data centre when the old version's requests are placed.
    pub old_weight: f64,
    /// The weight of the data centre when the new version's requests are placed.
    pub new_weight: f64,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            speed: 1.0,
            old_weight: 1.0,
            new_weight: 1.0,
        }
    }
}

/// The versions that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Affected {
    New,
    Both,
}

/// A period during which some requests fail or are slow.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub version: Affected,
    /// The start, unless `after_done_s` is set.
    #[serde(default)]
    pub from_s: f64,
    /// The start, in seconds after the move is done.
    #[serde(default)]
    pub after_done_s: Option<f64>,
    /// The end, if there is one.
    pub to_s: Option<f64>,
    pub route: Option<String>,
    pub data_centre: Option<String>,
    /// The new version's minimum share for the fault to take effect.
    #[serde(default)]
    pub from_share: u16,
    /// The additional probability of a failure.
    #[serde(default)]
    pub failure: f64,
    /// The factor by which requests are slower.
    #[serde(default = "one")]
    pub slowdown: f64,
}

fn one() -> f64 {
    1.0
}

/// The expected final phase of the move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    Done,
    Reverted,
}

/// The expected outcome and its bounds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expected {
    pub outcome: Outcome,
    /// The latest time of the outcome.
    pub by_s: f64,
    /// Whether the number of harmed requests is checked.
    #[serde(default)]
    pub bounded_harm: bool,
    /// A text that the reason must contain.
    #[serde(default)]
    pub reason: String,
}

/// A recorded trace.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    #[serde(rename = "about")]
    pub _about: String,
    /// The deadline of the move.
    pub move_by_s: f64,
    /// The length of the run.
    pub run_s: f64,
    /// The request rate of the service, in requests per second.
    pub rate: f64,
    pub routes: Vec<Route>,
    /// The data centres of each region.
    pub regions: Vec<Vec<String>>,
    #[serde(default)]
    pub engines: BTreeMap<String, Engine>,
    /// The probability that a request fails without any fault.
    pub background_failure: f64,
    #[serde(default)]
    pub weights_mb: u64,
    #[serde(default)]
    pub weight_store_mb_per_s: u64,
    /// The time at which the new version's engines in the first data centre crash.
    #[serde(default)]
    pub crash_at_s: Option<f64>,
    pub faults: Vec<Fault>,
    pub expected: Expected,
}

impl Trace {
    /// Returns the properties of the engines of a data centre.
    pub fn engine(&self, data_centre: &str) -> Engine {
        self.engines.get(data_centre).copied().unwrap_or_default()
    }

    /// Reads the trace `moves-{name}.json`.
    pub fn read(name: &str) -> Self {
        let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../traces");
        let path = root.join(format!("moves-{name}.json"));
        let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path:?}: {e}"));
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{path:?}: {e}"))
    }
}
