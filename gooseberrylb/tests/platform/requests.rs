//! Requests and responses, compared byte by byte.

use std::thread;
use std::time::Duration;

use crate::fleet::{CALLERS, ENTRY, Fleet, KEY, field};

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let fleet = Fleet::start(0);
    let forged = "X-Gooseberrylb-Tenant: other\r\nKv-From: 1.2.3.4:5/6\r\nX-Mine: a  b\r\n";
    let target = "/plain/%2e%2E/a%20b//c?x=%00&y=";
    let answer = fleet.call(target, &format!("{KEY}{forged}"));
    assert!(answer.starts_with("HTTP/1.1 201 Made\r\n"), "{answer}");
    assert!(answer.contains("X-Gooseberrylb-Response-Signature: s.id-1\r\n"));
    assert!(answer.ends_with("\r\n\r\nhello"));
    let request = fleet.received().remove(0);
    assert!(
        request.starts_with(&format!("POST {target} HTTP/1.1\r\n")),
        "{request}"
    );
    assert!(request.ends_with("\r\n\r\nabc"));
    let value = |name| field(&request, name);
    assert_eq!(value("x-gooseberrylb-tenant").as_deref(), Some("hule"));
    let expected_instance = value("x-gooseberrylb-expect-instance");
    assert_eq!(expected_instance.as_deref(), Some("i-1"));
    assert_eq!(value("x-gooseberrylb-attempt-id").as_deref(), Some("id-1"));
    assert_eq!(value("x-mine").as_deref(), Some("a  b"));
    assert_eq!(value("authorization"), None);
    assert_eq!(value("kv-from"), None);
    let time_left: u32 = value("x-gooseberrylb-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(time_left <= 4000);

    // Responses are those of the upstream, or report correctly what is known of the request.
    let stream = fleet.call("/stream/1", KEY);
    assert!(
        stream.ends_with("id: 1\ndata: a\n\n\r\n0\r\n\r\n"),
        "{stream}"
    );
    assert_eq!(fleet.status("/plain/failed"), "500");
    let refused = fleet.call("/plain/full", KEY);
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(field(&refused, "retry-after").is_some());
    let broken = fleet.call("/stream/broken", KEY);
    assert!(broken.contains("data: a"), "{broken}");
    assert!(!broken.ends_with("0\r\n\r\n"), "{broken}");
    let not_repeated = ["/plain/garbage", "/plain/unsigned", "/plain/cut"];
    for target in not_repeated {
        assert_eq!(fleet.status(target), "502", "{target}");
    }
    for target in not_repeated
        .into_iter()
        .chain(["/plain/failed", "/stream/broken"])
    {
        let runs = fleet
            .received()
            .iter()
            .filter(|r| r.contains(target))
            .count();
        assert_eq!(runs, 1, "{target} must run at most once");
    }

    // Requests that are not allowed or have ambiguous framing reach no upstream.
    let before = fleet.received().len();
    assert_eq!(fleet.status("/none/"), "404");
    let call = |fields| fleet.call("/plain/x", fields);
    assert!(call("").starts_with("HTTP/1.1 401"));
    assert!(call("Authorization: Token key-9\r\n").starts_with("HTTP/1.1 401"));
    assert!(call("Transfer-Encoding: chunked\r\n").starts_with("HTTP/1.1 400"));
    assert!(call("Content-Length: 3\r\n").starts_with("HTTP/1.1 400"));
    assert!(call("Bad Name: 3\r\n").starts_with("HTTP/1.1 400"));
    assert_eq!(fleet.received().len(), before);
    let anonymous = fleet.call("/plain/inner/x", "");
    assert!(anonymous.starts_with("HTTP/1.1 201"), "{anonymous}");
}

#[test]
fn request_that_may_have_run_is_not_refused_when_the_configuration_is_out_of_date() {
    let fleet = Fleet::start(12);
    fleet.wait(|fleet| fleet.status("/pair/x") == "201");
    (1..ENTRY).for_each(|host| fleet.signal(host, "-STOP"));
    // The first upstream counts as silent after 2 s, when the configuration is 3 s old.
    thread::sleep(Duration::from_millis(1_500));
    let answer = fleet.call("/pair/silent", KEY);
    let was_sent = fleet.received().iter().any(|r| r.contains("/pair/silent"));
    assert!(was_sent, "{answer}");
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(!answer.starts_with("HTTP/1.1 503"), "{answer}");
}

#[test]
fn upstream_that_does_not_read_a_body_does_not_hold_the_request_past_its_time_limit() {
    const BODY_BYTES: usize = 4 * 1024 * 1024;
    let fleet = Fleet::start(13);
    let request = format!(
        "POST /plain/unread HTTP/1.1\r\nHost: a.example\r\nX-Gooseberrylb-Attempt-Id: id-1\r\n\
         X-Gooseberrylb-Deadline-Ms: 1500\r\nContent-Length: {BODY_BYTES}\r\n\
         Connection: close\r\n{KEY}\r\n{}",
        "x".repeat(BODY_BYTES)
    );
    let answer = fleet.send(ENTRY, CALLERS, &request).unwrap();
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
}
