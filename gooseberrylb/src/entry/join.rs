//! Serves a request with a resent idempotency key from the stream of the first request with that
//! key, without a second dispatch.

use std::io::ErrorKind;
use std::sync::Arc;

use async_std::task;
use gooseberrylb_policy::request::{Id, Outcome};
use gooseberrylb_policy::scheduler::Grant;
use http_types::Response;

use super::account::{self, Verdict};
use super::attempt::stream_id;
use super::dispatch::unknown_outcome;
use super::incoming::Incoming;
use super::{Entry, InFlight, SILENCE_TIMEOUT, relay};
use crate::upstream::Error;
use crate::upstream::engine::{self, Started};

/// Interval between attempts to join the stream.
const RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(200);

/// Failed attempts after which joining is given up. A failure means that the engine is unreachable
/// or doesn't know the stream, perhaps because the first request has not reached it yet.
const MAX_FAILURES: u32 = 5;

/// Returns a response with the stream of the request `id`, which was dispatched under `grant`.
pub async fn serve(
    entry: &Arc<Entry>,
    incoming: &Arc<Incoming>,
    grant: Grant,
    id: Id,
    in_flight: InFlight,
) -> Response {
    let directory = entry.published.read().directory.clone();
    let address = directory
        .upstreams
        .get(&grant.upstream)
        .map(|upstream| upstream.address);
    let mut failures = 0;
    while let Some(address) = address.filter(|_| entry.clock.now() < incoming.deadline) {
        match engine::resume(address, &stream_id(&id, &grant), 0, SILENCE_TIMEOUT).await {
            Ok(Started::Stream(stream)) => {
                account::count(entry, incoming, &served_by_join(&grant));
                return relay::joined(stream, &grant, in_flight);
            }
            // The engine has the stream and is only slow.
            Err(Error::Lost(error)) if error.kind() == ErrorKind::TimedOut => {}
            Ok(_) | Err(_) => failures += 1,
        }
        // Answer at once after giving up, rather than at the caller's deadline.
        if failures >= MAX_FAILURES {
            break;
        }
        task::sleep(RETRY_INTERVAL).await;
    }
    account::count(entry, incoming, &Verdict::unknown(Some(grant.version)));
    unknown_outcome().into()
}

/// Returns the verdict on a request that was served by joining, without figures: the first request
/// counts the tokens.
fn served_by_join(grant: &Grant) -> Verdict {
    Verdict {
        outcome: Outcome::Served,
        version: Some(grant.version.clone()),
        ..Verdict::not_run(false)
    }
}
