//! Plays of upstreams that are cold and tolerate few requests a second from all instances together.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::declaration::WarmUp;
use gooseberrylb_config::id;
use gooseberrylb_policy::announcement::Announcement;
use gooseberrylb_policy::dispatch::profile::Profile;
use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Request, Upstream, share,
};
use gooseberrylb_policy::warm_up::{Cold, Table};

use fixture::MS;

#[path = "fixture/dispatch.rs"]
mod fixture;

/// Requests per second that a cold upstream tolerates.
const RATE: f64 = 7.6;

/// Factor and number by which requests in one second may exceed the rate.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

const WARM_UP: Duration = Duration::from_secs(3);

/// Upstreams of each of two data centres. The second one comes back cold.
const UPSTREAMS: usize = 4;

const ENTRIES: usize = 5;

fn service() -> id::Service {
    "agronomo".parse().unwrap()
}

fn name(index: usize) -> id::Upstream {
    format!("i-{index}").parse().unwrap()
}

fn upstreams(count: usize) -> Vec<Upstream> {
    let upstream = |index| Upstream {
        service: service(),
        data_centre: if index < UPSTREAMS { "lodi" } else { "cremona" }.into(),
        slots: 40,
        ..fixture::upstream(index)
    };
    (0..count).map(upstream).collect()
}

fn cold(index: usize, left: Duration) -> Announcement {
    Announcement::Cold(Cold {
        service: service(),
        upstream: name(index),
        left,
    })
}

fn dispatcher(upstreams: Vec<Upstream>, now: Instant) -> Dispatcher {
    let warm_up = WarmUp {
        per_second: RATE,
        duration: WARM_UP,
    };
    let profile = Profile {
        warm_up: Some(warm_up),
        ..Profile::default()
    };
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_profiles(BTreeMap::from([(service(), profile)]));
    dispatcher.set_upstreams(upstreams, now);
    dispatcher
}

/// Dispatchers that place requests at the same upstreams, and what they granted.
struct Play {
    now: Instant,
    dispatchers: Vec<Dispatcher>,
    number: u64,
    running: Vec<(Instant, usize, Key)>,
    granted: Vec<(Instant, id::Upstream)>,
}

impl Play {
    fn new(dispatchers: impl IntoIterator<Item = Dispatcher>, now: Instant) -> Self {
        Self {
            now,
            dispatchers: dispatchers.into_iter().collect(),
            number: 0,
            running: Vec::new(),
            granted: Vec::new(),
        }
    }

    fn request(&mut self) -> Request {
        self.number += 1;
        Request {
            service: service(),
            data_centre: "cremona".into(),
            objective: 800 * MS,
            hold: 1_500 * MS,
            patience: 10_000 * MS,
            ..fixture::request(self.number)
        }
    }

    /// Lets 10 ms pass with a number of requests to each dispatcher, which take 150 ms each.
    fn step(&mut self, requests: usize) {
        self.now += 10 * MS;
        let now = self.now;
        for at in 0..self.dispatchers.len() {
            let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
                .into_iter()
                .partition(|(end, by, _)| *end <= now && *by == at);
            self.running = running;
            let served = Outcome::Served {
                first: 150 * MS,
                rest: Duration::ZERO,
                events: 0,
            };
            let notice = Notice {
                ended: ended.into_iter().map(|(_, _, key)| (key, served)).collect(),
                ..Notice::default()
            };
            self.dispatchers[at].apply(notice, now);
            let mut decided = self.dispatchers[at].poll(now);
            for _ in 0..requests {
                let request = self.request();
                let key = request.key.clone();
                decided.push((key, self.dispatchers[at].place(request, now)));
            }
            for (key, decision) in decided {
                if let Decision::Grant(upstream) = decision {
                    self.running.push((now + 150 * MS, at, key));
                    self.granted.push((now, upstream));
                }
            }
        }
    }

    fn announce(&mut self, index: usize, left: Duration) {
        for dispatcher in &mut self.dispatchers {
            dispatcher.announce(vec![cold(index, left)], self.now);
        }
    }

    /// Returns the number of grants of an upstream in a time, and the most in any second of it.
    fn counts(&self, index: usize, from: Instant, to: Instant) -> (usize, usize) {
        let granted = self.granted.iter();
        let of_upstream = granted.filter(|(at, u)| *u == name(index) && (from..to).contains(at));
        let times: Vec<_> = of_upstream.map(|(at, _)| *at).collect();
        let in_second = |first: &Instant| {
            let second = *first..*first + Duration::from_secs(1);
            times.iter().filter(|at| second.contains(at)).count()
        };
        (times.len(), times.iter().map(in_second).max().unwrap_or(0))
    }

    fn assert_within(&self, index: usize, from: Instant, to: Instant) {
        let (_, most) = self.counts(index, from, to);
        let allowed = RATE * OVERSHOOT + SLACK;
        assert!(most as f64 <= allowed, "{most} of {allowed} at {index}");
    }
}

