//! The demonstration: a fleet, its upstreams, a release note, some calls, and what came of them.

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

/// The note that the demonstration submits, with the addresses of its stand-ins filled in.
const NOTE: &str = include_str!("../../examples/demo.json");

/// How long the note may take to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long the report may take to count every call.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the fleet may take to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// The tokens that each model request asks for.
const TOKENS: u64 = 24;

/// Runs the demonstration.
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
    call(&fleet).await?;
    show_executions(&upstreams);
    show_report(&fleet.operator(), calls().len() as u64).await?;
    fleet.stop(STOP_TIMEOUT).await?;
    println!("\nAll instances stopped in good order.");
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
        text(&read_back["state"])
    );
    for item in read_back["items"].as_array().into_iter().flatten() {
        println!(
            "  {} {}: {} ({})",
            text(&item["what"]),
            text(&item["name"]),
            text(&item["state"]),
            text(&item["reason"])
        );
    }
    Ok(())
}

/// Sends calls through an instance that does not lead.
async fn call(fleet: &Fleet) -> anyhow::Result<()> {
    let leader = find_leader(&fleet.operator()).await?;
    let entry = fleet.instances().iter().find(|i| i.name() != leader);
    let entry = entry.context("every instance leads")?;
    println!("\n{leader} leads; calls go through {}:", entry.name());
    let caller = fleet.caller("cascina-rossi").with_attempts(3);
    let caller = Arc::new(caller.with_address(entry.callers()));
    let calls = calls();
    let records = future::join_all(calls.iter().map(|call| caller.call(call))).await;
    for record in &records {
        println!("  {record}");
    }
    println!("  in all: {}", Tally::new(&records));
    if records.iter().all(|record| record.is_served()) {
        return Ok(());
    }
    let errors: Vec<_> = records.iter().filter_map(|r| r.error.clone()).collect();
    Err(anyhow!("not every call was served: {errors:?}"))
}

fn calls() -> Vec<Call> {
    let fault = "The centre pivot on field 7 stops at 140 degrees every morning. ".repeat(20);
    vec![
        Call::prompt("agronomo", "plan", "A watering plan for field 3.", TOKENS).with_key("plan-3"),
        Call::prompt("agronomo", "diagnosis", &fault, TOKENS).with_key("fault-7"),
        Call::prompt("agronomo", "summary", "This morning in one line.", TOKENS),
        Call::plain("comando", "start", "pivot 7").with_key("start-7"),
        Call::plain("comando", "stop", "pivot 9").with_key("stop-9"),
        Call::plain("comando", "reading", "pressure 7"),
    ]
}

/// Names the instance that leads.
pub async fn find_leader(operator: &Operator) -> anyhow::Result<String> {
    let status = operator.get("/v1/status").await?;
    let leader = status["leader"].as_str();
    leader
        .map(str::to_owned)
        .with_context(|| format!("no leader in {status}"))
}

fn show_executions(upstreams: &Upstreams) {
    println!("\nThe upstreams ran:");
    let engines = upstreams.engines().map(|(name, e)| (name, e.executions()));
    let services = upstreams.services().map(|(name, s)| (name, s.executions()));
    for (name, executions) in engines.chain(services) {
        println!("  {name}: {} requests", executions.len());
    }
}

/// Waits until the instances have handed in what they counted, and shows who got what.
async fn show_report(operator: &Operator, calls: u64) -> anyhow::Result<()> {
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
            text(&row["account"]),
            row["tier"],
            text(&row["service"]),
            text(&row["version"]),
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

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}
