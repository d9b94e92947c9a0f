//! Measures release notes: the rate of acceptance, the time until a note is in force everywhere,
//! and the restart of a voter after many notes.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::anyhow;
use futures::future;
use gooseberrylb_config::note::Note;
use serde::Serialize;
use serde_json::{Value, json};

use crate::client::Operator;
use crate::fleet::{Builder, Fleet, wait_until};

/// First note; it adds the client account that the other notes change.
const FIRST_NOTE: &str = include_str!("../../../examples/demo.json");

/// Number of voters of the measured fleet, which has as many learners.
const VOTERS: usize = 3;

/// Duration of the measurement of an acceptance rate.
const ACCEPTANCE_WINDOW: Duration = Duration::from_secs(4);

/// Numbers of concurrent operators in the acceptance runs; the larger one also submits the notes
/// before restarts.
const OPERATOR_COUNTS: [u64; 2] = [1, 16];

/// Number of notes whose time until they are in force everywhere is measured.
const TIMED_NOTES: u64 = 20;

/// Numbers of accepted notes after which a voter is restarted.
const RESTART_AFTER_NOTES: [u64; 3] = [100, 500, 1_000];

/// Time limit of a step.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Acceptance rate of notes.
#[derive(Debug, Serialize)]
pub struct Accepted {
    /// Number of concurrent operators, each of which submits one note after the other.
    pub operators: u64,
    /// Notes accepted per second, of all operators together.
    pub per_second: f64,
}

/// Times of one restart of a voter.
#[derive(Debug, Serialize)]
pub struct Restart {
    /// Number of notes accepted before the restart.
    pub notes: u64,
    /// Time from the kill until the instance is healthy, in milliseconds.
    pub healthy_ms: f64,
    /// Time from the kill until the instance has a lease and may start work on upstreams, in
    /// milliseconds.
    pub fresh_ms: f64,
}

/// Results for release notes.
#[derive(Debug, Serialize)]
pub struct Figures {
    /// Number of voters.
    pub voters: usize,
    /// Acceptance rates by number of operators.
    pub accepted: Vec<Accepted>,
    /// Number of notes whose time until they were in force everywhere was measured.
    pub in_force_count: u64,
    /// Median time from acceptance until a note reads back as in force everywhere, in milliseconds.
    pub in_force_median_ms: f64,
    /// Longest of these times, in milliseconds.
    pub in_force_longest_ms: f64,
    /// Restarts by number of notes.
    pub restarts: Vec<Restart>,
}

/// Measures notes and restarts on one fleet.
pub async fn measure(program: &Path) -> anyhow::Result<Figures> {
    let builder = Builder::new(program)
        .with_instances(2 * VOTERS)
        .with_voters(VOTERS);
    let mut fleet = builder.start().await?;
    let operator = fleet.operator();
    let first = Note::parse(FIRST_NOTE).map_err(|findings| anyhow!("the note:\n{findings}"))?;
    operator.submit(&json!(first)).await?;
    let mut next = first.note.0 + 1;
    let mut times = Vec::new();
    for _ in 0..TIMED_NOTES {
        operator.submit(&change_note(next)).await?;
        let accepted = Instant::now();
        operator.wait_in_force(next, TIMEOUT).await?;
        times.push(accepted.elapsed().as_secs_f64() * 1e3);
        next += 1;
    }
    times.sort_by(f64::total_cmp);
    let mut restarts = Vec::new();
    for notes in RESTART_AFTER_NOTES {
        next = submit_through(&operator, next, notes).await?;
        restarts.push(measure_restart(&mut fleet, next - 1).await?);
    }
    let mut accepted = Vec::new();
    for operators in OPERATOR_COUNTS {
        let (rate, last) = measure_acceptance(&operator, next, operators).await?;
        next = last;
        accepted.push(rate);
    }
    Ok(Figures {
        voters: VOTERS,
        accepted,
        in_force_count: TIMED_NOTES,
        in_force_median_ms: times[times.len() / 2],
        in_force_longest_ms: times[times.len() - 1],
        restarts,
    })
}

/// Returns a small note that is always accepted.
fn change_note(number: u64) -> Value {
    let share = 1 + number % 5;
    json!({
        "note": number,
        "author": "slopes",
        "changed": {"client_accounts": [{"name": "cascina-rossi", "share": share}]},
    })
}

/// Submits the notes with numbers from `next` to `last`; returns the next free number.
async fn submit_through(operator: &Operator, next: u64, last: u64) -> anyhow::Result<u64> {
    let operator_count = OPERATOR_COUNTS[1];
    let submissions = (0..operator_count).map(async |offset| {
        for number in (next + offset..=last).step_by(operator_count as usize) {
            operator.submit(&change_note(number)).await?;
        }
        anyhow::Ok(())
    });
    future::try_join_all(submissions).await?;
    Ok(next.max(last + 1))
}

/// Measures the acceptance rate with a number of operators; returns it with the next free number.
async fn measure_acceptance(
    operator: &Operator,
    next: u64,
    operators: u64,
) -> anyhow::Result<(Accepted, u64)> {
    let started = Instant::now();
    let submissions = (0..operators).map(async |offset| {
        let mut number = next + offset;
        while started.elapsed() < ACCEPTANCE_WINDOW {
            operator.submit(&change_note(number)).await?;
            number += operators;
        }
        anyhow::Ok((number - next - offset) / operators)
    });
    let counts = future::try_join_all(submissions).await?;
    let seconds = started.elapsed().as_secs_f64();
    let most = counts.iter().max().copied().unwrap_or_default();
    let rate = Accepted {
        operators,
        per_second: counts.iter().sum::<u64>() as f64 / seconds,
    };
    Ok((rate, next + operators * most))
}

/// Restarts a voter that is not the leader, and measures its times.
async fn measure_restart(fleet: &mut Fleet, notes: u64) -> anyhow::Result<Restart> {
    let leader = super::idle::leader_position(fleet).await?;
    let voter = usize::from(leader == 0);
    let started = Instant::now();
    fleet.instance_mut(voter).restart(TIMEOUT).await?;
    let healthy = started.elapsed();
    let instance = &fleet.instances()[voter];
    let fresh = wait_until(TIMEOUT, async || instance.is_fresh().await).await;
    anyhow::ensure!(fresh, "the restarted voter did not get a lease in time");
    Ok(Restart {
        notes,
        healthy_ms: healthy.as_secs_f64() * 1e3,
        fresh_ms: started.elapsed().as_secs_f64() * 1e3,
    })
}
