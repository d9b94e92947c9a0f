//! Joins a resent key to the stream of the request that came first, without a second dispatch.

use std::sync::Arc;

use async_std::task;
use gooseberrylb_policy::request::{Id, Outcome};
use gooseberrylb_policy::scheduler::Grant;
use http_types::Response;

use super::account::{self, Verdict};
use super::attempt::stream_name;
use super::dispatch::unknown;
use super::incoming::Incoming;
use super::{Entry, Held, SILENCE, relay};
use crate::upstream::engine::{self, Started};

/// The pause between two attempts at joining.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(200);

/// Answers with the stream that runs as `id` under `grant`.
pub async fn serve(
    entry: &Arc<Entry>,
    incoming: &Arc<Incoming>,
    grant: Grant,
    id: Id,
    held: Held,
) -> Response {
    let directory = entry.published.read().directory.clone();
    let address = directory
        .upstreams
        .get(&grant.upstream)
        .map(|upstream| upstream.address);
    while let Some(address) = address.filter(|_| entry.clock.now() < incoming.deadline) {
        let resumed = engine::resume(address, &stream_name(&id, &grant), 0, SILENCE).await;
        if let Ok(Started::Stream(stream)) = resumed {
            let verdict = Verdict {
                outcome: Outcome::Served,
                ..Verdict::not_run(false)
            };
            let verdict = Verdict {
                version: Some(grant.version.clone()),
                ..verdict
            };
            account::count(entry, incoming, &verdict);
            return relay::joined(stream, &grant, held);
        }
        task::sleep(RETRY_PAUSE).await;
    }
    account::count(entry, incoming, &Verdict::unknown(Some(grant.version)));
    unknown().into()
}
