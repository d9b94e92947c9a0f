//! Upstreams that name a limit to the rate of their requests.

use std::collections::HashSet;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{ENTRY, Fleet, KEY};
use crate::standin::{LIMIT, SPEAKING};

/// Window in which the requests at a limited upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after which an entry that has heard a limit keeps it.
const HEARD: Duration = Duration::from_millis(500);

/// Number of callers that send requests at the same time.
const CALLERS: usize = 10;

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
    /// Sends requests for a time, more at once than the upstream without a limit has slots, and
    /// returns the responses with the entries that they are from.
    fn call_limited(&self, entries: [u8; 2], time: Duration) -> Vec<(u8, String)> {
        let end = Instant::now() + time;
        let call = |host| {
            let mut answers = Vec::new();
            while Instant::now() < end {
                answers.push((host, self.call_at(host, "/pair/limited", KEY)));
                thread::sleep(Duration::from_millis(10));
            }
            answers
        };
        thread::scope(|scope| {
            let callers = (0..CALLERS).map(|number| entries[number % 2]);
            let callers: Vec<_> = callers
                .map(|host| scope.spawn(move || call(host)))
                .collect();
            let answers = callers.into_iter().map(|caller| caller.join().unwrap());
            answers.flatten().collect()
        })
    }

    /// Sends requests until the upstream that names a limit has done so to both entries.
    fn hear_limit(&self, entries: [u8; 2]) -> Instant {
        let mut told = HashSet::new();
        self.wait(|fleet| {
            let answers = fleet.call_limited(entries, HEARD).into_iter();
            let telling = answers.filter(|(_, answer)| answer.contains("Server-Limit"));
            told.extend(telling.map(|(host, _)| host));
            told.len() == entries.len()
        });
        Instant::now() + HEARD
    }
}

#[test]
fn limited_upstream_gets_no_more_from_all_entries_together_than_it_names() {
    let mut fleet = Fleet::start(17);
    let entries = [ENTRY, ENTRY + 1];
    fleet.start_entry(ENTRY + 1);
    let from = fleet.hear_limit(entries);
    let answers = fleet.call_limited(entries, 3 * WINDOW).into_iter();
    let served = answers.filter(|(_, answer)| answer.starts_with("HTTP/1.1 201"));
    let served = served.count();
    let arrivals = fleet.arrivals_at(SPEAKING);
    let most = most_in_window(&arrivals, from);
    assert!(most <= allowed(), "{most} of {} allowed", allowed());
    // The limit is used, and what is beyond it goes to the other upstream.
    let later = arrivals.iter().filter(|at| **at >= from).count();
    let usable = LIMIT * (3 * WINDOW - HEARD).as_secs_f64();
    assert!(
        later as f64 >= 0.7 * usable,
        "{later} of {usable} used\n{}",
        fleet.output()
    );
    assert!(served > 4 * later, "{served} served");
}

#[test]
fn limited_upstream_gets_no_more_while_entries_place_alone_and_after_a_takeover() {
    let mut fleet = Fleet::start(18);
    let entries = [ENTRY, ENTRY + 1];
    fleet.start_entry(ENTRY + 1);
    let from = fleet.hear_limit(entries);
    fleet.call_limited(entries, WINDOW);
    (1..ENTRY).for_each(|host| fleet.signal(host, "-STOP"));
    fleet.call_limited(entries, WINDOW / 2);
    (1..ENTRY).for_each(|host| fleet.signal(host, "-CONT"));
    fleet.signal(1, "-KILL");
    fleet.call_limited(entries, 2 * WINDOW);
    let most = most_in_window(&fleet.arrivals_at(SPEAKING), from);
    assert!(most <= allowed(), "{most} of {} allowed", allowed());
}

#[test]
fn upstream_that_names_no_limit_any_more_gets_requests_as_before() {
    let mut fleet = Fleet::start(19);
    let entries = [ENTRY, ENTRY + 1];
    fleet.start_entry(ENTRY + 1);
    fleet.hear_limit(entries);
    fleet.call_limited(entries, WINDOW);
    let before = fleet.requests_to(SPEAKING);
    let end = Instant::now() + WINDOW;
    while Instant::now() < end {
        fleet.call("/pair/x", KEY);
    }
    let count = fleet.requests_to(SPEAKING) - before;
    assert!(count > 2 * allowed(), "{count}");
}

#[test]
fn response_without_a_signature_lifts_no_limit() {
    let mut fleet = Fleet::start(27);
    let entries = [ENTRY, ENTRY + 1];
    fleet.start_entry(ENTRY + 1);
    let from = fleet.hear_limit(entries);
    let end = from + WINDOW;
    while Instant::now() < end {
        fleet.call("/pair/unsigned", KEY);
    }
    let most = most_in_window(&fleet.arrivals_at(SPEAKING), from);
    assert!(most <= allowed(), "{most} of {} allowed", allowed());
}
