//! Upstreams that fall over if they have to turn too many requests away.

use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{ENTRY, Fleet, KEY};
use crate::standin::{SPEAKING, TOLERATED, TURNED_AWAY};

/// Time after which the whole fleet has to know that an upstream is brittle.
const CONTACT: Duration = Duration::from_secs(3);

/// Time for which requests are turned away at each stage.
const STAGE: Duration = Duration::from_secs(5);

/// Period in which an upstream may turn away [`TOLERATED`] requests.
const PERIOD: Duration = Duration::from_secs(1);

/// Number of callers that send requests at the same time, more than both upstreams can run.
const CALLERS: usize = 12;

impl Fleet {
    /// Sends requests to two entries for a time, and returns the number of those served.
    fn press(&self, entries: [u8; 2], time: Duration) -> usize {
        let end = Instant::now() + time;
        let call = |host| {
            let mut served = 0;
            while Instant::now() < end {
                let answer = self.call_at(host, "/pair/brittle", KEY);
                served += usize::from(answer.starts_with("HTTP/1.1 201"));
                thread::sleep(Duration::from_millis(10));
            }
            served
        };
        thread::scope(|scope| {
            let callers = (0..CALLERS).map(|number| entries[number % 2]);
            let callers: Vec<_> = callers
                .map(|host| scope.spawn(move || call(host)))
                .collect();
            callers
                .into_iter()
                .map(|caller| caller.join().unwrap())
                .sum()
        })
    }
}

/// Returns the highest number of requests turned away after `from` in any period.
fn most_turned_away(from: Instant) -> usize {
    let all = TURNED_AWAY.lock().unwrap();
    let later: Vec<_> = all.iter().copied().filter(|at| *at >= from).collect();
    let counts = later.iter().map(|first| {
        let within = |at: &&Instant| (*first..*first + PERIOD).contains(at);
        later.iter().filter(within).count()
    });
    counts.max().unwrap_or(0)
}

#[test]
fn brittle_upstream_turns_no_more_requests_away_than_it_tolerates() {
    let mut fleet = Fleet::start(25);
    let entries = [ENTRY, ENTRY + 1];
    fleet.start_entry(ENTRY + 1);
    fleet.press(entries, CONTACT);
    let from = Instant::now();
    let before = fleet.requests_to(SPEAKING);
    let served = fleet.press(entries, STAGE);
    let most = most_turned_away(from);
    assert!(most <= TOLERATED, "{most} in a second\n{}", fleet.output());
    // What it has room for is used.
    let arrived = fleet.requests_to(SPEAKING) - before;
    assert!(arrived >= 8, "{arrived} of {served} served");
    // Entries that place alone, and a new dispatcher.
    (1..ENTRY).for_each(|host| fleet.signal(host, "-STOP"));
    fleet.press(entries, PERIOD * 2);
    (1..ENTRY).for_each(|host| fleet.signal(host, "-CONT"));
    fleet.signal(1, "-KILL");
    fleet.press(entries, STAGE);
    let most = most_turned_away(from);
    assert!(most <= TOLERATED, "{most} in a second\n{}", fleet.output());
}
