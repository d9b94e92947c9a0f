//! Placement of requests by the dispatcher: upstreams, queueing, refusals, quotas. Each test
//! simulates a load without a network.

use std::time::{Duration, Instant};

use gooseberrylb_policy::dispatch::{
    Charge, Decision, Dispatcher, Key, Notice, Outcome, Quota, Rank, Rates, Reason, Request,
    Running, Upstream,
};

const MS: Duration = Duration::from_millis(1);

fn upstream(name: &str, slots: u32) -> Upstream {
    Upstream {
        name: name.parse().unwrap(),
        service: "agronomo".parse().unwrap(),
        release: "v1".into(),
        data_centre: "lodi".into(),
        slots,
        limit_part: 1.0,
    }
}

fn key(entry: &str, number: u64) -> Key {
    Key {
        entry: entry.parse().unwrap(),
        incarnation: 1,
        number,
    }
}

fn request(number: u64) -> Request {
    Request {
        key: key("entry-1", number),
        service: "agronomo".parse().unwrap(),
        route: "plan".into(),
        account: None,
        units: 0.0,
        weight: 1.0,
        rank: Default::default(),
        data_centre: "lodi".into(),
        prompt: 1_000,
        events: 20,
        objective: 800 * MS,
        hold: 1_500 * MS,
        patience: 10_000 * MS,
        excluded: Vec::new(),
    }
}

fn dispatcher(upstreams: &[Upstream], now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_upstreams(upstreams.iter().cloned(), now);
    dispatcher
}

fn ended(key: Key, outcome: Outcome) -> Notice {
    Notice {
        ended: vec![(key, outcome)],
        ..Notice::default()
    }
}

const SERVED: Outcome = Outcome::Served {
    first: Duration::from_millis(50),
    rest: Duration::from_millis(200),
    events: 20,
};

#[test]
fn nothing_is_refused_while_a_slot_is_free() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 2), upstream("b", 3)], now);
    for number in 0..5 {
        let late = Request {
            objective: Duration::ZERO,
            ..request(number)
        };
        assert!(matches!(dispatcher.place(late, now), Decision::Grant(_)));
    }
    assert_eq!(dispatcher.place(request(5), now), Decision::Wait);
}

#[test]
fn freed_slot_goes_to_the_highest_queued_rank() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1)], now);
    dispatcher.place(request(0), now);
    for (number, rank) in [(1, 2), (2, 0), (3, 1)] {
        let request = Request {
            rank: rank.into(),
            objective: 30_000 * MS,
            ..request(number)
        };
        assert_eq!(dispatcher.place(request, now), Decision::Wait);
    }
    let mut order = Vec::new();
    let mut running = 0;
    for step in 1..=3 {
        let now = now + 10 * MS * step;
        dispatcher.apply(ended(key("entry-1", running), SERVED), now);
        let decided = dispatcher.poll(now);
        assert_eq!(decided.len(), 1);
        running = decided[0].0.number;
        order.push(running);
    }
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn queued_request_is_refused_at_the_end_of_its_hold_time() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1)], now);
    dispatcher.place(request(0), now);
    assert_eq!(dispatcher.place(request(1), now), Decision::Wait);
    assert!(dispatcher.poll(now + 1_499 * MS).is_empty());
    let decided = dispatcher.poll(now + 1_500 * MS);
    assert!(matches!(
        decided[..],
        [(_, Decision::Refuse(Reason::Busy, _))]
    ));
}

#[test]
fn queued_requests_stay_when_their_entry_reports_its_running_requests_again() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1)], now);
    dispatcher.place(request(0), now);
    assert_eq!(dispatcher.place(request(1), now), Decision::Wait);
    let running = Running {
        key: key("entry-1", 0),
        service: "agronomo".parse().unwrap(),
        upstream: "a".parse().unwrap(),
        prompt: 1_000,
        patience: 5_000 * MS,
    };
    let notice = Notice {
        running: Some(("entry-1".parse().unwrap(), vec![running])),
        ..Notice::default()
    };
    dispatcher.apply(notice, now);
    assert!(dispatcher.poll(now).is_empty());
    dispatcher.apply(ended(key("entry-1", 0), SERVED), now);
    let decided = dispatcher.poll(now);
    assert!(matches!(&decided[..], [(key, Decision::Grant(_))] if key.number == 1));
}

