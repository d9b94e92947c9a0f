//! Reads and validates callers' requests; all header errors are reported in one response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future;
use async_std::io::ReadExt;
use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::finding::Findings;
use gooseberrylb_config::id;
use gooseberrylb_config::note::{Kind, Route};
use gooseberrylb_policy::request::Outcome;
use http_types::StatusCode;

use super::Entry;
use crate::answer::Error;
use crate::connection::Peer;

/// Header with the client account that a request is charged to.
const CLIENT_ACCOUNT: &str = "Client-Account";

/// Header with the key that marks a resent request as the same as the first one.
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// Header with the time for which the caller waits, in milliseconds.
const REQUEST_TIMEOUT: &str = "Request-Timeout-Ms";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Maximum timeout of a request; longer ones are reduced to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A validated request from a caller.
pub struct Incoming {
    /// Service that the request is for.
    pub service: id::Service,
    /// Kind of the service's upstreams.
    pub kind: Kind,
    /// Route of the service.
    pub route: Route,
    /// Client account that is charged.
    pub account: id::Account,
    /// Idempotency key, if given.
    pub key: Option<Arc<str>>,
    /// Time at which the caller gives up.
    pub deadline: Instant,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Path of the URL.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// Request body.
    pub body: Arc<[u8]>,
    /// Connection to the caller, if known.
    pub peer: Option<Peer>,
}

/// Validated path and headers of a request whose body has not been read yet.
struct Head {
    service: id::Service,
    kind: Kind,
    route: Route,
    account: id::Account,
    key: Option<Arc<str>>,
    timeout: Duration,
}

fn refuse(status: StatusCode, code: &'static str, message: impl Into<String>) -> Error {
    Error::new(status, code, message).with_outcome(Outcome::NotRun)
}

impl Incoming {
    /// Reads and validates a request.
    pub async fn read(
        entry: &Entry,
        mut request: tide::Request<Arc<Entry>>,
    ) -> Result<Self, Error> {
        let arrived = entry.clock.now();
        let directory = entry.published.read().directory.clone();
        let head = check_head(entry, &directory, &request)?;
        let content_type = request.header("Content-Type").map(|v| v.as_str().into());
        let body = read_body(entry, &mut request).await?;
        Ok(Self {
            service: head.service,
            kind: head.kind,
            route: head.route,
            account: head.account,
            key: head.key,
            deadline: arrived + head.timeout,
            arrived,
            path: request.url().path().into(),
            content_type,
            body,
            peer: request.ext::<Peer>().cloned(),
        })
    }
}

fn check_head(
    entry: &Entry,
    directory: &Directory,
    request: &tide::Request<Arc<Entry>>,
) -> Result<Head, Error> {
    let (service, route) = check_path(directory, request)?;
    let mut findings = Findings::new();
    let account = check_account(request, &mut findings);
    let key = check_key(request, &route, &mut findings);
    let timeout = check_timeout(entry, request, &mut findings);
    let Some(account) = account.filter(|_| findings.is_empty()) else {
        let message = "the request's headers cannot be accepted";
        return Err(refuse(StatusCode::BadRequest, "bad_request", message).with_findings(findings));
    };
    if !directory.accounts.contains_key(&account) {
        let message = format!("there is no client account {account}");
        return Err(
            refuse(StatusCode::Forbidden, "unknown_account", message).with_finding(
                CLIENT_ACCOUNT,
                "no release note has added this client account",
            ),
        );
    }
    let kind = directory
        .service(&service)
        .map_or(Kind::Plain, |known| known.kind);
    Ok(Head {
        service,
        kind,
        route,
        account,
        key,
        timeout,
    })
}

