//! The stand-ins that a release note names, started together.

use std::io;
use std::net::SocketAddr;

use gooseberrylb_config::note::{Kind, Note, Upstream};
use thiserror::Error;

use crate::engine::model::Profile;
use crate::standin::engine::{Engine, Faults, Settings};
use crate::standin::plain::Service;

/// The lag of the load reports and the cache events of an engine, in milliseconds.
const LAG_MS: u64 = 500;

/// How much faster each further engine of a note is than the one before: engines are unlike.
const SPEED_STEP: f64 = 1.6;

/// The prefill rate of the first engine, in tokens a second.
const FIRST_PREFILL_RATE: f64 = 6_000.0;

/// The decode rate of the first engine for a request alone, in tokens a second.
const FIRST_DECODE_RATE: f64 = 80.0;

/// After how many engines the speeds begin anew.
const SPEEDS: usize = 3;

/// Why stand-ins cannot be started.
#[derive(Debug, Error)]
#[error("a stand-in for {upstream} cannot be started: {error}")]
pub struct Error {
    /// The upstream.
    pub upstream: String,
    /// Why.
    pub error: io::Error,
}

/// The running stand-ins, by the names of their upstreams.
#[derive(Default)]
pub struct Upstreams {
    engines: Vec<(String, Engine)>,
    services: Vec<(String, Service)>,
    weight_store: Option<SocketAddr>,
}

impl Upstreams {
    /// Starts a stand-in for each upstream that `note` adds, and fills its address in.
    pub async fn start(note: &mut Note) -> Result<Self, Error> {
        let mut upstreams = Self::default();
        upstreams.fill(note).await?;
        Ok(upstreams)
    }

    /// Names the store that engines load weights from.
    pub fn with_weight_store(mut self, address: Option<SocketAddr>) -> Self {
        self.weight_store = address;
        self
    }

    /// Starts a stand-in for each upstream that `note` adds, and fills its address in.
    pub async fn fill(&mut self, note: &mut Note) -> Result<(), Error> {
        for upstream in &mut note.added.upstreams {
            self.add(upstream).await?;
        }
        Ok(())
    }

    /// Starts a stand-in for `upstream`, and fills its address in.
    pub async fn add(&mut self, upstream: &mut Upstream) -> Result<(), Error> {
        let name = upstream.name.to_string();
        let settings = Settings {
            profile: self.next_profile(upstream.slots.0),
            checks_fencing: upstream.checks_fencing,
            weight_store: self.weight_store,
            faults: Faults {
                load_lag_ms: LAG_MS,
                event_lag_ms: LAG_MS,
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

    /// The engines with their names.
    pub fn engines(&self) -> impl Iterator<Item = &(String, Engine)> {
        self.engines.iter()
    }

    /// The plain services with their names.
    pub fn services(&self) -> impl Iterator<Item = &(String, Service)> {
        self.services.iter()
    }

    /// One engine.
    pub fn engine(&self, name: &str) -> Option<&Engine> {
        let found = self.engines.iter().find(|(known, _)| known == name);
        found.map(|(_, engine)| engine)
    }

    /// One plain service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self.services.iter().find(|(known, _)| known == name);
        found.map(|(_, service)| service)
    }

    fn next_profile(&self, slots: u32) -> Profile {
        let speed = SPEED_STEP.powi((self.engines.len() % SPEEDS) as i32);
        Profile {
            prefill_rate: FIRST_PREFILL_RATE * speed,
            decode_rate: FIRST_DECODE_RATE * speed,
            slots,
            ..Profile::default()
        }
    }
}
