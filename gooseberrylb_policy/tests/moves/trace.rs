//! The format of recorded traces and the faults in them.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde::Deserialize;

/// A route's part of the traffic and the sizes of its requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub name: String,
    pub share: f64,
    pub prompt: u64,
    pub output: u64,
}

/// What sets the engines of a data centre apart, the same for both versions.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// How fast they are.
    pub speed: f64,
    /// How often the old version's requests are placed there, against the other data centres.
    pub old_weight: f64,
    /// How often the new version's are.
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

/// Whom a fault befalls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Affected {
    New,
    Both,
}

/// A time in which some requests fail or are slow.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub version: Affected,
    #[serde(default)]
    pub from_s: f64,
    #[serde(default)]
    pub after_done_s: Option<f64>,
    pub to_s: Option<f64>,
    pub route: Option<String>,
    pub data_centre: Option<String>,
    #[serde(default)]
    pub from_share: u16,
    #[serde(default)]
    pub failure: f64,
    #[serde(default = "one")]
    pub slowdown: f64,
}

fn one() -> f64 {
    1.0
}

/// What must come of the move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    Done,
    Reverted,
}

/// The stated outcome and its bounds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expected {
    pub outcome: Outcome,
    pub by_s: f64,
    #[serde(default)]
    pub bounded_harm: bool,
    #[serde(default)]
    pub reason: String,
}

/// A trace.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    #[serde(rename = "about")]
    pub _about: String,
    pub move_by_s: f64,
    pub run_s: f64,
    pub rate: f64,
    pub routes: Vec<Route>,
    pub regions: Vec<Vec<String>>,
    #[serde(default)]
    pub engines: BTreeMap<String, Engine>,
    pub background_failure: f64,
    #[serde(default)]
    pub weights_mb: u64,
    #[serde(default)]
    pub weight_store_mb_per_s: u64,
    #[serde(default)]
    pub crash_at_s: Option<f64>,
    pub faults: Vec<Fault>,
    pub expected: Expected,
}

impl Trace {
    /// The engines of a data centre.
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
