//! Checks that the report equals the callers' own counts, or shows a gap where counts were lost
//! with a process.

use std::collections::BTreeMap;
use std::time::Duration;

use gooseberrylb_policy::request::Outcome;
use gooseberrylb_testbed::client::caller::Call;
use gooseberrylb_testbed::client::load::Load;
use gooseberrylb_testbed::client::tally::Record;
use gooseberrylb_testbed::fixture::{Fixture, wait_for_requests};
use gooseberrylb_testbed::fleet::{Builder, wait_until};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gooseberrylb_testbed");
const NOTE: &str = include_str!("../../examples/demo.json");
/// Time limit of waits, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
const CALLERS: usize = 6;

/// Numbers of requests by service and outcome.
type Counts = BTreeMap<(String, &'static str), u64>;

fn make_call(number: u64) -> Call {
    let text = format!("request {number}");
    let key = format!("key-{number}");
    match number % 3 {
        0 => Call::prompt("agronomo", "plan", &text, 6).with_key(&key),
        1 => Call::plain("comando", "start", &text).with_key(&key),
        _ => Call::plain("comando", "reading", &text),
    }
}

fn load(fixture: &Fixture) -> Load {
    let callers = (0..CALLERS).map(|_| fixture.fleet.caller("cascina-rossi"));
    Load::start(callers.collect(), make_call)
}

/// Returns the numbers of requests as the callers were told their outcomes.
fn counts_told_to_callers(records: &[Record]) -> Counts {
    let mut counts = Counts::new();
    for record in records {
        let outcome = match record.outcome {
            Some(Outcome::Served) => "served",
            Some(Outcome::NotRun) => "not_run",
            Some(Outcome::Unknown) => "unknown",
            None => continue,
        };
        *counts.entry((record.service.clone(), outcome)).or_default() += 1;
    }
    counts
}

/// Returns the numbers of requests in a report; refused ones count as not run, as callers are told.
fn counts_in_report(report: &Value) -> Counts {
    let mut counts = Counts::new();
    for row in report["rows"].as_array().unwrap() {
        let service = row["service"].as_str().unwrap().to_owned();
        let number = |name: &str| row[name].as_u64().unwrap();
        let by_outcome = [
            ("served", number("served")),
            ("not_run", number("refused") + number("not_run")),
            ("unknown", number("unknown")),
        ];
        for (outcome, count) in by_outcome.into_iter().filter(|(_, count)| *count > 0) {
            *counts.entry((service.clone(), outcome)).or_default() += count;
        }
    }
    counts
}

async fn report(fixture: &Fixture) -> Value {
    fixture.fleet.operator().get("/v1/report").await.unwrap()
}

#[async_std::test]
async fn report_equals_what_callers_were_told() {
    let fixture = start_fixture().await;
    let load = load(&fixture);
    assert!(wait_for_requests(&load, 120).await);
    let told = counts_told_to_callers(&load.stop().await);
    let equal = wait_until(TIMEOUT, async || {
        counts_in_report(&report(&fixture).await) == told
    })
    .await;
    let report = report(&fixture).await;
    assert!(equal, "callers: {told:?}\nreport: {report}");
    assert_eq!(report["gaps"].as_array().unwrap().len(), 0, "{report}");
}

async fn start_fixture() -> Fixture {
    Fixture::start(Builder::new(PROGRAM), NOTE).await.unwrap()
}

#[async_std::test]
async fn counts_lost_with_an_instance_are_a_gap_with_bounds() {
    let mut fixture = start_fixture().await;
    let load = load(&fixture);
    assert!(wait_for_requests(&load, 60).await);
    let leader = fixture.leader().await.unwrap();
    let killed = (leader + 1) % 3;
    let name = fixture.fleet.instances()[killed].name().to_owned();
    fixture.fleet.instance_mut(killed).kill().unwrap();
    assert!(
        wait_for_requests(&load, 60).await,
        "requests stopped ending"
    );
    let told = counts_told_to_callers(&load.stop().await);
    let find_gap = async || {
        let report = report(&fixture).await;
        let gaps = report["gaps"].as_array().unwrap().clone();
        gaps.into_iter()
            .find(|gap| gap["instance"] == name.as_str())
    };
    assert!(wait_until(TIMEOUT, async || find_gap().await.is_some()).await);
    let found = find_gap().await.unwrap();
    assert!(found["from"].is_string(), "{found}");
    // The report has no more than callers were told, except for at most one request of each caller
    // that the killed entry served without the caller learning of it.
    let reported_sum: u64 = counts_in_report(&report(&fixture).await).values().sum();
    let told_sum: u64 = told.values().sum();
    assert!(
        reported_sum <= told_sum + CALLERS as u64,
        "{reported_sum} reported, {told_sum} told"
    );

    fixture
        .fleet
        .instance_mut(killed)
        .restart(TIMEOUT)
        .await
        .unwrap();
    let gap_closed = async || {
        let report = report(&fixture).await;
        let gaps = report["gaps"].as_array().unwrap().clone();
        gaps.iter()
            .any(|gap| gap["instance"] == name.as_str() && gap["to"].is_string())
    };
    assert!(
        wait_until(TIMEOUT, gap_closed).await,
        "the gap stays open after a restart"
    );
}
