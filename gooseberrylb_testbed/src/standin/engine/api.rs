//! HTTP API of an engine stand-in.

use std::io;
use std::sync::Arc;

use async_channel::Sender;
use async_std::{future, task};
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::order::{Decision, Order, execute};
use super::state::{Admission, CacheEvent, Completion, Stream, StreamStatus};
use super::{Faults, Shared};
use crate::engine::cache::Change;
use crate::http::server::{error_response, json_response, streamed_body};

/// Number of tokens to generate if the request does not specify it.
const DEFAULT_MAX_TOKENS: u64 = 16;

#[derive(Debug, Deserialize)]
struct CompletionBody {
    request_id: Arc<str>,
    #[serde(default)]
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    route: Option<String>,
}

fn default_max_tokens() -> u64 {
    DEFAULT_MAX_TOKENS
}

#[derive(Debug, Serialize, Deserialize)]
struct KvBody {
    blocks: Vec<String>,
}

/// Handles one request.
pub async fn handle(shared: Arc<Shared>, request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    if shared.lock().faults().silent && parts[0] != "debug" {
        run_silently(shared, &parts, request).await;
        return future::pending().await;
    }
    match (request.method(), parts.as_slice()) {
        (Method::Post, ["v1", "completions"]) => complete(shared, request).await,
        (Method::Get, ["v1", "streams", id]) => resume(shared, id, query_number(&request, "from")),
        (Method::Delete, ["v1", "streams", id]) => cancel(&shared, id),
        (Method::Get, ["v1", "load"]) => load(&shared),
        (Method::Get, ["v1", "cache", "events"]) => {
            events(&shared, query_number(&request, "after"))
        }
        (Method::Get, ["v1", "kv", prefix]) => export(&shared, prefix),
        (Method::Put, ["v1", "kv", _]) => import(&shared, request).await,
        (Method::Post, ["v1", "orders"]) => order(shared, request).await,
        (Method::Get, ["v1", "orders", id]) => show_order(&shared, id),
        (Method::Get, ["debug", "executions"]) => {
            json_response(StatusCode::Ok, &shared.lock().executions())
        }
        (Method::Get, ["debug", "orders"]) => {
            json_response(StatusCode::Ok, &shared.lock().accepted_orders())
        }
        (Method::Post, ["debug", "faults"]) => set_faults(&shared, request).await,
        _ => not_found("no such path"),
    }
}

fn not_found(message: &str) -> http_types::Result<Response> {
    error_response(StatusCode::NotFound, "not_found", message)
}

