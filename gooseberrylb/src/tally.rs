//! Counts what became of requests, and ships the counts to the voters in numbered tallies.
//!
//! A tally is sent again under its number until it is accepted, and merged once there, so that the
//! report neither misses nor doubles a request of an instance that lives.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use async_std::{future, task};
use gooseberrylb_config::clock::Clock;
use gooseberrylb_control::state::{Command, Counts, Label, Tally};

use crate::control::{Handle, Identity};

/// The time between two tallies.
const INTERVAL: Duration = Duration::from_secs(2);

/// The time after which a tally is sent that counts nothing, so that the report tells up to when an
/// idle instance is counted without a log entry of every instance every few seconds.
const IDLE_INTERVAL: Duration = Duration::from_secs(30);

/// The pause after a tally that was not accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How long a planned stop tries to get the last tally accepted.
const LAST_PATIENCE: Duration = Duration::from_secs(3);

type Rows = BTreeMap<Label, Counts>;

/// The counts since the last tally.
#[derive(Default)]
pub struct Accumulator {
    rows: Mutex<Rows>,
}

impl Accumulator {
    /// Counts one request.
    pub fn count(&self, label: Label, counts: Counts) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let row = rows.entry(label).or_default();
        row.requests += counts.requests;
        row.prompt_tokens += counts.prompt_tokens;
        row.output_tokens += counts.output_tokens;
        row.wasted_tokens += counts.wasted_tokens;
    }

    fn is_empty(&self) -> bool {
        self.rows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_empty()
    }

    fn take(&self) -> Rows {
        std::mem::take(&mut *self.rows.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Ships tallies for as long as the instance runs.
pub struct Shipper {
    identity: Identity,
    clock: Arc<dyn Clock>,
    tallies: Arc<Accumulator>,
    control: Handle,
    number: u64,
    from: SystemTime,
}

impl Shipper {
    /// Makes the shipper of an instance that starts now.
    pub fn new(
        identity: Identity,
        clock: Arc<dyn Clock>,
        tallies: Arc<Accumulator>,
        control: Handle,
    ) -> Self {
        let from = clock.wall();
        Self {
            identity,
            clock,
            tallies,
            control,
            number: 0,
            from,
        }
    }

    /// Ships a tally now and then, until `stop` is closed; then the last one.
    pub async fn run(mut self, stop: async_channel::Receiver<()>) {
        loop {
            let stopped = future::timeout(INTERVAL, stop.recv()).await.is_ok();
            if !stopped && !self.is_due() {
                continue;
            }
            let tally = self.next(stopped);
            if !self.ship(tally, stopped).await || stopped {
                return;
            }
        }
    }

    fn is_due(&self) -> bool {
        let idle = self
            .clock
            .wall()
            .duration_since(self.from)
            .unwrap_or(IDLE_INTERVAL);
        !self.tallies.is_empty() || idle >= IDLE_INTERVAL
    }

    fn next(&mut self, last: bool) -> Tally {
        self.number += 1;
        let from = self.from;
        self.from = self.clock.wall();
        Tally {
            instance: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            number: self.number,
            from,
            to: self.from,
            last,
            rows: self.tallies.take().into_iter().collect(),
        }
    }

    /// Ships one tally; gives up only on the last one.
    async fn ship(&self, tally: Tally, last: bool) -> bool {
        let started = self.clock.now();
        loop {
            if self
                .control
                .propose(Command::Tally(tally.clone()))
                .await
                .is_ok()
            {
                return true;
            }
            if last && self.clock.now() > started + LAST_PATIENCE {
                log::warn!("the last tally was not accepted; the report shows a gap");
                return false;
            }
            task::sleep(RETRY_PAUSE).await;
        }
    }
}
