//! Second copies: when they are due, who gets them, and how many are granted.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::declaration::WarmUp;
use gooseberrylb_policy::announcement::Announcement;
use gooseberrylb_policy::copies::Copies;
use gooseberrylb_policy::dispatch::profile::Profile;
use gooseberrylb_policy::dispatch::{Decision, Dispatcher, Notice, Outcome, Request};
use gooseberrylb_policy::warm_up::Cold;

use fixture::{MS, key, request, upstream};

#[path = "fixture/dispatch.rs"]
mod fixture;

const SHARE: f64 = 0.02;

fn dispatcher(now: Instant) -> Dispatcher {
    let warm_up = WarmUp {
        per_second: 1_000.0,
        duration: Duration::from_secs(3),
    };
    let profile = Profile {
        warm_up: Some(warm_up),
        ..Profile::default()
    };
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_copy_share(SHARE);
    dispatcher.set_profiles(BTreeMap::from([("desk".parse().unwrap(), profile)]));
    dispatcher.set_upstreams([upstream(1), upstream(2)], now);
    dispatcher
}

/// Serves a number of requests, 10 ms apart.
fn serve(dispatcher: &mut Dispatcher, from: u64, count: u64, mut now: Instant) -> Instant {
    for number in from..from + count {
        now += 10 * MS;
        dispatcher.place(request(number), now);
        let served = Outcome::Served {
            first: 20 * MS,
            rest: Duration::ZERO,
            events: 0,
        };
        let notice = Notice {
            ended: vec![(key(number), served)],
            ..Notice::default()
        };
        dispatcher.apply(notice, now);
    }
    now
}

/// Returns a request that runs, and the question for its copy.
fn run_slow(dispatcher: &mut Dispatcher, number: u64, now: Instant) -> (Option<Duration>, Request) {
    let Decision::Grant(upstream) = dispatcher.place(request(number), now) else {
        panic!("there is room");
    };
    let copy = Request {
        excluded: vec![upstream],
        ..request(number + 1_000_000)
    };
    (dispatcher.copy_due(&key(number)), copy)
}

/// Guards against a fixed delay: too short for a slow upstream, too long for a fast one.
#[test]
fn copy_is_due_by_the_upstreams_own_times_and_later_under_load() {
    let (fast, slow) = ("i-1".parse().unwrap(), "i-2".parse().unwrap());
    let route = "read".into();
    let mut copies = Copies::default();
    copies.set_share(SHARE);
    for number in 0..200 {
        let spread = (number % 20) as f64;
        copies.record(&route, &fast, MS.mul_f64(20.0 + spread));
        copies.record(&route, &slow, MS.mul_f64(200.0 + 10.0 * spread));
    }
    let due = |upstream, load| copies.due_after(&route, upstream, load).unwrap();
    assert!(
        (38 * MS..=42 * MS).contains(&due(&fast, 0.0)),
        "{:?}",
        due(&fast, 0.0)
    );
    assert!(
        (380 * MS..=400 * MS).contains(&due(&slow, 0.0)),
        "{:?}",
        due(&slow, 0.0)
    );
    assert!(due(&fast, 1.0) >= 2 * due(&fast, 0.0) - MS);
    // An upstream of which little is known gets none.
    let unknown = "i-3".parse().unwrap();
    copies.record(&route, &unknown, 20 * MS);
    assert_eq!(copies.due_after(&route, &unknown, 0.0), None);
}

/// Guards against copies beyond the operators' limit, whatever is asked for.
#[test]
fn copies_stay_within_the_share_of_requests() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let (mut now, mut granted) = (now, 0);
    for number in 0..1_000 {
        now = serve(&mut dispatcher, 2 * number, 1, now);
        let (_, copy) = run_slow(&mut dispatcher, 2 * number + 1, now);
        let ends = [key(2 * number + 1), copy.key.clone()];
        granted += usize::from(matches!(
            dispatcher.place_copy(copy, now),
            Decision::Grant(_)
        ));
        let notice = Notice {
            ended: ends.map(|key| (key, Outcome::Dropped)).to_vec(),
            ..Notice::default()
        };
        dispatcher.apply(notice, now);
    }
    assert!(granted as f64 <= SHARE * 2_000.0, "{granted}");
    assert!(granted as f64 >= 0.5 * SHARE * 2_000.0, "{granted}");
}

/// Guards against copies that take room from requests, or that reach an upstream which is not up to them.
#[test]
fn copy_gives_way() {
    let start = Instant::now();
    let prepared = || {
        let mut dispatcher = dispatcher(start);
        let now = serve(&mut dispatcher, 0, 400, start);
        let (due, copy) = run_slow(&mut dispatcher, 1_000, now);
        assert!(due.is_some());
        (dispatcher, copy, now)
    };
    let is_granted = |dispatcher: &mut Dispatcher, copy: &Request, now| {
        matches!(dispatcher.place_copy(copy.clone(), now), Decision::Grant(_))
    };
    let (mut dispatcher, copy, now) = prepared();
    assert!(is_granted(&mut dispatcher, &copy, now));

    let (mut dispatcher, copy, now) = prepared();
    (2_000..2_004).for_each(|number| {
        dispatcher.place(request(number), now);
    });
    assert!(
        !is_granted(&mut dispatcher, &copy, now),
        "the other is busy"
    );

    let (mut dispatcher, copy, now) = prepared();
    for upstream in ["i-1", "i-2"] {
        let cold = Cold {
            service: "desk".parse().unwrap(),
            upstream: upstream.parse().unwrap(),
            left: Duration::from_secs(3),
        };
        dispatcher.announce(vec![Announcement::Cold(cold)], now);
    }
    let later = now + Duration::from_secs(1);
    assert!(
        !is_granted(&mut dispatcher, &copy, later),
        "the other is cold"
    );

    let (mut dispatcher, copy, now) = prepared();
    dispatcher.set_copy_share(0.0);
    assert!(!is_granted(&mut dispatcher, &copy, now), "none is wanted");
    assert_eq!(dispatcher.copy_due(&key(1_000)), None);
}
