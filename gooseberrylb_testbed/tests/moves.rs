//! Moves between versions with real processes: good versions are done in time, bad ones are taken
//! back, a leader's death repeats no step, and engines are ordered once by one leader at a time.
//! Judged by the audit trail and the upstreams' own logs.

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
/// The version that traffic moves to.
const NEW: &str = "agronomo@2";
/// Its engines, as fast as those of the old version; the first one checks fencing numbers, the others
/// do not.
const ENGINES: [&str; 3] = ["agronomo-04", "agronomo-05", "agronomo-06"];
/// How long a move has.
const WINDOW: Duration = Duration::from_secs(30);
/// How long a move has that loses its leader or loads weights.
const LONG_WINDOW: Duration = Duration::from_secs(60);
/// A bound on waiting that a busy machine keeps.
const TIMEOUT: Duration = Duration::from_secs(90);
/// How long after the step back its version may still get requests, in milliseconds.
const STEP_BACK_MS: u64 = 2_000;
/// The requests that a version bad at once may always harm.
const MAX_HARMED: usize = 20;
/// Of how many requests of the service a version bad at once may harm one.
const REQUESTS_PER_HARMED: usize = 100;
/// The rate of the weight store, in bytes a second.
const STORE_RATE: u64 = 500_000;
/// The size of the model, in bytes.
const MODEL_BYTES: u64 = 1_500_000;
const CALLERS: usize = 12;

fn make_call(number: u64) -> Call {
    let text = format!("request {number} for field {}", number % 40);
    let route = ["plan", "diagnosis", "summary"][number as usize % 3];
    Call::prompt("agronomo", route, &text, 4).with_key(&format!("key-{number}"))
}

/// A fixture with traffic for the old version.
async fn start(builder: Builder) -> (Fixture, Load) {
    let fixture = Fixture::start(builder, NOTE).await.unwrap();
    let callers = (0..CALLERS).map(|_| fixture.fleet.caller("cascina-rossi"));
    let load = Load::start(callers.collect(), make_call);
    assert!(wait_for_requests(&load, 40).await);
    (fixture, load)
}

