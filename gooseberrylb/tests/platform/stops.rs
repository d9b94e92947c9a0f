//! Planned stops and signals.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{CALLERS, ENTRY, Fleet, KEY, field};
use crate::standin::read_message;

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

/// Guards against requests that arrive as the process exits and are cut off: callers go on sending on open
/// connections until the process is gone, and each request that has reached an upstream gets an answer.
#[test]
fn request_that_arrives_as_the_entry_exits_is_answered_or_not_sent_on() {
    let fleet = Fleet::start_with_grace(33, 8);
    let address = fleet.network.address(ENTRY, CALLERS);
    let unanswered: Vec<String> = thread::scope(|scope| {
        let call = |caller: usize| {
            let (mut unanswered, mut number) = (Vec::new(), 0);
            while let Ok(mut stream) = TcpStream::connect(address) {
                let timeout = Duration::from_secs(10);
                stream.set_read_timeout(Some(timeout)).unwrap();
                loop {
                    number += 1;
                    let id = format!("id-{caller}-{number}");
                    let request = format!(
                        "POST /plain/x HTTP/1.1\r\nHost: a.example\r\nX-Gooseberrylb-Attempt-Id: {id}\r\n\
                         X-Gooseberrylb-Deadline-Ms: 600\r\nContent-Length: 0\r\n{KEY}\r\n"
                    );
                    let written = stream.write_all(request.as_bytes());
                    if written.is_err() || read_message(&mut stream).is_none() {
                        unanswered.push(id);
                        break;
                    }
                }
            }
            unanswered
        };
        let callers: Vec<_> = (0..8)
            .map(|caller| scope.spawn(move || call(caller)))
            .collect();
        thread::sleep(Duration::from_millis(300));
        fleet.signal(ENTRY, "-TERM");
        let unanswered = callers.into_iter().map(|caller| caller.join().unwrap());
        unanswered.flatten().collect()
    });
    let received = fleet.received();
    let sent_on = received
        .iter()
        .filter_map(|request| field(request, "x-gooseberrylb-attempt-id"));
    let cut: Vec<_> = sent_on.filter(|id| unanswered.contains(id)).collect();
    assert!(cut.is_empty(), "{cut:?}\n{}", fleet.output());
}

/// Guards against requests that are passed on late in the grace period of a planned stop and cut off by the
/// exit without an answer: those whose time ends with the grace period, and early ones that outlast it.
#[test]
fn requests_that_last_until_the_exit_are_answered() {
    /// Time from the signal to the end of the grace period that is left for requests.
    const END: Duration = Duration::from_millis(7_300);
    let fleet = Fleet::start_with_grace(44, 8);
    fleet.wait(|fleet| fleet.status("/plain/x") == "201");
    let address = fleet.network.address(ENTRY, CALLERS);
    // Upstreams of this service run 32 requests, and take longer than the entry lives.
    let call = |stopped: Instant, after: u64, limit: Duration| {
        thread::sleep(Duration::from_millis(after).saturating_sub(stopped.elapsed()));
        let mut stream = TcpStream::connect(address).unwrap();
        let request = format!(
            "POST /crowd/silent-{after} HTTP/1.1\r\nHost: a.example\r\nX-Gooseberrylb-Attempt-Id: id-{after}\r\n\
             X-Gooseberrylb-Deadline-Ms: {}\r\nContent-Length: 0\r\n{KEY}\r\n",
            limit.as_millis()
        );
        stream.write_all(request.as_bytes()).unwrap();
        (after, read_message(&mut stream))
    };
    let early = [1_000, 2_600].map(|after| (after, Duration::from_millis(5_000)));
    let late = (0..20).map(|step| {
        let after = 4_000 + 10 * step;
        (after, END - Duration::from_millis(after + 5 * (step % 5)))
    });
    let answers: Vec<(u64, Option<String>)> = thread::scope(|scope| {
        fleet.signal(ENTRY, "-TERM");
        let (stopped, call) = (Instant::now(), &call);
        let calls: Vec<_> = early
            .into_iter()
            .chain(late)
            .map(|(after, limit)| scope.spawn(move || call(stopped, after, limit)))
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    let received = fleet.received();
    for (after, answer) in &answers {
        let passed_on = received
            .iter()
            .any(|request| request.contains(&format!("silent-{after} ")));
        let Some(answer) = answer else {
            panic!("no answer to the request sent after {after} ms, passed on: {passed_on}");
        };
        let status = answer.split(' ').nth(1).unwrap();
        let allowed: &[&str] = if passed_on { &["502", "504"] } else { &["503"] };
        assert!(allowed.contains(&status), "{after}: {answer}");
    }
    let passed_on = received
        .iter()
        .filter(|request| request.contains("/crowd/silent-"));
    assert!(passed_on.count() > 10);
}

/// Guards against an entry that says at its exit that a request has not run, though it has delegated the request
/// to another entry, which has sent it on.
#[test]
fn delegated_request_that_outlasts_the_entry_is_not_said_to_have_not_run() {
    let mut fleet = Fleet::start_with_grace(47, 8);
    fleet.start_entry(ENTRY + 1);
    fleet.cut_off(Some(ENTRY));
    fleet.wait(|fleet| fleet.status("/lookup/x") == "201");
    fleet.signal(ENTRY, "-TERM");
    thread::sleep(Duration::from_millis(2_600));
    let limit = "X-Gooseberrylb-Deadline-Ms: 5000\r\n";
    let answer = fleet.call("/crowd/silent", &format!("{KEY}{limit}"));
    let received = fleet.received();
    assert!(
        received
            .iter()
            .any(|request| request.contains("/crowd/silent")),
        "{answer}\n{}",
        fleet.output()
    );
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
}
