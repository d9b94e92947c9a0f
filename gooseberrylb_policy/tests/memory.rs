//! Engines whose memory holds fewer tokens than their slots could ask for.

use std::collections::BTreeMap;
use std::time::Instant;

use gooseberrylb_policy::dispatch::profile::Profile;
use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Notice, Outcome, Reason, Request, Running, Upstream,
};

use fixture::{MS, key};

#[path = "fixture/dispatch.rs"]
mod fixture;

/// Tokens that an engine holds.
const MEMORY: u64 = 10_000;

fn upstream(index: usize) -> Upstream {
    Upstream {
        service: "llm".parse().unwrap(),
        slots: 5,
        ..fixture::upstream(index)
    }
}

fn dispatcher(now: Instant) -> Dispatcher {
    let profile = Profile {
        memory: Some(MEMORY),
        stride: 5,
        ..Profile::default()
    };
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_profiles(BTreeMap::from([("llm".parse().unwrap(), profile)]));
    dispatcher.set_upstreams([1, 2].map(upstream), now);
    dispatcher
}

/// Returns a request for a prompt and 200 events of 5 tokens.
fn request(number: u64, prompt: u64) -> Request {
    Request {
        service: "llm".parse().unwrap(),
        prompt,
        events: 200,
        objective: 8_000 * MS,
        hold: 5_000 * MS,
        patience: 10_000 * MS,
        ..fixture::request(number)
    }
}

/// Guards against an engine that crashes since the requests that it holds exceed its memory, while it has
/// free slots, and against small requests that wait behind one that does not fit.
#[test]
fn requests_are_granted_as_far_as_memory_goes() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let is_granted = |decision: &Decision| matches!(decision, Decision::Grant(_));
    for number in 0..4 {
        assert!(is_granted(&dispatcher.place(request(number, 4_000), now)));
    }
    // Each engine holds two requests of 5,000 tokens now.
    assert_eq!(dispatcher.place(request(4, 4_000), now), Decision::Wait);
    let ended = Notice {
        ended: vec![(key(0), Outcome::Dropped)],
        ..Notice::default()
    };
    dispatcher.apply(ended, now + 10 * MS);
    let decided = dispatcher.poll(now + 10 * MS);
    assert!(
        decided.len() == 1 && is_granted(&decided[0].1),
        "{decided:?}"
    );
    // The large one does not fit, and the small one behind it does.
    assert_eq!(
        dispatcher.place(request(5, 9_000), now + 20 * MS),
        Decision::Wait
    );
    assert_eq!(
        dispatcher.place(request(6, 1_000), now + 20 * MS),
        Decision::Wait
    );
    let ended = Notice {
        ended: vec![(key(1), Outcome::Dropped)],
        ..Notice::default()
    };
    dispatcher.apply(ended, now + 30 * MS);
    let decided = dispatcher.poll(now + 30 * MS);
    assert_eq!(decided.len(), 1, "{decided:?}");
    assert_eq!(decided[0].0, key(6));
}

/// Guards against a request that is held for its whole time though no engine can run it.
#[test]
fn request_larger_than_any_memory_is_refused_at_once() {
    let now = Instant::now();
    let decision = dispatcher(now).place(request(0, MEMORY), now);
    assert!(matches!(decision, Decision::Refuse(Reason::NoUpstream, _)));
}

/// Guards against a new dispatcher that takes engines for empty.
#[test]
fn new_dispatcher_counts_the_prompts_that_entries_report() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let running = ["i-1", "i-2"]
        .iter()
        .enumerate()
        .map(|(number, name)| Running {
            key: key(number as u64),
            service: "llm".parse().unwrap(),
            upstream: name.parse().unwrap(),
            prompt: 8_000,
            patience: 9_000 * MS,
        });
    let notice = Notice {
        running: Some(("entry-1".parse().unwrap(), running.collect())),
        ..Notice::default()
    };
    dispatcher.apply(notice, now);
    assert_eq!(dispatcher.place(request(9, 4_000), now), Decision::Wait);
}
