//! An engine stand-in: the [model](crate::engine::Model) behind the interface that engines offer.

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

/// How an engine stand-in is set up.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// What the engine can do.
    pub profile: Profile,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
    /// Where it loads weights from; without one they load at once.
    pub weight_store: Option<SocketAddr>,
    /// The faults that it starts with.
    pub faults: Faults,
}

/// The faults and lags of an engine, switchable at any time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// How many times as long each step takes.
    pub slow_factor: f64,
    /// The part of requests that fail, by route; the route `*` stands for all others.
    pub failure_rates: BTreeMap<String, f64>,
    /// How long the failures and the slow factor keep off after they are set, in milliseconds.
    pub after_ms: u64,
    /// How many requests must run or wait before requests fail.
    pub above_load: usize,
    /// How old the load report is, in milliseconds.
    pub load_lag_ms: u64,
    /// How late cache events are published, in milliseconds.
    pub event_lag_ms: u64,
    /// Drops every so manieth cache event; 0 drops none.
    pub event_gap_every: u64,
    /// Breaks each stream's connection after this many tokens, while the engine runs on.
    pub break_after_tokens: Option<u64>,
    /// Answers nothing on any connection, while the engine runs on.
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

/// What the handlers and the driver share.
struct Shared {
    state: Mutex<State>,
    wake: Sender<()>,
    settings: Settings,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the driver look at the model again; a wake-up that waits already is enough.
    fn wake(&self) {
        let _ = self.wake.try_send(());
    }
}

/// A running engine stand-in. Dropping it ends it as a crash would.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine on `address`.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let (wake, woken) = async_channel::bounded(1);
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
        task::spawn(drive(Arc::downgrade(&shared), woken));
        Ok(Self { server, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it ran so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.lock().executions().to_vec()
    }

    /// The orders that it took.
    pub fn accepted_orders(&self) -> Vec<Order> {
        self.shared.lock().accepted_orders().to_vec()
    }

    /// The orders that arrived, refused and repeated ones among them, in the order of arrival.
    pub fn received_orders(&self) -> Vec<Order> {
        self.shared.lock().received_orders().to_vec()
    }

    /// The tokens of prompts that it read so far, without the cached ones.
    pub fn prefilled(&self) -> u64 {
        self.shared.lock().prefilled()
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().set_faults(faults);
    }
}

/// Ends the model's steps when they are due, until the engine is dropped.
async fn drive(shared: std::sync::Weak<Shared>, woken: Receiver<()>) {
    loop {
        let Some(wait) = shared.upgrade().map(|shared| shared.lock().advance()) else {
            return;
        };
        match wait {
            Some(wait) => {
                let _ = future::timeout(wait.max(Duration::from_micros(50)), woken.recv()).await;
            }
            None if woken.recv().await.is_err() => return,
            None => {}
        }
    }
}
