//! Serves one caller's connection: request after request, until either side closes it.

use std::rc::Rc;
use std::time::Duration;

use async_std::future;
use futures::future::Either;
use gooseberrylb_config::declaration::{Account, Limits, Route, Table};
use gooseberrylb_config::dialect::Facts;
use std::sync::Arc;

use super::Gateway;
use super::forward::{Own, Result, Work, write_field};
use super::http::{Answer, Connection, Error, Framing, Request};
use super::relay::{End, Passed, relay};
use crate::metrics::METRICS;

/// How long the body of a request may take to come, beside the time that the caller still waits.
const BODY_TIME: Duration = Duration::from_secs(10);

/// How long a request is held for a fresh configuration: about the time that it takes to elect a
/// leader. Callers come back once at most, so refusing them at once would lose more of them.
const FRESH_HOLD: Duration = Duration::from_millis(1200);

/// When callers may come back that were refused for want of a configuration.
const UNCONFIGURED_PAUSE: Duration = Duration::from_millis(500);

/// Whether the connection is used on.
#[derive(PartialEq, Eq)]
enum After {
    Keep,
    Close,
}

/// Serves a connection.
pub async fn serve(gateway: Rc<Gateway>, mut connection: Connection) {
    loop {
        let limits = gateway.limits();
        let request = match next_request(&gateway, &mut connection, &limits).await {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(error) => {
                let own = match error {
                    Error::Io(_) | Error::Ended => return,
                    error => Own::from(error),
                };
                log::info!(status = own.status, cause = own.message; "a request is refused unread");
                write_own(&gateway, &connection, &own, true).await;
                return;
            }
        };
        gateway.begin();
        let after = answer(&gateway, &mut connection, request, &limits).await;
        gateway.finish();
        if after == After::Close {
            return;
        }
    }
}

/// Waits for the next request's head; none where the connection is to be closed.
async fn next_request(
    gateway: &Gateway,
    connection: &mut Connection,
    limits: &Limits,
) -> std::result::Result<Option<Request>, Error> {
    if connection.unread().is_empty() {
        let first = {
            let filling = std::pin::pin!(connection.fill());
            let leaving = std::pin::pin!(gateway.closes_idle());
            let either = futures::future::select(filling, leaving);
            match future::timeout(limits.idle, either).await {
                Ok(Either::Left((read, _))) => read?,
                Ok(Either::Right(_)) | Err(_) => 0,
            }
        };
        if first == 0 {
            return Ok(None);
        }
    }
    match future::timeout(limits.head_time, connection.read_request(limits.head_bytes)).await {
        Ok(result) => result,
        Err(_) => {
            let own = Own::new(408, "the head took too long");
            write_own(gateway, connection, &own, true).await;
            Ok(None)
        }
    }
}

async fn answer(
    gateway: &Rc<Gateway>,
    connection: &mut Connection,
    request: Request,
    limits: &Limits,
) -> After {
    let arrived = gateway.core.clock.now();
    if request.expects_leave
        && request.framing != Framing::Empty
        && connection
            .write(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .is_err()
    {
        return After::Close;
    }
    let reading = connection.read_body(request.framing, limits.body_bytes);
    let body = match future::timeout(BODY_TIME, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(Error::Io(_) | Error::Ended)) => return After::Close,
        Ok(Err(error)) => {
            write_own(gateway, connection, &Own::from(error), true).await;
            return After::Close;
        }
        Err(_) => {
            let own = Own::new(408, "the body took too long");
            write_own(gateway, connection, &own, true).await;
            return After::Close;
        }
    };
    let closes = request.closes;
    let facts = gateway.dialect.facts(&request.fields.borrowed());
    let id = facts.attempt.clone().unwrap_or_else(|| "-".into());
    let hold = FRESH_HOLD.min(facts.patience.unwrap_or(FRESH_HOLD) / 3);
    let waited = {
        let fresh = std::pin::pin!(gateway.fresh(hold));
        let gone = std::pin::pin!(connection.closed());
        matches!(futures::future::select(fresh, gone).await, Either::Left(_))
    };
    if !waited {
        return After::Close;
    }
    let (route, account) = match admit(gateway, &request, &facts) {
        Ok(admitted) => admitted,
        Err(own) => {
            log::info!(id:% = id, status = own.status, cause = own.message; "a request is refused");
            return after_own(gateway, connection, &own, closes).await;
        }
    };
    let patience = facts.patience.unwrap_or(route.time_limit);
    let mut work = Work {
        gateway: gateway.clone(),
        deadline: arrived + patience.min(route.time_limit),
        request,
        body,
        facts,
        route,
        account,
        arrived,
        excluded: Vec::new(),
        sent: 0,
        last: None,
        waited: Duration::ZERO,
        alone: false,
    };
    gateway.earn_repeats();
    let result = {
        let running = std::pin::pin!(work.run());
        let gone = std::pin::pin!(connection.closed());
        match futures::future::select(running, gone).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    };
    let mut stream = None;
    let (after, outcome) = match result {
        None => (After::Close, "caller gone".to_owned()),
        Some(Result::Own(own)) => {
            let outcome = format!("{} {}", own.status, own.message);
            (after_own(gateway, connection, &own, closes).await, outcome)
        }
        Some(Result::Whole(answer, body)) => {
            let outcome = answer.status.to_string();
            let after = write_whole(gateway, connection, &answer, &body, closes).await;
            (after, outcome)
        }
        Some(Result::Live(live)) => {
            let closes = closes || gateway.is_leaving() || !work.request.knows_chunks;
            let passed = relay(&mut work, live, connection, closes).await;
            let after = match passed.end {
                End::Whole if !closes => After::Keep,
                End::Whole | End::CallerGone | End::Broken | End::Late => After::Close,
            };
            let outcome = format!("stream {:?} after {} events", passed.end, passed.events);
            stream = Some(passed);
            (after, outcome)
        }
    };
    log_end(&work, &outcome, stream);
    after
}

