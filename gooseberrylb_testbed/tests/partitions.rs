//! Checks that callers are told the truth about their requests while links between instances are
//! cut off or silent.

use std::time::Duration;

use gooseberrylb_testbed::client::caller::Call;
use gooseberrylb_testbed::client::load::Load;
use gooseberrylb_testbed::client::tally::{Record, Tally};
use gooseberrylb_testbed::fixture::{Fixture, wait_for_requests};
use gooseberrylb_testbed::fleet::{Builder, wait_until};
use gooseberrylb_testbed::proxy::Faults;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gooseberrylb_testbed");
const NOTE: &str = include_str!("../../examples/demo.json");
/// Time limit of waits, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(40);
/// Number of resends of a request without a known outcome.
const RESENDS: u32 = 2;
const CALLERS: usize = 6;

async fn start_fixture() -> Fixture {
    let builder = Builder::new(PROGRAM).with_proxied_peers();
    Fixture::start(builder, NOTE).await.unwrap()
}

fn make_call(number: u64) -> Call {
    let text = format!("request {number}");
    let key = format!("key-{number}");
    if number.is_multiple_of(2) {
        Call::prompt("agronomo", "plan", &text, 8).with_key(&key)
    } else {
        Call::plain("comando", "start", &text).with_key(&key)
    }
}

fn load(fixture: &Fixture) -> Load {
    let callers = (0..CALLERS).map(|_| fixture.fleet.caller("cascina-rossi").with_resends(RESENDS));
    Load::start(callers.collect(), make_call)
}

fn assert_no_violations(fixture: &Fixture, records: &[Record]) {
    let violations = fixture.violations(records);
    let output = fixture.fleet.output();
    let tally = Tally::new(records);
    assert!(
        violations.is_empty(),
        "{tally}\n{}\n{output}",
        violations.join("\n")
    );
}

/// Isolates an instance from the others, while callers and upstreams can still reach it, and checks
/// that it then refuses a request as not run.
async fn isolate(fixture: &Fixture, isolated: usize) {
    for link in fixture.fleet.links_of(isolated) {
        link.set_faults(Faults::frozen());
    }
    let instance = &fixture.fleet.instances()[isolated];
    assert!(wait_until(TIMEOUT, async || !instance.is_fresh().await).await);
    let caller = fixture
        .fleet
        .caller("cascina-rossi")
        .with_address(instance.callers());
    let call = Call::plain("comando", "start", "cut off").with_key("cut-off");
    let record = caller.call(&call).await;
    assert_eq!(
        record.outcome.map(|o| o.to_string()).as_deref(),
        Some("not-run"),
        "{record}"
    );
}

/// Submits a note elsewhere while an instance is isolated, reconnects it, and waits until it
/// reports the note as in force.
async fn reconnect_after_a_new_note(fixture: &Fixture, isolated: usize) {
    let operators = fixture.fleet.instances().iter().map(|i| i.operators());
    let other = operators
        .enumerate()
        .find(|(i, _)| *i != isolated)
        .unwrap()
        .1;
    let note = json!({
        "note": 2, "author": "bianchi",
        "added": {"client_accounts": [{"name": "cascina-verdi"}]}
    });
    let operator = fixture.fleet.operator();
    let mut accepted = json!(null);
    let accepts = async || match operator.submit_at(other, &note).await {
        Ok(answer) if answer.status == 200 => {
            accepted = answer.json().unwrap();
            true
        }
        _ => false,
    };
    assert!(
        wait_until(TIMEOUT, accepts).await,
        "{}",
        fixture.fleet.output()
    );
    for link in fixture.fleet.links_of(isolated) {
        link.set_faults(Faults::default());
    }
    let reconnected = fixture.fleet.instances()[isolated].operators();
    let reads = async || match operator.get_at(reconnected, "/v1/notes/2").await {
        Ok(note) => note["digest"] == accepted["digest"] && note["in_force"] == true,
        Err(_) => false,
    };
    assert!(
        wait_until(TIMEOUT, reads).await,
        "{}",
        fixture.fleet.output()
    );
}

async fn check_isolation_of(isolated: usize, fixture: &Fixture) {
    let load = load(fixture);
    assert!(wait_for_requests(&load, 30).await);
    isolate(fixture, isolated).await;
    assert!(
        wait_for_requests(&load, 40).await,
        "requests stopped ending"
    );
    reconnect_after_a_new_note(fixture, isolated).await;
    assert!(
        wait_for_requests(&load, 40).await,
        "requests stopped ending"
    );
    let records = load.stop().await;
    assert_no_violations(fixture, &records);
    let last = &records[records.len() - CALLERS..];
    assert!(last.iter().any(Record::is_served), "{}", Tally::new(last));
}

#[async_std::test]
async fn isolated_leader_starts_nothing_and_reverts_nothing() {
    let fixture = start_fixture().await;
    let leader = fixture.leader().await.unwrap();
    check_isolation_of(leader, &fixture).await;
}

#[async_std::test]
async fn isolated_scheduler_grants_nothing() {
    let fixture = start_fixture().await;
    let scheduler = fixture.scheduler("comando").await.unwrap();
    check_isolation_of(scheduler, &fixture).await;
}

#[async_std::test]
async fn silent_peer_connections_are_replaced() {
    let fixture = start_fixture().await;
    let load = load(&fixture);
    for _ in 0..2 {
        assert!(wait_for_requests(&load, 30).await);
        fixture.fleet.links().iter().for_each(|link| link.silence());
        assert!(
            wait_for_requests(&load, 30).await,
            "requests stopped ending\n{}",
            fixture.fleet.output()
        );
    }
    assert!(wait_for_requests(&load, 30).await);
    let records = load.stop().await;
    assert_no_violations(&fixture, &records);
    let last = &records[records.len() - CALLERS..];
    assert!(last.iter().any(Record::is_served), "{}", Tally::new(last));
}
