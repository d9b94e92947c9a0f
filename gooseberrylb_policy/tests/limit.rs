//! Plays of upstreams that name how many requests a second they take from all instances together.

use std::time::{Duration, Instant};

use gooseberrylb_config::dialect::Statement;
use gooseberrylb_config::id;
use gooseberrylb_policy::announcement::Announcement;
use gooseberrylb_policy::availability::{Report, Said, Table};
use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Reason, Request, Running, Upstream, share,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: Duration = Duration::from_millis(1);

const UPSTREAMS: usize = 6;

const SLOTS: u32 = 5;

/// Window in which requests at a limited upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Number of entries that place alone.
const ENTRIES: usize = 7;

fn service() -> id::Service {
    "vernis".parse().unwrap()
}

fn name(index: usize) -> id::Upstream {
    format!("i-{index}").parse().unwrap()
}

fn upstreams() -> Vec<Upstream> {
    let upstream = |index| Upstream {
        name: name(index),
        service: service(),
        release: "v1".into(),
        data_centre: "sfax-a".into(),
        slots: SLOTS,
        limit_part: 1.0,
    };
    (0..UPSTREAMS).map(upstream).collect()
}

fn report(index: usize, rate: Option<&str>, age: Duration) -> Report {
    Report {
        service: service(),
        upstream: name(index),
        leaving: false,
        closed_for: None,
        limit: Some(Said {
            value: rate.map(|rate| rate.parse().unwrap()),
            age,
        }),
        tolerance: None,
    }
}

fn announce(dispatcher: &mut Dispatcher, report: Report, now: Instant) {
    dispatcher.announce(vec![Announcement::Upstream(report)], now);
}

fn request(number: u64, rank: u8) -> Request {
    Request {
        key: Key {
            entry: "entry-1".parse().unwrap(),
            incarnation: 1,
            number,
        },
        service: service(),
        route: "label".into(),
        account: None,
        units: 0.0,
        weight: 1.0,
        rank: rank.into(),
        data_centre: "sfax-a".into(),
        prompt: 0,
        events: 0,
        objective: 800 * MS,
        hold: 1_500 * MS,
        patience: 10_000 * MS,
        excluded: Vec::new(),
    }
}

/// Highest number of arrivals in any window, and what a limit allows in one.
fn most_and_allowed(arrivals: &[Instant], rate: f64) -> (usize, usize) {
    let counts = arrivals.iter().map(|first| {
        let window = *first..*first + WINDOW;
        arrivals.iter().filter(|at| window.contains(at)).count()
    });
    let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
    (counts.max().unwrap_or(0), allowed as usize)
}

/// Random requests to one dispatcher, whose upstreams serve each within 50 to 1,500 ms.
struct Play {
    rng: ChaCha8Rng,
    dispatcher: Dispatcher,
    now: Instant,
    number: u64,
    running: Vec<(Instant, Key)>,
    /// Grants, by time and upstream.
    granted: Vec<(Instant, id::Upstream)>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new();
        dispatcher.set_upstreams(upstreams(), now);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            dispatcher,
            now,
            number: 0,
            running: Vec::new(),
            granted: Vec::new(),
        }
    }

    fn grant(&mut self, key: Key, upstream: id::Upstream) {
        let end = self.now + self.rng.random_range(50..1500) * MS;
        self.running.push((end, key));
        self.granted.push((self.now, upstream));
    }

    /// Lets 10 ms pass, with `per_second` requests of rank 1.
    fn step(&mut self, per_second: f64) {
        self.now += 10 * MS;
        if self.rng.random_bool(per_second / 100.0) {
            self.number += 1;
            let request = request(self.number, 1);
            let key = request.key.clone();
            if let Decision::Grant(upstream) = self.dispatcher.place(request, self.now) {
                self.grant(key, upstream);
            }
        }
        let now = self.now;
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(end, _)| *end <= now);
        self.running = running;
        let served = Outcome::Served {
            first: 40 * MS,
            rest: 400 * MS,
            events: 20,
        };
        let notice = Notice {
            ended: ended.into_iter().map(|(_, key)| (key, served)).collect(),
            ..Notice::default()
        };
        self.dispatcher.apply(notice, now);
        for (key, decision) in self.dispatcher.poll(now) {
            if let Decision::Grant(upstream) = decision {
                self.grant(key, upstream);
            }
        }
    }

    fn arrivals(&self, index: usize, from: Instant) -> Vec<Instant> {
        let granted = self.granted.iter();
        let granted = granted.filter(|(at, upstream)| *upstream == name(index) && *at >= from);
        granted.map(|(at, _)| *at).collect()
    }
}