/// Returns the number in a query parameter, or 0 if it is absent or invalid.
fn query_number(request: &Request, name: &str) -> u64 {
    let pairs = request.url().query_pairs();
    let found = pairs.into_iter().find(|(key, _)| key == name);
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Runs a completion without a response, as a silent engine does. Ignores all other requests.
async fn run_silently(shared: Arc<Shared>, parts: &[&str], request: Request) {
    if parts != ["v1", "completions"] {
        return;
    }
    if let Err(error) = complete(shared, request).await {
        log::debug!("completion on silent engine failed: {error}");
    }
}

async fn complete(shared: Arc<Shared>, mut request: Request) -> http_types::Result<Response> {
    let header = |name: &str| request.header(name).map(|v| v.last().as_str().to_owned());
    let key = header("Idempotency-Key");
    let body: CompletionBody = match request.body_json().await {
        Ok(body) => body,
        Err(error) => {
            return error_response(StatusCode::BadRequest, "bad_request", &error.to_string());
        }
    };
    let id = body.request_id.clone();
    let admission = shared.lock().admit(Completion {
        request_id: body.request_id,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        route: body.route,
        key,
    });
    shared.wake();
    match admission {
        Admission::Admitted if body.stream => stream(shared, &id, 0),
        Admission::Admitted => full_response(&shared, &id).await,
        Admission::Duplicate => error_response(
            StatusCode::Conflict,
            "duplicate",
            "a request of that name was admitted before",
        ),
        Admission::Failed => error_response(
            StatusCode::InternalServerError,
            "failed",
            "the engine was made to fail",
        ),
    }
}

fn summary(id: &str, stream: &Stream) -> serde_json::Value {
    json!({
        "done": true,
        "request_id": id,
        "prompt_tokens": stream.prompt_tokens,
        "cached_tokens": stream.cached_tokens,
        "output_tokens": stream.generated,
    })
}

/// Waits until the request has ended and returns its complete output in one response.
async fn full_response(shared: &Shared, id: &str) -> http_types::Result<Response> {
    loop {
        let updated = {
            let mut state = shared.lock();
            let Some(stream) = state.stream(id) else {
                return not_found("no such stream");
            };
            match stream.status {
                StreamStatus::Open => stream.watch(),
                StreamStatus::Done => {
                    let mut response = summary(id, stream);
                    response["text"] = stream.text.first_tokens(stream.generated).into();
                    return json_response(StatusCode::Ok, &response);
                }
                StreamStatus::Cancelled => {
                    return error_response(StatusCode::Gone, "cancelled", "it was cancelled");
                }
            }
        };
        let _ = updated.recv().await;
    }
}

fn resume(shared: Arc<Shared>, id: &str, from: u64) -> http_types::Result<Response> {
    if shared.lock().stream(id).is_none() {
        return not_found("no such stream");
    }
    stream(shared, id, from)
}

/// Returns a response that streams the tokens of a request from token `from` on.
fn stream(shared: Arc<Shared>, id: &str, from: u64) -> http_types::Result<Response> {
    let (sender, body) = streamed_body();
    let break_after = shared.lock().faults().break_after_tokens;
    task::spawn(write_stream(
        shared,
        id.to_owned(),
        from,
        break_after,
        sender,
    ));
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header("Content-Type", "text/event-stream");
    Ok(response)
}

/// Next part of a streamed response.
enum Part {
    /// Lines with tokens.
    Lines(Vec<u8>),
    /// No further tokens yet; the receiver is closed when the stream changes.
    Wait(async_channel::Receiver<()>),
    /// Last line, with the summary.
    Last(Vec<u8>),
    /// The connection is to be broken.
    Broken,
}

async fn write_stream(
    shared: Arc<Shared>,
    id: String,
    from: u64,
    break_after: Option<u64>,
    sender: Sender<io::Result<Vec<u8>>>,
) {
    let limit = break_after.map(|tokens| from + tokens);
    let mut next = from;
    loop {
        let part = next_part(&shared, &id, &mut next, limit);
        let sent = match part {
            Part::Lines(lines) => sender.send(Ok(lines)).await,
            Part::Wait(updated) => {
                let _ = updated.recv().await;
                continue;
            }
            Part::Last(line) => {
                let _ = sender.send(Ok(line)).await;
                return;
            }
            Part::Broken => {
                let broken = io::Error::from(io::ErrorKind::ConnectionAborted);
                let _ = sender.send(Err(broken)).await;
                return;
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Returns the next part of a stream from token `next` on, which is advanced. The connection is
/// broken at token `limit`.
fn next_part(shared: &Shared, id: &str, next: &mut u64, limit: Option<u64>) -> Part {
    let mut state = shared.lock();
    let Some(stream) = state.stream(id) else {
        return Part::Broken;
    };
    if limit.is_some_and(|limit| *next >= limit) {
        return Part::Broken;
    }
    let until = limit.map_or(stream.generated, |limit| limit.min(stream.generated));
    if *next < until {
        let lines =
            (*next..until).map(|n| json_line(&json!({"n": n, "text": stream.text.token(n)})));
        let lines = lines.collect::<Vec<_>>().concat();
        *next = until;
        return Part::Lines(lines);
    }
    match stream.status {
        StreamStatus::Open => Part::Wait(stream.watch()),
        StreamStatus::Done => Part::Last(json_line(&summary(id, stream))),
        StreamStatus::Cancelled => Part::Broken,
    }
}

fn json_line(value: &serde_json::Value) -> Vec<u8> {
    let mut line = value.to_string().into_bytes();
    line.push(b'\n');
    line
}

fn cancel(shared: &Shared, id: &str) -> http_types::Result<Response> {
    let known = shared.lock().cancel(id);
    shared.wake();
    if known {
        json_response(StatusCode::Ok, &json!({"cancelled": id}))
    } else {
        not_found("no such stream")
    }
}

fn load(shared: &Shared) -> http_types::Result<Response> {
    let load = shared.lock().load();
    let response = json!({
        "running": load.running,
        "waiting": load.waiting,
        "age_ms": load.age.as_millis() as u64,
    });
    json_response(StatusCode::Ok, &response)
}

fn events(shared: &Shared, after: u64) -> http_types::Result<Response> {
    let events = shared.lock().cache_events(after);
    let next = events.last().map_or(after, |event| event.number);
    let events: Vec<_> = events.iter().map(event_json).collect();
    json_response(StatusCode::Ok, &json!({"events": events, "next": next}))
}

fn event_json(event: &CacheEvent) -> serde_json::Value {
    let (kind, block) = match event.change {
        Change::Stored(block) => ("stored", block),
        Change::Evicted(block) => ("evicted", block),
    };
    json!({"number": event.number, "kind": kind, "block": format!("{block:016x}")})
}

fn parse_block(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

fn export(shared: &Shared, prefix: &str) -> http_types::Result<Response> {
    match parse_block(prefix) {
        Some(block) if shared.lock().holds(block) => {
            let blocks = vec![format!("{block:016x}")];
            json_response(StatusCode::Ok, &KvBody { blocks })
        }
        _ => not_found("no such block"),
    }
}

async fn import(shared: &Shared, mut request: Request) -> http_types::Result<Response> {
    let body: KvBody = request.body_json().await?;
    let blocks: Option<Vec<u64>> = body.blocks.iter().map(|text| parse_block(text)).collect();
    match blocks {
        Some(blocks) => {
            shared.lock().import(&blocks);
            json_response(StatusCode::Ok, &json!({"blocks": blocks.len()}))
        }
        None => error_response(StatusCode::BadRequest, "bad_request", "not a block"),
    }
}

async fn order(shared: Arc<Shared>, mut request: Request) -> http_types::Result<Response> {
    let order: Order = match request.body_json().await {
        Ok(order) => order,
        Err(error) => {
            return error_response(StatusCode::BadRequest, "bad_request", &error.to_string());
        }
    };
    let decision = shared.lock().order(order);
    match decision {
        Decision::Accepted(order) => {
            task::spawn(execute(shared, order.clone()));
            json_response(StatusCode::Accepted, &order)
        }
        Decision::Known(order) => json_response(StatusCode::Ok, &order),
        Decision::Outdated(highest) => error_response(
            StatusCode::Conflict,
            "old_fencing",
            &format!("an order with fencing number {highest} was taken before"),
        ),
    }
}

fn show_order(shared: &Shared, id: &str) -> http_types::Result<Response> {
    match shared.lock().find_order(id) {
        Some(order) => json_response(StatusCode::Ok, &*order),
        None => not_found("no such order"),
    }
}

async fn set_faults(shared: &Shared, mut request: Request) -> http_types::Result<Response> {
    let faults: Faults = match request.body_json().await {
        Ok(faults) => faults,
        Err(error) => {
            return error_response(StatusCode::BadRequest, "bad_request", &error.to_string());
        }
    };
    shared.lock().set_faults(faults);
    json_response(StatusCode::Ok, &json!({}))
}
