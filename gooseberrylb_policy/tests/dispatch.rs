//! Where requests go, which wait and which are refused; each test plays a load without a network.

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
    }
}

fn key(entry: &str, number: u64) -> Key {
    Key {
        entry: entry.parse().unwrap(),
        incarnation: 1,
        number,
    }
}

fn ask(number: u64) -> Request {
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
            ..ask(number)
        };
        assert!(matches!(dispatcher.place(late, now), Decision::Grant(_)));
    }
    assert_eq!(dispatcher.place(ask(5), now), Decision::Wait);
}

#[test]
fn a_freed_slot_goes_to_the_highest_rank_that_waits() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1)], now);
    dispatcher.place(ask(0), now);
    for (number, rank) in [(1, 2), (2, 0), (3, 1)] {
        let asked = Request {
            rank: rank.into(),
            objective: 30_000 * MS,
            ..ask(number)
        };
        assert_eq!(dispatcher.place(asked, now), Decision::Wait);
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
fn what_waits_is_decided_on_before_its_time_is_over() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1)], now);
    dispatcher.place(ask(0), now);
    assert_eq!(dispatcher.place(ask(1), now), Decision::Wait);
    assert!(dispatcher.poll(now + 1_499 * MS).is_empty());
    let decided = dispatcher.poll(now + 1_500 * MS);
    assert!(matches!(
        decided[..],
        [(_, Decision::Refuse(Reason::Busy, _))]
    ));
}

#[test]
fn requests_that_wait_stay_when_their_entry_tells_anew_what_it_runs() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1)], now);
    dispatcher.place(ask(0), now);
    assert_eq!(dispatcher.place(ask(1), now), Decision::Wait);
    let running = Running {
        key: key("entry-1", 0),
        service: "agronomo".parse().unwrap(),
        upstream: "a".parse().unwrap(),
        prompt: 1_000,
        patience: 5_000 * MS,
    };
    let told = Notice {
        running: Some(("entry-1".parse().unwrap(), vec![running])),
        ..Notice::default()
    };
    dispatcher.apply(told, now);
    assert!(dispatcher.poll(now).is_empty());
    dispatcher.apply(ended(key("entry-1", 0), SERVED), now);
    let decided = dispatcher.poll(now);
    assert!(matches!(&decided[..], [(key, Decision::Grant(_))] if key.number == 1));
}

#[test]
fn an_upstream_that_fails_rests_and_is_tried_again_by_one_request() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 5), upstream("b", 5), upstream("c", 5)], now);
    let mut number = 0;
    let mut granted = |dispatcher: &mut Dispatcher, now| {
        number += 1;
        match dispatcher.place(ask(number), now) {
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
fn upstreams_are_used_where_most_of_them_fail() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1), upstream("b", 1)], now);
    for number in 0..20 {
        let decision = dispatcher.place(ask(number), now);
        assert!(matches!(decision, Decision::Grant(_)), "{decision:?}");
        dispatcher.apply(ended(key("entry-1", number), Outcome::Failed), now);
    }
}

#[test]
fn a_faster_upstream_gets_more_once_it_was_measured() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("fast", 5), upstream("slow", 5)], now);
    let mut counts = [0, 0];
    for number in 0..60 {
        let at = now + 300 * MS * u32::try_from(number).unwrap();
        let Decision::Grant(name) = dispatcher.place(ask(number), at) else {
            panic!("a slot is free");
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
fn what_an_account_may_use_is_counted_once_also_for_refused_requests() {
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
    let asked = |number| Request {
        account: Some(account.clone()),
        units: 40.0,
        ..ask(number)
    };
    assert!(matches!(
        dispatcher.place(asked(0), now),
        Decision::Grant(_)
    ));
    assert_eq!(dispatcher.place(asked(1), now), Decision::Wait);
    let over = dispatcher.place(asked(2), now);
    assert!(matches!(over, Decision::Refuse(Reason::Quota, _)));
    // The one that waited is refused, and what it counted is free again within the same window.
    let later = now + 1_500 * MS;
    dispatcher.poll(later);
    dispatcher.apply(ended(key("entry-1", 0), SERVED), later);
    for number in 3..4 {
        let decision = dispatcher.place(asked(number), later);
        let over = matches!(decision, Decision::Refuse(Reason::Quota, _));
        assert!(!over, "{decision:?}");
        let next = dispatcher.place(asked(number + 1), later);
        assert!(matches!(next, Decision::Refuse(Reason::Quota, _)));
    }
}

/// Plays a burst of twice what the upstreams can run, and gives for each rank the requests and those
/// that were granted in time.
fn play_burst() -> [(u32, u32); 3] {
    let start = Instant::now();
    let upstreams: Vec<_> = (0..4).map(|i| upstream(&format!("u{i}"), 5)).collect();
    let mut dispatcher = dispatcher(&upstreams, start);
    // Each request stays for 400 ms, so that 20 slots run 50 a second; 100 a second come.
    let stay = 400;
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
                ..ask(number)
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
            ends.push((ms + stay, key));
        }
    }
    counts
}

#[test]
fn at_twice_the_capacity_the_higher_ranks_are_served_in_time_and_the_lowest_in_part() {
    let [first, second, third] = play_burst();
    let share = |(asked, served): (u32, u32)| f64::from(served) / f64::from(asked);
    assert!(share(first) >= 0.97, "{first:?}");
    assert!(share(second) >= 0.97, "{second:?}");
    // A tenth of all requests is what the slots have left for the lowest rank.
    assert!(share(third) >= 0.1, "{third:?}");
}