/// One line for each request, with what decided its way, and for a stream what its caller saw of its
/// pace.
fn log_end(work: &Work, outcome: &str, stream: Option<Passed>) {
    let spent = work
        .gateway
        .core
        .clock
        .now()
        .saturating_duration_since(work.arrived);
    let upstream = work.last.as_ref().map_or("-", |name| name.as_str());
    let account = work.account.as_ref().map_or("-", |a| a.name.as_str());
    let ms = |time: Duration| time.as_millis().to_string();
    let patience = work.facts.patience.map(ms);
    let first = stream.and_then(|stream| stream.first);
    let first = first.map(|first| ms(first.saturating_duration_since(work.arrived)));
    let gap = stream.map(|stream| ms(stream.longest_gap));
    METRICS
        .gateway_requests
        .with_label_values(&[outcome.split(' ').next().unwrap_or_default()])
        .inc();
    METRICS.gateway_seconds.observe(spent.as_secs_f64());
    log::info!(
        id = work.id(), route:% = work.route.name, account = account, upstream = upstream,
        sent = work.sent, rank:% = work.rank(), objective_ms = work.route.objective.as_millis() as u64, revision = work.gateway.core.published().directory.revision.0,
        patience_ms = patience.as_deref().unwrap_or("-"),
        waited_ms = work.waited.as_millis() as u64, alone = work.alone,
        first_ms = first.as_deref().unwrap_or("-"), gap_ms = gap.as_deref().unwrap_or("-"),
        ms = spent.as_millis() as u64, outcome = outcome;
        "a request ended"
    );
}

/// Finds the route and the account of a request.
fn admit(
    gateway: &Gateway,
    request: &Request,
    facts: &Facts,
) -> std::result::Result<(Arc<Route>, Option<Arc<Account>>), Own> {
    let Some(table) = gateway.table().filter(|_| gateway.is_fresh()) else {
        return Err(gateway.not_fresh());
    };
    if facts.attempt.is_none() {
        return Err(Own::new(400, "the request has no id"));
    }
    let route = table
        .route(&request.host, request.path())
        .ok_or_else(|| Own::new(404, "no route leads there"))?;
    Ok((route.clone(), account(&table, route, facts)?))
}

fn account(
    table: &Table,
    route: &Route,
    facts: &Facts,
) -> std::result::Result<Option<Arc<Account>>, Own> {
    let held = facts.key.as_ref().and_then(|key| table.account(key));
    if held.is_none() && table.needs_keys() && !route.anonymous {
        return Err(Own::new(401, "no account has this key"));
    }
    Ok(held.cloned())
}

impl Gateway {
    /// The answer of an entry that may not act, since its configuration may be out of date.
    pub fn not_fresh(&self) -> Own {
        Own::refusal(
            503,
            "the configuration may be out of date",
            UNCONFIGURED_PAUSE,
        )
    }
}

async fn after_own(gateway: &Gateway, connection: &Connection, own: &Own, closes: bool) -> After {
    let closes = closes || gateway.is_leaving();
    match write_own(gateway, connection, own, closes).await && !closes {
        true => After::Keep,
        false => After::Close,
    }
}

async fn write_own(gateway: &Gateway, connection: &Connection, own: &Own, closes: bool) -> bool {
    let body = gateway.dialect.fault(own.message);
    let mut head = format!("HTTP/1.1 {} {}\r\n", own.status, reason(own.status)).into_bytes();
    write_field(&mut head, "Content-Type", b"application/json");
    write_field(
        &mut head,
        "Content-Length",
        body.len().to_string().as_bytes(),
    );
    if let Some(pause) = own.retry_after {
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

async fn write_whole(
    gateway: &Gateway,
    connection: &Connection,
    answer: &Answer,
    body: &[u8],
    closes: bool,
) -> After {
    let closes = closes || gateway.is_leaving();
    let framing = match answer.framing {
        Framing::Empty => Framing::Empty,
        Framing::Length(_) | Framing::Chunked | Framing::UntilClose => {
            Framing::Length(body.len() as u64)
        }
    };
    let mut bytes = answer_head(answer, framing, closes);
    bytes.extend_from_slice(body);
    match connection.write(&bytes).await.is_ok() && !closes {
        true => After::Keep,
        false => After::Close,
    }
}

/// The head by which an upstream's answer is passed on.
pub fn answer_head(answer: &Answer, framing: Framing, closes: bool) -> Vec<u8> {
    let mut head = Vec::with_capacity(512);
    let line = format!("HTTP/1.1 {} {}\r\n", answer.status, answer.reason);
    head.extend_from_slice(line.as_bytes());
    for field in answer.fields.iter() {
        let is_framing =
            field.name.eq_ignore_ascii_case("Content-Length") && answer.framing != Framing::Empty;
        if !answer.fields.is_of_connection(&field.name) && !is_framing {
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

fn reason(status: u16) -> &'static str {
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