fn check_path(
    directory: &Directory,
    request: &tide::Request<Arc<Entry>>,
) -> Result<(id::Service, Route), Error> {
    let service = request.param("service").unwrap_or_default();
    let route = request.param("route").unwrap_or_default();
    let known = id::Service::new(service)
        .ok()
        .filter(|s| directory.services.contains_key(s));
    let Some(known) = known else {
        let message = format!("there is no service {service:?}");
        return Err(refuse(StatusCode::NotFound, "unknown_service", message)
            .with_finding("service", "no release note has added this service"));
    };
    let found = id::Route::new(route)
        .ok()
        .and_then(|r| directory.route(&known, &r).cloned());
    match found {
        Some(route) => Ok((known, route)),
        None => {
            let message = format!("the service {known} has no route {route:?}");
            Err(refuse(StatusCode::NotFound, "unknown_route", message)
                .with_finding("route", "the service was not described with this route"))
        }
    }
}

fn check_account(
    request: &tide::Request<Arc<Entry>>,
    findings: &mut Findings,
) -> Option<id::Account> {
    let Some(header) = request.header(CLIENT_ACCOUNT) else {
        findings.add(CLIENT_ACCOUNT, "this header is required");
        return None;
    };
    match id::Account::new(header.as_str()) {
        Ok(account) => Some(account),
        Err(error) => {
            findings.add(CLIENT_ACCOUNT, error.to_string());
            None
        }
    }
}

fn check_key(
    request: &tide::Request<Arc<Entry>>,
    route: &Route,
    findings: &mut Findings,
) -> Option<Arc<str>> {
    let Some(header) = request.header(IDEMPOTENCY_KEY) else {
        if !route.repeatable {
            findings.add(
                IDEMPOTENCY_KEY,
                "this header is required on a non-repeatable route",
            );
        }
        return None;
    };
    let key = header.as_str();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!(
            "a key must have 1 to {MAX_KEY_BYTES} bytes, not {}",
            key.len()
        );
        findings.add(IDEMPOTENCY_KEY, message);
        return None;
    }
    Some(key.into())
}

fn check_timeout(
    entry: &Entry,
    request: &tide::Request<Arc<Entry>>,
    findings: &mut Findings,
) -> Duration {
    let default = Duration::from_millis(entry.limits.timeout_ms);
    let Some(header) = request.header(REQUEST_TIMEOUT) else {
        return default;
    };
    match header.as_str().parse() {
        Ok(ms) if ms > 0 => Duration::from_millis(ms).min(MAX_TIMEOUT),
        _ => {
            findings.add(
                REQUEST_TIMEOUT,
                "a whole number of milliseconds above 0 is required",
            );
            default
        }
    }
}

async fn read_body(
    entry: &Entry,
    request: &mut tide::Request<Arc<Entry>>,
) -> Result<Arc<[u8]>, Error> {
    let limit = entry.limits.body_bytes;
    let too_large = || {
        let message = format!("the body is larger than {limit} bytes");
        refuse(StatusCode::PayloadTooLarge, "body_too_large", message)
            .with_finding("body", "send a smaller body, or raise limits.body_bytes")
    };
    let stated = request.len();
    if stated.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let mut bounded = request.take_body().take(limit as u64 + 1);
    let receive_timeout = Duration::from_millis(entry.limits.receive_ms);
    match future::timeout(receive_timeout, bounded.read_to_end(&mut body)).await {
        Ok(Ok(_)) if body.len() > limit => Err(too_large()),
        // The library ends a truncated body like a complete one.
        Ok(Ok(length)) if stated.is_some_and(|stated| length < stated) => {
            let message = "the body ended before its stated length";
            Err(refuse(StatusCode::BadRequest, "bad_body", message))
        }
        Ok(Ok(_)) => Ok(body.into()),
        Ok(Err(error)) => {
            let message = format!("the body cannot be read: {error}");
            Err(refuse(StatusCode::BadRequest, "bad_body", message))
        }
        Err(_) => {
            let message = format!(
                "the body did not come within {} ms",
                receive_timeout.as_millis()
            );
            Err(refuse(StatusCode::RequestTimeout, "slow_body", message))
        }
    }
}
