//! Serves callers' connections: reads requests, admits them, and writes the responses.

use std::rc::Rc;
use std::time::Duration;

use async_std::{future, task};
use futures::future::Either;
use gooseberrylb_config::declaration::{Account, Limits, Route, Table};
use gooseberrylb_config::dialect::RequestMetadata;
use gooseberrylb_config::id;
use std::sync::Arc;

use super::Gateway;
use super::delegate::{DECLINED, Ticket};
use super::forward::{Delivery, Fault, Forwarder, write_field};
use super::http::{Body, Connection, Error, Framing, Request, Response};
use super::memory;
use super::relay::{End, Transfer, relay};
use crate::metrics::METRICS;

/// Time limit for receiving the body of a request, independent of the request's own deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time for which a request waits for a fresh configuration: about the time of a leader
/// election. Callers retry at most once, so refusing them immediately would lose more requests.
const MAX_FRESH_WAIT: Duration = Duration::from_millis(1200);

/// Maximum time for which a request with an unknown key waits for a change of the configuration: far
/// longer than a change usually takes to arrive.
const MAX_KEY_WAIT: Duration = Duration::from_millis(250);

/// Status code of the refusal of a request whose key is missing or not known.
const UNAUTHORIZED: u16 = 401;

/// Maximum time for which a request waits until there is memory for its body.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(500);

/// `Retry-After` of requests refused because the configuration is not fresh.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Where a connection comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// An entry that is cut off from the upstreams, which sends on its callers' requests.
    Entry(id::Instance),
}

/// Time that a new connection to a leaving entry has for its first request, which may be on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// How the wait for a response ended.
enum Ended {
    /// There is something to send to the caller.
    Delivery(Delivery),
    /// The caller closed its connection.
    CallerGone,
    /// The process is about to exit.
    Exit,
}

/// Whether a connection stays open after a response.
#[derive(PartialEq, Eq)]
enum Persistence {
    Keep,
    Close,
}

/// Serves a connection until either side closes it.
pub async fn serve(gateway: Rc<Gateway>, mut connection: Connection, origin: Origin) {
    let mut is_new = true;
    loop {
        let limits = gateway.limits();
        let next = next_request(&gateway, &mut connection, &limits, is_new).await;
        is_new = false;
        let request = match next {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(error) => {
                let fault = match error {
                    Error::Io(_) | Error::Ended => return,
                    error => Fault::from(error),
                };
                log::info!(status = fault.status, cause = fault.message; "refused a request that could not be read");
                write_fault(&gateway, &connection, &fault, true).await;
                return;
            }
        };
        let open = gateway.begin_request();
        let persistence = handle(&gateway, &mut connection, request, &origin, &limits).await;
        drop(open);
        if persistence == Persistence::Close {
            return;
        }
    }
}

/// Waits for the head of the next request; `None` if the connection is to be closed.
async fn next_request(
    gateway: &Gateway,
    connection: &mut Connection,
    limits: &Limits,
    is_new: bool,
) -> std::result::Result<Option<Request>, Error> {
    if connection.unread().is_empty() {
        let count = {
            let filling = std::pin::pin!(connection.fill());
            let leaving = std::pin::pin!(async {
                gateway.idle_close().await;
                if is_new {
                    task::sleep(FIRST_REQUEST_TIME).await;
                }
            });
            let either = futures::future::select(filling, leaving);
            match future::timeout(limits.idle, either).await {
                Ok(Either::Left((read, _))) => read?,
                Ok(Either::Right(_)) | Err(_) => 0,
            }
        };
        if count == 0 {
            return Ok(None);
        }
    }
    match future::timeout(limits.head_time, connection.read_request(limits.head_bytes)).await {
        Ok(result) => result,
        Err(_) => {
            let fault = Fault::new(408, "the head took too long");
            write_fault(gateway, connection, &fault, true).await;
            Ok(None)
        }
    }
}

