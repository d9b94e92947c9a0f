//! Test fixture: a fleet with stand-in upstreams and a release note in force.

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

/// Time limit for the note to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for a leader or a scheduler to appear in the status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for a load to end the requests waited for.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Lock held by the running fixture, so that tests of one program run one after the other and do
/// not overload the machine.
static FIXTURE_LOCK: Mutex<()> = Mutex::new(());

/// Error of setting up a fixture.
#[derive(Debug, Error)]
pub enum Error {
    /// The note is not valid.
    #[error("the note is invalid:\n{0}")]
    Note(gooseberrylb_config::finding::Findings),
    /// The fleet did not start.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A stand-in did not start.
    #[error(transparent)]
    Upstreams(#[from] upstreams::Error),
    /// The note was not accepted, or was not in force in time.
    #[error(transparent)]
    Operator(#[from] operator::Error),
}

/// Fleet with its upstreams and the note in force.
pub struct Fixture {
    /// Running fleet.
    pub fleet: Fleet,
    /// Stand-ins for the note's upstreams.
    pub upstreams: Upstreams,
    /// First note in force, with the addresses of its stand-ins.
    pub note: Note,
    _lock: MutexGuard<'static, ()>,
}

impl Fixture {
    /// Starts stand-ins for the upstreams of `note` and a fleet, submits the note, and waits until
    /// it is in force.
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

    /// Starts stand-ins for the upstreams of another note, submits it, and returns it with their
    /// addresses.
    pub async fn submit(&mut self, note: &str) -> Result<Note, Error> {
        let mut note = Note::parse(note).map_err(Error::Note)?;
        self.upstreams.fill(&mut note).await?;
        self.fleet.operator().submit(&json!(note)).await?;
        Ok(note)
    }

    /// Returns all executions that the upstreams logged.
    pub fn executions(&self) -> Vec<Execution> {
        let engines = self.upstreams.engines().map(|(_, e)| e.executions());
        let services = self.upstreams.services().map(|(_, s)| s.executions());
        engines.chain(services).flatten().collect()
    }

    /// Returns the contradictions between `records` and the upstreams' executions.
    pub fn violations(&self, records: &[Record]) -> Vec<String> {
        violations(&self.note, records, &self.executions())
    }

    /// Returns the position of the leader in the fleet; waits for one if there is none.
    pub async fn leader(&self) -> Option<usize> {
        let read = |status: &Value| status["leader"].as_str().map(str::to_owned);
        self.wait_for_position(read).await
    }

    /// Returns the position of the scheduler of a service in the fleet; waits for one if there is
    /// none.
    pub async fn scheduler(&self, service: &str) -> Option<usize> {
        let read = |status: &Value| {
            let views = status["views"].as_array()?;
            let view = views.iter().find(|view| view["service"] == service)?;
            view["scheduler"].as_str().map(str::to_owned)
        };
        self.wait_for_position(read).await
    }

    async fn wait_for_position(&self, read: impl Fn(&Value) -> Option<String>) -> Option<usize> {
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

/// Waits until `load` has ended `more` further requests; returns whether it did in time.
pub async fn wait_for_requests(load: &Load, more: usize) -> bool {
    let target = load.ended() + more;
    wait_until(LOAD_TIMEOUT, async || load.ended() >= target).await
}
