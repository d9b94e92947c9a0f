//! HTTP interface for callers: the addresses to use, and requests to services.
//!
//! `docs/INTERFACE.md` describes it.

use std::net::SocketAddr;
use std::sync::Arc;

use gooseberrylb_config::answer::Addresses;
use gooseberrylb_config::id;
use gooseberrylb_policy::request::Outcome;
use http_types::StatusCode;
use serde::Deserialize;

use crate::answer::{Error, json};
use crate::entry::incoming::Incoming;
use crate::entry::{Entry, dispatch};

/// Maximum number of addresses returned to a caller.
const MAX_ADDRESSES: usize = 8;

/// Returns the application for the callers' listener.
pub fn app(entry: Arc<Entry>) -> tide::Server<Arc<Entry>> {
    let mut app = tide::with_state(entry);
    app.at("/v1/addresses").get(addresses);
    app.at("/v1/services/:service/:route").post(serve);
    app.at("/").all(not_found);
    app.at("/*").all(not_found);
    app
}

async fn not_found(request: tide::Request<Arc<Entry>>) -> tide::Result {
    let message = format!("there is no {} {}", request.method(), request.url().path());
    let error = Error::new(StatusCode::NotFound, "not_found", message);
    Ok(tide::Response::from(http_types::Response::from(
        error.with_outcome(Outcome::NotRun),
    )))
}

async fn serve(request: tide::Request<Arc<Entry>>) -> tide::Result {
    let entry = request.state().clone();
    let response = match Incoming::read(&entry, request).await {
        Ok(incoming) => dispatch::serve(entry, incoming).await,
        Err(error) => error.into(),
    };
    Ok(response.into())
}

/// Query parameters of a request for addresses.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Query {
    account: Option<String>,
}

async fn addresses(request: tide::Request<Arc<Entry>>) -> tide::Result {
    let entry = request.state();
    let account = match request.query::<Query>() {
        Ok(query) => query.account.unwrap_or_default(),
        Err(error) => return Ok(bad_query(&error.to_string()).into()),
    };
    if let Err(error) = id::Account::new(&account) {
        return Ok(bad_query(&format!("account: {error}")).into());
    }
    let answer = Addresses {
        addresses: addresses_for(entry, &account),
        ttl_ms: entry.limits.addresses_ttl_ms,
    };
    Ok(json(StatusCode::Ok, &answer).into())
}

fn bad_query(message: &str) -> http_types::Response {
    Error::new(
        StatusCode::BadRequest,
        "bad_query",
        "the query cannot be accepted",
    )
    .with_finding("account", message)
    .into()
}

/// Returns the addresses for an account, the best first.
///
/// Only instances of this region are eligible, since a resent key is not known in another region.
/// Instances of this data centre come first, then the least loaded ones; among equals, the order
/// depends on the account, which spreads the accounts.
fn addresses_for(entry: &Entry, account: &str) -> Vec<SocketAddr> {
    let snapshot = entry.published.read();
    let here = &entry.identity.instance;
    let mut candidates: Vec<_> = snapshot
        .directory
        .instances
        .iter()
        .filter(|(_, instance)| !instance.leaving && instance.region == here.region)
        .map(|(name, instance)| {
            let is_remote = instance.data_centre != here.data_centre;
            let load = snapshot.loads.get(name).copied().unwrap_or(0);
            // Loads are compared by their order of magnitude only: the counts lag, and a small
            // difference must not send every caller to the same instance.
            let magnitude = u32::BITS - load.leading_zeros();
            (is_remote, magnitude, hash(account, name), instance.callers)
        })
        .collect();
    candidates.sort();
    let mut addresses: Vec<_> = candidates
        .into_iter()
        .map(|(.., a)| a)
        .take(MAX_ADDRESSES)
        .collect();
    if addresses.is_empty() {
        // This instance has not joined yet, so it offers its own address.
        addresses.push(here.callers);
    }
    addresses
}

/// Returns a hash that orders the instances differently for each account.
fn hash(account: &str, name: &id::Instance) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(account.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_str().as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(prefix)
}