/// Handles one request: reads its body, admits and forwards it, and writes the response.
async fn handle(
    gateway: &Rc<Gateway>,
    connection: &mut Connection,
    mut request: Request,
    origin: &Origin,
    limits: &Limits,
) -> Persistence {
    let arrived = gateway.core.clock.now();
    if request.expects_continue
        && request.framing != Framing::Empty
        && connection
            .write(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .is_err()
    {
        return Persistence::Close;
    }
    let reading = read_body(gateway, connection, &request, limits.body_bytes);
    let body = match future::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(Error::Io(_) | Error::Ended)) => return Persistence::Close,
        Ok(Err(error @ Error::NoRoom(_))) => {
            log::info!(cause:% = error, framing:? = request.framing; "refused a request");
            let fault = Fault::from(error);
            return send_fault(gateway, connection, &fault, request.closes).await;
        }
        Ok(Err(error)) => {
            write_fault(gateway, connection, &Fault::from(error), true).await;
            return Persistence::Close;
        }
        Err(_) => {
            let fault = Fault::new(408, "the body took too long");
            write_fault(gateway, connection, &fault, true).await;
            return Persistence::Close;
        }
    };
    let closes = request.closes;
    let ticket = match origin {
        Origin::Caller => None,
        Origin::Entry(entry) => match Ticket::take(&mut request) {
            Some(_) if gateway.is_cut() => {
                let fault = Fault::new(DECLINED, "this entry is cut off too");
                return send_fault(gateway, connection, &fault, closes).await;
            }
            Some(ticket) => Some(ticket),
            None => {
                log::warn!(entry:% = entry; "refused a request of another entry without a valid ticket");
                return Persistence::Close;
            }
        },
    };
    let mut metadata = gateway.dialect.request_metadata(&request.fields.borrowed());
    if let Some(ticket) = ticket {
        metadata.patience = Some(Duration::from_millis(ticket.left_ms));
        metadata.last_event = ticket.last_event;
    }
    let id = metadata.attempt.clone().unwrap_or_else(|| "-".into());
    let max_wait = MAX_FRESH_WAIT.min(metadata.patience.unwrap_or(MAX_FRESH_WAIT) / 3);
    let waited = {
        let fresh = std::pin::pin!(gateway.wait_until_fresh(max_wait));
        let caller_gone = std::pin::pin!(connection.closed());
        matches!(
            futures::future::select(fresh, caller_gone).await,
            Either::Left(_)
        )
    };
    if !waited {
        return Persistence::Close;
    }
    let (route, account) = match admit_with_latest_keys(gateway, &request, &metadata).await {
        Ok(admitted) => admitted,
        Err(fault) => {
            log::info!(id:% = id, status = fault.status, cause = fault.message; "refused a request");
            return send_fault(gateway, connection, &fault, closes).await;
        }
    };
    let patience = metadata.patience.unwrap_or(route.time_limit);
    let time_limit = patience.min(route.time_limit);
    if !gateway.admits(time_limit) {
        let fault = leaving_fault();
        log::info!(
            id:% = id, status = fault.status, cause = fault.message, limit_ms = time_limit.as_millis() as u64;
            "refused a request"
        );
        return send_fault(gateway, connection, &fault, closes).await;
    }
    let content = id::Content::new(
        &request.method,
        &request.target,
        account.as_ref().map(|account| &account.name),
        metadata.prompt.as_deref(),
        &body,
    );
    let mut forwarder = Forwarder {
        gateway: gateway.clone(),
        deadline: arrived + time_limit,
        content,
        request,
        body: Rc::new(body),
        metadata,
        route,
        account,
        arrived,
        excluded: Vec::new(),
        attempts: ticket.map_or(0, |ticket| ticket.attempts),
        charged: ticket.is_some_and(|ticket| ticket.charged),
        delegated: ticket.is_some(),
        delegate: None,
        sent: false,
        last_upstream: None,
        placement_wait: Duration::ZERO,
        alone: false,
        confirmed: None,
    };
    // The entry that took a delegated request from its caller has counted it.
    if ticket.is_none() {
        gateway.deposit_retry();
    }
    let ended = {
        let running = std::pin::pin!(forwarder.run());
        let caller_gone = std::pin::pin!(connection.closed());
        let exiting = std::pin::pin!(gateway.end_of_grace());
        let stopped = futures::future::select(caller_gone, exiting);
        match futures::future::select(running, stopped).await {
            Either::Left((delivery, _)) => Ended::Delivery(delivery),
            Either::Right((Either::Left(_), _)) => Ended::CallerGone,
            Either::Right((Either::Right(_), _)) => Ended::Exit,
        }
    };
    let delivery = match ended {
        Ended::Delivery(delivery) => Some(delivery),
        Ended::CallerGone => None,
        Ended::Exit if !forwarder.sent => Some(Delivery::Fault(leaving_fault())),
        Ended::Exit => {
            let fault = Fault::new(502, "this entry exits before the upstream has answered");
            Some(Delivery::Fault(fault))
        }
    };
    if let Some(delivery) = &delivery {
        forwarder.release_body(delivery);
    }
    let mut stream = None;
    let (persistence, outcome) = match delivery {
        None => (Persistence::Close, "caller gone".to_owned()),
        Some(Delivery::Fault(fault)) => {
            let outcome = format!("{} {}", fault.status, fault.message);
            (
                send_fault(gateway, connection, &fault, closes).await,
                outcome,
            )
        }
        Some(Delivery::Buffered(response, body)) => {
            let outcome = response.status.to_string();
            let persistence = write_buffered(gateway, connection, &response, &body, closes).await;
            (persistence, outcome)
        }
        Some(Delivery::Streamed(exchange)) => {
            let closes = closes || gateway.is_leaving() || !forwarder.request.accepts_chunked;
            let transfer = relay(&mut forwarder, exchange, connection, closes).await;
            let persistence = match transfer.end {
                End::Whole if !closes => Persistence::Keep,
                End::Whole | End::CallerGone | End::Broken | End::Late => Persistence::Close,
            };
            let outcome = format!("stream {:?} after {} events", transfer.end, transfer.events);
            stream = Some(transfer);
            (persistence, outcome)
        }
    };
    log_request(&forwarder, origin, &outcome, stream);
    persistence
}

