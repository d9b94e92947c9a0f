//! Checks that callers are told the truth about their requests while processes are killed, frozen
//! or stopped and responses are lost. Compares the callers' records with the upstreams' own logs.

use std::time::Duration;

use gooseberrylb_policy::request::Outcome;
use gooseberrylb_testbed::client::caller::Call;
use gooseberrylb_testbed::client::load::Load;
use gooseberrylb_testbed::client::tally::{Record, Tally};
use gooseberrylb_testbed::fixture::{Fixture, wait_for_requests};
use gooseberrylb_testbed::fleet::{Builder, wait_until};
use gooseberrylb_testbed::standin::plain::{Faults, Loss};
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gooseberrylb_testbed");
const NOTE: &str = include_str!("../../examples/demo.json");
/// Time limit of waits, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(40);
/// Time after the acceptance of a withdrawal in which its upstream may still get requests, in
/// milliseconds.
const WITHDRAWAL_GRACE_MS: u64 = 2_000;
/// Number of resends of a request without a known outcome.
const RESENDS: u32 = 2;
const CALLERS: usize = 9;
/// Time that plain calls take, so that some are in flight at any time, in milliseconds.
const PLAIN_DELAY_MS: u64 = 150;

/// Number of tokens of a stream that, on every engine, outlasts the expiry of cached addresses and
/// the handover to another scheduler.
const LONG_TOKENS: u64 = 1_000;

async fn start_fixture() -> Fixture {
    Fixture::start(Builder::new(PROGRAM), NOTE).await.unwrap()
}

/// Returns a model request or a plain call with its own body, by which its executions are found.
fn make_call(number: u64) -> Call {
    let text = format!("request {number} for field {}", number % 40);
    let key = format!("key-{number}");
    match number % 4 {
        0 => Call::prompt("agronomo", "plan", &text, 12).with_key(&key),
        1 => Call::prompt("agronomo", "diagnosis", &text, 6).with_key(&key),
        2 => Call::plain("comando", "start", &text).with_key(&key),
        _ => Call::plain("comando", "stop", &text).with_key(&key),
    }
}

/// Starts a load with callers spread over all instances and with slow plain calls.
fn load(fixture: &Fixture) -> Load {
    for (_, service) in fixture.upstreams.services() {
        service.set_faults(Faults {
            delay_ms: PLAIN_DELAY_MS,
            ..Faults::default()
        });
    }
    let instances = fixture.fleet.instances();
    let callers = (0..CALLERS).map(|i| {
        let preferred = instances[i % instances.len()].callers();
        let caller = fixture.fleet.caller("cascina-rossi").with_resends(RESENDS);
        caller.with_preferred(preferred)
    });
    Load::start(callers.collect(), make_call)
}

fn assert_no_violations(fixture: &Fixture, records: &[Record]) {
    let violations = fixture.violations(records);
    assert!(
        violations.is_empty(),
        "{}\n{}",
        Tally::new(records),
        violations.join("\n")
    );
}

#[async_std::test]
async fn outcomes_stay_true_when_the_scheduler_is_killed() {
    let mut fixture = start_fixture().await;
    let load = load(&fixture);
    assert!(wait_for_requests(&load, 40).await);
    let scheduler = fixture.scheduler("comando").await.unwrap();
    fixture.fleet.instance_mut(scheduler).kill().unwrap();
    assert!(
        wait_for_requests(&load, 80).await,
        "requests stopped ending"
    );
    let records = load.stop().await;
    assert_no_violations(&fixture, &records);
    let last = &records[records.len() - CALLERS..];
    assert!(last.iter().any(Record::is_served), "{}", Tally::new(last));
}

#[async_std::test]
async fn outcomes_stay_true_when_an_entry_is_killed() {
    let mut fixture = start_fixture().await;
    let load = load(&fixture);
    assert!(wait_for_requests(&load, 40).await);
    let scheduler = fixture.scheduler("agronomo").await.unwrap();
    let entry = (scheduler + 1) % 3;
    fixture.fleet.instance_mut(entry).kill().unwrap();
    assert!(
        wait_for_requests(&load, 80).await,
        "requests stopped ending"
    );
    assert_no_violations(&fixture, &load.stop().await);
}

#[async_std::test]
async fn lost_response_is_unknown_and_never_runs_again() {
    let fixture = start_fixture().await;
    for loss in [Loss::Close, Loss::Silent] {
        for (_, service) in fixture.upstreams.services() {
            service.set_faults(Faults {
                loss,
                ..Faults::default()
            });
        }
        let text = format!("pivot {loss:?}");
        let timeout = Duration::from_secs(3);
        let call = Call::plain("comando", "start", &text).with_key(&text.replace(' ', "-"));
        let call = call.with_timeout(timeout);
        for instance in fixture.fleet.instances() {
            let caller = fixture
                .fleet
                .caller("cascina-rossi")
                .with_address(instance.callers());
            let record = caller.call(&call).await;
            assert_eq!(record.outcome, Some(Outcome::Unknown), "{loss:?}: {record}");
        }
        let digest = call.payload.digest();
        let runs = fixture
            .executions()
            .iter()
            .filter(|e| e.body_digest == digest)
            .count();
        assert_eq!(runs, 1, "{loss:?}");
    }
}

