//! Parts of prompts under which upstreams crash.

use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{ENTRY, Fleet, KEY, field};
use crate::standin::CRASHING_PART;

/// Time within which the whole fleet has to know what one entry has learned.
const CONTACT: Duration = Duration::from_secs(3);

/// Number of upstreams that may crash before the part is known.
const KNOWN_CRASHES: usize = 5;

/// Number of requests with the part that may still reach upstreams after [`CONTACT`].
const MAX_LATER: usize = 3;

/// Part that sound requests and crashing ones share.
const SHARED: &str = "f0";

impl Fleet {
    /// Sends a request whose prompt has two shared parts and one of its own.
    fn prompt(&self, host: u8, part: &str, own: usize) -> String {
        let prompt = format!("{SHARED}:60,{part}:700,{own:x}:50");
        let fields = format!("{KEY}X-Gooseberrylb-Prompt-Prefix: {prompt}\r\n");
        self.call_at(host, "/crowd/x", &fields)
    }

    /// Returns the number of requests with the crashing part that have reached upstreams.
    fn crashes(&self) -> usize {
        let received = self.received();
        let parts = received
            .iter()
            .filter_map(|request| field(request, "x-gooseberrylb-prompt-prefix"));
        parts.filter(|parts| parts.contains(CRASHING_PART)).count()
    }

    /// Sends requests with the crashing part to some entries in turn, as new ones and between sound
    /// ones, until `crashes` upstreams have crashed or `time` has passed.
    fn crash_upstreams(&self, entries: &[u8], crashes: usize, time: Duration) {
        let end = Instant::now() + time;
        let mut own = 0;
        while self.crashes() < crashes && Instant::now() < end {
            own += 1;
            let host = entries[own % entries.len()];
            self.prompt(host, CRASHING_PART, 100 + own);
            self.prompt(host, "50d", 1000 + own);
        }
    }
}

#[test]
fn prompt_part_that_crashes_upstreams_is_not_sent_to_more_of_them() {
    let mut fleet = Fleet::start(14);
    fleet.start_entry(ENTRY + 1);
    let entries = [ENTRY, ENTRY + 1];
    fleet.crash_upstreams(&entries, KNOWN_CRASHES, CONTACT);
    thread::sleep(CONTACT);
    let known = fleet.crashes();
    let mut refusals = 0;
    for own in 0..20 {
        let answer = fleet.prompt(entries[own % 2], CRASHING_PART, own);
        refusals += usize::from(answer.starts_with("HTTP/1.1 503"));
        fleet.wait(|fleet| {
            fleet
                .prompt(entries[own % 2], "50d", own)
                .contains("data: a")
        });
    }
    let later = fleet.crashes() - known;
    assert!(later <= MAX_LATER, "{later} more after {known}");
    assert!(refusals >= 20 - MAX_LATER, "{refusals}");
}

#[test]
fn prompt_part_that_crashed_upstreams_is_refused_by_entries_that_never_sent_it() {
    let mut fleet = Fleet::start(15);
    fleet.start_entry(ENTRY + 1);
    fleet.wait(|fleet| fleet.prompt(ENTRY + 1, "50d", 1).contains("data: a"));
    fleet.crash_upstreams(&[ENTRY], KNOWN_CRASHES, CONTACT);
    thread::sleep(CONTACT);
    let known = fleet.crashes();
    // The other entry is cut off from control and places alone.
    (1..ENTRY).for_each(|host| fleet.signal(host, "-STOP"));
    for own in 0..5 {
        let answer = fleet.prompt(ENTRY + 1, CRASHING_PART, own);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    (1..ENTRY).for_each(|host| fleet.signal(host, "-CONT"));
    // A new dispatcher learns it from the entries, and an entry that starts later from that one.
    fleet.signal(1, "-KILL");
    thread::sleep(CONTACT);
    fleet.start_entry(ENTRY + 2);
    fleet.wait(|fleet| fleet.prompt(ENTRY + 2, "50d", 3).contains("data: a"));
    for own in 0..5 {
        let answer = fleet.prompt(ENTRY + 2, CRASHING_PART, own);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(fleet.crashes(), known);
}