/// Reads the body of a request. One that finds no memory is read to its end and dropped: closing a
/// connection with unread bytes would reset it, and the caller would not see the response.
async fn read_body(
    gateway: &Gateway,
    connection: &mut Connection,
    request: &Request,
    max_bytes: usize,
) -> std::result::Result<memory::Body, Error> {
    let mut room = gateway.request_memory.room(MAX_MEMORY_WAIT);
    let mut decoder = Body::new(request.framing);
    let reading = connection.read_body_into(&mut decoder, max_bytes, &mut room);
    match reading.await {
        Ok(bytes) => Ok(memory::Body::new(bytes, room)),
        Err(error @ Error::NoRoom(_)) => {
            connection.skip_body(&mut decoder, max_bytes).await?;
            Err(error)
        }
        Err(error) => Err(error),
    }
}

/// Counts a finished request and logs it in one line: what determined its handling and, for a
/// stream, the timing that its caller saw.
fn log_request(forwarder: &Forwarder, origin: &Origin, outcome: &str, stream: Option<Transfer>) {
    let elapsed = forwarder
        .gateway
        .core
        .clock
        .now()
        .saturating_duration_since(forwarder.arrived);
    let upstream = forwarder
        .last_upstream
        .as_ref()
        .map_or("-", |name| name.as_str());
    let account = forwarder.account.as_ref().map_or("-", |a| a.name.as_str());
    let delegate = forwarder
        .delegate
        .as_ref()
        .map_or("-", |name| name.as_str());
    let from = match origin {
        Origin::Caller => "-",
        Origin::Entry(name) => name.as_str(),
    };
    let ms = |time: Duration| time.as_millis().to_string();
    let patience = forwarder.metadata.patience.map(ms);
    let confirmed = forwarder.confirmed.map(ms);
    let first = stream.and_then(|stream| stream.first);
    let first = first.map(|first| ms(first.saturating_duration_since(forwarder.arrived)));
    let gap = stream.map(|stream| ms(stream.longest_gap));
    let framing = stream.map(|stream| format!("{:?}", stream.framing));
    METRICS
        .gateway_requests
        .with_label_values(&[outcome.split(' ').next().unwrap_or_default()])
        .inc();
    METRICS.gateway_seconds.observe(elapsed.as_secs_f64());
    log::info!(
        id = forwarder.id(), route:% = forwarder.route.name, account = account, upstream = upstream,
        delegate = delegate, from = from,
        attempts = forwarder.attempts, rank:% = forwarder.rank(), objective_ms = forwarder.route.objective.as_millis() as u64, revision = forwarder.gateway.core.published().directory.revision.0,
        patience_ms = patience.as_deref().unwrap_or("-"),
        waited_ms = forwarder.placement_wait.as_millis() as u64, alone = forwarder.alone,
        confirmed_ms = confirmed.as_deref().unwrap_or("-"),
        first_ms = first.as_deref().unwrap_or("-"), gap_ms = gap.as_deref().unwrap_or("-"),
        framing = framing.as_deref().unwrap_or("-"), partial_bytes = stream.map_or(0, |stream| stream.partial_bytes),
        parts = forwarder.parts(), content:% = forwarder.content, ms = elapsed.as_millis() as u64, outcome = outcome;
        "request finished"
    );
}

