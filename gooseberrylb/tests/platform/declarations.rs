//! Declarations, as operators submit and read them back.

use std::time::{Duration, Instant};

use crate::fleet::{ENTRY, Fleet, KEY, OPERATORS, declaration, extra_route};

#[test]
fn declarations_are_checked_stored_verbatim_and_not_replaced_by_older_ones() {
    let fleet = Fleet::start(1);
    fleet.wait_until_declared(&declaration(3, ""));
    // The operators' interface returns the same declaration, and the list of upstreams.
    let token = "Authorization: Bearer 0123456789abcdef\r\nConnection: close\r\n";
    let read = |path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n{token}\r\n");
        fleet.send(ENTRY, OPERATORS, &request).unwrap()
    };
    assert!(read("/v1/declaration").ends_with(&declaration(3, "")));
    let listed = read("/v1/upstreams");
    assert!(listed.contains("i-1") && !listed.contains("i-2") && !listed.contains("i-3"));
    let shared_key = r#"},{"name":"other","api-keys":["key-2"]}]}"#;
    let duplicate_prefix =
        r#""host":"a.example","path-prefix":"/plain/","timeout-ms":1,"service":"desk""#;
    let zero_weights = r#""host":"b.example","path-prefix":"/","timeout-ms":1,"traffic-split":[{"service":"desk","weight":0}]"#;
    let no_time_limit = r#""host":"b.example","path-prefix":"/","timeout-ms":0,"service":"desk""#;
    let unknown_service = r#""host":"b.example","path-prefix":"/","timeout-ms":1,"service":"nil""#;
    let bad = [
        ("EOF", declaration(4, "").replace("}]}", "")),
        (
            "no service nil",
            declaration(4, &extra_route(unknown_service)),
        ),
        (
            "host and prefix",
            declaration(2, &extra_route(duplicate_prefix)),
        ),
        ("weights", declaration(4, &extra_route(zero_weights))),
        ("time limit", declaration(4, &extra_route(no_time_limit))),
        ("share a key", declaration(4, "").replace("}]}", shared_key)),
    ];
    for (cause, body) in bad {
        let answer = fleet.declare(&body, 400);
        assert!(answer.contains(cause), "{cause}: {answer}");
    }
    fleet.wait_until_declared(&declaration(3, ""));
    // An older declaration, and another one of the same version, are acknowledged without effect.
    fleet.declare(&declaration(2, ""), 200);
    fleet.declare(&declaration(3, "").replace("hule", "gone"), 200);
    fleet.wait_until_declared(&declaration(3, ""));
    let newer = declaration(9, "").replace(r#"["key-1","key-2"]"#, r#"["key-2"]"#);
    fleet.declare(&newer, 200);
    fleet.wait_until_declared(&newer);
    fleet.wait(|fleet| fleet.call("/plain/x", KEY).starts_with("HTTP/1.1 401"));
    let other = fleet.call("/plain/x", "Authorization: Token key-2\r\n");
    assert!(other.starts_with("HTTP/1.1 201"), "{other}");
}

#[test]
fn entry_without_a_leader_serves_no_longer_than_a_change_may_take() {
    let limit = Duration::from_millis(1_500);
    let fleet = Fleet::start_with_change_limit(35, limit);
    fleet.wait(|fleet| fleet.status("/plain/x") == "201");
    (1..ENTRY).for_each(|host| fleet.signal(host, "-STOP"));
    // A change that another leader accepts from now on does not reach the entry.
    let stopped = Instant::now();
    let (mut served, mut refused) = (Duration::ZERO, false);
    while stopped.elapsed() < limit * 3 {
        let sent = stopped.elapsed();
        match fleet.status("/plain/x").as_str() {
            "201" => served = sent,
            _ => refused = true,
        }
    }
    assert!(refused && served < limit, "{served:?}\n{}", fleet.output());
}

#[test]
fn change_without_a_quorum_is_answered_within_the_promised_time() {
    let limit = Duration::from_secs(2);
    let fleet = Fleet::start_with_answer_limit(48, limit);
    (1..ENTRY - 1).for_each(|host| fleet.signal(host, "-STOP"));
    let sent = Instant::now();
    let answer = fleet.put(ENTRY - 1, &declaration(4, "")).unwrap();
    let waited = sent.elapsed();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(waited < limit, "{waited:?}\n{}", fleet.output());
}
