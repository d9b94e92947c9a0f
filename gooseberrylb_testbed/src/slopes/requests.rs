//! What requests cost each role, and what they take longer than without the system.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context, anyhow};
use async_std::task;
use gooseberrylb_config::note::Note;
use gooseberrylb_control::views::TARGET_BACKUPS;
use serde::Serialize;
use serde_json::json;

use super::idle::position;
use super::process::Usage;
use crate::client::Caller;
use crate::client::caller::Call;
use crate::client::load::Load;
use crate::client::tally::Record;
use crate::fleet::{Builder, Fleet, wait_until};
use crate::upstreams::Upstreams;

/// The note that describes the plain service which is called.
const NOTE: &str = include_str!("../../../examples/demo.json");

/// The plain service, whose stand-in answers at once.
const SERVICE: &str = "comando";

/// A route that may be repeated, and one that runs at most once.
const ROUTES: [(&str, &str); 2] = [("repeat", "reading"), ("once", "start")];

/// The instances: enough that the called one has no other role.
const INSTANCES: usize = 7;

/// How long each load lasts.
const WINDOW: Duration = Duration::from_secs(4);

/// The callers that send at the same time, in the runs.
const CALLERS: [usize; 2] = [1, 16];

/// How long a step may take.
const TIMEOUT: Duration = Duration::from_secs(20);

/// What a request cost the instance of one role, beyond what it costs idle.
#[derive(Debug, Serialize)]
pub struct Cost {
    /// The role: entry, scheduler, backup or leader.
    pub role: &'static str,
    /// Processor time a request, in microseconds.
    pub cpu_micros: f64,
    /// Bytes on peer links a request, both directions together.
    pub bytes: f64,
    /// The memory behind the load, in megabytes.
    pub resident_megabytes: f64,
}

/// One load.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Whether the route may be repeated.
    pub kind: &'static str,
    /// The way: straight to the upstream, or through one entry.
    pub way: &'static str,
    /// The callers that sent at the same time, each one request after the other.
    pub callers: usize,
    /// The requests that ended a second.
    pub ended_per_second: f64,
    /// The median time of a request, in milliseconds.
    pub median_ms: f64,
    /// The time that 95 in 100 requests kept under, in milliseconds.
    pub slow_ms: f64,
    /// The requests that were answered otherwise than with success.
    pub not_served: usize,
    /// The cost by role, where it was counted.
    pub costs: Vec<Cost>,
}

/// The positions of the instances that play a part.
struct Roles {
    entry: usize,
    scheduler: usize,
    backups: Vec<usize>,
    leader: usize,
}

/// Measures loads straight to a stand-in and through one entry.
pub async fn measure(program: &Path) -> anyhow::Result<Vec<Row>> {
    let mut note = Note::parse(NOTE).map_err(|findings| anyhow!("the note:\n{findings}"))?;
    let upstreams = Upstreams::start(&mut note).await?;
    let (_, upstream) = upstreams.services().next().context("no plain service")?;
    let mut rows = Vec::new();
    for (way, proxied) in [("entry", false), ("entry, peers proxied", true)] {
        let builder = Builder::new(program).with_instances(INSTANCES);
        let builder = if proxied {
            builder.with_proxied_peers()
        } else {
            builder
        };
        let fleet = builder.start().await?;
        fleet.operator().submit(&json!(note)).await?;
        fleet.operator().wait_in_force(note.note.0, TIMEOUT).await?;
        let roles = wait_for_roles(&fleet).await?;
        let entry = fleet.instances()[roles.entry].callers();
        for (kind, route) in ROUTES {
            if proxied {
                let mut row = load(entry, kind, route, way, CALLERS[1]).await;
                // The first load fills caches; the costs are counted over a second one.
                row = count(&fleet, &roles, kind, route, row).await?;
                rows.push(row);
                continue;
            }
            for callers in CALLERS {
                rows.push(load(upstream.address(), kind, route, "direct", callers).await);
                rows.push(load(entry, kind, route, way, callers).await);
            }
        }
    }
    Ok(rows)
}

/// Waits until the service has a scheduler and backups, which are placed once its note is in force.
async fn wait_for_roles(fleet: &Fleet) -> anyhow::Result<Roles> {
    let mut found = roles(fleet).await;
    wait_until(TIMEOUT, async || {
        let is_complete = matches!(&found, Ok(roles) if roles.backups.len() == TARGET_BACKUPS);
        if !is_complete {
            found = roles(fleet).await;
        }
        is_complete
    })
    .await;
    found
}

