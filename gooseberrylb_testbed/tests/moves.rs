//! Tests moves between versions with real processes: moves to good versions are done in time, moves
//! to bad ones are reverted, the death of a leader repeats no step, and engines get each order
//! once, from one leader at a time. Checked by the audit trail and the upstreams' own logs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use gooseberrylb_config::answer::audit::{Audit, Entry, Kind};
use gooseberrylb_config::answer::{Item, Note, Progress, Status};
use gooseberrylb_config::directory::Share;
use gooseberrylb_config::number::Bytes;
use gooseberrylb_testbed::client::caller::Call;
use gooseberrylb_testbed::client::load::Load;
use gooseberrylb_testbed::client::tally::Record;
use gooseberrylb_testbed::fixture::{Fixture, wait_for_requests};
use gooseberrylb_testbed::fleet::{Builder, wait_until};
use gooseberrylb_testbed::standin::engine::{Faults, Order};
use gooseberrylb_testbed::standin::execution::{Execution, unix_ms};
use gooseberrylb_testbed::standin::store::{Settings as StoreSettings, Store};
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gooseberrylb_testbed");
const NOTE: &str = include_str!("../../examples/demo.json");
/// Version that traffic moves to.
const NEW_VERSION: &str = "agronomo@2";
/// Engines of the new version, as fast as those of the old one; only the first one checks fencing
/// numbers.
const NEW_ENGINES: [&str; 3] = ["agronomo-04", "agronomo-05", "agronomo-06"];
/// Time until the deadline of a move.
const MOVE_WINDOW: Duration = Duration::from_secs(30);
/// Time until the deadline of a move that loses its leader or loads weights.
const LONG_MOVE_WINDOW: Duration = Duration::from_secs(60);
/// Time limit of waits, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(90);
/// Time after the reverting step in which the new version may still get requests, in milliseconds.
const REVERT_GRACE_MS: u64 = 2_000;
/// Number of requests that a version bad at once may fail whatever the traffic.
const MAX_FAILED_REQUESTS: usize = 20;
/// Number of requests of the service for each one that a version bad at once may fail.
const REQUESTS_PER_FAILURE: usize = 100;
/// Rate of the weight store, in bytes per second.
const STORE_BYTES_PER_SECOND: u64 = 500_000;
/// Size of the model's weights, in bytes.
const MODEL_BYTES: u64 = 1_500_000;
const CALLERS: usize = 12;

fn make_call(number: u64) -> Call {
    let text = format!("request {number} for field {}", number % 40);
    let route = ["plan", "diagnosis", "summary"][number as usize % 3];
    Call::prompt("agronomo", route, &text, 4).with_key(&format!("key-{number}"))
}

/// Starts a fixture and a load on the old version.
async fn start(builder: Builder) -> (Fixture, Load) {
    let fixture = Fixture::start(builder, NOTE).await.unwrap();
    let callers = (0..CALLERS).map(|_| fixture.fleet.caller("cascina-rossi"));
    let load = Load::start(callers.collect(), make_call);
    assert!(wait_for_requests(&load, 40).await);
    (fixture, load)
}

/// Returns the note that requests the move, with weights to load if `model` is set.
fn note(window: Duration, model: Option<&str>) -> String {
    let upstream = |name: &str, data_centre: &str, slots: u32, checks_fencing: bool| {
        json!({
            "name": name, "service": "agronomo", "kind": "engine", "address": "127.0.0.1:9004",
            "data_centre": data_centre, "slots": slots, "checks_fencing": checks_fencing,
        })
    };
    let upstreams = [
        upstream(NEW_ENGINES[0], "cremona", 16, true),
        upstream(NEW_ENGINES[1], "lodi", 8, false),
        upstream(NEW_ENGINES[2], "mantova", 8, false),
    ];
    let move_by = humantime::format_rfc3339_millis(SystemTime::now() + window);
    let mut version = json!({
        "name": NEW_VERSION, "service": "agronomo", "upstreams": NEW_ENGINES,
        "replaces": "agronomo@1", "move_by": move_by.to_string(),
    });
    let mut added = json!({"upstreams": upstreams});
    if let Some(model) = model {
        version["model"] = json!(model);
        added["models"] = json!([{"name": model, "bytes": MODEL_BYTES}]);
    }
    added["versions"] = json!([version]);
    json!({"note": 2, "author": "rossi", "added": added}).to_string()
}

