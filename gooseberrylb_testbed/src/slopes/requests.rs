//! Measures the costs of requests for each role, and their times compared with direct requests to
//! the upstream.

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

/// Note that declares the plain service that is called.
const NOTE: &str = include_str!("../../../examples/demo.json");

/// Plain service that is called; its stand-in responds at once.
const SERVICE: &str = "comando";

/// Kinds of routes with a route of each: one that may be repeated, and one that runs at most once.
const ROUTES: [(&str, &str); 2] = [("repeat", "reading"), ("once", "start")];

/// Number of instances, enough that the entry has no other role.
const INSTANCES: usize = 7;

/// Duration of each load.
const WINDOW: Duration = Duration::from_secs(4);

/// Numbers of concurrent callers in the runs.
const CALLER_COUNTS: [usize; 2] = [1, 16];

/// Time limit of a step.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Cost of a request for the instance of one role, beyond its idle cost.
#[derive(Debug, Serialize)]
pub struct Cost {
    /// Role: entry, scheduler, backup or leader.
    pub role: &'static str,
    /// Processor time per request, in microseconds.
    pub cpu_micros: f64,
    /// Bytes on peer links per request, both directions together.
    pub bytes: f64,
    /// Resident memory after the load, in megabytes.
    pub resident_megabytes: f64,
}

/// Results of one load.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Kind of the route: `repeat` if it may be repeated, else `once`.
    pub kind: &'static str,
    /// Path of the requests: direct to the upstream, or through one entry.
    pub way: &'static str,
    /// Number of concurrent callers, each of which sends one request after the other.
    pub callers: usize,
    /// Requests that ended per second.
    pub ended_per_second: f64,
    /// Median time of a request, in milliseconds.
    pub median_ms: f64,
    /// 95th percentile of the time of a request, in milliseconds.
    pub slow_ms: f64,
    /// Number of requests that did not end with status 200.
    pub not_served: usize,
    /// Costs by role; empty if they were not measured.
    pub costs: Vec<Cost>,
}

/// Positions of the instances with a role in the requests.
struct Roles {
    entry: usize,
    scheduler: usize,
    backups: Vec<usize>,
    leader: usize,
}

/// Measures loads sent directly to a stand-in and through one entry.
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
                let mut row = run_load(entry, kind, route, way, CALLER_COUNTS[1]).await;
                // The first load fills caches; the costs are measured over a second one.
                row = measure_costs(&fleet, &roles, kind, route, row).await?;
                rows.push(row);
                continue;
            }
            for callers in CALLER_COUNTS {
                rows.push(run_load(upstream.address(), kind, route, "direct", callers).await);
                rows.push(run_load(entry, kind, route, way, callers).await);
            }
        }
    }
    Ok(rows)
}

/// Waits until the service has a scheduler and all backups, which are assigned once its note is in
/// force, and returns the roles.
async fn wait_for_roles(fleet: &Fleet) -> anyhow::Result<Roles> {
    let mut found = find_roles(fleet).await;
    wait_until(TIMEOUT, async || {
        let is_complete = matches!(&found, Ok(roles) if roles.backups.len() == TARGET_BACKUPS);
        if !is_complete {
            found = find_roles(fleet).await;
        }
        is_complete
    })
    .await;
    found
}

/// Returns the roles as the status shows them now.
async fn find_roles(fleet: &Fleet) -> anyhow::Result<Roles> {
    let status = fleet.operator().get("/v1/status").await?;
    let views = status["views"].as_array().context("there are no views")?;
    let view = views.iter().find(|view| view["service"] == SERVICE);
    let view = view.context("the service has no scheduler")?;
    let named_position =
        |value: &serde_json::Value| position(fleet, value.as_str().context("a name is missing")?);
    let backups = view["backups"].as_array().context("there are no backups")?;
    let backups = backups
        .iter()
        .map(named_position)
        .collect::<anyhow::Result<Vec<_>>>()?;
    let (scheduler, leader) = (
        named_position(&view["scheduler"])?,
        named_position(&status["leader"])?,
    );
    let other_roles: BTreeSet<usize> = backups.iter().copied().chain([scheduler, leader]).collect();
    let entry = (0..fleet.instances().len()).find(|i| !other_roles.contains(i));
    Ok(Roles {
        entry: entry.context("every instance has another role")?,
        scheduler,
        backups,
        leader,
    })
}

/// Runs a load of `callers` concurrent callers, and returns its results without costs.
async fn run_load(
    address: SocketAddr,
    kind: &'static str,
    route: &'static str,
    way: &'static str,
    callers: usize,
) -> Row {
    let caller = || Caller::new("cascina-rossi", vec![address]).with_address(address);
    let label = format!("{way}-{callers}-{address}");
    let started = Instant::now();
    let load = Load::start((0..callers).map(|_| caller()).collect(), move |number| {
        let call = Call::plain(SERVICE, route, &format!("{{\"number\":{number}}}"));
        call.with_key(&format!(
            "{label}-{number}-{}",
            started.elapsed().as_nanos()
        ))
    });
    task::sleep(WINDOW).await;
    let records = load.stop().await;
    let seconds = started.elapsed().as_secs_f64();
    summarise(&records, kind, way, callers, seconds)
}

/// Returns the rate and the times of `records`.
fn summarise(
    records: &[Record],
    kind: &'static str,
    way: &'static str,
    callers: usize,
    seconds: f64,
) -> Row {
    let succeeded = records.iter().filter(|record| record.status == Some(200));
    let mut times: Vec<f64> = succeeded.map(|r| r.total.as_secs_f64() * 1e3).collect();
    times.sort_by(f64::total_cmp);
    let percentile = |part: usize| {
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
        median_ms: percentile(50),
        slow_ms: percentile(95),
        not_served: records.len() - times.len(),
        costs: Vec::new(),
    }
}

/// Runs a load again, and returns its results with the cost of each role beyond its idle cost.
async fn measure_costs(
    fleet: &Fleet,
    roles: &Roles,
    kind: &'static str,
    route: &'static str,
    warm_up: Row,
) -> anyhow::Result<Row> {
    let idle_start = Usage::read_all(fleet)?;
    task::sleep(WINDOW).await;
    let before = Usage::read_all(fleet)?;
    let entry = fleet.instances()[roles.entry].callers();
    let mut row = run_load(entry, kind, route, warm_up.way, warm_up.callers).await;
    let after = Usage::read_all(fleet)?;
    let requests = (row.ended_per_second * WINDOW.as_secs_f64()).max(1.0);
    let cost = |role, i: usize| {
        let used = (after[i].cpu - before[i].cpu).as_secs_f64();
        let idle = (before[i].cpu - idle_start[i].cpu).as_secs_f64();
        let sent = (after[i].link_bytes - before[i].link_bytes) as f64;
        let idle_sent = (before[i].link_bytes - idle_start[i].link_bytes) as f64;
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
