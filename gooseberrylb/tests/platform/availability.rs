//! Upstreams that say in their responses that they leave, or want no request for a while.

use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{ENTRY, Fleet, KEY, OPERATORS};
use crate::standin::{CLOSED_S, SPEAKING};

/// Target whose requests the other upstream of the service turns away as full, so that they reach the
/// one that makes statements. Which of the two gets a request first depends on measured times.
const TO_SPEAKING: &str = "/pair/full";

impl Fleet {
    /// Sends requests with `target` until one of them reaches the upstream that makes statements.
    fn wait_for_statement(&self, target: &str) {
        self.wait(|fleet| {
            fleet.call(target, KEY);
            fleet.requests_to(SPEAKING) > 0
        });
    }
}

#[test]
fn upstream_that_says_it_leaves_gets_no_further_request() {
    let fleet = Fleet::start(10);
    // A caller's own field means nothing.
    let forged = format!("{KEY}Server-Leaving: 1\r\n");
    fleet.wait(|fleet| {
        fleet.call(TO_SPEAKING, &forged);
        fleet.requests_to(SPEAKING) > 3
    });
    let leaving = format!("{TO_SPEAKING}/leaving");
    fleet.wait(|fleet| {
        let answer = fleet.call(&leaving, KEY);
        answer.contains("Server-Leaving: 1")
    });
    let before = fleet.requests_to(SPEAKING);
    for _ in 0..20 {
        assert_eq!(fleet.status("/pair/x"), "201");
    }
    // The list still says that the upstream is ready; the instances hold otherwise.
    let token = "Authorization: Bearer 0123456789abcdef\r\nConnection: close\r\n";
    let request = format!("GET /v1/upstreams HTTP/1.1\r\nHost: x\r\n{token}\r\n");
    fleet.wait(|fleet| {
        let listed = fleet.send(ENTRY, OPERATORS, &request).unwrap_or_default();
        listed.contains("\"draining\":true")
    });
    // Neither does it get any while the entry is cut off from control, nor after a takeover.
    (1..ENTRY).for_each(|host| fleet.signal(host, "-STOP"));
    let served = (0..20).filter(|_| fleet.status("/pair/x") == "201").count();
    assert!(served > 0, "the entry places alone");
    (1..ENTRY).for_each(|host| fleet.signal(host, "-CONT"));
    fleet.signal(1, "-KILL");
    fleet.wait(|fleet| fleet.status("/pair/x") == "201");
    (0..20).for_each(|_| drop(fleet.call("/pair/x", KEY)));
    assert_eq!(fleet.requests_to(SPEAKING), before);
}

#[test]
fn upstream_that_wants_no_requests_gets_none_until_its_time_is_over() {
    let fleet = Fleet::start(11);
    fleet.wait_for_statement(&format!("{TO_SPEAKING}/closed"));
    let said = Instant::now();
    let count = fleet.requests_to(SPEAKING);
    let closed = Duration::from_secs(CLOSED_S);
    while said.elapsed() < closed / 2 {
        fleet.call("/pair/closed", KEY);
        thread::sleep(Duration::from_millis(20));
    }
    (1..ENTRY).for_each(|host| fleet.signal(host, "-STOP"));
    while said.elapsed() < closed * 3 / 4 {
        fleet.call("/pair/closed", KEY);
        thread::sleep(Duration::from_millis(20));
    }
    let later = fleet.requests_to(SPEAKING);
    // A test that was held up shows nothing.
    assert!(
        later == count || said.elapsed() >= closed,
        "{later} {count}\n{}",
        fleet.output()
    );
    (1..ENTRY).for_each(|host| fleet.signal(host, "-CONT"));
    fleet.wait(|fleet| {
        fleet.call(TO_SPEAKING, KEY);
        fleet.requests_to(SPEAKING) > later
    });
}

#[test]
fn upstream_that_told_one_entry_to_wait_gets_nothing_from_another_that_places_alone() {
    let mut fleet = Fleet::start(16);
    fleet.start_entry(ENTRY + 1);
    // Opens a session. A request to the service of the closed upstream would tell its speed, and the
    // other one might then get all requests.
    fleet.wait(|fleet| fleet.call_at(ENTRY + 1, "/plain/x", KEY).contains("hello"));
    fleet.wait_for_statement(&format!("{TO_SPEAKING}/closed"));
    let said = Instant::now();
    let count = fleet.requests_to(SPEAKING);
    let closed = Duration::from_secs(CLOSED_S);
    thread::sleep(closed / 4);
    (1..ENTRY).for_each(|host| fleet.signal(host, "-STOP"));
    while said.elapsed() < closed * 3 / 4 {
        fleet.call_at(ENTRY + 1, "/pair/x", KEY);
    }
    let later = fleet.requests_to(SPEAKING);
    assert!(
        later == count || said.elapsed() >= closed,
        "{later} {count}\n{}",
        fleet.output()
    );
}
