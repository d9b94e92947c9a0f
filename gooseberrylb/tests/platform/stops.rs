//! Planned stops and signals.

use std::thread;
use std::time::Duration;

use crate::fleet::{CALLERS, ENTRY, Fleet, KEY, field};

#[test]
fn hangup_signal_cuts_nothing_and_planned_stop_serves_received_requests() {
    let mut fleet = Fleet::start(2);
    fleet.signal(ENTRY, "-HUP");
    fleet.signal(1, "-HUP");
    assert_eq!(fleet.status("/plain/after-hup"), "201");
    let address = fleet.network.address(ENTRY, CALLERS).to_string();
    fleet.wait(|fleet| fleet.entries().contains(&address));

    let answers = thread::scope(|scope| {
        let slow = scope.spawn(|| fleet.call("/plain/slow", KEY));
        fleet.wait(|fleet| fleet.received().iter().any(|r| r.contains("/plain/slow")));
        fleet.signal(ENTRY, "-TERM");
        fleet.wait(|fleet| !fleet.is_ready());
        fleet.wait(|fleet| !fleet.entries().contains(&address));
        let late = fleet.call("/plain/late", KEY);
        [slow.join().unwrap(), late]
    });
    for answer in answers {
        assert!(answer.starts_with("HTTP/1.1 201"), "{answer}");
        assert!(answer.ends_with("hello"), "{answer}");
    }
    let mut processes = fleet.processes.iter_mut();
    let (_, entry) = processes.find(|(host, _)| *host == ENTRY).unwrap();
    let status = entry.wait().unwrap();
    assert!(status.success(), "{status}");
}

/// Found on days with `roll_term`: callers that kept the address of a stopping entry sent streams
/// that were cut when it exited.
#[test]
fn stopping_entry_refuses_late_requests_that_may_outlast_it() {
    let mut fleet = Fleet::start_with_grace(5, 8);
    thread::scope(|scope| {
        // Keeps the process from exiting before its grace period ends.
        scope.spawn(|| fleet.call("/plain/paused", KEY));
        fleet.wait(|fleet| fleet.received().iter().any(|r| r.contains("/plain/paused")));
        fleet.signal(ENTRY, "-TERM");
        thread::sleep(Duration::from_millis(3_500));
        let late = fleet.call("/stream/late", KEY);
        assert!(late.starts_with("HTTP/1.1 503"), "{late}");
        assert_eq!(field(&late, "retry-after").as_deref(), Some("0.00"));
        assert_eq!(field(&late, "connection").as_deref(), Some("close"));
    });
    assert!(!fleet.received().iter().any(|r| r.contains("/stream/late")));
    let mut processes = fleet.processes.iter_mut();
    let (_, entry) = processes.find(|(host, _)| *host == ENTRY).unwrap();
    let status = entry.wait().unwrap();
    assert!(status.success(), "{status}");
}

#[test]
fn new_connection_to_a_stopping_entry_has_time_for_its_first_request() {
    let mut fleet = Fleet::start_with_grace(26, 8);
    thread::scope(|scope| {
        scope.spawn(|| fleet.call("/plain/paused", KEY));
        fleet.wait(|fleet| fleet.received().iter().any(|r| r.contains("/plain/paused")));
        fleet.signal(ENTRY, "-TERM");
        thread::sleep(Duration::from_millis(3_500));
        let late = fleet.call_after(Duration::from_millis(200), "/stream/late", KEY);
        assert!(late.starts_with("HTTP/1.1 503"), "{late}");
    });
    let mut processes = fleet.processes.iter_mut();
    let (_, entry) = processes.find(|(host, _)| *host == ENTRY).unwrap();
    assert!(entry.wait().unwrap().success());
}
