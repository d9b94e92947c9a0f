//! Checks the path of requests from a caller through an instance that is not the leader to an
//! upstream and back, with instances as separate processes and a release note that routes the
//! requests.

use std::net::Shutdown;
use std::time::Duration;

use async_std::future;
use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use gooseberrylb_config::id;
use gooseberrylb_config::note::Note;
use gooseberrylb_testbed::client::caller::Call;
use gooseberrylb_testbed::client::tally::Check;
use gooseberrylb_testbed::demo::find_leader;
use gooseberrylb_testbed::fleet::{Builder, Fleet};
use gooseberrylb_testbed::upstreams::Upstreams;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gooseberrylb_testbed");
const NOTE: &str = include_str!("../../examples/demo.json");
/// Time limit of waits, long enough for a busy machine; no test asserts how long a step took.
const TIMEOUT: Duration = Duration::from_secs(30);

async fn start() -> (Fleet, Upstreams) {
    let mut note = Note::parse(NOTE).unwrap();
    let upstreams = Upstreams::start(&mut note).await.unwrap();
    (start_fleet(&note).await, upstreams)
}

/// Starts instances with `note` in force.
async fn start_fleet(note: &Note) -> Fleet {
    let fleet = Builder::new(PROGRAM).start().await.unwrap();
    let operator = fleet.operator();
    operator.submit(&json!(note)).await.unwrap();
    operator.wait_in_force(note.note.0, TIMEOUT).await.unwrap();
    fleet
}

#[async_std::test]
async fn model_request_and_plain_call_go_through_a_non_leader() {
    let (fleet, upstreams) = start().await;
    let leader = find_leader(&fleet.operator()).await.unwrap();
    let entry = fleet
        .instances()
        .iter()
        .find(|i| i.name() != leader)
        .unwrap();
    let caller = fleet.caller("cascina-rossi").with_address(entry.callers());

    let plan = Call::prompt("agronomo", "plan", "Water for field 3.", 12).with_key("plan-3");
    let record = caller.call(&plan).await;
    assert!(record.is_served(), "{record} {:?}", record.error);
    assert_eq!(record.version.as_deref(), Some("agronomo@1"));
    let upstream = record.upstream.unwrap();
    let executions = upstreams.engine(&upstream).unwrap().executions();
    assert_eq!(executions.len(), 1);
    assert!(executions[0].finished);
    assert_eq!(executions[0].request_id, record.request_id);

    let start = Call::plain("comando", "start", "pivot 7").with_key("start-7");
    let record = caller.call(&start).await;
    assert!(record.is_served(), "{record} {:?}", record.error);
    assert_eq!(record.version.as_deref(), Some("comando@1"));
    let upstream = record.upstream.unwrap();
    assert_eq!(upstreams.service(&upstream).unwrap().executions().len(), 1);

    fleet.stop(TIMEOUT).await.unwrap();
}

#[async_std::test]
async fn request_without_account_or_key_is_refused_and_not_run() {
    let (fleet, upstreams) = start().await;
    let caller = fleet.caller("nobody");
    let unknown = caller.call(&Call::plain("comando", "reading", "x")).await;
    assert!(matches!(unknown.status, Some(401 | 403)), "{unknown}");
    let caller = fleet.caller("cascina-rossi");
    let keyless = caller.call(&Call::plain("comando", "start", "x")).await;
    assert_eq!(keyless.status, Some(400), "{keyless}");
    let unknown = caller.call(&Call::plain("comando", "nowhere", "x")).await;
    assert_eq!(unknown.status, Some(404), "{unknown}");
    for record in caller.records() {
        assert_eq!(
            record.outcome.map(|o| o.to_string()).as_deref(),
            Some("not-run")
        );
        assert_eq!(record.check, Check::None);
    }
    let ran: usize = upstreams
        .services()
        .map(|(_, s)| s.executions().len())
        .sum();
    assert_eq!(ran, 0);
}

#[async_std::test]
async fn request_that_ends_before_its_stated_length_is_not_run() {
    let (fleet, upstreams) = start().await;
    let entry = fleet.instances().iter().next().unwrap();
    let head = "POST /v1/services/comando/start HTTP/1.1\r\nHost: a\r\n\
        Client-Account: cascina-rossi\r\nIdempotency-Key: half\r\nContent-Length: 10\r\n\r\n";
    let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(b"half").await.unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("bad_body"), "{answer}");
    let ran: usize = upstreams
        .services()
        .map(|(_, s)| s.executions().len())
        .sum();
    assert_eq!(ran, 0, "{answer}");
}

#[async_std::test]
async fn response_without_end_does_not_outlive_its_caller() {
    let mut note = Note::parse(NOTE).unwrap();
    let _upstreams = Upstreams::start(&mut note).await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let second = |name: &id::Upstream| name.as_str() == "comando-02";
    note.added
        .upstreams
        .retain(|upstream| !second(&upstream.name));
    for version in &mut note.added.versions {
        version.upstreams.retain(|name| !second(name));
    }
    for upstream in &mut note.added.upstreams {
        if upstream.name.as_str() == "comando-01" {
            upstream.address = listener.local_addr().unwrap();
        }
    }
    let fleet = start_fleet(&note).await;
    let entry = fleet.instances().iter().next().unwrap();
    let request = "POST /v1/services/comando/reading HTTP/1.1\r\nHost: a\r\n\
        Client-Account: cascina-rossi\r\nContent-Length: 1\r\n\r\nx";
    let mut caller = TcpStream::connect(entry.callers()).await.unwrap();
    caller.write_all(request.as_bytes()).await.unwrap();
    let (mut upstream, _) = listener.accept().await.unwrap();
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    upstream.write_all(head.as_bytes()).await.unwrap();
    let bytes = vec![b'x'; 64 * 1024];
    for _ in 0..4 {
        upstream.write_all(&bytes).await.unwrap();
    }
    let mut answer = vec![0; 100];
    caller.read_exact(&mut answer).await.unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 200"));
    drop(caller);
    let ended = future::timeout(TIMEOUT, async {
        while upstream.write_all(&bytes).await.is_ok() {}
    });
    ended.await.expect("the entry closes the connection");
}
