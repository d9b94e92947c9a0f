//! Plays of upstreams that say in their responses that they leave, or want no request for a while.

use std::time::{Duration, Instant};

use gooseberrylb_config::dialect::Statement;
use gooseberrylb_config::id;
use gooseberrylb_policy::announcement::Announcement;
use gooseberrylb_policy::availability::{Listing, Report, Said, Table};
use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Reason, Request, Upstream,
};

const MS: Duration = Duration::from_millis(1);

const UPSTREAMS: usize = 6;

const SLOTS: u32 = 4;

fn service() -> id::Service {
    "agronomo".parse().unwrap()
}

fn name(index: usize) -> id::Upstream {
    format!("i-{index}").parse().unwrap()
}

fn leaving() -> Statement {
    Statement {
        leaving: true,
        ..Statement::default()
    }
}

fn closed(time: Duration) -> Statement {
    Statement {
        closed_for: Some(time),
        ..Statement::default()
    }
}

fn report(index: usize, statement: Statement) -> Report {
    Report {
        service: service(),
        upstream: name(index),
        leaving: statement.leaving,
        closed_for: statement.closed_for,
        limit: statement.limit.map(|rate| Said {
            value: Some(rate),
            age: Duration::ZERO,
        }),
        tolerance: None,
    }
}

/// A service whose requests are all alike, with the time of the play.
struct Play {
    dispatcher: Dispatcher,
    now: Instant,
    number: u64,
}

impl Play {
    fn new() -> Self {
        let mut play = Self {
            dispatcher: Dispatcher::new(),
            now: Instant::now(),
            number: 0,
        };
        play.list(0..UPSTREAMS);
        play
    }

    /// Sets the listed upstreams.
    fn list(&mut self, indexes: impl IntoIterator<Item = usize>) {
        let upstreams = indexes.into_iter().map(|index| Upstream {
            name: name(index),
            service: service(),
            release: "v1".into(),
            data_centre: "lodi".into(),
            slots: SLOTS,
            limit_part: 1.0,
        });
        self.dispatcher.set_upstreams(upstreams, self.now);
    }

    fn request(&mut self, rank: u8) -> Request {
        self.number += 1;
        Request {
            key: Key {
                entry: "entry-1".parse().unwrap(),
                incarnation: 1,
                number: self.number,
            },
            service: service(),
            route: "plan".into(),
            account: None,
            units: 0.0,
            weight: 1.0,
            rank: rank.into(),
            data_centre: "lodi".into(),
            prompt: 0,
            events: 0,
            objective: 800 * MS,
            hold: 1_500 * MS,
            patience: 10_000 * MS,
            excluded: Vec::new(),
        }
    }

    fn place(&mut self, rank: u8) -> (Key, Decision) {
        let request = self.request(rank);
        let key = request.key.clone();
        (key, self.dispatcher.place(request, self.now))
    }

    fn announce(&mut self, index: usize, statement: Statement) {
        let announcements = vec![Announcement::Upstream(report(index, statement))];
        self.dispatcher.announce(announcements, self.now);
    }

    fn serve(&mut self, key: Key) {
        let outcome = Outcome::Served {
            first: 10 * MS,
            rest: Duration::ZERO,
            events: 0,
        };
        let notice = Notice {
            ended: vec![(key, outcome)],
            ..Notice::default()
        };
        self.dispatcher.apply(notice, self.now);
    }

    /// Places requests until none is granted at once, and returns the upstreams that got them.
    fn fill(&mut self) -> Vec<id::Upstream> {
        let mut granted = Vec::new();
        while let (_, Decision::Grant(upstream)) = self.place(1) {
            granted.push(upstream);
        }
        granted
    }

    fn poll(&mut self) -> Vec<(Key, Decision)> {
        self.dispatcher.poll(self.now)
    }
}

#[test]
fn upstream_that_leaves_gets_nothing_though_it_is_listed() {
    let mut play = Play::new();
    play.announce(2, leaving());
    play.list(0..UPSTREAMS);
    let granted = play.fill();
    assert_eq!(granted.len(), (UPSTREAMS - 1) * SLOTS as usize);
    assert!(!granted.contains(&name(2)));
}

#[test]
fn upstream_that_starts_anew_gets_requests_and_a_late_list_does_not_bring_one_back() {
    let mut play = Play::new();
    play.announce(2, leaving());
    let listing = |listing| move |_: &id::Upstream| listing;
    let steps = [
        (Listing::Ready, 300, true),
        (Listing::Draining, 800, true),
        (Listing::Ready, 1_500, true),
        (Listing::Ready, 9_000, false),
    ];
    let start = play.now;
    for (state, ms, is_leaving) in steps {
        play.now = start + ms * MS;
        play.dispatcher.update_listing(listing(state), play.now);
        assert_eq!(play.dispatcher.is_leaving(&name(2)), is_leaving, "{ms} ms");
    }
    assert!(play.fill().contains(&name(2)));
    // An upstream with another name is another one, also at the same address.
    let mut play = Play::new();
    play.announce(2, leaving());
    play.list([7]);
    assert_eq!(play.fill().len(), SLOTS as usize);
}

