//! Running stand-ins for the upstreams of a release note.

use std::io;
use std::net::SocketAddr;

use gooseberrylb_config::note::{Kind, Note, Upstream};
use thiserror::Error;

use crate::engine::model::Profile;
use crate::standin::engine::{Engine, Faults, Settings};
use crate::standin::plain::Service;

/// Lag of an engine's load reports and cache events, in milliseconds.
const REPORT_LAG_MS: u64 = 500;

/// Ratio of the speed of an engine to that of the engine before it, so that a note has engines of
/// different speeds.
const SPEED_FACTOR: f64 = 1.6;

/// Prefill rate of the first engine, in tokens per second.
const BASE_PREFILL_RATE: f64 = 6_000.0;

/// Decode rate of the first engine for a single running request, in tokens per second.
const BASE_DECODE_RATE: f64 = 80.0;

/// Number of different speeds, after which they repeat.
const SPEED_COUNT: usize = 3;

/// Error of starting a stand-in.
#[derive(Debug, Error)]
#[error("a stand-in for {upstream} cannot be started: {error}")]
pub struct Error {
    /// Name of the upstream.
    pub upstream: String,
    /// Cause of the failure.
    pub error: io::Error,
}

/// Running stand-ins, by the names of their upstreams. Dropping it stops them.
#[derive(Default)]
pub struct Upstreams {
    engines: Vec<(String, Engine)>,
    services: Vec<(String, Service)>,
    weight_store: Option<SocketAddr>,
}

impl Upstreams {
    /// Starts a stand-in for each upstream that `note` adds, and sets the upstream's address to it.
    pub async fn start(note: &mut Note) -> Result<Self, Error> {
        let mut upstreams = Self::default();
        upstreams.fill(note).await?;
        Ok(upstreams)
    }

    /// Sets the store that engines started from now on load weights from.
    pub fn with_weight_store(mut self, address: Option<SocketAddr>) -> Self {
        self.weight_store = address;
        self
    }

    /// Starts a further stand-in for each upstream that `note` adds, and sets its address in the
    /// note.
    pub async fn fill(&mut self, note: &mut Note) -> Result<(), Error> {
        for upstream in &mut note.added.upstreams {
            self.add(upstream).await?;
        }
        Ok(())
    }

    /// Starts a stand-in for `upstream`, and sets its address.
    pub async fn add(&mut self, upstream: &mut Upstream) -> Result<(), Error> {
        let name = upstream.name.to_string();
        let settings = Settings {
            profile: self.next_profile(upstream.slots.0),
            checks_fencing: upstream.checks_fencing,
            weight_store: self.weight_store,
            faults: Faults {
                load_lag_ms: REPORT_LAG_MS,
                event_lag_ms: REPORT_LAG_MS,
                ..Faults::default()
            },
        };
        let failed = |error| Error {
            upstream: upstream.name.to_string(),
            error,
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        upstream.address = match upstream.kind {
            Kind::Engine => {
                let engine = Engine::start(any_port, settings).await.map_err(failed)?;
                let address = engine.address();
                self.engines.push((name, engine));
                address
            }
            Kind::Plain => {
                let service = Service::start(any_port).await.map_err(failed)?;
                let address = service.address();
                self.services.push((name, service));
                address
            }
        };
        Ok(())
    }

    /// Returns the engines with their names.
    pub fn engines(&self) -> impl Iterator<Item = &(String, Engine)> {
        self.engines.iter()
    }

    /// Returns the plain services with their names.
    pub fn services(&self) -> impl Iterator<Item = &(String, Service)> {
        self.services.iter()
    }

    /// Returns the engine `name`, if there is one.
    pub fn engine(&self, name: &str) -> Option<&Engine> {
        let found = self.engines.iter().find(|(known, _)| known == name);
        found.map(|(_, engine)| engine)
    }

    /// Returns the plain service `name`, if there is one.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self.services.iter().find(|(known, _)| known == name);
        found.map(|(_, service)| service)
    }

    fn next_profile(&self, slots: u32) -> Profile {
        let speed = SPEED_FACTOR.powi((self.engines.len() % SPEED_COUNT) as i32);
        Profile {
            prefill_rate: BASE_PREFILL_RATE * speed,
            decode_rate: BASE_DECODE_RATE * speed,
            slots,
            ..Profile::default()
        }
    }
}
