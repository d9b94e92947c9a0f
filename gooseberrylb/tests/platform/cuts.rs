//! Entries that are cut off from all upstreams, while callers and other instances still reach them.

use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{ENTRY, Fleet, KEY};

/// Time after the beginning of a cut from which on first attempts have to be served.
const CONTACT: Duration = Duration::from_secs(3);

/// Time for which first attempts are counted.
const COUNTED: Duration = Duration::from_secs(4);

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(10);

/// Targets of requests of each kind.
const TARGETS: [&str; 4] = ["/plain/x", "/pair/x", "/stream/x", "/crowd/x"];

impl Fleet {
    /// Sends requests of each kind to an entry for a time. Returns the numbers of those sent and
    /// served.
    fn call_for(&self, host: u8, time: Duration) -> (usize, usize) {
        let end = Instant::now() + time;
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < end {
            let answer = self.call_at(host, TARGETS[sent % TARGETS.len()], KEY);
            sent += 1;
            served += usize::from(answer.starts_with("HTTP/1.1 20"));
            thread::sleep(PAUSE);
        }
        (sent, served)
    }

    /// Sends requests to several entries at once, like [`Fleet::call_for`].
    fn call_all_for<const N: usize>(&self, hosts: [u8; N], time: Duration) -> [(usize, usize); N] {
        thread::scope(|scope| {
            let callers = hosts.map(|host| scope.spawn(move || self.call_for(host, time)));
            callers.map(|caller| caller.join().unwrap())
        })
    }
}

/// Checks that an entry that is cut off serves two thirds as often as the others, and that those
/// serve.
fn check(cut_off: (usize, usize), others: (usize, usize), fleet: &Fleet) {
    let share = |(sent, served): (usize, usize)| served as f64 / sent as f64;
    let figures = format!("cut off {cut_off:?}, others {others:?}");
    assert!(share(others) >= 0.9, "{figures}\n{}", fleet.output());
    let wanted = 2.0 / 3.0 * share(others);
    assert!(share(cut_off) >= wanted, "{figures}\n{}", fleet.output());
}

#[test]
fn entry_cut_off_from_upstreams_has_others_serve_its_requests() {
    let mut fleet = Fleet::start(23);
    fleet.start_entry(ENTRY + 1);
    let entries = [ENTRY, ENTRY + 1];
    fleet.call_all_for(entries, CONTACT / 3);
    fleet.cut_off(Some(ENTRY));
    fleet.call_all_for(entries, CONTACT);
    let [cut_off, others] = fleet.call_all_for(entries, COUNTED);
    check(cut_off, others, &fleet);
    // It serves alone again once the cut is over.
    fleet.cut_off(None);
    thread::sleep(CONTACT);
    fleet.signal(ENTRY + 1, "-STOP");
    let (sent, served) = fleet.call_for(ENTRY, COUNTED);
    assert!(
        served * 10 >= sent * 9,
        "{served} of {sent}\n{}",
        fleet.output()
    );
    fleet.signal(ENTRY + 1, "-CONT");
}

#[test]
fn entry_cut_off_from_upstreams_takes_none_from_the_others() {
    let mut fleet = Fleet::start(24);
    fleet.start_entry(ENTRY + 1);
    let entries = [ENTRY, ENTRY + 1];
    fleet.call_all_for(entries, CONTACT / 3);
    fleet.cut_off(Some(ENTRY));
    // From the first moment on: the other entry has nothing to learn.
    let [_, (sent, served)] = fleet.call_all_for(entries, COUNTED);
    assert!(
        served * 10 >= sent * 9,
        "{served} of {sent}\n{}",
        fleet.output()
    );
}