/// Guards against a return that overruns the upstreams, or that leaves what they tolerate unused.
#[test]
fn data_centre_that_returns_cold_beside_a_burst_gets_what_it_tolerates() {
    let now = Instant::now();
    let mut play = Play::new([dispatcher(upstreams(UPSTREAMS), now)], now);
    (0..100).for_each(|_| play.step(2));
    let from = play.now;
    // The data centre is listed again before the list shows that its upstreams are cold.
    play.dispatchers[0].set_upstreams(upstreams(2 * UPSTREAMS), from);
    (0..50).for_each(|_| play.step(20));
    (UPSTREAMS..2 * UPSTREAMS).for_each(|index| play.announce(index, WARM_UP));
    let warm = play.now + WARM_UP;
    while play.now < warm {
        play.step(20);
    }
    for index in UPSTREAMS..2 * UPSTREAMS {
        play.assert_within(index, from, warm);
        let (count, _) = play.counts(index, from, warm);
        let usable = RATE * (warm - from).as_secs_f64();
        assert!(count as f64 >= 0.8 * usable, "{count} of {usable}");
    }
    // Warm ones are not limited any more.
    (0..100).for_each(|_| play.step(20));
    let (count, _) = play.counts(UPSTREAMS, warm, play.now);
    assert!(count as f64 > 2.0 * RATE, "{count}");
}

/// Guards against rates that add up over entries which place alone beside the dispatcher.
#[test]
fn entries_that_place_alone_add_half_of_the_rate_at_most() {
    let now = Instant::now();
    let alone = (0..ENTRIES).map(|index| {
        let own = share::for_entry(upstreams(UPSTREAMS), index, ENTRIES);
        dispatcher(own, now)
    });
    let dispatchers = alone.chain([dispatcher(upstreams(UPSTREAMS), now)]);
    let mut play = Play::new(dispatchers, now);
    (0..UPSTREAMS).for_each(|index| play.announce(index, WARM_UP));
    let warm = now + WARM_UP;
    while play.now < warm {
        play.step(6);
    }
    (0..UPSTREAMS).for_each(|index| play.assert_within(index, now, warm));
}

/// Guards against a new dispatcher that grants again what the one before has granted.
#[test]
fn takeover_in_the_middle_of_a_warm_up_overruns_nothing() {
    let now = Instant::now();
    let mut play = Play::new([dispatcher(upstreams(UPSTREAMS), now)], now);
    play.announce(0, 2 * WARM_UP);
    let warm = now + 2 * WARM_UP;
    for takeover in 0.. {
        if play.now >= warm {
            break;
        }
        (0..70 + takeover * 10).for_each(|_| play.step(10));
        let known = play.dispatchers[0].announcements(play.now);
        play.dispatchers[0] = dispatcher(upstreams(UPSTREAMS), play.now);
        play.dispatchers[0].announce(known, play.now);
        play.running.clear();
    }
    play.assert_within(0, now, warm);
}

/// Guards against a second warm-up that is taken for the first one.
#[test]
fn upstream_that_turns_cold_twice_is_limited_twice() {
    let now = Instant::now();
    let mut play = Play::new([dispatcher(upstreams(1), now)], now);
    for _ in 0..2 {
        (0..100).for_each(|_| play.step(10));
        let from = play.now;
        play.announce(0, WARM_UP);
        (0..200).for_each(|_| play.step(10));
        play.announce(0, WARM_UP);
        let warm = play.now + WARM_UP;
        while play.now < warm {
            play.step(10);
        }
        play.assert_within(0, from, warm);
        let (count, _) = play.counts(0, from, warm);
        let usable = RATE * (warm - from).as_secs_f64();
        assert!(count as f64 >= 0.8 * usable, "{count} of {usable}");
    }
}

/// Guards against an upstream that crashes again because the list shows its restart late.
#[test]
fn upstream_that_is_served_after_its_host_refused_connections_is_presumed_cold() {
    let now = Instant::now();
    let mut play = Play::new([dispatcher(upstreams(1), now)], now);
    let request = play.request();
    let key = request.key.clone();
    play.dispatchers[0].place(request, now);
    let notice = Notice {
        ended: vec![(key, Outcome::Refused)],
        ..Notice::default()
    };
    play.dispatchers[0].apply(notice, now);
    (0..50).for_each(|_| play.step(10));
    let served = play.granted.first().unwrap().0 + 150 * MS;
    let warm = served + WARM_UP;
    while play.now < warm {
        play.step(10);
    }
    play.assert_within(0, served, warm);
}

/// Guards against an entry that begins to place alone and sends at the full rate to an upstream of which it
/// was told before that it is cold.
#[test]
fn upstream_that_is_listed_after_it_was_announced_as_cold_is_limited() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(Vec::new(), now);
    dispatcher.announce(vec![cold(0, WARM_UP)], now);
    dispatcher.set_upstreams(upstreams(1), now);
    let mut play = Play::new([dispatcher], now);
    while play.now < now + WARM_UP {
        play.step(10);
    }
    play.assert_within(0, now, now + WARM_UP);
}

/// Guards against an announcement at each read of a list that lags by varying times.
#[test]
fn report_of_the_same_warm_up_is_not_new() {
    let now = Instant::now();
    let mut table = Table::default();
    let mut record = |left, after| {
        let Announcement::Cold(cold) = cold(0, left) else {
            unreachable!("it was made as one");
        };
        table.record(&cold, now + after)
    };
    assert!(record(WARM_UP, Duration::ZERO));
    assert!(!record(WARM_UP, 200 * MS));
    assert!(!record(WARM_UP - 500 * MS, 500 * MS));
    assert!(record(WARM_UP, 500 * MS));
}
