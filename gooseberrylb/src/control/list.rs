//! Polls the platform's list of upstreams on the leader and proposes the changes to the replicated
//! log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use async_std::net::TcpStream;
use async_std::{future, task};
use gooseberrylb_config::directory::ListedUpstream;
use gooseberrylb_config::id;
use gooseberrylb_control::state::Command;
use gooseberrylb_policy::announcement::Announcement;
use gooseberrylb_policy::availability::Listing;
use gooseberrylb_policy::warm_up::Cold;

use super::core::Core;
use super::{evacuation, lead};
use crate::gateway::http::Connection;
use crate::metrics::METRICS;

/// Interval between two reads of the list. Removed upstreams must be noticed within seconds.
const INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a failed read, and between checks while this instance does not lead.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time limit for reading one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of a page, in bytes.
const MAX_PAGE_BYTES: usize = 8 * 1024 * 1024;

/// Time between two complete reads of the list from which on the later one is logged.
const REPORTED_AGE: Duration = Duration::from_millis(1500);

/// Maximum number of unusable entries logged per page.
const MAX_LOGGED_ENTRIES: usize = 3;

type List = BTreeMap<id::Upstream, Arc<ListedUpstream>>;

/// Upstreams that the list shows as cold.
type ColdList = Vec<Announcement>;

/// Polls the list while this instance leads; returns at once if it does not run on a platform.
pub async fn run(core: Rc<Core>) {
    let Some(deployment) = core.settings.deployment.clone() else {
        return;
    };
    let mut readable = true;
    let mut last_read: Option<Instant> = None;
    loop {
        if !core.is_leading() {
            last_read = None;
            task::sleep(RETRY_PAUSE).await;
            continue;
        }
        let began = core.clock.now();
        let pause = match read(&core, deployment.feed).await {
            Ok((list, cold)) => {
                let now = core.clock.now();
                log_read(began, last_read.replace(now), now);
                if !std::mem::replace(&mut readable, true) {
                    log::info!("reading the list of upstreams works again");
                }
                let list = mark_draining(&core, list);
                // Before the upstreams get requests.
                core.dispatch.announce_listed(&core, cold);
                propose_changes(&core, list).await;
                INTERVAL
            }
            Err(error) => {
                if std::mem::replace(&mut readable, false) {
                    log::warn!(error:% = format!("{error:#}"); "reading the list of upstreams failed; keeping the last known list");
                }
                RETRY_PAUSE
            }
        };
        task::sleep(pause).await;
    }
}

/// Records how long a read took, and logs one that comes long after the one before.
fn log_read(began: Instant, previous: Option<Instant>, now: Instant) {
    let took = now.saturating_duration_since(began);
    METRICS.list_read.observe(took.as_secs_f64());
    let age = previous.map(|previous| now.saturating_duration_since(previous));
    if let Some(age) = age.filter(|age| *age >= REPORTED_AGE) {
        log::warn!(
            age_ms = age.as_millis() as u64, read_ms = took.as_millis() as u64;
            "the list of upstreams was read late"
        );
    }
}

async fn read(core: &Core, address: SocketAddr) -> anyhow::Result<(List, ColdList)> {
    let mut list = List::new();
    let mut cold = ColdList::new();
    let mut next: Option<Arc<str>> = None;
    loop {
        let page = future::timeout(PAGE_TIMEOUT, read_page(core, address, next.as_deref()))
            .await
            .context("reading a page timed out")??;
        for finding in page.unusable.iter().take(MAX_LOGGED_ENTRIES) {
            log::debug!(entry:% = finding; "ignoring an unusable entry of the list of upstreams");
        }
        let entries = page.entries.into_iter();
        list.extend(entries.map(|(name, listed)| (name, Arc::new(listed))));
        for (upstream, left) in page.cold {
            let service = list.get(&upstream).map(|listed| listed.service.clone());
            cold.extend(service.map(|service| {
                Announcement::Cold(Cold {
                    service,
                    upstream,
                    left,
                })
            }));
        }
        match page.next {
            Some(page) => next = Some(page),
            None => return Ok((list, cold)),
        }
    }
}

async fn read_page(
    core: &Core,
    address: SocketAddr,
    page: Option<&str>,
) -> anyhow::Result<gooseberrylb_config::dialect::Page> {
    let dialect = core
        .dialect
        .as_ref()
        .context("the instance does not run on a platform")?;
    let stream = TcpStream::connect(address).await?;
    let mut connection = Connection::new(stream);
    let target = dialect.page_target(page);
    let head = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    connection.write(head.as_bytes()).await?;
    let response = connection.read_response(false).await?;
    let body = connection
        .read_body(response.framing, MAX_PAGE_BYTES)
        .await?;
    if response.status != 200 {
        bail!("the platform returned status {}", response.status);
    }
    dialect
        .decode_page(&body)
        .map_err(|finding| anyhow::anyhow!("{finding}"))
}

/// Marks upstreams as draining that have said that they leave, which the list shows only later, and those of
/// evacuated data centres.
fn mark_draining(core: &Core, mut list: List) -> List {
    let listing = |name: &id::Upstream| Listing::new(list.get(name).map(|listed| &**listed));
    core.dispatch.update_listing(listing, core.clock.now());
    let state = core.state.borrow();
    for (name, listed) in &mut list {
        let is_evacuated = state.evacuations().contains_key(&listed.data_centre);
        if is_evacuated || core.dispatch.is_leaving(name) {
            evacuation::drain(listed);
        }
    }
    list
}

/// Proposes the differences between `list` and the replicated list.
async fn propose_changes(core: &Rc<Core>, list: List) {
    let (set, removed) = {
        let state = core.state.borrow();
        let known = &state.directory().listed;
        let set: Vec<_> = list
            .iter()
            .filter(|(name, listed)| known.get(*name) != Some(listed))
            .map(|(name, listed)| (name.clone(), listed.clone()))
            .collect();
        let removed: Vec<_> = known
            .keys()
            .filter(|name| !list.contains_key(*name))
            .cloned()
            .collect();
        (set, removed)
    };
    if set.is_empty() && removed.is_empty() {
        return;
    }
    for (name, listed) in &set {
        log::info!(upstream:% = name, service:% = listed.service, draining = listed.draining; "upstream added to the list or changed");
    }
    for name in &removed {
        log::info!(upstream:% = name; "upstream removed from the list");
    }
    let at = core.clock.wall();
    let command = Command::List {
        set,
        removed,
        evacuations: Vec::new(),
        at,
    };
    let proposed = core.clock.now();
    let result = lead::propose(core, &command).await;
    let took = core.clock.now().saturating_duration_since(proposed);
    match result {
        Ok(_) => {
            log::info!(
                revision = core.feed.borrow().directory().revision.0, ms = took.as_millis() as u64;
                "change of the list of upstreams was accepted"
            );
        }
        Err(error) => {
            log::warn!(error:% = error; "change of the list of upstreams was not accepted");
        }
    }
}
