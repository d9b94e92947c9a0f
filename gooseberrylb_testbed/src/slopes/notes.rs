//! What release notes take: acceptance, the way to every instance, and restarts behind many.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::anyhow;
use futures::future;
use gooseberrylb_config::note::Note;
use serde::Serialize;
use serde_json::{Value, json};

use crate::client::Operator;
use crate::fleet::{Builder, Fleet, wait_until};

/// The note that makes the client account known which the others change.
const FIRST: &str = include_str!("../../../examples/demo.json");

/// The voters of the measured fleet, which has as many learners.
const VOTERS: usize = 3;

/// How long an acceptance rate is measured.
const WINDOW: Duration = Duration::from_secs(4);

/// The operators that submit at the same time, in the runs.
const OPERATORS: [u64; 2] = [1, 16];

/// The notes whose way to every instance is timed.
const TIMED: u64 = 20;

/// The numbers of notes behind which a voter is restarted.
const RESTARTS: [u64; 3] = [100, 500, 1_000];

/// How long a step may take.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Notes accepted a second.
#[derive(Debug, Serialize)]
pub struct Accepted {
    /// The operators that submitted at the same time, each one note after the other.
    pub operators: u64,
    /// The notes accepted a second by all of them.
    pub per_second: f64,
}

/// One restart.
#[derive(Debug, Serialize)]
pub struct Restart {
    /// The notes accepted before it.
    pub notes: u64,
    /// From the kill until it answers, in milliseconds.
    pub healthy_ms: f64,
    /// From the kill until it may start work upstream, in milliseconds.
    pub fresh_ms: f64,
}

/// All that was measured of notes.
#[derive(Debug, Serialize)]
pub struct Figures {
    /// The voters.
    pub voters: usize,
    /// Acceptance rates.
    pub accepted: Vec<Accepted>,
    /// The notes whose way to every instance was timed.
    pub in_force_count: u64,
    /// From acceptance to the read-back that a note is in force everywhere, in milliseconds.
    pub in_force_median_ms: f64,
    /// The longest of these times, in milliseconds.
    pub in_force_longest_ms: f64,
    /// Restarts.
    pub restarts: Vec<Restart>,
}

/// Measures a fleet that notes are submitted to.
pub async fn measure(program: &Path) -> anyhow::Result<Figures> {
    let builder = Builder::new(program)
        .with_instances(2 * VOTERS)
        .with_voters(VOTERS);
    let mut fleet = builder.start().await?;
    let operator = fleet.operator();
    let first = Note::parse(FIRST).map_err(|findings| anyhow!("the note:\n{findings}"))?;
    operator.submit(&json!(first)).await?;
    let mut next = first.note.0 + 1;
    let mut times = Vec::new();
    for _ in 0..TIMED {
        operator.submit(&change(next)).await?;
        let accepted = Instant::now();
        operator.wait_in_force(next, TIMEOUT).await?;
        times.push(accepted.elapsed().as_secs_f64() * 1e3);
        next += 1;
    }
    times.sort_by(f64::total_cmp);
    let mut restarts = Vec::new();
    for notes in RESTARTS {
        next = fill(&operator, next, notes).await?;
        restarts.push(restart(&mut fleet, next - 1).await?);
    }
    let mut accepted = Vec::new();
    for operators in OPERATORS {
        let (rate, last) = accept(&operator, next, operators).await?;
        next = last;
        accepted.push(rate);
    }
    Ok(Figures {
        voters: VOTERS,
        accepted,
        in_force_count: TIMED,
        in_force_median_ms: times[times.len() / 2],
        in_force_longest_ms: times[times.len() - 1],
        restarts,
    })
}

/// A small note that is always acceptable.
fn change(number: u64) -> Value {
    let share = 1 + number % 5;
    json!({
        "note": number,
        "author": "slopes",
        "changed": {"client_accounts": [{"name": "cascina-rossi", "share": share}]},
    })
}

/// Submits the notes from `next` up to the number `last`; gives the number after them.
async fn fill(operator: &Operator, next: u64, last: u64) -> anyhow::Result<u64> {
    let lanes = OPERATORS[1];
    let submissions = (0..lanes).map(async |lane| {
        for number in (next + lane..=last).step_by(lanes as usize) {
            operator.submit(&change(number)).await?;
        }
        anyhow::Ok(())
    });
    future::try_join_all(submissions).await?;
    Ok(next.max(last + 1))
}

async fn accept(operator: &Operator, next: u64, operators: u64) -> anyhow::Result<(Accepted, u64)> {
    let begun = Instant::now();
    let submissions = (0..operators).map(async |lane| {
        let mut number = next + lane;
        while begun.elapsed() < WINDOW {
            operator.submit(&change(number)).await?;
            number += operators;
        }
        anyhow::Ok((number - next - lane) / operators)
    });
    let counts = future::try_join_all(submissions).await?;
    let seconds = begun.elapsed().as_secs_f64();
    let most = counts.iter().max().copied().unwrap_or_default();
    let rate = Accepted {
        operators,
        per_second: counts.iter().sum::<u64>() as f64 / seconds,
    };
    Ok((rate, next + operators * most))
}

/// Restarts a voter that does not lead.
async fn restart(fleet: &mut Fleet, notes: u64) -> anyhow::Result<Restart> {
    let leader = super::idle::leader(fleet).await?;
    let voter = usize::from(leader == 0);
    let begun = Instant::now();
    fleet.instance_mut(voter).restart(TIMEOUT).await?;
    let healthy = begun.elapsed();
    let instance = &fleet.instances()[voter];
    let fresh = wait_until(TIMEOUT, async || instance.is_fresh().await).await;
    anyhow::ensure!(fresh, "a restarted voter got no lease");
    Ok(Restart {
        notes,
        healthy_ms: healthy.as_secs_f64() * 1e3,
        fresh_ms: begun.elapsed().as_secs_f64() * 1e3,
    })
}
