//! Asks engines for their load and their cache events, for the schedulers that run here.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future;
use gooseberrylb_policy::scheduler::{CacheChange, Load};
use http_types::{Method, Request};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::Error;
use super::http::{self, Reuse};

/// How long an engine may take to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// An engine's load as it reports it.
#[derive(Debug, Deserialize)]
struct Reported {
    running: u32,
    waiting: u32,
    age_ms: u64,
}

/// A page of an engine's cache events.
#[derive(Debug, Deserialize)]
struct Page {
    events: Vec<Event>,
}

/// One event, whose number follows that of the event before it.
#[derive(Debug, Deserialize)]
struct Event {
    number: u64,
    kind: Kind,
    block: String,
}

/// What happened to a block.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Stored,
    Evicted,
}

/// What came of one look at an engine.
#[derive(Debug, Default)]
pub struct Sample {
    /// Its load, where it told.
    pub load: Option<Load>,
    /// The changes of its prefix cache since the last look.
    pub changes: Vec<CacheChange>,
    /// The number of the last event.
    pub last_event: u64,
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Error> {
    let lost = |error: String| Error::Lost(std::io::Error::other(error));
    let url = http::url(address, path)?;
    let request = Request::new(Method::Get, url);
    let call = async {
        let mut exchange = http::call(address, request, Reuse::Allowed, TIMEOUT).await?;
        let read = exchange.response.body_json().await;
        let value = read.map_err(|error| lost(error.to_string()))?;
        exchange.recycle();
        Ok(value)
    };
    match future::timeout(TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::timeout()),
    }
}

/// Looks at an engine, whose cache events are known up to the number `after`.
pub async fn fetch(address: SocketAddr, after: u64) -> Sample {
    let load = get::<Reported>(address, "/v1/load").await.ok();
    let path = format!("/v1/cache/events?after={after}");
    let events = get::<Page>(address, &path).await.map(|page| page.events);
    let mut seen = Sample {
        load: load.map(|reported| Load {
            running: reported.running,
            waiting: reported.waiting,
            age: Duration::from_millis(reported.age_ms),
        }),
        changes: Vec::new(),
        last_event: after,
    };
    for event in events.unwrap_or_default() {
        seen.take(&event);
    }
    seen
}

impl Sample {
    /// Takes in one event; a missing number before it makes what is known unsure.
    fn take(&mut self, event: &Event) {
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