#[test]
fn third_of_the_upstreams_that_want_nothing_get_nothing_until_their_time_is_over() {
    let mut play = Play::new();
    for index in 0..UPSTREAMS / 3 {
        play.announce(index, closed(2_000 * MS));
    }
    let granted = play.fill();
    assert_eq!(granted.len(), UPSTREAMS * 2 / 3 * SLOTS as usize);
    play.now += 1_999 * MS;
    assert_eq!(play.fill(), []);
    play.now += MS;
    let mut reopened = play.poll();
    reopened.retain(|(_, decision)| matches!(decision, Decision::Grant(_)));
    let placed = play.fill();
    // Each gets one request first, and more once it has served that.
    assert_eq!(reopened.len() + placed.len(), UPSTREAMS / 3);
}

#[test]
fn requests_wait_for_upstreams_that_all_open_soon_and_higher_ranks_go_first() {
    let mut play = Play::new();
    for index in 0..UPSTREAMS {
        play.announce(index, closed(600 * MS));
    }
    let low: Vec<Key> = (0..10).map(|_| play.place(3)).map(|(key, _)| key).collect();
    let (top, decision) = play.place(0);
    assert_eq!(decision, Decision::Wait);
    play.now += 599 * MS;
    assert_eq!(play.poll(), []);
    play.now += MS;
    let granted: Vec<Key> = play.poll().into_iter().map(|(key, _)| key).collect();
    assert_eq!(granted.len(), UPSTREAMS);
    assert!(granted.contains(&top));
    for key in granted {
        play.serve(key);
    }
    let rest = play.poll();
    assert_eq!(rest.len(), low.len() + 1 - UPSTREAMS);
}

#[test]
fn requests_are_refused_until_the_first_upstream_opens_if_that_takes_too_long() {
    let mut play = Play::new();
    for index in 0..UPSTREAMS {
        play.announce(index, closed((2_400 + 100 * index as u32) * MS));
    }
    let (_, decision) = play.place(0);
    let Decision::Refuse(Reason::Busy, pause) = decision else {
        panic!("{decision:?}");
    };
    assert!((2_400 * MS..=3_600 * MS).contains(&pause), "{pause:?}");
    play.now += 2_400 * MS;
    assert!(matches!(play.place(0).1, Decision::Grant(_)));
}

#[test]
fn all_upstreams_leaving_leaves_none() {
    let mut play = Play::new();
    for index in 0..UPSTREAMS {
        play.announce(index, leaving());
    }
    let (_, decision) = play.place(0);
    assert!(
        matches!(decision, Decision::Refuse(Reason::NoUpstream, _)),
        "{decision:?}"
    );
}

#[test]
fn later_time_that_ends_sooner_does_not_shorten_an_earlier_one() {
    let now = Instant::now();
    let mut table = Table::default();
    assert!(table.record(&service(), &name(0), closed(3_000 * MS), now));
    let later = now + 500 * MS;
    assert!(!table.record(&service(), &name(0), closed(1_000 * MS), later));
    assert!(table.is_unavailable(&name(0), now + 2_999 * MS));
    assert!(!table.is_unavailable(&name(0), now + 3_000 * MS));
    // Leaving and closed are told together, with the time that is left.
    assert!(table.record(&service(), &name(0), leaving(), later));
    let both = Statement {
        leaving: true,
        ..closed(2_500 * MS)
    };
    let expected = report(0, both);
    assert_eq!(table.reports(later), [expected]);
    assert!(!table.record(&service(), &name(1), Statement::default(), later));
}

/// Guards against a takeover: the new dispatcher knows what its entries tell it.
#[test]
fn new_dispatcher_takes_over_what_is_announced() {
    let mut first = Play::new();
    first.announce(0, closed(2_000 * MS));
    first.announce(1, leaving());
    first.now += 500 * MS;
    let announcements = first.dispatcher.announcements(first.now);
    let mut second = Play::new();
    second.now = first.now;
    second.dispatcher.announce(announcements, second.now);
    let granted = second.fill();
    assert_eq!(granted.len(), (UPSTREAMS - 2) * SLOTS as usize);
    second.now += 1_500 * MS;
    // The request that waits since it found no room has waited for long enough.
    second.poll();
    assert_eq!(second.fill(), [name(0)]);
}