#[test]
fn limited_upstreams_get_what_they_name_and_others_the_rest() {
    for seed in 0..30 {
        let mut play = Play::new(seed);
        (0..500).for_each(|_| play.step(25.0));
        let from = play.now;
        for (index, rate) in [(0, "1.9"), (1, "0.4"), (2, "7")] {
            announce(
                &mut play.dispatcher,
                report(index, Some(rate), Duration::ZERO),
                from,
            );
        }
        (0..2000).for_each(|_| play.step(25.0));
        let seconds = (play.now - from).as_secs_f64();
        for (index, rate) in [(0, 1.9), (1, 0.4)] {
            let arrivals = play.arrivals(index, from);
            let (most, allowed) = most_and_allowed(&arrivals, rate);
            assert!(
                most <= allowed,
                "seed {seed}: {most} of {allowed} at {index}"
            );
            // One more than the rate, and what it allows in the half second that is kept.
            let (count, usable) = (arrivals.len() as f64, rate * seconds);
            let is_used = (0.8 * usable..=usable + 1.0 + rate / 2.0).contains(&count);
            assert!(is_used, "seed {seed}: {count} of {usable} at {index}");
        }
        let all = play.granted.iter().filter(|(at, _)| *at >= from).count();
        assert!(
            all as f64 > 0.95 * 25.0 * seconds * 0.9,
            "seed {seed}: {all}"
        );
    }
}

