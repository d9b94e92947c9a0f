//! A fleet with its upstreams and a release note in force, ready to be harmed by a test.

use std::time::Duration;

use async_std::sync::{Mutex, MutexGuard};
use gooseberrylb_config::note::Note;
use serde_json::{Value, json};
use thiserror::Error;

use crate::client::load::Load;
use crate::client::operator;
use crate::client::tally::Record;
use crate::client::verify::violations;
use crate::fleet::{self, Builder, Fleet, wait_until};
use crate::standin::execution::Execution;
use crate::upstreams::{self, Upstreams};

/// How long the note may take to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long the status may be without a leader or a scheduler.
const STATUS_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a load may take to end so many requests.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Held by the running fixture, so that tests of one program do not crowd the machine.
static FIXTURE_LOCK: Mutex<()> = Mutex::new(());

/// Why a fixture cannot be set up.
#[derive(Debug, Error)]
pub enum Error {
    /// The note cannot be read.
    #[error("the note cannot be read:\n{0}")]
    Note(gooseberrylb_config::finding::Findings),
    /// The fleet does not start.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A stand-in does not start.
    #[error(transparent)]
    Upstreams(#[from] upstreams::Error),
    /// The note is not accepted or not in force.
    #[error(transparent)]
    Operator(#[from] operator::Error),
}

/// A fleet with its upstreams.
pub struct Fixture {
    /// The fleet.
    pub fleet: Fleet,
    /// The stand-ins for the note's upstreams.
    pub upstreams: Upstreams,
    /// The note in force.
    pub note: Note,
    _lock: MutexGuard<'static, ()>,
}

impl Fixture {
    /// Starts stand-ins for the upstreams of `note`, a fleet, and submits the note.
    pub async fn start(builder: Builder, note: &str) -> Result<Self, Error> {
        let lock = FIXTURE_LOCK.lock().await;
        let mut note = Note::parse(note).map_err(Error::Note)?;
        let mut upstreams = Upstreams::default().with_weight_store(builder.weight_store());
        upstreams.fill(&mut note).await?;
        let fleet = builder.start().await?;
        let operator = fleet.operator();
        operator.submit(&json!(note)).await?;
        operator
            .wait_in_force(note.note.0, IN_FORCE_TIMEOUT)
            .await?;
        Ok(Self {
            fleet,
            upstreams,
            note,
            _lock: lock,
        })
    }

    /// Starts stand-ins for the upstreams of a further note, and submits it.
    pub async fn submit(&mut self, note: &str) -> Result<Note, Error> {
        let mut note = Note::parse(note).map_err(Error::Note)?;
        self.upstreams.fill(&mut note).await?;
        self.fleet.operator().submit(&json!(note)).await?;
        Ok(note)
    }

    /// All that the upstreams ran.
    pub fn executions(&self) -> Vec<Execution> {
        let engines = self.upstreams.engines().map(|(_, e)| e.executions());
        let services = self.upstreams.services().map(|(_, s)| s.executions());
        engines.chain(services).flatten().collect()
    }

    /// What speaks against the promises to callers.
    pub fn violations(&self, records: &[Record]) -> Vec<String> {
        violations(&self.note, records, &self.executions())
    }

    /// The position of the instance that leads, waited for where there is none just now.
    pub async fn leader(&self) -> Option<usize> {
        let read = |status: &Value| status["leader"].as_str().map(str::to_owned);
        self.read_position(read).await
    }

    /// The position of the instance that schedules a service, waited for likewise.
    pub async fn scheduler(&self, service: &str) -> Option<usize> {
        let read = |status: &Value| {
            let views = status["views"].as_array()?;
            let view = views.iter().find(|view| view["service"] == service)?;
            view["scheduler"].as_str().map(str::to_owned)
        };
        self.read_position(read).await
    }

    async fn read_position(&self, read: impl Fn(&Value) -> Option<String>) -> Option<usize> {
        let operator = self.fleet.operator();
        let mut position = None;
        wait_until(STATUS_TIMEOUT, async || {
            let status = operator.get("/v1/status").await.unwrap_or_default();
            position = read(&status).and_then(|name| self.position(&name));
            position.is_some()
        })
        .await;
        position
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.fleet.instances().iter().position(|i| i.name() == name)
    }
}

/// Waits until a load has ended `more` further requests; `false` if it does not in time.
pub async fn wait_for_requests(load: &Load, more: usize) -> bool {
    let target = load.ended() + more;
    wait_until(LOAD_TIMEOUT, async || load.ended() >= target).await
}
