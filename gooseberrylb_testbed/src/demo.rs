//! The demo command: starts a fleet with stand-in upstreams, submits a release note, sends some
//! calls, and prints their results and the report.

use std::env;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, anyhow, ensure};
use futures::future;
use gooseberrylb_config::note::Note;
use serde_json::{Value, json};

use crate::client::Operator;
use crate::client::caller::Call;
use crate::client::tally::Tally;
use crate::fleet::{Builder, Fleet, wait_until};
use crate::upstreams::Upstreams;

/// Release note of the demo; the addresses of the stand-ins replace those in the file.
const NOTE: &str = include_str!("../../examples/demo.json");

/// Time limit for the note to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limit for the report to count every call.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for the fleet to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of tokens that each model request asks for.
const MAX_TOKENS: u64 = 24;

/// Runs the demo; fails if any call is not served or not counted.
pub async fn run() -> anyhow::Result<()> {
    let mut note = Note::parse(NOTE).map_err(|findings| anyhow!("the note:\n{findings}"))?;
    let upstreams = Upstreams::start(&mut note).await?;
    println!("Starting three instances with data folders on loopback.");
    let program = env::current_exe().context("finding this program")?;
    let fleet = Builder::new(program).start().await?;
    for instance in fleet.instances() {
        println!(
            "  {} takes callers at {}",
            instance.name(),
            instance.callers()
        );
    }
    submit(&fleet.operator(), &note).await?;
    send_calls(&fleet).await?;
    print_executions(&upstreams);
    print_report(&fleet.operator(), calls().len() as u64).await?;
    fleet.stop(STOP_TIMEOUT).await?;
    println!("\nAll instances stopped cleanly.");
    Ok(())
}

async fn submit(operator: &Operator, note: &Note) -> anyhow::Result<()> {
    let accepted = operator.submit(&json!(note)).await?;
    println!("\nNote {} is accepted: {accepted}", note.note);
    let read_back = operator
        .wait_in_force(note.note.0, IN_FORCE_TIMEOUT)
        .await?;
    println!(
        "It reads back as {}, in force everywhere:",
        text_or_dash(&read_back["state"])
    );
    for item in read_back["items"].as_array().into_iter().flatten() {
        println!(
            "  {} {}: {} ({})",
            text_or_dash(&item["what"]),
            text_or_dash(&item["name"]),
            text_or_dash(&item["state"]),
            text_or_dash(&item["reason"])
        );
    }
    Ok(())
}

/// Sends the demo's calls through an instance that is not the leader, and prints their records.
async fn send_calls(fleet: &Fleet) -> anyhow::Result<()> {
    let leader = find_leader(&fleet.operator()).await?;
    let entry = fleet.instances().iter().find(|i| i.name() != leader);
    let entry = entry.context("every instance is the leader")?;
    println!(
        "\n{leader} is the leader; calls go through {}:",
        entry.name()
    );
    let caller = fleet.caller("cascina-rossi").with_attempts(3);
    let caller = Arc::new(caller.with_address(entry.callers()));
    let calls = calls();
    let records = future::join_all(calls.iter().map(|call| caller.call(call))).await;
    for record in &records {
        println!("  {record}");
    }
    println!("  total: {}", Tally::new(&records));
    if records.iter().all(|record| record.is_served()) {
        return Ok(());
    }
    let errors: Vec<_> = records.iter().filter_map(|r| r.error.clone()).collect();
    Err(anyhow!("not every call was served: {errors:?}"))
}

fn calls() -> Vec<Call> {
    let fault = "The centre pivot on field 7 stops at 140 degrees every morning. ".repeat(20);
    vec![
        Call::prompt(
            "agronomo",
            "plan",
            "A watering plan for field 3.",
            MAX_TOKENS,
        )
        .with_key("plan-3"),
        Call::prompt("agronomo", "diagnosis", &fault, MAX_TOKENS).with_key("fault-7"),
        Call::prompt(
            "agronomo",
            "summary",
            "This morning in one line.",
            MAX_TOKENS,
        ),
        Call::plain("comando", "start", "pivot 7").with_key("start-7"),
        Call::plain("comando", "stop", "pivot 9").with_key("stop-9"),
        Call::plain("comando", "reading", "pressure 7"),
    ]
}

/// Returns the name of the leader.
pub async fn find_leader(operator: &Operator) -> anyhow::Result<String> {
    let status = operator.get("/v1/status").await?;
    let leader = status["leader"].as_str();
    leader
        .map(str::to_owned)
        .with_context(|| format!("no leader in {status}"))
}

fn print_executions(upstreams: &Upstreams) {
    println!("\nThe upstreams ran:");
    let engines = upstreams.engines().map(|(name, e)| (name, e.executions()));
    let services = upstreams.services().map(|(name, s)| (name, s.executions()));
    for (name, executions) in engines.chain(services) {
        println!("  {name}: {} requests", executions.len());
    }
}

/// Waits until the report counts all calls, and prints it.
async fn print_report(operator: &Operator, calls: u64) -> anyhow::Result<()> {
    let mut report = Value::Null;
    wait_until(REPORT_TIMEOUT, async || {
        report = operator.get("/v1/report").await.unwrap_or_default();
        served(&report) >= calls
    })
    .await;
    println!("\nThe report (served, refused, not run, unknown):");
    for row in rows(&report) {
        println!(
            "  {}, tier {}, {}, {}: {}, {}, {}, {}",
            text_or_dash(&row["account"]),
            row["tier"],
            text_or_dash(&row["service"]),
            text_or_dash(&row["version"]),
            row["served"],
            row["refused"],
            row["not_run"],
            row["unknown"]
        );
    }
    let served = served(&report);
    ensure!(
        served == calls,
        "the report counts {served} of {calls} calls as served"
    );
    Ok(())
}

fn rows(report: &Value) -> impl Iterator<Item = &Value> {
    report["rows"].as_array().into_iter().flatten()
}

fn served(report: &Value) -> u64 {
    rows(report).filter_map(|row| row["served"].as_u64()).sum()
}

fn text_or_dash(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}