/// Returns the route and the account of a request, or the reason for refusing it. A key that is not
/// known may have just been added, and its declaration be on its way to this entry.
async fn admit_with_latest_keys(
    gateway: &Gateway,
    request: &Request,
    metadata: &RequestMetadata,
) -> std::result::Result<(Arc<Route>, Option<Arc<Account>>), Fault> {
    let clock = &gateway.core.clock;
    let end = clock.now() + MAX_KEY_WAIT;
    loop {
        let admitted = admit(gateway, request, metadata);
        let left = end.saturating_duration_since(clock.now());
        match &admitted {
            Err(fault)
                if fault.status == UNAUTHORIZED && metadata.key.is_some() && !left.is_zero() =>
            {
                gateway.core.wait_for_change(left).await;
            }
            Ok(_) | Err(_) => return admitted,
        }
    }
}

/// Returns the route and the account of a request, or the reason for refusing it.
fn admit(
    gateway: &Gateway,
    request: &Request,
    metadata: &RequestMetadata,
) -> std::result::Result<(Arc<Route>, Option<Arc<Account>>), Fault> {
    let Some(table) = gateway.table().filter(|_| gateway.is_fresh()) else {
        return Err(gateway.not_fresh());
    };
    if metadata.attempt.is_none() {
        return Err(Fault::new(400, "the request has no id"));
    }
    let route = table
        .route(&request.host, request.path())
        .ok_or_else(|| Fault::new(404, "no route leads there"))?;
    Ok((route.clone(), find_account(&table, route, metadata)?))
}

/// Returns the account of the request's key. If the declaration has accounts, a request must bear a
/// known key; on a route that allows anonymous requests it may bear none. An unknown key may have
/// been withdrawn, so it never counts as none.
fn find_account(
    table: &Table,
    route: &Route,
    metadata: &RequestMetadata,
) -> std::result::Result<Option<Arc<Account>>, Fault> {
    let account = metadata.key.as_ref().and_then(|key| table.account(key));
    let is_anonymous = route.anonymous && metadata.key.is_none();
    if account.is_none() && table.needs_keys() && !is_anonymous {
        return Err(Fault::new(UNAUTHORIZED, "no account has this key"));
    }
    Ok(account.cloned())
}