#[test]
fn failing_upstream_is_ejected_and_probed_by_one_request() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 5), upstream("b", 5), upstream("c", 5)], now);
    let mut number = 0;
    let mut granted = |dispatcher: &mut Dispatcher, now| {
        number += 1;
        match dispatcher.place(request(number), now) {
            Decision::Grant(name) => (key("entry-1", number), name.to_string()),
            other => panic!("{other:?}"),
        }
    };
    let mut failures = 0;
    for _ in 0..40 {
        let (key, name) = granted(&mut dispatcher, now);
        let failed = name == "a";
        failures += u32::from(failed);
        let outcome = if failed { Outcome::Failed } else { SERVED };
        dispatcher.apply(ended(key, outcome), now);
    }
    assert!(failures <= 2, "{failures}");
    let later = now + 5_000 * MS;
    let tried: Vec<_> = (0..11).map(|_| granted(&mut dispatcher, later).1).collect();
    assert_eq!(tried.iter().filter(|name| *name == "a").count(), 1);
}

#[test]
fn upstreams_are_not_ejected_when_most_of_them_fail() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1), upstream("b", 1)], now);
    for number in 0..20 {
        let decision = dispatcher.place(request(number), now);
        assert!(matches!(decision, Decision::Grant(_)), "{decision:?}");
        dispatcher.apply(ended(key("entry-1", number), Outcome::Failed), now);
    }
}

#[test]
fn measured_faster_upstream_gets_more_requests() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("fast", 5), upstream("slow", 5)], now);
    let mut counts = [0, 0];
    for number in 0..60 {
        let at = now + 300 * MS * u32::try_from(number).unwrap();
        let Decision::Grant(name) = dispatcher.place(request(number), at) else {
            panic!("a request was not granted though a slot is free");
        };
        let is_slow = name.as_str() == "slow";
        counts[usize::from(is_slow)] += 1;
        let outcome = match is_slow {
            true => Outcome::Served {
                first: 200 * MS,
                rest: 900 * MS,
                events: 20,
            },
            false => SERVED,
        };
        dispatcher.apply(ended(key("entry-1", number), outcome), at + 250 * MS);
    }
    assert!(counts[0] > 50, "{counts:?}");
}

#[test]
fn refused_request_is_refunded_to_its_quota() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1)], start);
    let account: gooseberrylb_config::id::Account = "bassa-nord".parse().unwrap();
    dispatcher.set_quotas(&[], 1, start);
    let now = start + 2_000 * MS;
    let quota = Quota {
        account: account.clone(),
        per_second: 50.0,
        burst: 0.0,
        window: 2_000 * MS,
    };
    dispatcher.set_quotas(&[quota], 1, now);
    let charged_request = |number| Request {
        account: Some(account.clone()),
        units: 40.0,
        ..request(number)
    };
    assert!(matches!(
        dispatcher.place(charged_request(0), now),
        Decision::Grant(_)
    ));
    assert_eq!(dispatcher.place(charged_request(1), now), Decision::Wait);
    let over = dispatcher.place(charged_request(2), now);
    assert!(matches!(over, Decision::Refuse(Reason::Quota, _)));
    // The queued request is refused, and its units are refunded within the same window.
    let later = now + 1_500 * MS;
    dispatcher.poll(later);
    dispatcher.apply(ended(key("entry-1", 0), SERVED), later);
    for number in 3..4 {
        let decision = dispatcher.place(charged_request(number), later);
        let over = matches!(decision, Decision::Refuse(Reason::Quota, _));
        assert!(!over, "{decision:?}");
        let next = dispatcher.place(charged_request(number + 1), later);
        assert!(matches!(next, Decision::Refuse(Reason::Quota, _)));
    }
}