/// The note that asks for the move.
fn note(window: Duration, model: Option<&str>) -> String {
    let upstream = |name: &str, data_centre: &str, slots: u32, checks_fencing: bool| {
        json!({
            "name": name, "service": "agronomo", "kind": "engine", "address": "127.0.0.1:9004",
            "data_centre": data_centre, "slots": slots, "checks_fencing": checks_fencing,
        })
    };
    let upstreams = [
        upstream(ENGINES[0], "cremona", 16, true),
        upstream(ENGINES[1], "lodi", 8, false),
        upstream(ENGINES[2], "mantova", 8, false),
    ];
    let move_by = humantime::format_rfc3339_millis(SystemTime::now() + window);
    let mut version = json!({
        "name": NEW, "service": "agronomo", "upstreams": ENGINES,
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

/// The note and the item of its move, as they read back.
async fn read_back(fixture: &Fixture) -> Option<(Note, Item)> {
    let answer = fixture.fleet.operator().get("/v1/notes/2").await.ok()?;
    let note: Note = read(answer);
    let item = note.items.iter().find(|item| &*item.name == NEW)?.clone();
    Some((note, item))
}

/// Waits until the move reads back as it should; nothing follows once it is taken back.
async fn await_item(fixture: &Fixture, wanted: impl Fn(&Item) -> bool) -> (Note, Item) {
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

async fn await_end(fixture: &Fixture) -> (Note, Item) {
    await_item(fixture, |item| item.state != Progress::Moving).await
}

/// The steps of the move by the audit trail.
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
    entry.kind == Kind::MoveStep && *entry.subject == format!("version {NEW}")
}

/// Checks that the steps are numbered from 1 without a gap or a repeat, and gives the last one.
fn assert_numbered(steps: &[Entry], item: &Item) -> Entry {
    for (i, step) in steps.iter().enumerate() {
        let number = format!("step {},", i + 1);
        assert!(step.cause.starts_with(&number), "{steps:#?}");
    }
    assert_eq!(item.step, Some(steps.len() as u32), "{steps:#?}");
    steps.last().unwrap().clone()
}

/// What the new version's engines ran.
fn executions(fixture: &Fixture) -> Vec<Execution> {
    let engines = ENGINES.map(|name| fixture.upstreams.engine(name).unwrap());
    engines.iter().flat_map(|e| e.executions()).collect()
}

fn set_failing(fixture: &Fixture) {
    for name in ENGINES {
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

/// Checks that the move is taken back for failures, and that requests stopped soon after.
fn assert_reverted(fixture: &Fixture, item: &Item, last: &Entry) {
    assert_eq!(item.state, Progress::Reverted, "{item:?}");
    assert_eq!(item.phase.as_deref(), Some("reverted"));
    assert_eq!(item.share, Some(Share::NONE));
    assert!(item.reason.contains("failure"), "{item:?}");
    assert!(last.cause.ends_with(&*item.reason), "{last:?} {item:?}");
    let limit = unix_ms(last.at) + STEP_BACK_MS;
    let late: Vec<Execution> = executions(fixture)
        .into_iter()
        .filter(|execution| execution.started_at > limit)
        .collect();
    assert!(late.is_empty(), "after {last:?}: {late:?}");
}

#[async_std::test]
async fn good_version_is_done_in_time_and_reads_back() {
    let (mut fixture, load) = start(Builder::new(PROGRAM)).await;
    fixture.submit(&note(WINDOW, None)).await.unwrap();
    let (_, item) = await_item(&fixture, |item| item.step.is_some_and(|step| step > 0)).await;
    assert_eq!(item.phase.as_deref(), Some("canary"), "{item:?}");
    let share = item.share.unwrap();
    assert!(share > Share::NONE && share < Share::WHOLE, "{item:?}");
    assert!(!item.reason.is_empty());
    let (note, item) = await_end(&fixture).await;
    let last = assert_numbered(&steps(&fixture).await, &item);
    assert_done(&item, &last);
    assert_eq!(note.state, Progress::Done);
    assert!(wait_for_requests(&load, 40).await);
    let records = load.stop().await;
    assert_no_violations(&fixture, &records);
    let latest = records.last().unwrap();
    assert_eq!(latest.version.as_deref(), Some(NEW), "{latest}");
}

#[async_std::test]
async fn version_bad_at_once_is_taken_back_and_harms_few() {
    let (mut fixture, load) = start(Builder::new(PROGRAM)).await;
    let text = note(WINDOW, None);
    let mut bad = gooseberrylb_config::note::Note::parse(&text).unwrap();
    fixture.upstreams.fill(&mut bad).await.unwrap();
    set_failing(&fixture);
    fixture.fleet.operator().submit(&json!(bad)).await.unwrap();
    let (note, item) = await_end(&fixture).await;
    assert!(wait_for_requests(&load, 200).await);
    let records = load.stop().await;
    let last = assert_numbered(&steps(&fixture).await, &item);
    assert_reverted(&fixture, &item, &last);
    assert_eq!(note.state, Progress::Reverted);
    assert_no_violations(&fixture, &records);
    let harmed = executions(&fixture).iter().filter(|e| e.failed).count();
    let most = MAX_HARMED.max(records.len() / REQUESTS_PER_HARMED);
    assert!(harmed <= most, "{harmed} of {}", records.len());
}

#[async_std::test]
async fn version_bad_late_is_taken_back() {
    for phase in ["ramping", "done"] {
        let (mut fixture, load) = start(Builder::new(PROGRAM)).await;
        fixture.submit(&note(WINDOW, None)).await.unwrap();
        await_item(&fixture, |item| item.phase.as_deref() == Some(phase)).await;
        set_failing(&fixture);
        let (_, item) = await_item(&fixture, |item| item.state == Progress::Reverted).await;
        assert!(wait_for_requests(&load, 200).await);
        let records = load.stop().await;
        let last = assert_numbered(&steps(&fixture).await, &item);
        assert_reverted(&fixture, &item, &last);
        assert_eq!(item.reason.contains("after it was done"), phase == "done");
        assert_no_violations(&fixture, &records);
    }
}

#[async_std::test]
async fn move_goes_on_without_a_repeated_step_when_the_leader_is_killed() {
    let (mut fixture, load) = start(Builder::new(PROGRAM)).await;
    fixture.submit(&note(LONG_WINDOW, None)).await.unwrap();
    await_item(&fixture, |item| item.phase.as_deref() == Some("ramping")).await;
    let leader = fixture.leader().await.unwrap();
    fixture.fleet.instance_mut(leader).kill().unwrap();
    let (_, item) = await_end(&fixture).await;
    let begun = load.started();
    assert!(
        wait_for_requests(&load, 40).await,
        "{begun} begun\n{}",
        fixture.fleet.output()
    );
    let last = assert_numbered(&steps(&fixture).await, &item);
    assert_done(&item, &last);
    assert_no_violations(&fixture, &load.stop().await);
}

async fn start_store() -> Store {
    let stock = StoreSettings {
        weights: BTreeMap::from([("irrigo-7".into(), Bytes(MODEL_BYTES))]),
        rate: Bytes(STORE_RATE),
    };
    Store::start(([127, 0, 0, 1], 0).into(), stock)
        .await
        .unwrap()
}

fn posts(fixture: &Fixture, engine: &str) -> Vec<Order> {
    fixture.upstreams.engine(engine).unwrap().received_orders()
}

fn assert_ordered_once(fixture: &Fixture) {
    for engine in ENGINES {
        let posts = posts(fixture, engine);
        let kinds: Vec<&str> = posts.iter().map(|order| order.kind.as_str()).collect();
        assert_eq!(kinds, ["load_model", "activate"], "{engine}: {posts:?}");
        let ids: BTreeSet<&str> = posts.iter().map(|order| order.order_id.as_str()).collect();
        assert_eq!(ids.len(), posts.len(), "{engine}: {posts:?}");
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
    let builder = Builder::new(PROGRAM).with_weight_store(store.address(), STORE_RATE);
    let (mut fixture, load) = start(builder).await;
    fixture
        .submit(&note(LONG_WINDOW, Some("irrigo-7")))
        .await
        .unwrap();
    let (_, item) = await_item(&fixture, |item| item.step.is_some_and(|step| step > 0)).await;
    assert_eq!(item.phase.as_deref(), Some("canary"), "{item:?}");
    assert_ordered_once(&fixture);
    let leader = fixture.leader().await.unwrap();
    let term = status_of(&fixture, leader).await.unwrap().term;
    for order in ENGINES.iter().flat_map(|engine| posts(&fixture, engine)) {
        assert_eq!(order.fencing, term.0, "{order:?}");
    }
    assert_no_violations(&fixture, &load.stop().await);
}

#[async_std::test]
async fn thawed_leader_gives_no_order() {
    let store = start_store().await;
    let builder = Builder::new(PROGRAM).with_weight_store(store.address(), STORE_RATE);
    let (mut fixture, load) = start(builder).await;
    fixture
        .submit(&note(LONG_WINDOW, Some("irrigo-7")))
        .await
        .unwrap();
    let ordered = || ENGINES.iter().all(|e| !posts(&fixture, e).is_empty());
    assert!(wait_until(TIMEOUT, async || ordered()).await);
    let old = fixture.leader().await.unwrap();
    let other = (old + 1) % fixture.fleet.instances().len();
    let old_name = fixture.fleet.instances()[old].name().to_owned();
    fixture.fleet.instances()[old].freeze().unwrap();
    let mut new_term = None;
    let changed = wait_until(TIMEOUT, async || {
        let status = status_of(&fixture, other).await;
        let status = status.filter(|s| s.leader.as_ref().is_some_and(|l| l.as_str() != old_name));
        new_term = status.map(|status| status.term.0);
        new_term.is_some()
    })
    .await;
    assert!(changed, "{}", fixture.fleet.output());
    fixture.fleet.instances()[old].thaw().unwrap();
    await_item(&fixture, |item| item.step.is_some_and(|step| step > 0)).await;
    assert_ordered_once(&fixture);
    for engine in ENGINES {
        let posts = posts(&fixture, engine);
        assert!(posts[0].fencing < new_term.unwrap(), "{engine}: {posts:?}");
        assert!(posts[1].fencing >= new_term.unwrap(), "{engine}: {posts:?}");
    }
    assert_no_violations(&fixture, &load.stop().await);
}
