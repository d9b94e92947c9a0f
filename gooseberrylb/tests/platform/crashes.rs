//! Requests under which upstreams crash, whatever else they run.

use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{ENTRY, Fleet, KEY};
use crate::standin::{CRASHING, CRASHING_PART};

/// Time within which the whole fleet has to know what one entry has learned.
const CONTACT: Duration = Duration::from_secs(3);

/// Number of upstreams that may crash before the request is known.
const KNOWN_CRASHES: usize = 5;

/// Number of repeats that may still reach upstreams after [`CONTACT`].
const MAX_LATER: usize = 3;

/// Target of plain requests under which upstreams crash.
const PLAIN: &str = "/lookup/crashing";

/// Target of requests with a prompt under which upstreams crash.
const PROMPTED: &str = "/crowd/crashing";

/// Header field of a prompt whose parts sound requests share.
const PROMPT: &str = "X-Gooseberrylb-Prompt-Prefix: f0:60,50d:700,1:50\r\n";

impl Fleet {
    /// Returns the number of crashing requests that have reached upstreams.
    fn crashing_arrivals(&self) -> usize {
        let received = self.received();
        let target = |request: &String| request.split(' ').nth(1).map(str::to_owned);
        let targets = received.iter().filter_map(target);
        targets.filter(|target| target.ends_with(CRASHING)).count()
    }

    /// Sends a crashing request and its repeats to some entries in turn, between sound requests,
    /// until upstreams have crashed or the time is over.
    fn repeat_crashing(&self, entries: &[u8], target: &str, fields: &str) {
        let end = Instant::now() + CONTACT;
        let mut number = 0;
        while self.crashing_arrivals() < KNOWN_CRASHES && Instant::now() < end {
            let host = entries[number % entries.len()];
            number += 1;
            self.call_at(host, target, fields);
            self.call_at(host, &format!("/lookup/{number}"), KEY);
        }
    }

    /// Sends 20 repeats to two entries in turn, each before a sound request that has to be served,
    /// and checks that few of them reach upstreams.
    fn check_refused(&self, entries: [u8; 2], target: &str, sound: &str, fields: &str) {
        let known = self.crashing_arrivals();
        let mut refusals = 0;
        for number in 0..20 {
            let host = entries[number % 2];
            let answer = self.call_at(host, target, fields);
            refusals += usize::from(answer.starts_with("HTTP/1.1 503"));
            self.wait(|fleet| {
                fleet
                    .call_at(host, sound, fields)
                    .starts_with("HTTP/1.1 20")
            });
        }
        let later = self.crashing_arrivals() - known;
        assert!(later <= MAX_LATER, "{later} more after {known}");
        assert!(refusals >= 20 - MAX_LATER, "{refusals}");
    }
}

#[test]
fn request_that_crashes_upstreams_is_not_sent_to_more_of_them() {
    let mut fleet = Fleet::start(20);
    fleet.start_entry(ENTRY + 1);
    let entries = [ENTRY, ENTRY + 1];
    fleet.repeat_crashing(&entries, PLAIN, KEY);
    thread::sleep(CONTACT);
    fleet.check_refused(entries, PLAIN, "/lookup/sound", KEY);
}

#[test]
fn prompts_of_a_request_that_crashes_upstreams_are_still_served() {
    let mut fleet = Fleet::start(21);
    fleet.start_entry(ENTRY + 1);
    let entries = [ENTRY, ENTRY + 1];
    let fields = format!("{KEY}{PROMPT}");
    fleet.repeat_crashing(&entries, PROMPTED, &fields);
    thread::sleep(CONTACT);
    fleet.check_refused(entries, PROMPTED, "/crowd/sound", &fields);
}

#[test]
fn request_that_crashed_upstreams_is_refused_by_entries_that_never_sent_it() {
    let mut fleet = Fleet::start(22);
    fleet.start_entry(ENTRY + 1);
    let is_served = |fleet: &Fleet, host| {
        let answer = fleet.call_at(host, "/lookup/sound", KEY);
        answer.starts_with("HTTP/1.1 201")
    };
    fleet.wait(|fleet| is_served(fleet, ENTRY + 1));
    fleet.repeat_crashing(&[ENTRY], PLAIN, KEY);
    thread::sleep(CONTACT);
    let known = fleet.crashing_arrivals();
    // The other entry is cut off from control and places alone.
    (1..ENTRY).for_each(|host| fleet.signal(host, "-STOP"));
    for _ in 0..5 {
        let answer = fleet.call_at(ENTRY + 1, PLAIN, KEY);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    (1..ENTRY).for_each(|host| fleet.signal(host, "-CONT"));
    // A new dispatcher learns it from the entries, and an entry that starts later from that one.
    fleet.signal(1, "-KILL");
    thread::sleep(CONTACT);
    fleet.start_entry(ENTRY + 2);
    fleet.wait(|fleet| is_served(fleet, ENTRY + 2));
    for _ in 0..5 {
        let answer = fleet.call_at(ENTRY + 2, PLAIN, KEY);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(fleet.crashing_arrivals(), known);
}

/// Guards against refusing all requests to a target because one prompt crashes upstreams: requests
/// with different prompts are different requests.
#[test]
fn sound_prompts_of_a_target_are_served_while_another_one_is_blocked() {
    let mut fleet = Fleet::start(29);
    fleet.start_entry(ENTRY + 1);
    let entries = [ENTRY, ENTRY + 1];
    let fields = |own: &str| format!("{KEY}X-Gooseberrylb-Prompt-Prefix: f0:60,{own}:50\r\n");
    let crashing = fields(CRASHING_PART);
    let is_blocked = |answer: &str| answer.contains("the request crashes upstreams");
    fleet.wait(|fleet| {
        let answers = entries.map(|host| fleet.call_at(host, "/crowd/x", &crashing));
        answers.iter().all(|answer| is_blocked(answer))
    });
    for number in 0..20 {
        let host = entries[number % 2];
        let sound = fields(&format!("{:x}", 0x10_000 + number));
        fleet.wait(|fleet| {
            let answer = fleet.call_at(host, "/crowd/x", &sound);
            assert!(!is_blocked(&answer), "{answer}");
            answer.starts_with("HTTP/1.1 20")
        });
        assert!(is_blocked(&fleet.call_at(host, "/crowd/x", &crashing)));
    }
}