fn read<T: serde::de::DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).unwrap()
}

/// Returns the note and the item of its move, as they read back.
async fn read_back(fixture: &Fixture) -> Option<(Note, Item)> {
    let answer = fixture.fleet.operator().get("/v1/notes/2").await.ok()?;
    let note: Note = read(answer);
    let item = note
        .items
        .iter()
        .find(|item| &*item.name == NEW_VERSION)?
        .clone();
    Some((note, item))
}

/// Waits until the item of the move satisfies `wanted`; ends early if the move is reverted, which
/// is final.
async fn wait_for_item(fixture: &Fixture, wanted: impl Fn(&Item) -> bool) -> (Note, Item) {
    let mut last = None;
    let reached = wait_until(TIMEOUT, async || {
        last = read_back(fixture).await.or(last.take());
        let reverted = |item: &Item| item.state == Progress::Reverted;
        last.as_ref()
            .is_some_and(|(_, item)| wanted(item) || reverted(item))
    })
    .await;
    let (note, item) = last.expect("no read-back");
    assert!(
        reached && wanted(&item),
        "{item:?}\n{}",
        fixture.fleet.output()
    );
    (note, item)
}

async fn wait_for_end(fixture: &Fixture) -> (Note, Item) {
    wait_for_item(fixture, |item| item.state != Progress::Moving).await
}

/// Returns the steps of the move from the audit trail.
async fn steps(fixture: &Fixture) -> Vec<Entry> {
    let mut steps = Vec::new();
    let mut after = 0;
    loop {
        let path = format!("/v1/audit?after={after}");
        let audit: Audit = read(fixture.fleet.operator().get(&path).await.unwrap());
        steps.extend(audit.entries.into_iter().filter(is_step));
        after = audit.after;
        if !audit.more {
            return steps;
        }
    }
}

fn is_step(entry: &Entry) -> bool {
    entry.kind == Kind::MoveStep && *entry.subject == format!("version {NEW_VERSION}")
}

/// Checks that the steps are numbered from 1 without a gap or a repeat, and returns the last one.
fn assert_numbered(steps: &[Entry], item: &Item) -> Entry {
    for (i, step) in steps.iter().enumerate() {
        let number = format!("step {},", i + 1);
        assert!(step.cause.starts_with(&number), "{steps:#?}");
    }
    assert_eq!(item.step, Some(steps.len() as u32), "{steps:#?}");
    steps.last().unwrap().clone()
}

/// Returns the executions of the new version's engines.
fn executions(fixture: &Fixture) -> Vec<Execution> {
    let engines = NEW_ENGINES.map(|name| fixture.upstreams.engine(name).unwrap());
    engines.iter().flat_map(|e| e.executions()).collect()
}

fn set_failing(fixture: &Fixture) {
    for name in NEW_ENGINES {
        fixture.upstreams.engine(name).unwrap().set_faults(Faults {
            failure_rates: BTreeMap::from([("*".to_owned(), 1.0)]),
            ..Faults::default()
        });
    }
}

