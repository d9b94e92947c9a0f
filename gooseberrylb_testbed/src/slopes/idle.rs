//! Measures the costs of instances without callers: consensus, leases and tallies.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context;
use async_std::task;
use serde::Serialize;

use super::process::Usage;
use crate::fleet::{Builder, Fleet};

/// Time between the start of a fleet and its measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Duration of the measurement.
const WINDOW: Duration = Duration::from_secs(10);

/// Mean cost of the instances of one role.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Number of instances of the fleet.
    pub instances: usize,
    /// Role: leader, follower (any other voter) or learner.
    pub role: &'static str,
    /// Number of instances of the role.
    pub count: usize,
    /// Processor time of one instance, in percent of a core.
    pub cpu_percent: f64,
    /// Traffic on the peer links of one instance, both directions together, in kilobytes per
    /// second.
    pub kilobytes_per_second: f64,
    /// Resident memory of one instance, in megabytes.
    pub resident_megabytes: f64,
}

/// Returns the position of the leader in the fleet.
pub async fn leader_position(fleet: &Fleet) -> anyhow::Result<usize> {
    let status = fleet.operator().get("/v1/status").await?;
    let name = status["leader"].as_str().context("there is no leader")?;
    position(fleet, name)
}

/// Returns the position of the instance `name` in the fleet.
pub fn position(fleet: &Fleet, name: &str) -> anyhow::Result<usize> {
    let mut instances = fleet.instances().iter();
    instances
        .position(|instance| instance.name() == name)
        .context("the instance is not in this fleet")
}

/// Measures a fleet of `instances` instances without callers: three voters, and learners.
pub async fn measure(program: &Path, instances: usize) -> anyhow::Result<Vec<Row>> {
    const VOTERS: usize = 3;
    let builder = Builder::new(program)
        .with_instances(instances)
        .with_voters(VOTERS)
        .with_proxied_peers();
    let fleet = builder.start().await?;
    task::sleep(SETTLE_TIME).await;
    let leader = leader_position(&fleet).await?;
    let before = Usage::read_all(&fleet)?;
    let started = Instant::now();
    task::sleep(WINDOW).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = Usage::read_all(&fleet)?;
    let role = |i: usize| match i {
        _ if i == leader => "leader",
        _ if i < VOTERS => "follower",
        _ => "learner",
    };
    let mut rows = Vec::new();
    for role_name in ["leader", "follower", "learner"] {
        let positions: Vec<usize> = (0..instances).filter(|i| role(*i) == role_name).collect();
        if positions.is_empty() {
            continue;
        }
        let count = positions.len() as f64;
        let mean =
            |of: &dyn Fn(usize) -> f64| positions.iter().map(|i| of(*i)).sum::<f64>() / count;
        rows.push(Row {
            instances,
            role: role_name,
            count: positions.len(),
            cpu_percent: mean(&|i| 100.0 * (after[i].cpu - before[i].cpu).as_secs_f64() / seconds),
            kilobytes_per_second: mean(&|i| {
                (after[i].link_bytes - before[i].link_bytes) as f64 / 1e3 / seconds
            }),
            resident_megabytes: mean(&|i| after[i].resident_bytes as f64 / 1e6),
        });
    }
    Ok(rows)
}
