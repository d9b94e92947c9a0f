//! Polls engines for their load and prefix cache events, for the schedulers on this instance.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future;
use gooseberrylb_policy::scheduler::{CacheChange, Load};
use http_types::{Method, Request};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::Error;
use super::http::{self, Reuse};

/// Time within which an engine must respond.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Body of an engine's load report.
#[derive(Debug, Deserialize)]
struct LoadReport {
    running: u32,
    waiting: u32,
    age_ms: u64,
}

/// A page of an engine's prefix cache events.
#[derive(Debug, Deserialize)]
struct Page {
    events: Vec<Event>,
}

/// A prefix cache event; events are numbered consecutively.
#[derive(Debug, Deserialize)]
struct Event {
    number: u64,
    kind: Kind,
    block: String,
}

/// Kind of change to a cached block.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Stored,
    Evicted,
}

/// Result of one poll of an engine.
#[derive(Debug, Default)]
pub struct Sample {
    /// Load of the engine, if it reported one.
    pub load: Option<Load>,
    /// Changes of the prefix cache since the last poll.
    pub changes: Vec<CacheChange>,
    /// Number of the last cache event seen.
    pub last_event: u64,
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Error> {
    let url = http::url(address, path)?;
    let request = Request::new(Method::Get, url);
    let call = async {
        let mut exchange = http::call(address, request, Reuse::Allowed, TIMEOUT).await?;
        let read = http::read_json(&mut exchange.response).await;
        let value = read.map_err(Error::Lost)?;
        exchange.recycle();
        Ok(value)
    };
    match future::timeout(TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::timeout()),
    }
}

/// Polls an engine for its load and for the cache events that follow event number `after`.
pub async fn fetch(address: SocketAddr, after: u64) -> Sample {
    let load = get::<LoadReport>(address, "/v1/load").await.ok();
    let path = format!("/v1/cache/events?after={after}");
    let events = get::<Page>(address, &path).await.map(|page| page.events);
    let mut sample = Sample {
        load: load.map(|report| Load {
            running: report.running,
            waiting: report.waiting,
            age: Duration::from_millis(report.age_ms),
        }),
        changes: Vec::new(),
        last_event: after,
    };
    for event in events.unwrap_or_default() {
        sample.apply(&event);
    }
    sample
}

impl Sample {
    /// Applies one event; if events before it are missing, records a gap first.
    fn apply(&mut self, event: &Event) {
        let is_next = self.last_event == 0 || event.number == self.last_event + 1;
        if !is_next {
            self.changes.push(CacheChange::Gap);
        }
        self.last_event = event.number;
        let Ok(block) = u64::from_str_radix(&event.block, 16) else {
            return;
        };
        self.changes.push(match event.kind {
            Kind::Stored => CacheChange::Stored(block),
            Kind::Evicted => CacheChange::Evicted(block),
        });
    }
}