/// Simulates a burst of twice the capacity, and returns for each rank the number of requests and
/// of those that were granted in time.
fn simulate_burst() -> [(u32, u32); 3] {
    let start = Instant::now();
    let upstreams: Vec<_> = (0..4).map(|i| upstream(&format!("u{i}"), 5)).collect();
    let mut dispatcher = dispatcher(&upstreams, start);
    // Each request runs for 400 ms, so that 20 slots serve 50 a second; 100 a second arrive.
    let run_time_ms = 400;
    let mut ends: Vec<(u64, Key)> = Vec::new();
    let mut asked: Vec<(u64, usize)> = Vec::new();
    let mut counts = [(0, 0); 3];
    for ms in 0..8_000_u64 {
        let now = start + MS * u32::try_from(ms).unwrap();
        let mut granted = Vec::new();
        if ms % 10 == 0 {
            let number = asked.len() as u64;
            let rank = [0, 2, 1, 2, 2][asked.len() % 5];
            asked.push((ms, rank));
            counts[rank].0 += 1;
            let request = Request {
                rank: u8::try_from(rank).unwrap().into(),
                objective: 400 * MS,
                ..request(number)
            };
            if let Decision::Grant(_) = dispatcher.place(request, now) {
                granted.push(key("entry-1", number));
            }
        }
        let over: Vec<_> = ends.extract_if(.., |(at, _)| *at <= ms).collect();
        for (_, key) in over {
            dispatcher.apply(ended(key, SERVED), now);
        }
        for (key, decision) in dispatcher.poll(now) {
            if let Decision::Grant(_) = decision {
                granted.push(key);
            }
        }
        for key in granted {
            let (at, rank) = asked[usize::try_from(key.number).unwrap()];
            if ms - at <= 350 {
                counts[rank].1 += 1;
            }
            ends.push((ms + run_time_ms, key));
        }
    }
    counts
}

#[test]
fn at_twice_the_capacity_higher_ranks_are_in_time_and_the_lowest_is_served_in_part() {
    let [first, second, third] = simulate_burst();
    let share = |(asked, served): (u32, u32)| f64::from(served) / f64::from(asked);
    assert!(share(first) >= 0.97, "{first:?}");
    assert!(share(second) >= 0.97, "{second:?}");
    // The slots left for the lowest rank serve a tenth of all requests.
    assert!(share(third) >= 0.1, "{third:?}");
}

#[test]
fn burst_of_one_account_does_not_delay_other_accounts() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1)], now);
    let charged_request = |number: u64, account: &str| Request {
        account: Some(account.parse().unwrap()),
        objective: 30_000 * MS,
        hold: 60_000 * MS,
        ..request(number)
    };
    dispatcher.place(request(0), now);
    for number in 1..=20 {
        assert_eq!(
            dispatcher.place(charged_request(number, "much"), now),
            Decision::Wait
        );
    }
    for number in 21..=23 {
        assert_eq!(
            dispatcher.place(charged_request(number, "little"), now),
            Decision::Wait
        );
    }
    let mut running = 0;
    let mut order = Vec::new();
    for step in 1..=8 {
        let now = now + 10 * MS * step;
        dispatcher.apply(ended(key("entry-1", running), SERVED), now);
        running = dispatcher.poll(now)[0].0.number;
        order.push(running);
    }
    let last = order.iter().rposition(|number| *number > 20);
    assert!(last <= Some(6), "{order:?}");
}

#[test]
fn late_request_is_queued_behind_the_next_rank_in_time_and_before_the_one_after() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1)], now);
    dispatcher.place(request(0), now);
    let queued_request = |number, route, objective| Request {
        rank: Rank { account: 1, route },
        objective,
        hold: 60_000 * MS,
        ..request(number)
    };
    let in_time = 30_000 * MS;
    let requests = [
        queued_request(1, 0, Duration::ZERO),
        queued_request(2, 2, in_time),
        queued_request(3, 1, in_time),
        queued_request(4, 0, in_time),
    ];
    for request in requests {
        assert_eq!(dispatcher.place(request, now), Decision::Wait);
    }
    let mut running = 0;
    let order = [1, 2, 3, 4].map(|step| {
        let now = now + 10 * MS * step;
        dispatcher.apply(ended(key("entry-1", running), SERVED), now);
        running = dispatcher.poll(now)[0].0.number;
        running
    });
    assert_eq!(order, [4, 3, 1, 2]);
}

#[test]
fn new_dispatcher_adopts_upstream_rates_measured_by_entries() {
    let now = Instant::now();
    let service: gooseberrylb_config::id::Service = "agronomo".parse().unwrap();
    let measured = |first, rest| {
        let mut rates = Rates::default();
        let events = 20;
        let served = Outcome::Served {
            first,
            rest,
            events,
        };
        rates.record(1_000, Duration::ZERO, &served);
        rates
    };
    let rates = vec![
        (
            service.clone(),
            "fast".parse().unwrap(),
            measured(50 * MS, 200 * MS),
        ),
        (
            service.clone(),
            "slow".parse().unwrap(),
            measured(300 * MS, 1_500 * MS),
        ),
    ];
    let mut dispatcher = dispatcher(&[upstream("fast", 5), upstream("slow", 5)], now);
    let notice = Notice {
        rates,
        ..Notice::default()
    };
    dispatcher.apply(notice, now);
    for number in 0..5 {
        let decision = dispatcher.place(request(number), now);
        assert_eq!(decision, Decision::Grant("fast".parse().unwrap()));
    }
}

