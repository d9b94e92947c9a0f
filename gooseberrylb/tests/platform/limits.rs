//! Upstreams that name a limit to the rate of their requests.

use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{ENTRY, Fleet, KEY};
use crate::standin::{LIMIT, SPEAKING};

/// Window in which the requests at a limited upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after which an entry that has heard a limit keeps it.
const HEARD: Duration = Duration::from_millis(500);

/// Number of requests that may reach a limited upstream in a window.
fn allowed() -> usize {
    (1.5 * LIMIT * WINDOW.as_secs_f64()) as usize + 5
}

/// Returns the highest number of arrivals after `from` in any window.
fn most_in_window(arrivals: &[Instant], from: Instant) -> usize {
    let arrivals: Vec<_> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let counts = arrivals.iter().map(|first| {
        let within = |at: &&Instant| (*first..*first + WINDOW).contains(at);
        arrivals.iter().filter(within).count()
    });
    counts.max().unwrap_or(0)
}

impl Fleet {
    /// Sends requests to the entries in turn for a time, and returns how many were served.
    fn call_limited(&self, entries: &[u8], time: Duration) -> usize {
        let end = Instant::now() + time;
        let mut served = 0;
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let answer = self.call_at(entries[number % entries.len()], "/pair/limited", KEY);
            served += usize::from(answer.starts_with("HTTP/1.1 201"));
            thread::sleep(Duration::from_millis(10));
        }
        served
    }

    /// Sends requests until the upstream that names a limit has done so to both entries.
    fn hear_limit(&self, entries: [u8; 2]) -> Instant {
        for host in entries {
            let is_told = |fleet: &Self| {
                let answer = fleet.call_at(host, "/pair/limited", KEY);
                answer.contains("Server-Limit")
            };
            self.wait(is_told);
        }
        Instant::now() + HEARD
    }
}

#[test]
fn limited_upstream_gets_no_more_from_all_entries_together_than_it_names() {
    let mut fleet = Fleet::start(17);
    let entries = [ENTRY, ENTRY + 1];
    fleet.start_entry(ENTRY + 1);
    let from = fleet.hear_limit(entries);
    let served = fleet.call_limited(&entries, 3 * WINDOW);
    let arrivals = fleet.arrivals_at(SPEAKING);
    let most = most_in_window(&arrivals, from);
    assert!(most <= allowed(), "{most} of {} allowed", allowed());
    // The limit is used, and what is beyond it goes to the other upstream.
    let later = arrivals.iter().filter(|at| **at >= from).count();
    let usable = LIMIT * (3 * WINDOW - HEARD).as_secs_f64();
    assert!(later as f64 >= 0.7 * usable, "{later} of {usable} used");
    assert!(served > 4 * later, "{served} served");
}

#[test]
fn limited_upstream_gets_no_more_while_entries_place_alone_and_after_a_takeover() {
    let mut fleet = Fleet::start(18);
    let entries = [ENTRY, ENTRY + 1];
    fleet.start_entry(ENTRY + 1);
    let from = fleet.hear_limit(entries);
    fleet.call_limited(&entries, WINDOW);
    (1..ENTRY).for_each(|host| fleet.signal(host, "-STOP"));
    fleet.call_limited(&entries, WINDOW / 2);
    (1..ENTRY).for_each(|host| fleet.signal(host, "-CONT"));
    fleet.signal(1, "-KILL");
    fleet.call_limited(&entries, 2 * WINDOW);
    let most = most_in_window(&fleet.arrivals_at(SPEAKING), from);
    assert!(most <= allowed(), "{most} of {} allowed", allowed());
}

#[test]
fn upstream_that_names_no_limit_any_more_gets_requests_as_before() {
    let mut fleet = Fleet::start(19);
    let entries = [ENTRY, ENTRY + 1];
    fleet.start_entry(ENTRY + 1);
    fleet.hear_limit(entries);
    fleet.call_limited(&entries, WINDOW);
    let before = fleet.requests_to(SPEAKING);
    let end = Instant::now() + WINDOW;
    while Instant::now() < end {
        fleet.call("/pair/x", KEY);
    }
    let count = fleet.requests_to(SPEAKING) - before;
    assert!(count > 2 * allowed(), "{count}");
}