#[async_std::test]
async fn withdrawn_upstream_gets_no_new_work() {
    let fixture = start_fixture().await;
    let load = load(&fixture);
    assert!(wait_for_requests(&load, 40).await);
    let note = json!({
        "note": 2, "author": "rossi",
        "changed": {
            "versions": [
                {"name": "agronomo@1", "service": "agronomo",
                    "upstreams": ["agronomo-01", "agronomo-02"]},
                {"name": "comando@1", "service": "comando", "upstreams": ["comando-01"]}
            ]
        },
        "withdrawn": {"upstreams": ["agronomo-03", "comando-02"]}
    });
    fixture.fleet.operator().submit(&note).await.unwrap();
    let accepted = fixture.fleet.operator().get("/v1/notes/2").await.unwrap();
    let accepted = parse_unix_ms(accepted["at"].as_str().unwrap());
    assert!(wait_for_requests(&load, 200).await);
    let records = load.stop().await;
    assert_no_violations(&fixture, &records);
    let retried_or_failed = records
        .iter()
        .filter(|record| !record.is_served() || record.attempts > 1)
        .count();
    assert_eq!(retried_or_failed, 0, "{}", Tally::new(&records));
    let engine = fixture
        .upstreams
        .engine("agronomo-03")
        .unwrap()
        .executions();
    let service = fixture
        .upstreams
        .service("comando-02")
        .unwrap()
        .executions();
    for execution in engine.iter().chain(&service) {
        assert!(
            execution.started_at <= accepted + WITHDRAWAL_GRACE_MS,
            "{execution:?}"
        );
    }
}

fn parse_unix_ms(text: &str) -> u64 {
    let time = humantime::parse_rfc3339(text).unwrap();
    gooseberrylb_testbed::standin::execution::unix_ms(time)
}

#[async_std::test]
async fn planned_stop_cuts_no_request() {
    for role in ["entry", "scheduler", "leader"] {
        let mut fixture = start_fixture().await;
        let load = load(&fixture);
        assert!(wait_for_requests(&load, 40).await);
        let leader = fixture.leader().await.unwrap();
        let scheduler = fixture.scheduler("agronomo").await.unwrap();
        let stopped = match role {
            "leader" => leader,
            "scheduler" => scheduler,
            _ => (0..3).find(|i| *i != leader && *i != scheduler).unwrap(),
        };
        fixture.fleet.instances()[stopped].terminate().unwrap();
        fixture
            .fleet
            .instance_mut(stopped)
            .wait_exit(TIMEOUT)
            .await
            .unwrap();
        assert!(wait_for_requests(&load, 40).await, "{role}");
        let records = load.stop().await;
        assert_no_violations(&fixture, &records);
        let retried_or_failed: Vec<String> = records
            .iter()
            .filter(|record| !record.is_served() || record.attempts > 1)
            .map(|record| format!("{record} {:?}", record.error))
            .collect();
        let output = fixture.fleet.output();
        assert!(
            retried_or_failed.is_empty(),
            "stop of the {role}: {}\n{output}",
            retried_or_failed.join("\n")
        );
    }
}

#[async_std::test]
async fn frozen_leader_reverts_nothing_when_it_thaws() {
    let fixture = start_fixture().await;
    let load = load(&fixture);
    assert!(wait_for_requests(&load, 40).await);
    let leader = fixture.leader().await.unwrap();
    fixture.fleet.instances()[leader].freeze().unwrap();
    let operator = fixture.fleet.operator();
    let note = json!({
        "note": 2, "author": "bianchi",
        "added": {"client_accounts": [{"name": "cascina-verdi"}]}
    });
    let accepted = operator.submit(&note).await.unwrap();
    assert!(
        wait_for_requests(&load, 40).await,
        "requests stopped ending"
    );
    fixture.fleet.instances()[leader].thaw().unwrap();
    assert!(wait_for_requests(&load, 40).await);
    operator.wait_in_force(2, TIMEOUT).await.unwrap();
    for instance in fixture.fleet.instances() {
        let read = operator
            .get_at(instance.operators(), "/v1/notes/2")
            .await
            .unwrap();
        assert_eq!(read["digest"], accepted["digest"]);
        let again = operator
            .submit_at(instance.operators(), &note)
            .await
            .unwrap();
        assert_eq!(again.json().unwrap(), accepted);
    }
    assert_no_violations(&fixture, &load.stop().await);
}

/// Guards against a planned stop that breaks off a stream which takes longer than everything else
/// that the shutdown waits for.
#[async_std::test]
async fn planned_stop_waits_for_a_long_stream() {
    let mut fixture = start_fixture().await;
    let leader = fixture.leader().await.unwrap();
    let stopped = (leader + 1) % 3;
    let address = fixture.fleet.instances()[stopped].callers();
    let caller = fixture.fleet.caller("cascina-rossi").with_address(address);
    let call = Call::prompt("agronomo", "plan", "a long plan", LONG_TOKENS).with_key("long");
    let response = async_std::task::spawn(async move { caller.call(&call).await });
    let started = async || !fixture.executions().is_empty();
    assert!(wait_until(TIMEOUT, started).await);
    fixture.fleet.instances()[stopped].terminate().unwrap();
    let record = response.await;
    assert!(record.is_served(), "{record} {:?}", record.error);
    let ended = fixture.fleet.instance_mut(stopped).wait_exit(TIMEOUT).await;
    ended.unwrap();
}