fn started(number: u64) -> Running {
    Running {
        key: key("entry-2", number),
        service: "agronomo".parse().unwrap(),
        upstream: "a".parse().unwrap(),
        prompt: 1_000,
        patience: 10_000 * MS,
    }
}

/// Guards against overbooked upstreams: if the dispatcher answers late, entries place some
/// requests themselves and report them afterwards.
#[test]
fn request_placed_by_an_entry_holds_a_slot_until_it_ends() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 2)], now);
    let notice = Notice {
        started: vec![started(1)],
        ..Notice::default()
    };
    dispatcher.apply(notice.clone(), now);
    dispatcher.apply(notice, now);
    assert_eq!(dispatcher.load(), (0, 1));
    assert!(matches!(
        dispatcher.place(request(1), now),
        Decision::Grant(_)
    ));
    assert_eq!(dispatcher.place(request(2), now), Decision::Wait);
    dispatcher.apply(ended(key("entry-2", 1), SERVED), now);
    let decided = dispatcher.poll(now);
    assert!(
        matches!(&decided[..], [(_, Decision::Grant(_))]),
        "{decided:?}"
    );
}

#[test]
fn request_started_and_ended_in_one_notice_leaves_no_state() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 2)], now);
    let notice = Notice {
        started: vec![started(1)],
        ended: vec![(key("entry-2", 1), SERVED)],
        ..Notice::default()
    };
    dispatcher.apply(notice, now);
    assert_eq!(dispatcher.load(), (0, 0));
}

#[test]
fn resent_charges_count_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 100)], now);
    let quota = Quota {
        account: "rossi".parse().unwrap(),
        per_second: 0.0,
        burst: 100.0,
        window: Duration::from_secs(8),
    };
    dispatcher.set_quotas(&[quota], 1, now);
    let charge = |number| Charge {
        key: key("entry-2", number),
        account: "rossi".parse().unwrap(),
        units: 30.0,
        age: Duration::ZERO,
    };
    let report = |dispatcher: &mut Dispatcher, numbers: &[u64]| {
        let notice = Notice {
            charges: numbers.iter().map(|number| charge(*number)).collect(),
            ..Notice::default()
        };
        dispatcher.apply(notice, now);
    };
    // The acknowledgement of the first notice is lost, so all of it is sent again with what
    // followed.
    report(&mut dispatcher, &[1, 2]);
    report(&mut dispatcher, &[1, 2, 3]);
    let charged_request = |number, units| Request {
        account: Some("rossi".parse().unwrap()),
        units,
        ..request(number)
    };
    assert!(matches!(
        dispatcher.place(charged_request(1, 20.0), now),
        Decision::Refuse(Reason::Quota, _)
    ));
    assert!(matches!(
        dispatcher.place(charged_request(2, 10.0), now),
        Decision::Grant(_)
    ));
}

/// Guards against charging the same use twice: an account uses its whole rate, some of it placed
/// by entries while there was no dispatcher. A new dispatcher assumes that the rate was used
/// before it began to count.
#[test]
fn charges_from_before_the_dispatcher_counted_are_not_counted_again() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 100)], start);
    let quota = Quota {
        account: "rossi".parse().unwrap(),
        per_second: 10.0,
        burst: 10.0,
        window: Duration::from_secs(8),
    };
    dispatcher.set_quotas(&[quota], 1, start);
    let now = start + 100 * MS;
    let charge = |number, age| Charge {
        key: key("entry-2", number),
        account: "rossi".parse().unwrap(),
        units: 6.0,
        age,
    };
    let notice = Notice {
        charges: vec![charge(1, 600 * MS), charge(2, 50 * MS)],
        ..Notice::default()
    };
    dispatcher.apply(notice, now);
    let charged_request = |number, units| Request {
        account: Some("rossi".parse().unwrap()),
        units,
        ..request(number)
    };
    assert!(matches!(
        dispatcher.place(charged_request(1, 4.0), now),
        Decision::Grant(_)
    ));
    assert!(matches!(
        dispatcher.place(charged_request(2, 4.0), now),
        Decision::Refuse(Reason::Quota, _)
    ));
}