#[test]
fn an_account_that_sends_much_at_once_does_not_push_others_back() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1)], now);
    let asked = |number: u64, account: &str| Request {
        account: Some(account.parse().unwrap()),
        objective: 30_000 * MS,
        hold: 60_000 * MS,
        ..ask(number)
    };
    dispatcher.place(ask(0), now);
    for number in 1..=20 {
        assert_eq!(dispatcher.place(asked(number, "much"), now), Decision::Wait);
    }
    for number in 21..=23 {
        assert_eq!(
            dispatcher.place(asked(number, "little"), now),
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
fn a_request_that_is_late_stands_behind_the_next_rank_in_time_and_before_the_one_after() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 1)], now);
    dispatcher.place(ask(0), now);
    let waits = |number, route, objective| Request {
        rank: Rank { account: 1, route },
        objective,
        hold: 60_000 * MS,
        ..ask(number)
    };
    let in_time = 30_000 * MS;
    let asks = [
        waits(1, 0, Duration::ZERO),
        waits(2, 2, in_time),
        waits(3, 1, in_time),
        waits(4, 0, in_time),
    ];
    for ask in asks {
        assert_eq!(dispatcher.place(ask, now), Decision::Wait);
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
fn a_new_dispatcher_knows_slow_upstreams_from_what_entries_have_measured() {
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
    let told = Notice {
        rates,
        ..Notice::default()
    };
    dispatcher.apply(told, now);
    for number in 0..5 {
        let decision = dispatcher.place(ask(number), now);
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

/// Load: a dispatcher that is late with its answers, so that entries place some requests themselves
/// and tell it afterwards.
#[test]
fn what_an_entry_places_itself_takes_a_slot_until_it_ends() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 2)], now);
    let told = Notice {
        started: vec![started(1)],
        ..Notice::default()
    };
    dispatcher.apply(told.clone(), now);
    dispatcher.apply(told, now);
    assert_eq!(dispatcher.load(), (0, 1));
    assert!(matches!(dispatcher.place(ask(1), now), Decision::Grant(_)));
    assert_eq!(dispatcher.place(ask(2), now), Decision::Wait);
    dispatcher.apply(ended(key("entry-2", 1), SERVED), now);
    let decided = dispatcher.poll(now);
    assert!(
        matches!(&decided[..], [(_, Decision::Grant(_))]),
        "{decided:?}"
    );
}

#[test]
fn what_an_entry_starts_and_ends_in_one_notice_leaves_nothing_behind() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[upstream("a", 2)], now);
    let told = Notice {
        started: vec![started(1)],
        ended: vec![(key("entry-2", 1), SERVED)],
        ..Notice::default()
    };
    dispatcher.apply(told, now);
    assert_eq!(dispatcher.load(), (0, 0));
}

#[test]
fn charges_count_once_however_often_they_are_told() {
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
    let tell = |dispatcher: &mut Dispatcher, numbers: &[u64]| {
        let notice = Notice {
            charges: numbers.iter().map(|number| charge(*number)).collect(),
            ..Notice::default()
        };
        dispatcher.apply(notice, now);
    };
    // The answer to the first notice is lost, so all of it comes again with what followed.
    tell(&mut dispatcher, &[1, 2]);
    tell(&mut dispatcher, &[1, 2, 3]);
    let asked = |number, units| Request {
        account: Some("rossi".parse().unwrap()),
        units,
        ..ask(number)
    };
    assert!(matches!(
        dispatcher.place(asked(1, 20.0), now),
        Decision::Refuse(Reason::Quota, _)
    ));
    assert!(matches!(
        dispatcher.place(asked(2, 10.0), now),
        Decision::Grant(_)
    ));
}

/// Load: an account that uses its whole rate, some of it placed by entries while there was no
/// dispatcher. A new one assumes that the rate was used before it began to count.
#[test]
fn charges_from_before_the_dispatcher_counted_are_not_counted_twice() {
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
    let told = Notice {
        charges: vec![charge(1, 600 * MS), charge(2, 50 * MS)],
        ..Notice::default()
    };
    dispatcher.apply(told, now);
    let asked = |number, units| Request {
        account: Some("rossi".parse().unwrap()),
        units,
        ..ask(number)
    };
    assert!(matches!(
        dispatcher.place(asked(1, 4.0), now),
        Decision::Grant(_)
    ));
    assert!(matches!(
        dispatcher.place(asked(2, 4.0), now),
        Decision::Refuse(Reason::Quota, _)
    ));
}

/// Load: an account that uses half of its rate, then more, while the dispatcher changes. Entries that
/// have run for long tell what was used; those that have not are taken to have used their part.
#[test]
fn what_entries_saw_used_goes_before_what_is_assumed() {
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
    let asked = |number, units| Request {
        account: Some("rossi".parse().unwrap()),
        units,
        ..ask(number)
    };
    let refuses = |dispatcher: &mut Dispatcher, units| {
        matches!(
            dispatcher.place(asked(1, units), now),
            Decision::Refuse(Reason::Quota, _)
        )
    };
    // 90 may be used in 8 s, of which 80 are assumed.
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
