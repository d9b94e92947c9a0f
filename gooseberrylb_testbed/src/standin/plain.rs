//! Stand-in for a plain service. It runs each request once per arrival, without deduplication, and
//! echoes it.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::future;
use async_std::task;
use gooseberrylb_config::clock::{Clock, System};
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::Server;
use crate::http::server::{error_response, json_response};
use crate::standin::execution::{Execution, digest, unix_ms};

/// Fault that loses responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// Responses are sent.
    #[default]
    None,
    /// The request is run, and the connection is closed without a response.
    Close,
    /// The request is run, and the connection stays open without a response.
    Silent,
}

/// Faults of a plain service, which can be changed at any time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Time that each request takes, in milliseconds.
    pub delay_ms: u64,
    /// Loss of responses.
    pub loss: Loss,
    /// Whether requests fail with status 500.
    pub fail: bool,
}

#[derive(Debug, Default)]
struct State {
    executions: Vec<Execution>,
    faults: Faults,
}

/// Running plain service. Dropping it closes all connections at once, as a crash would.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts a plain service that listens on `address`.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let server = Server::start(address, move |request| handle(shared.clone(), request)).await?;
        Ok(Self { server, state })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the log of requests so far, in the order of arrival.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.state).executions.clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Arc<Mutex<State>>, mut request: Request) -> http_types::Result<Response> {
    match (request.method(), request.url().path()) {
        (Method::Get, "/debug/executions") => {
            json_response(StatusCode::Ok, &lock(&state).executions)
        }
        (Method::Post, "/debug/faults") => {
            let faults: Faults = request.body_json().await?;
            lock(&state).faults = faults;
            json_response(StatusCode::Ok, &json!({}))
        }
        _ => execute(state, request).await,
    }
}

async fn execute(state: Arc<Mutex<State>>, mut request: Request) -> http_types::Result<Response> {
    let body = request.body_bytes().await?;
    let header = |name: &str| request.header(name).map(|v| v.last().as_str().to_owned());
    let path = request.url().path().to_owned();
    let execution = Execution {
        request_id: header("Request-Id"),
        key: header("Idempotency-Key"),
        route: path.rsplit('/').next().map(str::to_owned),
        started_at: unix_ms(System.wall()),
        body_digest: digest(&body),
        ..Execution::default()
    };
    let echo = json!({
        "path": path,
        "request_id": execution.request_id,
        "key": execution.key,
        "body_digest": execution.body_digest,
        "body": String::from_utf8_lossy(&body),
    });
    let (index, faults) = log_start(&state, execution);
    task::sleep(Duration::from_millis(faults.delay_ms)).await;
    lock(&state).executions[index].finished = !faults.fail;
    lock(&state).executions[index].failed = faults.fail;
    match faults.loss {
        Loss::None if faults.fail => error_response(
            StatusCode::InternalServerError,
            "failed",
            "the service was made to fail",
        ),
        Loss::None => json_response(StatusCode::Ok, &echo),
        Loss::Close => Err(http_types::Error::from_str(
            StatusCode::InternalServerError,
            "the answer was made to be lost",
        )),
        Loss::Silent => future::pending().await,
    }
}

/// Logs the start of a request. Returns its index in the log and the current faults.
fn log_start(state: &Mutex<State>, execution: Execution) -> (usize, Faults) {
    let mut state = lock(state);
    state.executions.push(execution);
    (state.executions.len() - 1, state.faults.clone())
}
