//! Engine stand-in: serves the HTTP API of engines with the simulated
//! [model](crate::engine::Model) behind it.

mod api;
mod order;
mod state;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::{future, task};
use gooseberrylb_config::clock::System;
use serde::{Deserialize, Serialize};

use crate::engine::model::Profile;
use crate::http::Server;
use crate::standin::execution::Execution;

pub use order::{Order, Progress};
use state::State;

/// Settings of an engine stand-in.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Speed and capacity of the engine.
    pub profile: Profile,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Address of the store to load weights from. Without one, loading completes at once.
    pub weight_store: Option<SocketAddr>,
    /// Initial faults.
    pub faults: Faults,
}

/// Faults and delays of an engine, which can be changed at any time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Factor by which the duration of each step is multiplied.
    pub slow_factor: f64,
    /// Fraction of requests that fail, by route. The route `*` stands for all others.
    pub failure_rates: BTreeMap<String, f64>,
    /// Delay until failures and the slow factor take effect after they are set, in milliseconds.
    pub after_ms: u64,
    /// Minimum number of running and waiting requests at which requests fail.
    pub above_load: usize,
    /// Age of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay until cache events are published, in milliseconds.
    pub event_lag_ms: u64,
    /// Drops each cache event whose number is a multiple of this; 0 drops none.
    pub event_gap_every: u64,
    /// Breaks the connection of each stream after this many tokens, while the engine continues to
    /// run the request.
    pub break_after_tokens: Option<u64>,
    /// Whether the engine never responds, except on debug paths, while it continues to run
    /// requests.
    pub silent: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            failure_rates: BTreeMap::new(),
            after_ms: 0,
            above_load: 0,
            load_lag_ms: 500,
            event_lag_ms: 500,
            event_gap_every: 0,
            break_after_tokens: None,
            silent: false,
        }
    }
}

/// State shared by the request handlers and the task that drives the model.
struct Shared {
    state: Mutex<State>,
    /// Wakes the driving task.
    wake: Sender<()>,
    settings: Settings,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the driving task so that it advances the model. A pending wake-up suffices.
    fn wake(&self) {
        let _ = self.wake.try_send(());
    }
}

/// Running engine stand-in. Dropping it closes all connections at once, as a crash would.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine that listens on `address`.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let (wake, wakeups) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(Arc::new(System), &settings)),
            wake,
            settings,
        });
        let handler = shared.clone();
        let server = Server::start(address, move |request| {
            api::handle(handler.clone(), request)
        })
        .await?;
        task::spawn(drive(Arc::downgrade(&shared), wakeups));
        Ok(Self { server, shared })
    }

    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the log of requests that the engine ran or made to fail.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.lock().executions().to_vec()
    }

    /// Returns the accepted orders, in the order of arrival.
    pub fn accepted_orders(&self) -> Vec<Order> {
        self.shared.lock().accepted_orders().to_vec()
    }

    /// Returns all received orders including refused and repeated ones, in the order of arrival.
    pub fn received_orders(&self) -> Vec<Order> {
        self.shared.lock().received_orders().to_vec()
    }

    /// Returns the prompt tokens prefilled so far, without cached ones.
    pub fn prefilled(&self) -> u64 {
        self.shared.lock().prefilled()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().set_faults(faults);
    }
}

/// Advances the model whenever a step ends or it is woken, until the engine is dropped.
async fn drive(shared: std::sync::Weak<Shared>, wakeups: Receiver<()>) {
    loop {
        let Some(wait) = shared.upgrade().map(|shared| shared.lock().advance()) else {
            return;
        };
        match wait {
            Some(wait) => {
                let _ = future::timeout(wait.max(Duration::from_micros(50)), wakeups.recv()).await;
            }
            None if wakeups.recv().await.is_err() => return,
            None => {}
        }
    }
}
