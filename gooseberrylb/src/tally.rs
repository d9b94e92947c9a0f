//! Counts the outcomes of requests, and ships the counts to the voters in numbered tallies.
//!
//! A tally is resent under the same number until it is accepted, and the control state merges each
//! number once. The report therefore neither misses nor duplicates requests of a live instance.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use async_std::{future, task};
use gooseberrylb_config::clock::Clock;
use gooseberrylb_control::state::{Command, Counts, Label, Tally};

use crate::control::{Handle, Identity};

/// Time between two tallies.
const INTERVAL: Duration = Duration::from_secs(2);

/// Time after which an idle instance sends an empty tally. Empty tallies show in the report up to
/// when the instance is counted; the interval is long so that they do not fill the log.
const IDLE_INTERVAL: Duration = Duration::from_secs(30);

/// Pause after a tally that was not accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Maximum time that a planned stop retries the last tally.
const LAST_TALLY_TIMEOUT: Duration = Duration::from_secs(3);

type Rows = BTreeMap<Label, Counts>;

/// Counts of requests since the last tally.
#[derive(Default)]
pub struct Accumulator {
    rows: Mutex<Rows>,
}

impl Accumulator {
    /// Adds the counts of a request.
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

    /// Returns the counts and resets them.
    fn take(&self) -> Rows {
        std::mem::take(&mut *self.rows.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Ships tallies to the voters for as long as the instance runs.
pub struct Shipper {
    identity: Identity,
    clock: Arc<dyn Clock>,
    tallies: Arc<Accumulator>,
    control: Handle,
    /// Number of the last tally.
    number: u64,
    /// End of the last tally, where the next one begins.
    from: SystemTime,
}

impl Shipper {
    /// Creates a shipper whose first tally begins now.
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

    /// Ships tallies until `stop` is closed, then ships the last one.
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

    /// Whether there are counts to ship, or an empty tally is due.
    fn is_due(&self) -> bool {
        let idle = self
            .clock
            .wall()
            .duration_since(self.from)
            .unwrap_or(IDLE_INTERVAL);
        !self.tallies.is_empty() || idle >= IDLE_INTERVAL
    }

    /// Returns the next tally, with the counts since the last one.
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

    /// Ships a tally, with retries until it is accepted. Returns `false` if it is the last one and
    /// was not accepted in time.
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
            if last && self.clock.now() > started + LAST_TALLY_TIMEOUT {
                log::warn!("last tally was not accepted in time; the report will show a gap");
                return false;
            }
            task::sleep(RETRY_PAUSE).await;
        }
    }
}