async fn roles(fleet: &Fleet) -> anyhow::Result<Roles> {
    let status = fleet.operator().get("/v1/status").await?;
    let views = status["views"].as_array().context("there are no views")?;
    let view = views.iter().find(|view| view["service"] == SERVICE);
    let view = view.context("the service has no scheduler")?;
    let named =
        |value: &serde_json::Value| position(fleet, value.as_str().context("a name is missing")?);
    let backups = view["backups"].as_array().context("there are no backups")?;
    let backups = backups
        .iter()
        .map(named)
        .collect::<anyhow::Result<Vec<_>>>()?;
    let (scheduler, leader) = (named(&view["scheduler"])?, named(&status["leader"])?);
    let busy: BTreeSet<usize> = backups.iter().copied().chain([scheduler, leader]).collect();
    let entry = (0..fleet.instances().len()).find(|i| !busy.contains(i));
    Ok(Roles {
        entry: entry.context("every instance has another role")?,
        scheduler,
        backups,
        leader,
    })
}

/// Sends requests one after the other from each of some callers.
async fn load(
    address: SocketAddr,
    kind: &'static str,
    route: &'static str,
    way: &'static str,
    callers: usize,
) -> Row {
    let caller = || Caller::new("cascina-rossi", vec![address]).with_address(address);
    let label = format!("{way}-{callers}-{address}");
    let begun = Instant::now();
    let load = Load::start((0..callers).map(|_| caller()).collect(), move |number| {
        let call = Call::plain(SERVICE, route, &format!("{{\"number\":{number}}}"));
        call.with_key(&format!("{label}-{number}-{}", begun.elapsed().as_nanos()))
    });
    task::sleep(WINDOW).await;
    let records = load.stop().await;
    let seconds = begun.elapsed().as_secs_f64();
    summarise(&records, kind, way, callers, seconds)
}

fn summarise(
    records: &[Record],
    kind: &'static str,
    way: &'static str,
    callers: usize,
    seconds: f64,
) -> Row {
    let good = records.iter().filter(|record| record.status == Some(200));
    let mut times: Vec<f64> = good.map(|r| r.total.as_secs_f64() * 1e3).collect();
    times.sort_by(f64::total_cmp);
    let at = |part: usize| {
        times
            .get(times.len() * part / 100)
            .copied()
            .unwrap_or(f64::NAN)
    };
    Row {
        kind,
        way,
        callers,
        ended_per_second: records.len() as f64 / seconds,
        median_ms: at(50),
        slow_ms: at(95),
        not_served: records.len() - times.len(),
        costs: Vec::new(),
    }
}

/// Loads again, and counts what each role spent beyond what it spends idle.
async fn count(
    fleet: &Fleet,
    roles: &Roles,
    kind: &'static str,
    route: &'static str,
    first: Row,
) -> anyhow::Result<Row> {
    let quiet = Usage::read_all(fleet)?;
    task::sleep(WINDOW).await;
    let before = Usage::read_all(fleet)?;
    let entry = fleet.instances()[roles.entry].callers();
    let mut row = load(entry, kind, route, first.way, first.callers).await;
    let after = Usage::read_all(fleet)?;
    let requests = (row.ended_per_second * WINDOW.as_secs_f64()).max(1.0);
    let cost = |role, i: usize| {
        let used = (after[i].cpu - before[i].cpu).as_secs_f64();
        let idle = (before[i].cpu - quiet[i].cpu).as_secs_f64();
        let sent = (after[i].link_bytes - before[i].link_bytes) as f64;
        let idle_sent = (before[i].link_bytes - quiet[i].link_bytes) as f64;
        Cost {
            role,
            cpu_micros: (used - idle) * 1e6 / requests,
            bytes: (sent - idle_sent) / requests,
            resident_megabytes: after[i].resident_bytes as f64 / 1e6,
        }
    };
    row.costs.push(cost("entry", roles.entry));
    row.costs.push(cost("scheduler", roles.scheduler));
    for backup in &roles.backups {
        row.costs.push(cost("backup", *backup));
    }
    let other = [roles.scheduler]
        .into_iter()
        .chain(roles.backups.iter().copied());
    if !other.into_iter().any(|i| i == roles.leader) {
        row.costs.push(cost("leader", roles.leader));
    }
    Ok(row)
}
