//! Joins a resent key to the stream of the request that came first, without a second dispatch.

use std::io::ErrorKind;
use std::sync::Arc;

use async_std::task;
use gooseberrylb_policy::request::{Id, Outcome};
use gooseberrylb_policy::scheduler::Grant;
use http_types::Response;

use super::account::{self, Verdict};
use super::attempt::stream_name;
use super::dispatch::unknown;
use super::incoming::Incoming;
use super::{Entry, InFlight, SILENCE_TIMEOUT, relay};
use crate::upstream::Error;
use crate::upstream::engine::{self, Started};

/// The pause between two attempts at joining.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(200);

/// How often an engine may not know the stream, or not be reached, before it is given up: the first
/// request may only be on its way to the engine.
const MAX_MISSES: u32 = 5;

/// Answers with the stream that runs as `id` under `grant`.
pub async fn serve(
    entry: &Arc<Entry>,
    incoming: &Arc<Incoming>,
    grant: Grant,
    id: Id,
    held: InFlight,
) -> Response {
    let directory = entry.published.read().directory.clone();
    let address = directory
        .upstreams
        .get(&grant.upstream)
        .map(|upstream| upstream.address);
    let mut misses = 0;
    while let Some(address) = address.filter(|_| entry.clock.now() < incoming.deadline) {
        match engine::resume(address, &stream_name(&id, &grant), 0, SILENCE_TIMEOUT).await {
            Ok(Started::Stream(stream)) => {
                account::count(entry, incoming, &joined(&grant));
                return relay::joined(stream, &grant, held);
            }
            // The engine knows the stream and is only slow.
            Err(Error::Lost(error)) if error.kind() == ErrorKind::TimedOut => {}
            Ok(_) | Err(_) => misses += 1,
        }
        // What is given up is answered at once, not at the caller's deadline.
        if misses >= MAX_MISSES {
            break;
        }
        task::sleep(RETRY_PAUSE).await;
    }
    account::count(entry, incoming, &Verdict::unknown(Some(grant.version)));
    unknown().into()
}

fn joined(grant: &Grant) -> Verdict {
    Verdict {
        outcome: Outcome::Served,
        version: Some(grant.version.clone()),
        ..Verdict::not_run(false)
    }
}
