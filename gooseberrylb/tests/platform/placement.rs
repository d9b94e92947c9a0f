//! The question where a request would go now, at an instance that does not decide.

use crate::fleet::{ENTRY, Fleet, KEY, OPERATORS};

/// Guards against an explanation that sends or reserves anything, and against one that differs from what a
/// request then gets.
#[test]
fn explanation_names_the_upstream_and_sends_nothing() {
    let fleet = Fleet::start(34);
    let ask = |route: &str| {
        let request = format!(
            "GET /v1/placement?route={route}&account=hule HTTP/1.1\r\nHost: x\r\n\
             Connection: close\r\nAuthorization: Bearer 0123456789abcdef\r\n\r\n"
        );
        let mut answer = String::new();
        fleet.wait(|fleet| {
            answer = fleet.send(ENTRY, OPERATORS, &request).unwrap_or_default();
            answer.starts_with("HTTP/1.1 200")
        });
        answer
    };
    let answer = ask("plain");
    assert!(answer.contains(r#""granted":"i-1""#), "{answer}");
    assert!(answer.contains(r#""service":"desk""#), "{answer}");
    assert_eq!(fleet.received().len(), 0);
    assert!(fleet.call("/plain/x", KEY).starts_with("HTTP/1.1 201"));
    assert_eq!(fleet.requests_to("i-1"), 1);
    let unknown = ask("nowhere");
    assert!(unknown.contains(r#""service":null"#), "{unknown}");
}