fn assert_no_violations(fixture: &Fixture, records: &[Record]) {
    let violations = fixture.violations(records);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

fn assert_done(item: &Item, last: &Entry) {
    assert_eq!(item.state, Progress::Done, "{item:?}");
    assert_eq!(item.phase.as_deref(), Some("done"));
    assert_eq!(item.share, Some(Share::WHOLE));
    assert!(!item.reason.is_empty());
    assert!(last.at <= item.move_by.unwrap(), "{last:?} {item:?}");
}

/// Checks that the move was reverted because of failures, and that the new version got no requests
/// after the grace time.
fn assert_reverted(fixture: &Fixture, item: &Item, last: &Entry) {
    assert_eq!(item.state, Progress::Reverted, "{item:?}");
    assert_eq!(item.phase.as_deref(), Some("reverted"));
    assert_eq!(item.share, Some(Share::NONE));
    assert!(item.reason.contains("failure"), "{item:?}");
    assert!(last.cause.ends_with(&*item.reason), "{last:?} {item:?}");
    let limit = unix_ms(last.at) + REVERT_GRACE_MS;
    let late: Vec<Execution> = executions(fixture)
        .into_iter()
        .filter(|execution| execution.started_at > limit)
        .collect();
    assert!(late.is_empty(), "after {last:?}: {late:?}");
}

#[async_std::test]
async fn good_version_is_done_in_time_and_reads_back() {
    let (mut fixture, load) = start(Builder::new(PROGRAM)).await;
    fixture.submit(&note(MOVE_WINDOW, None)).await.unwrap();
    let (_, item) = wait_for_item(&fixture, |item| item.step.is_some_and(|step| step > 0)).await;
    assert_eq!(item.phase.as_deref(), Some("canary"), "{item:?}");
    let share = item.share.unwrap();
    assert!(share > Share::NONE && share < Share::WHOLE, "{item:?}");
    assert!(!item.reason.is_empty());
    let (note, item) = wait_for_end(&fixture).await;
    let last = assert_numbered(&steps(&fixture).await, &item);
    assert_done(&item, &last);
    assert_eq!(note.state, Progress::Done);
    assert!(wait_for_requests(&load, 40).await);
    let records = load.stop().await;
    assert_no_violations(&fixture, &records);
    let latest = records.last().unwrap();
    assert_eq!(latest.version.as_deref(), Some(NEW_VERSION), "{latest}");
}

#[async_std::test]
async fn version_bad_at_once_is_reverted_with_few_failures() {
    let (mut fixture, load) = start(Builder::new(PROGRAM)).await;
    let text = note(MOVE_WINDOW, None);
    let mut bad = gooseberrylb_config::note::Note::parse(&text).unwrap();
    fixture.upstreams.fill(&mut bad).await.unwrap();
    set_failing(&fixture);
    fixture.fleet.operator().submit(&json!(bad)).await.unwrap();
    let (note, item) = wait_for_end(&fixture).await;
    assert!(wait_for_requests(&load, 200).await);
    let records = load.stop().await;
    let last = assert_numbered(&steps(&fixture).await, &item);
    assert_reverted(&fixture, &item, &last);
    assert_eq!(note.state, Progress::Reverted);
    assert_no_violations(&fixture, &records);
    let failed_count = executions(&fixture).iter().filter(|e| e.failed).count();
    let max_failed = MAX_FAILED_REQUESTS.max(records.len() / REQUESTS_PER_FAILURE);
    assert!(
        failed_count <= max_failed,
        "{failed_count} of {}",
        records.len()
    );
}

#[async_std::test]
async fn version_bad_late_is_reverted() {
    for phase in ["ramping", "done"] {
        let (mut fixture, load) = start(Builder::new(PROGRAM)).await;
        fixture.submit(&note(MOVE_WINDOW, None)).await.unwrap();
        wait_for_item(&fixture, |item| item.phase.as_deref() == Some(phase)).await;
        set_failing(&fixture);
        let (_, item) = wait_for_item(&fixture, |item| item.state == Progress::Reverted).await;
        assert!(wait_for_requests(&load, 200).await);
        let records = load.stop().await;
        let last = assert_numbered(&steps(&fixture).await, &item);
        assert_reverted(&fixture, &item, &last);
        assert_eq!(item.reason.contains("after it was done"), phase == "done");
        assert_no_violations(&fixture, &records);
    }
}

#[async_std::test]
async fn move_continues_without_a_repeated_step_when_the_leader_is_killed() {
    let (mut fixture, load) = start(Builder::new(PROGRAM)).await;
    fixture.submit(&note(LONG_MOVE_WINDOW, None)).await.unwrap();
    wait_for_item(&fixture, |item| item.phase.as_deref() == Some("ramping")).await;
    let leader = fixture.leader().await.unwrap();
    fixture.fleet.instance_mut(leader).kill().unwrap();
    let (_, item) = wait_for_end(&fixture).await;
    let started = load.started();
    assert!(
        wait_for_requests(&load, 40).await,
        "{started} started\n{}",
        fixture.fleet.output()
    );
    let last = assert_numbered(&steps(&fixture).await, &item);
    assert_done(&item, &last);
    assert_no_violations(&fixture, &load.stop().await);
}

async fn start_store() -> Store {
    let stock = StoreSettings {
        weights: BTreeMap::from([("irrigo-7".into(), Bytes(MODEL_BYTES))]),
        rate: Bytes(STORE_BYTES_PER_SECOND),
    };
    Store::start(([127, 0, 0, 1], 0).into(), stock)
        .await
        .unwrap()
}

fn received_orders(fixture: &Fixture, engine: &str) -> Vec<Order> {
    fixture.upstreams.engine(engine).unwrap().received_orders()
}

fn assert_ordered_once(fixture: &Fixture) {
    for engine in NEW_ENGINES {
        let received_orders = received_orders(fixture, engine);
        let kinds: Vec<&str> = received_orders
            .iter()
            .map(|order| order.kind.as_str())
            .collect();
        assert_eq!(
            kinds,
            ["load_model", "activate"],
            "{engine}: {received_orders:?}"
        );
        let ids: BTreeSet<&str> = received_orders
            .iter()
            .map(|order| order.order_id.as_str())
            .collect();
        assert_eq!(
            ids.len(),
            received_orders.len(),
            "{engine}: {received_orders:?}"
        );
    }
}

async fn status_of(fixture: &Fixture, instance: usize) -> Option<Status> {
    let address = fixture.fleet.instances()[instance].operators();
    let status = fixture.fleet.operator().get_at(address, "/v1/status").await;
    status.ok().map(read)
}

#[async_std::test]
async fn engines_are_ordered_once_to_load_before_the_canary() {
    let store = start_store().await;
    let builder = Builder::new(PROGRAM).with_weight_store(store.address(), STORE_BYTES_PER_SECOND);
    let (mut fixture, load) = start(builder).await;
    fixture
        .submit(&note(LONG_MOVE_WINDOW, Some("irrigo-7")))
        .await
        .unwrap();
    let (_, item) = wait_for_item(&fixture, |item| item.step.is_some_and(|step| step > 0)).await;
    assert_eq!(item.phase.as_deref(), Some("canary"), "{item:?}");
    assert_ordered_once(&fixture);
    let leader = fixture.leader().await.unwrap();
    let term = status_of(&fixture, leader).await.unwrap().term;
    for order in NEW_ENGINES
        .iter()
        .flat_map(|engine| received_orders(&fixture, engine))
    {
        assert_eq!(order.fencing, term.0, "{order:?}");
    }
    assert_no_violations(&fixture, &load.stop().await);
}

#[async_std::test]
async fn thawed_leader_sends_no_orders() {
    let store = start_store().await;
    let builder = Builder::new(PROGRAM).with_weight_store(store.address(), STORE_BYTES_PER_SECOND);
    let (mut fixture, load) = start(builder).await;
    fixture
        .submit(&note(LONG_MOVE_WINDOW, Some("irrigo-7")))
        .await
        .unwrap();
    let ordered = || {
        NEW_ENGINES
            .iter()
            .all(|e| !received_orders(&fixture, e).is_empty())
    };
    assert!(wait_until(TIMEOUT, async || ordered()).await);
    let old_leader = fixture.leader().await.unwrap();
    let other_instance = (old_leader + 1) % fixture.fleet.instances().len();
    let old_name = fixture.fleet.instances()[old_leader].name().to_owned();
    fixture.fleet.instances()[old_leader].freeze().unwrap();
    let mut new_term = None;
    let changed = wait_until(TIMEOUT, async || {
        let status = status_of(&fixture, other_instance).await;
        let status = status.filter(|s| s.leader.as_ref().is_some_and(|l| l.as_str() != old_name));
        new_term = status.map(|status| status.term.0);
        new_term.is_some()
    })
    .await;
    assert!(changed, "{}", fixture.fleet.output());
    fixture.fleet.instances()[old_leader].thaw().unwrap();
    wait_for_item(&fixture, |item| item.step.is_some_and(|step| step > 0)).await;
    assert_ordered_once(&fixture);
    for engine in NEW_ENGINES {
        let received_orders = received_orders(&fixture, engine);
        assert!(
            received_orders[0].fencing < new_term.unwrap(),
            "{engine}: {received_orders:?}"
        );
        assert!(
            received_orders[1].fencing >= new_term.unwrap(),
            "{engine}: {received_orders:?}"
        );
    }
    assert_no_violations(&fixture, &load.stop().await);
}
