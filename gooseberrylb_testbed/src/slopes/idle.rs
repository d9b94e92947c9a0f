//! What instances cost that serve nobody: agreement, leases and tallies.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context;
use async_std::task;
use serde::Serialize;

use super::process::Usage;
use crate::fleet::{Builder, Fleet};

/// How long a fleet is left alone before it is measured.
const SETTLE: Duration = Duration::from_secs(3);

/// How long it is measured.
const WINDOW: Duration = Duration::from_secs(10);

/// What the instances of one role cost.
#[derive(Debug, Serialize)]
pub struct Row {
    /// The instances of the fleet.
    pub instances: usize,
    /// The role: leader, follower (another voter) or learner.
    pub role: &'static str,
    /// The instances of the role.
    pub count: usize,
    /// The part of a core that one takes, in percent.
    pub cpu_percent: f64,
    /// The bytes on its peer links, both directions together, in kilobytes a second.
    pub kilobytes_per_second: f64,
    /// Its memory, in megabytes.
    pub resident_megabytes: f64,
}

/// The position of the instance that leads.
pub async fn leader(fleet: &Fleet) -> anyhow::Result<usize> {
    let status = fleet.operator().get("/v1/status").await?;
    let name = status["leader"].as_str().context("nobody leads")?;
    position(fleet, name)
}

/// The position of the instance of a name.
pub fn position(fleet: &Fleet, name: &str) -> anyhow::Result<usize> {
    let mut instances = fleet.instances().iter();
    instances
        .position(|instance| instance.name() == name)
        .context("an instance is not of this fleet")
}

/// Measures a fleet of three voters and learners that nobody calls.
pub async fn measure(program: &Path, instances: usize) -> anyhow::Result<Vec<Row>> {
    const VOTERS: usize = 3;
    let builder = Builder::new(program)
        .with_instances(instances)
        .with_voters(VOTERS)
        .with_proxied_peers();
    let fleet = builder.start().await?;
    task::sleep(SETTLE).await;
    let leader = leader(&fleet).await?;
    let before = Usage::read_all(&fleet)?;
    let begun = Instant::now();
    task::sleep(WINDOW).await;
    let seconds = begun.elapsed().as_secs_f64();
    let after = Usage::read_all(&fleet)?;
    let role = |i: usize| match i {
        _ if i == leader => "leader",
        _ if i < VOTERS => "follower",
        _ => "learner",
    };
    let mut rows = Vec::new();
    for wanted in ["leader", "follower", "learner"] {
        let members: Vec<usize> = (0..instances).filter(|i| role(*i) == wanted).collect();
        if members.is_empty() {
            continue;
        }
        let count = members.len() as f64;
        let mean = |of: &dyn Fn(usize) -> f64| members.iter().map(|i| of(*i)).sum::<f64>() / count;
        rows.push(Row {
            instances,
            role: wanted,
            count: members.len(),
            cpu_percent: mean(&|i| 100.0 * (after[i].cpu - before[i].cpu).as_secs_f64() / seconds),
            kilobytes_per_second: mean(&|i| {
                (after[i].link_bytes - before[i].link_bytes) as f64 / 1e3 / seconds
            }),
            resident_megabytes: mean(&|i| after[i].resident_bytes as f64 / 1e6),
        });
    }
    Ok(rows)
}
