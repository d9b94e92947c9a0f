//! What callers are told stays true while links between instances are cut off, late or silent.

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
/// A bound on waiting that a busy machine keeps.
const TIMEOUT: Duration = Duration::from_secs(40);
/// How often a key is sent again that got no answer or an unknown outcome.
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

/// Cuts an instance off from the others, while callers and upstreams still reach it.
async fn cut_off(fixture: &Fixture, cut: usize) {
    for link in fixture.fleet.links_of(cut) {
        link.set_faults(Faults::frozen());
    }
    let instance = &fixture.fleet.instances()[cut];
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

/// Changes the configuration while an instance is cut off, heals it, and reads the change back there.
async fn heal_with_a_new_note(fixture: &Fixture, cut: usize) {
    let operators = fixture.fleet.instances().iter().map(|i| i.operators());
    let elsewhere = operators.enumerate().find(|(i, _)| *i != cut).unwrap().1;
    let note = json!({
        "note": 2, "author": "bianchi",
        "added": {"client_accounts": [{"name": "cascina-verdi"}]}
    });
    let operator = fixture.fleet.operator();
    let mut accepted = json!(null);
    let accepts = async || match operator.submit_at(elsewhere, &note).await {
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
    for link in fixture.fleet.links_of(cut) {
        link.set_faults(Faults::default());
    }
    let healed = fixture.fleet.instances()[cut].operators();
    let reads = async || match operator.get_at(healed, "/v1/notes/2").await {
        Ok(note) => note["digest"] == accepted["digest"] && note["in_force"] == true,
        Err(_) => false,
    };
    assert!(
        wait_until(TIMEOUT, reads).await,
        "{}",
        fixture.fleet.output()
    );
}

async fn survives_cut_off(cut: usize, fixture: &Fixture) {
    let load = load(fixture);
    assert!(wait_for_requests(&load, 30).await);
    cut_off(fixture, cut).await;
    assert!(
        wait_for_requests(&load, 40).await,
        "requests stopped ending"
    );
    heal_with_a_new_note(fixture, cut).await;
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
async fn cut_off_leader_starts_nothing_and_reverts_nothing() {
    let fixture = start_fixture().await;
    let leader = fixture.leader().await.unwrap();
    survives_cut_off(leader, &fixture).await;
}

#[async_std::test]
async fn cut_off_scheduler_grants_nothing() {
    let fixture = start_fixture().await;
    let scheduler = fixture.scheduler("comando").await.unwrap();
    survives_cut_off(scheduler, &fixture).await;
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
