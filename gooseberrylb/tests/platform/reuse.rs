//! Upstreams that send a second copy of a response, late, on a connection that is in use again.

use crate::fleet::{CALLERS, ENTRY, Fleet, KEY, OPERATORS};

impl Fleet {
    /// Sends a request with an id of its own and returns the response.
    fn call_with_id(&self, target: &str, id: &str) -> String {
        let request = format!(
            "GET {target} HTTP/1.1\r\nHost: a.example\r\nX-Gooseberrylb-Attempt-Id: {id}\r\n\
             X-Gooseberrylb-Deadline-Ms: 4000\r\nConnection: close\r\n{KEY}\r\n"
        );
        self.send(ENTRY, CALLERS, &request).unwrap()
    }
}

/// Guards against the next caller on a connection getting the answer to the request before, also where the
/// copy does not say whose it is.
#[test]
fn late_copy_of_a_response_reaches_no_other_caller() {
    let fleet = Fleet::start(32);
    for kind in ["named", "unnamed"] {
        for number in 0..10 {
            let target = format!("/lookup/late-copy-{kind}-{number}");
            let answer = fleet.call_with_id(&target, &format!("id-{kind}-{number}"));
            let is_own = answer.ends_with(&target) && answer.starts_with("HTTP/1.1 200");
            assert!(is_own, "{target}: {answer}");
        }
    }
}

/// Returns the value of a counter of the first entry.
fn counter(fleet: &Fleet, name: &str) -> u64 {
    let metrics = fleet.get(ENTRY, OPERATORS, "/metrics").unwrap();
    let name = format!("gooseberrylb_{name}");
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix(&*name)?.strip_prefix(' '));
    value.unwrap().parse().unwrap()
}

/// Guards against a caller being told that its request has not run, or another upstream running it too.
#[test]
fn late_copy_of_a_refusal_refuses_no_other_request() {
    let fleet = Fleet::start(36);
    for kind in ["named", "unnamed"] {
        let before = counter(&fleet, "upstream_connections_total");
        for number in 0..4 {
            let target = |what: &str| format!("/plain/late-refusal-{kind}-{what}-{number}");
            let id = |what: &str| format!("id-{kind}-{what}-{number}");
            let refused = fleet.call_with_id(&target("refused"), &id("refused"));
            assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
            let served = fleet.call_with_id(&target("served"), &id("served"));
            assert!(served.starts_with("HTTP/1.1 201"), "{served}");
            assert!(served.ends_with(&target("served")), "{served}");
        }
        let opened = counter(&fleet, "upstream_connections_total") - before;
        assert!(opened <= 1, "connections are kept: {opened} opened");
    }
    let received = fleet.received();
    let served = received
        .iter()
        .filter(|request| request.contains("-served-"));
    assert_eq!(served.count(), 8, "no request is sent twice");
}