/// Guards against refusing an account that used half of its rate before the dispatcher changed.
/// Entries that have run for a whole window report the use; the part of the others is assumed to
/// be used.
#[test]
fn reported_use_replaces_assumed_use() {
    let now = Instant::now();
    let quota = Quota {
        account: "rossi".parse().unwrap(),
        per_second: 10.0,
        burst: 10.0,
        window: Duration::from_secs(8),
    };
    let spent = |entry: &str, units| Notice {
        spent: Some((
            entry.parse().unwrap(),
            vec![(
                "rossi".parse().unwrap(),
                vec![(7_000 * MS, units), (1_000 * MS, units), (9_000 * MS, 99.0)],
            )],
        )),
        ..Notice::default()
    };
    let charged_request = |number, units| Request {
        account: Some("rossi".parse().unwrap()),
        units,
        ..request(number)
    };
    let refuses = |dispatcher: &mut Dispatcher, units| {
        matches!(
            dispatcher.place(charged_request(1, units), now),
            Decision::Refuse(Reason::Quota, _)
        )
    };
    // 90 units may be used in 8 s, of which 80 are assumed to be used.
    let fresh = || {
        let mut dispatcher = dispatcher(&[upstream("a", 100)], now);
        dispatcher.set_quotas(std::slice::from_ref(&quota), 2, now);
        dispatcher
    };
    assert!(refuses(&mut fresh(), 11.0));
    let mut one = fresh();
    one.apply(spent("entry-1", 10.0), now);
    one.apply(spent("entry-1", 10.0), now);
    assert!(refuses(&mut one, 31.0));
    assert!(!refuses(&mut one, 30.0));
    let mut both = fresh();
    both.apply(spent("entry-1", 10.0), now);
    both.apply(spent("entry-2", 5.0), now);
    assert!(refuses(&mut both, 61.0));
    assert!(!refuses(&mut both, 60.0));
}

#[test]
fn upstreams_whose_hosts_refuse_connections_get_one_request_at_a_time_also_if_most_do() {
    let mut now = Instant::now();
    let upstreams: Vec<_> = (0..5).map(|i| upstream(&format!("i-{i}"), 5)).collect();
    let mut dispatcher = dispatcher(&upstreams, now);
    let is_dead = |name: &str| name != "i-4";
    let (mut refused, mut number) = (0, 0);
    // 10 s of 20 requests a second, each of which takes 100 ms where it is served.
    let mut running: Vec<(Instant, Key)> = Vec::new();
    for step in 0..1_000 {
        now += 10 * MS;
        let mut granted = Vec::new();
        if step % 5 == 0 {
            number += 1;
            let request = request(number);
            let key = request.key.clone();
            if let Decision::Grant(name) = dispatcher.place(request, now) {
                granted.push((key, name));
            }
        }
        let (done, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, _)| *end <= now);
        running = rest;
        for (_, key) in done {
            let served = Outcome::Served {
                first: 20 * MS,
                rest: 80 * MS,
                events: 20,
            };
            dispatcher.apply(ended(key, served), now);
        }
        for (key, decision) in dispatcher.poll(now) {
            if let Decision::Grant(name) = decision {
                granted.push((key, name));
            }
        }
        for (key, name) in granted {
            if is_dead(name.as_str()) {
                refused += 1;
                dispatcher.apply(ended(key, Outcome::Refused), now);
            } else {
                running.push((now + 100 * MS, key));
            }
        }
    }
    // Each of the four is tried again after 250 and 500 ms, and then each second.
    assert!((8..=4 * 12).contains(&refused), "{refused}");
}

#[test]
fn requests_wait_while_all_hosts_refuse_connections_and_the_first_that_listens_is_found() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("i-0", 5)], start);
    for number in 0..3 {
        let granted = dispatcher.place(request(number), start);
        assert!(matches!(granted, Decision::Grant(_)));
    }
    for number in 0..3 {
        let refused = ended(key("entry-1", number), Outcome::Refused);
        dispatcher.apply(refused, start + 5 * MS);
    }
    let decisions = (3..5).map(|number| dispatcher.place(request(number), start + 10 * MS));
    assert!(
        decisions
            .into_iter()
            .all(|decision| decision == Decision::Wait)
    );
    assert_eq!(dispatcher.poll(start + 250 * MS), []);
    // One tries first, and the rest follow once it is served.
    let first = dispatcher.poll(start + 260 * MS);
    assert_eq!(first.len(), 1);
    let served = Outcome::Served {
        first: 20 * MS,
        rest: 80 * MS,
        events: 20,
    };
    dispatcher.apply(ended(first[0].0.clone(), served), start + 400 * MS);
    assert_eq!(dispatcher.poll(start + 410 * MS).len(), 1);
}