#[test]
fn limit_of_a_new_dispatcher_holds_together_with_what_the_one_before_granted() {
    for seed in 0..30 {
        let mut play = Play::new(seed);
        let from = play.now;
        announce(
            &mut play.dispatcher,
            report(0, Some("1.4"), Duration::ZERO),
            from,
        );
        for _ in 0..6 {
            (0..150).for_each(|_| play.step(40.0));
            let known = play.dispatcher.announcements(play.now);
            play.dispatcher = Dispatcher::new();
            play.dispatcher.set_upstreams(upstreams(), play.now);
            play.dispatcher.announce(known, play.now);
            play.running.clear();
        }
        let (most, allowed) = most_and_allowed(&play.arrivals(0, from), 1.4);
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

#[test]
fn entries_that_place_alone_keep_the_limit_together_and_beside_the_dispatcher() {
    for (seed, rate) in (0..20).flat_map(|seed| [(seed, 0.5), (seed, 1.9), (seed, 12.0)]) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let mut alone: Vec<Dispatcher> = (0..ENTRIES)
            .map(|index| {
                let mut dispatcher = Dispatcher::new();
                let own = share::for_entry(upstreams(), index, ENTRIES);
                dispatcher.set_upstreams(own, start);
                dispatcher
            })
            .collect();
        let mut dispatcher = Dispatcher::new();
        dispatcher.set_upstreams(upstreams(), start);
        for one in alone.iter_mut().chain([&mut dispatcher]) {
            let text = rate.to_string();
            announce(one, report(0, Some(&text), Duration::ZERO), start);
        }
        let mut arrivals = Vec::new();
        for ms in (0..16_000).step_by(5) {
            let now = start + ms * MS;
            // Each entry loses the dispatcher for some seconds, and some do at the same time.
            let index = rng.random_range(0..ENTRIES);
            let is_alone = (ms / 2_000) as usize % ENTRIES >= index;
            let request = request(u64::from(ms), 1);
            let key = request.key.clone();
            let decision = match is_alone {
                true => alone[index].place(request, now),
                false => dispatcher.place(request, now),
            };
            let Decision::Grant(upstream) = decision else {
                continue;
            };
            if upstream == name(0) {
                arrivals.push(now);
            }
            let ended = Notice {
                ended: vec![(key.clone(), Outcome::Dropped)],
                ..Notice::default()
            };
            if is_alone {
                alone[index].apply(ended, now);
                let running = Running {
                    key,
                    service: service(),
                    upstream,
                    prompt: 0,
                    patience: 100 * MS,
                };
                let started = Notice {
                    started: vec![running],
                    ..Notice::default()
                };
                dispatcher.apply(started, now);
            } else {
                dispatcher.apply(ended, now);
            }
        }
        let (most, allowed) = most_and_allowed(&arrivals, rate);
        assert!(most <= allowed, "seed {seed}, {rate}: {most} of {allowed}");
        assert!(!arrivals.is_empty(), "seed {seed}, {rate}");
    }
}

#[test]
fn if_all_upstreams_are_limited_requests_wait_by_rank_or_are_refused_with_a_true_time() {
    let mut play = Play::new(0);
    for index in 0..UPSTREAMS {
        let report = report(index, Some("1"), Duration::ZERO);
        announce(&mut play.dispatcher, report, play.now);
    }
    play.now += 500 * MS;
    let place = |play: &mut Play, rank| {
        play.number += 1;
        let request = request(play.number, rank);
        let key = request.key.clone();
        (key, play.dispatcher.place(request, play.now))
    };
    let decisions: Vec<_> = (0..20).map(|_| place(&mut play, 3)).collect();
    let (top, decision) = place(&mut play, 0);
    assert_eq!(decision, Decision::Wait);
    let refused = decisions.iter().filter_map(|(_, decision)| match decision {
        Decision::Refuse(Reason::Busy, pause) => Some(*pause),
        _ => None,
    });
    let refused: Vec<_> = refused.collect();
    assert!(!refused.is_empty() && refused.len() < 20, "{refused:?}");
    // The next request of each upstream is due in half a second.
    assert!(
        refused.iter().all(|pause| *pause >= 500 * MS),
        "{refused:?}"
    );
    play.now += 499 * MS;
    assert_eq!(play.dispatcher.poll(play.now), []);
    play.now += 2 * MS;
    let granted = play.dispatcher.poll(play.now);
    let waiting = 1 + decisions.len() - refused.len();
    assert_eq!(granted.len(), waiting.min(UPSTREAMS));
    assert!(granted.iter().any(|(key, _)| *key == top));
}

#[test]
fn upstream_that_takes_none_gets_one_now_and_then() {
    let mut play = Play::new(0);
    let from = play.now;
    announce(
        &mut play.dispatcher,
        report(0, Some("0"), Duration::ZERO),
        from,
    );
    (0..4_500).for_each(|_| play.step(40.0));
    assert_eq!(play.arrivals(0, from).len(), 4);
}

#[test]
fn requests_offered_by_other_shards_count_against_the_limit() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_upstreams(upstreams().into_iter().take(1), now);
    announce(&mut dispatcher, report(0, Some("2"), Duration::ZERO), now);
    let now = now + 1_000 * MS;
    let offered = (0..10).map(|number| dispatcher.place_offered(request(number, 1), now));
    let is_granted = |decision: &Decision| matches!(decision, Decision::Grant(_));
    assert_eq!(offered.filter(is_granted).count(), 2);
    assert_eq!(dispatcher.summary(now).free, [(service(), 0)]);
}

#[test]
fn limit_is_lifted_by_a_later_request_only_and_an_older_report_does_not_bring_it_back() {
    let now = Instant::now();
    let limited = Statement {
        limit: Some("1.9".parse().unwrap()),
        ..Statement::default()
    };
    let mut table = Table::default();
    assert!(table.record(&service(), &name(0), limited, now));
    assert!(!table.record(&service(), &name(0), limited, now + 10 * MS));
    let at = now + 100 * MS;
    assert!(
        !table.record_served(&name(0), Statement::default(), now, at),
        "sent before"
    );
    assert!(table.limit(&name(0)).is_some());
    assert!(table.record_served(&name(0), Statement::default(), now + 50 * MS, at));
    assert_eq!(table.limit(&name(0)), None);
    assert!(!table.adopt(&report(0, Some("1.9"), 200 * MS), at + 100 * MS));
    assert_eq!(table.limit(&name(0)), None);
    // Another instance learns that it is lifted, and of a new limit.
    let mut other = Table::default();
    other.adopt(&report(0, Some("1.9"), 150 * MS), at);
    for report in table.reports(at) {
        assert!(other.adopt(&report, at));
    }
    assert_eq!(other.limit(&name(0)), None);
    assert!(other.adopt(&report(0, Some("3"), Duration::ZERO), at + 10 * MS));
    assert_eq!(other.limit(&name(0)), Some("3".parse().unwrap()));
}