impl Gateway {
    /// Returns the error response for requests that are refused because the configuration may be
    /// out of date.
    pub fn not_fresh(&self) -> Fault {
        Fault::with_retry_after(
            503,
            "the configuration may be out of date",
            UNCONFIGURED_RETRY_AFTER,
        )
    }
}

/// Returns the response to a request that could not end before this entry exits. Its caller may
/// turn to another entry at once.
fn leaving_fault() -> Fault {
    Fault::with_retry_after(503, "this entry is about to exit", Duration::ZERO)
}

/// Sends an error response and returns whether the connection stays open.
async fn send_fault(
    gateway: &Gateway,
    connection: &Connection,
    fault: &Fault,
    closes: bool,
) -> Persistence {
    let closes = closes || gateway.is_leaving();
    match write_fault(gateway, connection, fault, closes).await && !closes {
        true => Persistence::Keep,
        false => Persistence::Close,
    }
}

/// Writes an error response. Returns whether that succeeded.
async fn write_fault(
    gateway: &Gateway,
    connection: &Connection,
    fault: &Fault,
    closes: bool,
) -> bool {
    let body = gateway.dialect.encode_error(fault.message);
    let mut head = format!(
        "HTTP/1.1 {} {}\r\n",
        fault.status,
        reason_phrase(fault.status)
    )
    .into_bytes();
    write_field(&mut head, "Content-Type", b"application/json");
    write_field(
        &mut head,
        "Content-Length",
        body.len().to_string().as_bytes(),
    );
    if let Some(pause) = fault.retry_after {
        let seconds = format!("{:.2}", pause.as_secs_f64());
        write_field(&mut head, "Retry-After", seconds.as_bytes());
    }
    if closes {
        write_field(&mut head, "Connection", b"close");
    }
    head.extend_from_slice(b"\r\n");
    head.extend_from_slice(body.as_bytes());
    connection.write(&head).await.is_ok()
}

/// Writes a response that was read in full and returns whether the connection stays open.
async fn write_buffered(
    gateway: &Gateway,
    connection: &Connection,
    response: &Response,
    body: &[u8],
    closes: bool,
) -> Persistence {
    let closes = closes || gateway.is_leaving();
    let framing = match response.framing {
        Framing::Empty => Framing::Empty,
        Framing::Length(_) | Framing::Chunked | Framing::UntilClose => {
            Framing::Length(body.len() as u64)
        }
    };
    let mut bytes = response_head(response, framing, closes);
    bytes.extend_from_slice(body);
    match gateway.held.write(connection, &bytes).await.is_ok() && !closes {
        true => Persistence::Keep,
        false => Persistence::Close,
    }
}

/// Returns the head of an upstream's response as it is sent to the caller, with `framing`.
pub fn response_head(response: &Response, framing: Framing, closes: bool) -> Vec<u8> {
    let mut head = Vec::with_capacity(512);
    let line = format!("HTTP/1.1 {} {}\r\n", response.status, response.reason);
    head.extend_from_slice(line.as_bytes());
    for field in response.fields.iter() {
        let is_length =
            field.name.eq_ignore_ascii_case("Content-Length") && response.framing != Framing::Empty;
        if !response.fields.is_hop_by_hop(&field.name) && !is_length {
            write_field(&mut head, &field.name, &field.value);
        }
    }
    match framing {
        Framing::Length(length) => {
            write_field(&mut head, "Content-Length", length.to_string().as_bytes());
        }
        Framing::Chunked => write_field(&mut head, "Transfer-Encoding", b"chunked"),
        Framing::Empty | Framing::UntilClose => {}
    }
    if closes {
        write_field(&mut head, "Connection", b"close");
    }
    head.extend_from_slice(b"\r\n");
    head
}

/// Returns the reason phrase for a status of the gateway's own responses.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
