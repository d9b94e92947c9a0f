//! Checks that the stand-ins implement the interfaces of the external services that the system
//! uses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use gooseberrylb_config::number::Bytes;
use gooseberrylb_testbed::engine::model::Profile;
use gooseberrylb_testbed::engine::text::Text;
use gooseberrylb_testbed::http::Client;
use gooseberrylb_testbed::http::client::{Error, TimedResponse};
use gooseberrylb_testbed::standin::engine::{Engine, Faults, Settings};
use gooseberrylb_testbed::standin::plain;
use gooseberrylb_testbed::standin::store::{Settings as StoreSettings, Store};
use http_types::Method;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(10);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn client(address: SocketAddr) -> Client {
    Client::new(address, TIMEOUT)
}

async fn fast_engine(faults: Faults, checks_fencing: bool) -> Engine {
    let profile = Profile {
        prefill_rate: 100_000.0,
        decode_rate: 2_000.0,
        ..Profile::default()
    };
    let settings = Settings {
        profile,
        checks_fencing,
        faults,
        ..Settings::default()
    };
    Engine::start(any_port(), settings).await.unwrap()
}

async fn complete(address: SocketAddr, id: &str, tokens: u64, stream: bool) -> TimedResponse {
    let body = json!({"request_id": id, "prompt": "water", "max_tokens": tokens,
        "stream": stream, "unknown": 1});
    let body = body.to_string().into_bytes();
    client(address).post("/v1/completions", body).await.unwrap()
}

fn lines(response: &TimedResponse) -> Vec<Value> {
    let text = std::str::from_utf8(&response.body).unwrap();
    text.lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect()
}

#[async_std::test]
async fn engine_streams_the_text_derived_from_the_request() {
    let engine = fast_engine(Faults::default(), false).await;
    let response = complete(engine.address(), "r1", 5, true).await;
    assert!(response.complete);
    let lines = lines(&response);
    let text = Text::new("r1", "water");
    for (n, line) in lines[..5].iter().enumerate() {
        assert_eq!(*line, json!({"n": n, "text": text.token(n as u64)}));
    }
    let summary = json!({"done": true, "request_id": "r1", "prompt_tokens": 2,
        "cached_tokens": 0, "output_tokens": 5});
    assert_eq!(lines[5..], [summary]);
    let executions = engine.executions();
    assert_eq!(executions.len(), 1);
    assert!(executions[0].finished);
}

#[async_std::test]
async fn engine_refuses_a_duplicate_request_and_resumes_its_stream() {
    let engine = fast_engine(Faults::default(), false).await;
    let whole = complete(engine.address(), "r1", 4, false)
        .await
        .json()
        .unwrap();
    assert_eq!(whole["text"], Text::new("r1", "water").first_tokens(4));
    assert_eq!(complete(engine.address(), "r1", 4, true).await.status, 409);
    assert_eq!(engine.executions().len(), 1);
    let resumed = client(engine.address())
        .get("/v1/streams/r1?from=2")
        .await
        .unwrap();
    let numbers: Vec<_> = lines(&resumed)[..2]
        .iter()
        .map(|l| l["n"].clone())
        .collect();
    assert_eq!(numbers, [2, 3]);
    let unknown = client(engine.address())
        .get("/v1/streams/r2")
        .await
        .unwrap();
    assert_eq!(unknown.status, 404);
}

#[async_std::test]
async fn broken_stream_is_detected_and_can_be_resumed() {
    let faults = Faults {
        break_after_tokens: Some(3),
        ..Faults::default()
    };
    let engine = fast_engine(faults, false).await;
    let response = complete(engine.address(), "r1", 6, true).await;
    assert!(!response.complete);
    assert_eq!(lines(&response).len(), 3);
    engine.set_faults(Faults::default());
    let rest = client(engine.address())
        .get("/v1/streams/r1?from=3")
        .await
        .unwrap();
    assert!(rest.complete);
    assert_eq!(lines(&rest).len(), 4);
}

#[async_std::test]
async fn cancelled_request_ends_its_stream_and_is_logged() {
    let faults = Faults {
        slow_factor: 1_000_000.0,
        ..Faults::default()
    };
    let engine = fast_engine(faults, false).await;
    let address = engine.address();
    let running = task::spawn(async move { complete(address, "r1", 100, true).await });
    while engine.executions().is_empty() {
        task::sleep(Duration::from_millis(1)).await;
    }
    let path = "/v1/streams/r1";
    let cancelled = client(address)
        .send(Method::Delete, path, None)
        .await
        .unwrap();
    assert_eq!(cancelled.status, 200);
    assert!(!running.await.complete);
    assert!(engine.executions()[0].cancelled);
}

#[async_std::test]
async fn outdated_fencing_number_is_refused_only_if_fencing_is_checked() {
    for (checks, expected) in [(true, 409), (false, 202)] {
        let engine = fast_engine(Faults::default(), checks).await;
        let order = |id: &str, fencing: u64| {
            let order = json!({"order_id": id, "fencing": fencing, "kind": "load", "name": "m"});
            order.to_string().into_bytes()
        };
        let client = client(engine.address());
        assert_eq!(
            client
                .post("/v1/orders", order("a", 7))
                .await
                .unwrap()
                .status,
            202
        );
        assert_eq!(
            client
                .post("/v1/orders", order("a", 7))
                .await
                .unwrap()
                .status,
            200
        );
        let old = client.post("/v1/orders", order("b", 6)).await.unwrap();
        assert_eq!(old.status, expected);
    }
}

#[async_std::test]
async fn plain_service_runs_each_arrival_once_even_if_its_response_is_lost() {
    let service = plain::Service::start(any_port()).await.unwrap();
    let caller = client(service.address()).with_header("Idempotency-Key", "k1");
    let echo = caller
        .post("/drum", b"two".to_vec())
        .await
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(echo["body"], "two");
    service.set_faults(plain::Faults {
        loss: plain::Loss::Close,
        ..plain::Faults::default()
    });
    let lost = caller.post("/drum", b"two".to_vec()).await;
    assert!(matches!(lost, Err(Error::NoResponse(_))));
    let executions = service.executions();
    assert_eq!(executions.len(), 2);
    assert!(
        executions
            .iter()
            .all(|e| e.finished && e.key.as_deref() == Some("k1"))
    );
}

#[async_std::test]
async fn store_streams_complete_weights() {
    let settings = StoreSettings {
        weights: BTreeMap::from([("m".into(), Bytes(200_000))]),
        rate: Bytes(10_000_000),
    };
    let store = Store::start(any_port(), settings).await.unwrap();
    let weights = client(store.address()).get("/v1/weights/m").await.unwrap();
    assert!(weights.complete);
    assert_eq!(weights.body.len(), 200_000);
    assert_eq!(
        client(store.address())
            .get("/v1/weights/n")
            .await
            .unwrap()
            .status,
        404
    );
}
