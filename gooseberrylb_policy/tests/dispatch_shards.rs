//! A large fleet with a dispatcher for each data centre: the plan of its shards, requests that run
//! in other shards, quotas over all shards, and a load that is played against a single dispatcher.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, UNIX_EPOCH};

use gooseberrylb_config::directory::rollout::{Rollout, Stage};
use gooseberrylb_config::directory::{Directory, Instance, ListedUpstream};
use gooseberrylb_config::id;
use gooseberrylb_policy::dispatch::shard::{MAX_UNDIVIDED_ENTRIES, Plan};
use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Quota, Reason, Request, Summary, Upstream,
};

const MS: Duration = Duration::from_millis(1);

/// Data centres of the fleet that the pages describe as the largest.
const DATA_CENTRES: [&str; 5] = ["brescia", "cremona", "lodi", "mantova", "piacenza"];

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

fn instance(data_centre: &str, entry: bool) -> Instance {
    let address = "127.0.0.1:1".parse().unwrap();
    Instance {
        data_centre: name(data_centre),
        region: name("padana"),
        callers: address,
        operators: address,
        peers: address,
        leaving: false,
        entry,
    }
}

/// Returns a configuration with `entries` entries and the given number of other instances in each
/// data centre.
fn directory(entries: usize, others: &[(&str, usize)]) -> Directory {
    let mut directory = Directory::default();
    for (data_centre, count) in others {
        for n in 0..entries {
            let entry = name(&format!("entry-{data_centre}-{n}"));
            directory
                .instances
                .insert(entry, instance(data_centre, true));
        }
        for n in 0..*count {
            let keeper = name(&format!("keeper-{data_centre}-{n}"));
            directory
                .instances
                .insert(keeper, instance(data_centre, false));
        }
    }
    directory
}

/// Returns the fleet of five data centres with two keepers each, but one in the first.
fn large() -> Directory {
    let others = DATA_CENTRES.map(|name| (name, 2 - usize::from(name == "brescia")));
    directory(58, &others)
}

#[test]
fn small_fleet_and_fleet_in_one_data_centre_are_not_divided() {
    let half = MAX_UNDIVIDED_ENTRIES / 2;
    let small = directory(half, &[("lodi", 2), ("mantova", 2)]);
    assert!(!Plan::new(&small).is_divided());
    let larger = directory(half + 1, &[("lodi", 2), ("mantova", 2)]);
    assert!(Plan::new(&larger).is_divided());
    let single = directory(3 * half, &[("lodi", 5)]);
    assert!(!Plan::new(&single).is_divided());
}

#[test]
fn each_data_centre_of_a_large_fleet_has_its_own_dispatchers() {
    let plan = Plan::new(&large());
    let mut all = Vec::new();
    for data_centre in DATA_CENTRES {
        let shard = plan.shard_of(&name(data_centre)).unwrap();
        let first = shard.dispatchers[0].to_string();
        assert_eq!(first, format!("keeper-{data_centre}-0"));
        all.extend(shard.dispatchers.clone());
    }
    let count = all.len();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), count, "no instance dispatches two shards");
    assert_eq!(count, 9, "every keeper is a first or a second dispatcher");
}

#[test]
fn leaving_or_removed_dispatcher_is_replaced_and_the_others_stay() {
    let before = Plan::new(&large());
    let mut changed = large();
    changed
        .instances
        .remove(&name::<id::Instance>("keeper-lodi-0"));
    let leaving = changed
        .instances
        .get_mut(&name::<id::Instance>("keeper-mantova-0"));
    leaving.unwrap().leaving = true;
    let after = Plan::new(&changed);
    let first = |plan: &Plan, data_centre: &str| {
        let shard = plan.shard_of(&name(data_centre)).unwrap();
        shard.dispatchers[0].to_string()
    };
    assert_eq!(first(&after, "lodi"), "keeper-lodi-1");
    assert_eq!(first(&after, "mantova"), "keeper-mantova-1");
    for data_centre in ["brescia", "cremona", "piacenza"] {
        assert_eq!(first(&after, data_centre), first(&before, data_centre));
    }
}

#[test]
fn data_centre_without_keepers_borrows_one_or_shares_a_shard() {
    let borrowed = directory(58, &[("brescia", 0), ("cremona", 2), ("lodi", 1)]);
    let plan = Plan::new(&borrowed);
    let shard = plan.shard_of(&name("brescia")).unwrap();
    assert_eq!(shard.dispatchers[0].to_string(), "keeper-cremona-1");
    assert_eq!(plan.shards().len(), 3);
    let shared = directory(58, &[("brescia", 0), ("cremona", 1), ("lodi", 1)]);
    let plan = Plan::new(&shared);
    assert_eq!(plan.shards().len(), 2);
    assert!(plan.shard_of(&name("brescia")).is_some());
    let without_keepers = directory(58, &[("brescia", 0), ("cremona", 0)]);
    assert!(!Plan::new(&without_keepers).is_divided());
}

#[test]
fn fleet_is_not_divided_during_a_rollout() {
    let mut directory = large();
    let mut rollout = Rollout {
        release: "v2".into(),
        accepted: UNIX_EPOCH,
        finish_by: UNIX_EPOCH,
        stage: Stage::Trying,
        steps: 1,
        since: UNIX_EPOCH,
        reason: "ordered".into(),
        refused: Vec::new(),
    };
    let service: id::Service = name("agronomo");
    directory.rollouts.insert(service.clone(), rollout.clone());
    assert!(!Plan::new(&directory).is_divided());
    rollout.stage = Stage::RolledBack;
    directory.rollouts.insert(service, rollout);
    assert!(Plan::new(&directory).is_divided());
}

#[test]
fn upstream_belongs_to_the_shard_of_its_data_centre_or_to_any_if_that_has_none() {
    let plan = Plan::new(&large());
    let listed = |data_centre: &str| ListedUpstream {
        service: name("agronomo"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: data_centre.into(),
        release: "v1".into(),
        slots: 4,
        draining: false,
    };
    let mut spread = BTreeMap::new();
    for n in 0..100 {
        let id: id::Upstream = name(&format!("i-{n}"));
        for data_centre in DATA_CENTRES {
            let owner = plan.owner(&id, &listed(data_centre)).unwrap();
            assert_eq!(owner.name().as_str(), data_centre);
        }
        let owner = plan.owner(&id, &listed("elsewhere")).unwrap();
        *spread.entry(owner.name().to_string()).or_insert(0) += 1;
    }
    assert_eq!(spread.len(), 5);
    assert!(
        Plan::default()
            .owner(&name("i-0"), &listed("lodi"))
            .is_none()
    );
}

fn upstream(id: &str, service: &str, data_centre: &str, slots: u32) -> Upstream {
    Upstream {
        name: name(id),
        service: name(service),
        release: "v1".into(),
        data_centre: data_centre.into(),
        slots,
        limit_part: 1.0,
    }
}

fn request(entry: &str, number: u64, service: &str, data_centre: &str) -> Request {
    Request {
        key: Key {
            entry: name(entry),
            incarnation: 1,
            number,
        },
        service: name(service),
        route: "plan".into(),
        account: None,
        units: 0.0,
        weight: 1.0,
        rank: Default::default(),
        data_centre: data_centre.into(),
        prompt: 0,
        events: 0,
        objective: 120 * MS,
        hold: 400 * MS,
        patience: 800 * MS,
        excluded: Vec::new(),
    }
}

/// Two shards with one upstream each, of which the second has reported its free slots to the first.
fn two_shards(slots: [u32; 2], now: Instant) -> [Dispatcher; 2] {
    let mut shards = [Dispatcher::new(), Dispatcher::new()];
    let upstreams = [
        upstream("near", "comando", "lodi", slots[0]),
        upstream("far", "comando", "mantova", slots[1]),
    ];
    for (shard, upstream) in shards.iter_mut().zip(upstreams) {
        shard.set_upstreams([upstream], now);
    }
    let summary = shards[1].summary(now);
    shards[0].adopt_summary(&name("second"), summary, now);
    shards
}

#[test]
fn request_without_a_slot_in_its_shard_runs_in_another_one() {
    let now = Instant::now();
    let [mut first, mut second] = two_shards([1, 6], now);
    first.place(request("e", 0, "comando", "lodi"), now);
    let waiting = request("e", 1, "comando", "lodi");
    assert_eq!(first.place(waiting.clone(), now), Decision::Wait);
    let offers = first.offers(now);
    assert_eq!(offers.len(), 1);
    assert!(first.offers(now).is_empty(), "one offer at a time");
    let (peer, offered) = offers.into_iter().next().unwrap();
    assert_eq!(
        second.place_offered(offered, now),
        Decision::Grant(name("far"))
    );
    assert!(first.accept_offer(&waiting.key, &peer));
    assert_eq!(second.load(), (0, 1));
    // The entry reports the end to its own dispatcher, which passes it on.
    let ended = Notice {
        ended: vec![(waiting.key, Outcome::Dropped)],
        ..Notice::default()
    };
    first.apply(ended, now);
    let relayed = first.take_relayed().remove(&peer).unwrap();
    second.apply(relayed, now);
    assert_eq!(second.load(), (0, 0));
}

#[test]
fn declined_request_stays_queued_and_is_not_offered_until_the_next_report() {
    let now = Instant::now();
    let [mut first, _] = two_shards([1, 6], now);
    first.place(request("e", 0, "comando", "lodi"), now);
    let waiting = request("e", 1, "comando", "lodi");
    first.place(waiting.clone(), now);
    let (peer, _) = first.offers(now).remove(0);
    first.decline_offer(&waiting.key, &peer);
    assert!(first.offers(now).is_empty());
    assert_eq!(first.load().0, 1);
    let late = first.poll(now + 400 * MS);
    assert!(matches!(late[..], [(_, Decision::Refuse(Reason::Busy, _))]));
}

#[test]
fn grant_elsewhere_is_not_used_once_the_request_is_decided() {
    let now = Instant::now();
    let [mut first, _] = two_shards([1, 6], now);
    let running = request("e", 0, "comando", "lodi");
    first.place(running.clone(), now);
    let waiting = request("e", 1, "comando", "lodi");
    first.place(waiting.clone(), now);
    let (peer, _) = first.offers(now).remove(0);
    let ended = Notice {
        ended: vec![(running.key, Outcome::Dropped)],
        ..Notice::default()
    };
    first.apply(ended, now);
    assert_eq!(first.poll(now).len(), 1);
    assert!(!first.accept_offer(&waiting.key, &peer));
}

/// A shard that must not lose its requests to its only upstream while others are healthy.
#[test]
fn failing_upstream_that_is_the_only_one_of_its_shard_is_left_for_other_shards() {
    let now = Instant::now();
    let [mut first, _] = two_shards([6, 6], now);
    for number in 0..4 {
        let request = request("e", number, "comando", "lodi");
        let key = request.key.clone();
        first.place(request, now);
        let failed = Notice {
            ended: vec![(key, Outcome::Failed)],
            ..Notice::default()
        };
        first.apply(failed, now);
    }
    let next = request("e", 9, "comando", "lodi");
    assert_eq!(first.place(next, now), Decision::Wait);
    assert_eq!(first.offers(now).len(), 1);
}

#[test]
fn free_slots_are_not_reported_while_requests_wait_and_old_reports_do_not_count() {
    let now = Instant::now();
    let [mut first, mut second] = two_shards([1, 6], now);
    first.place(request("e", 0, "comando", "lodi"), now);
    let later = now + 500 * MS;
    assert!(matches!(
        first.place(request("e", 1, "comando", "lodi"), later),
        Decision::Wait | Decision::Refuse(..)
    ));
    assert!(first.offers(later).is_empty());
    for number in 0..7 {
        second.place(request("f", number, "comando", "mantova"), now);
    }
    assert_eq!(second.summary(now).free, [(name("comando"), 0)]);
}

/// A service may have no upstream in some data centres, from the start or after the only one there
/// has left.
#[test]
fn service_without_upstreams_in_a_shard_is_served_by_the_others() {
    let now = Instant::now();
    let [_, mut second] = two_shards([1, 1], now);
    let mut never = Dispatcher::new();
    let mut no_more = Dispatcher::new();
    no_more.set_upstreams([upstream("near", "comando", "lodi", 6)], now);
    no_more.set_upstreams([], now);
    for first in [&mut never, &mut no_more] {
        let refused = first.place(request("e", 0, "comando", "lodi"), now);
        assert!(matches!(refused, Decision::Refuse(Reason::NoUpstream, _)));
        // The last free slot is offered too, and a request waits for one where none is free.
        first.adopt_summary(&name("second"), second.summary(now), now);
        for number in [1, 2] {
            let waiting = request("e", number, "comando", "lodi");
            assert_eq!(first.place(waiting, now), Decision::Wait);
        }
        assert_eq!(first.offers(now).len(), 1);
        let later = now + 100 * MS;
        first.adopt_summary(&name("second"), second.summary(later), later);
        assert_eq!(first.offers(later).len(), 1);
        assert!(first.poll(later).is_empty());
        assert!(!first.poll(now + 500 * MS).is_empty(), "not held for ever");
    }
}

/// Exchanges the summaries of all dispatchers.
fn exchange(dispatchers: &mut [Dispatcher], now: Instant) {
    let summaries: Vec<Summary> = dispatchers.iter_mut().map(|d| d.summary(now)).collect();
    for (to, dispatcher) in dispatchers.iter_mut().enumerate() {
        for (from, summary) in summaries.iter().enumerate().filter(|(from, _)| *from != to) {
            let peer = name(&format!("dispatcher-{from}"));
            dispatcher.adopt_summary(&peer, summary.clone(), now);
        }
    }
}

/// Returns the quota of the account that the plays of quotas use.
fn quota() -> Quota {
    Quota {
        account: name("hule"),
        per_second: 500_000.0,
        burst: 500_000.0,
        window: Duration::from_secs(8),
    }
}

/// Returns the dispatcher of a shard with a fifth of the fleet's entries, which are `entries`, that
/// begins to count the quota now.
fn quota_dispatcher(data_centre: &str, entries: usize, now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new();
    let engine = upstream(data_centre, "agronomo", data_centre, 1_000_000);
    dispatcher.set_upstreams([engine], now);
    dispatcher.set_shared_quotas(&[quota()], entries, 0.2, now);
    dispatcher
}

/// Returns the most units that were admitted in any 8 s, of admissions given by their times in ms.
fn peak(admitted: &[(u64, f64)]) -> f64 {
    let windows = admitted.iter().map(|(start, _)| {
        let range = *start..start + 8_000;
        let within = admitted.iter().filter(|(ms, _)| range.contains(ms));
        within.map(|(_, units)| units).sum::<f64>()
    });
    windows.fold(0.0, f64::max)
}

/// Returns the number at the end of a name.
fn number_of(name: &str) -> u64 {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

/// Plays an account that sends `rate` units a second, spread over the shards by `weights`, for 20 s
/// and returns the most units that were admitted in any 8 s, as a part of its limit.
fn peak_use(weights: [f64; 5], rate: f64) -> f64 {
    const UNITS: f64 = 4_000.0;
    let quota = quota();
    let limit = quota.per_second * 8.0 + quota.burst;
    let began = Instant::now();
    let mut dispatchers = DATA_CENTRES.map(|name| quota_dispatcher(name, 58, began));
    let mut admitted: Vec<(u64, f64)> = Vec::new();
    let mut due = [0.0; 5];
    let mut number = 0;
    // Traffic begins after the first window, as it does where instances start before callers come.
    for ms in 9_000..29_000_u64 {
        let now = began + MS * ms as u32;
        if ms % 100 == 0 {
            exchange(&mut dispatchers, now);
        }
        for shard in 0..5 {
            due[shard] += weights[shard] * rate / UNITS / 1_000.0;
            while due[shard] >= 1.0 {
                due[shard] -= 1.0;
                number += 1;
                let request = Request {
                    account: Some(name("hule")),
                    units: UNITS,
                    ..request("e", number, "agronomo", DATA_CENTRES[shard])
                };
                if let Decision::Grant(_) = dispatchers[shard].place(request, now) {
                    admitted.push((ms, UNITS));
                }
            }
        }
    }
    peak(&admitted) / limit
}

/// The platform allows a tenth and 190,000 units more than the limit.
#[test]
fn quota_holds_over_all_shards_together() {
    let limit = 500_000.0 * 9.0;
    let allowed = 1.1 + 190_000.0 / limit;
    let even = [0.2; 5];
    let skewed = [0.6, 0.1, 0.1, 0.1, 0.1];
    let single = [1.0, 0.0, 0.0, 0.0, 0.0];
    for weights in [even, skewed, single] {
        for factor in [1.5, 3.0, 7.5] {
            let peak = peak_use(weights, 500_000.0 * factor);
            assert!(peak <= allowed, "{weights:?} {factor}: {peak}");
            // What the account may use is not lost either.
            assert!(peak >= 0.97, "{weights:?} {factor}: {peak}");
        }
    }
}

/// Found on scale-2 of a large fleet: dispatchers were replaced several times in the first seconds,
/// and what their entries had used before was unknown to the other shards.
#[test]
fn quota_holds_while_dispatchers_are_replaced() {
    const UNITS: f64 = 4_000.0;
    let quota = quota();
    let limit = quota.per_second * 8.0 + quota.burst;
    let began = Instant::now();
    let mut dispatchers = DATA_CENTRES.map(|name| quota_dispatcher(name, 1, began));
    // What the entry of each shard has used: times and units.
    let mut spent: [Vec<(u64, f64)>; 5] = Default::default();
    let (mut due, mut number) = (0.0, 0);
    for ms in 9_000..25_000_u64 {
        let now = began + MS * ms as u32;
        // One dispatcher after the other is replaced by an instance that knows nothing.
        if ms % 500 == 250 {
            let shard = (ms / 500) as usize % 5;
            dispatchers[shard] = quota_dispatcher(DATA_CENTRES[shard], 1, now);
            let usage = spent[shard].iter().filter(|(at, _)| at + 8_000 > ms);
            let usage = usage.map(|(at, units)| (MS * (ms - at) as u32, *units));
            let notice = Notice {
                spent: Some((name("e"), vec![(name("hule"), usage.collect())])),
                ..Notice::default()
            };
            dispatchers[shard].apply(notice, now);
        }
        if ms % 100 == 0 {
            exchange(&mut dispatchers, now);
        }
        due += 6.0 * 500_000.0 / UNITS / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            number += 1;
            let shard = number as usize % 5;
            let request = Request {
                account: Some(name("hule")),
                units: UNITS,
                ..request("e", number, "agronomo", DATA_CENTRES[shard])
            };
            if let Decision::Grant(_) = dispatchers[shard].place(request, now) {
                spent[shard].push((ms, UNITS));
            }
        }
    }
    let all: Vec<_> = spent.into_iter().flatten().collect();
    let peak = peak(&all);
    let allowed = limit * 1.1 + 190_000.0;
    assert!(peak <= allowed, "{peak} where {allowed} are allowed");
}

#[test]
fn account_within_its_quota_is_never_refused_for_it() {
    for weights in [[0.2; 5], [0.6, 0.1, 0.1, 0.1, 0.1]] {
        let peak = peak_use(weights, 480_000.0);
        // All of 8 s at this rate.
        assert!(peak >= 0.98 * 480_000.0 * 8.0 / (500_000.0 * 9.0), "{peak}");
    }
}

/// A fleet of engines, two thirds of them fast, played in steps of 1 ms.
struct Play {
    dispatchers: Vec<Dispatcher>,
    /// Ends of running requests: time, shard of the caller and key.
    ends: BTreeMap<(u64, u64), (usize, Key)>,
    in_aim: usize,
    asked: usize,
}

/// Time for which an engine runs a request, in ms: a third of the engines are 4.4 times as slow.
fn run_ms(engine: &id::Upstream) -> u64 {
    if number_of(engine.as_str()) % 3 == 2 {
        1_700
    } else {
        390
    }
}

impl Play {
    /// Divides five data centres with 48 engines of 4 slots among `shards` dispatchers.
    fn new(shards: usize, now: Instant) -> Self {
        let mut by_shard: Vec<Vec<Upstream>> = vec![Vec::new(); shards];
        for (n, data_centre) in DATA_CENTRES.iter().enumerate() {
            let engines = (0..48).map(|e| format!("{data_centre}-{e}"));
            let engines = engines.map(|id| upstream(&id, "agronomo", data_centre, 4));
            by_shard[n % shards].extend(engines);
        }
        let dispatchers = by_shard.into_iter().map(|upstreams| {
            let mut dispatcher = Dispatcher::new();
            dispatcher.set_upstreams(upstreams, now);
            dispatcher
        });
        Self {
            dispatchers: dispatchers.collect(),
            ends: BTreeMap::new(),
            in_aim: 0,
            asked: 0,
        }
    }

    fn begin(&mut self, ms: u64, shard: usize, key: Key, engine: &id::Upstream, waited: u64) {
        if waited + 50 <= 800 {
            self.in_aim += 1;
        }
        let end = (ms + run_ms(engine), key.number);
        self.ends.insert(end, (shard, key));
    }

    /// Passes on the ends that were relayed, and offers waiting requests to the other shards.
    fn relay(&mut self, ms: u64, now: Instant, arrivals: &BTreeMap<u64, u64>) {
        for shard in 0..self.dispatchers.len() {
            for (peer, notice) in self.dispatchers[shard].take_relayed() {
                let peer = number_of(peer.as_str()) as usize;
                self.dispatchers[peer].apply(notice, now);
            }
            for (peer, request) in self.dispatchers[shard].offers(now) {
                let key = request.key.clone();
                let to = number_of(peer.as_str()) as usize;
                match self.dispatchers[to].place_offered(request, now) {
                    Decision::Grant(engine) => {
                        assert!(self.dispatchers[shard].accept_offer(&key, &peer));
                        let waited = ms - arrivals[&key.number];
                        self.begin(ms, shard, key, &engine, waited);
                    }
                    _ => self.dispatchers[shard].decline_offer(&key, &peer),
                }
            }
        }
    }

    /// Plays 12 s with `per_s` requests a second, spread over the data centres by `weights`, and
    /// returns the share of requests that began in time.
    fn run(shards: usize, per_s: f64, weights: [f64; 5]) -> f64 {
        let began = Instant::now();
        let mut play = Self::new(shards, began);
        let mut due = [0.0; 5];
        let mut arrivals = BTreeMap::new();
        for ms in 0..12_000_u64 {
            let now = began + MS * ms as u32;
            if ms % 100 == 0 && shards > 1 {
                exchange(&mut play.dispatchers, now);
            }
            while let Some(entry) = play.ends.first_entry().filter(|e| e.key().0 <= ms) {
                let (shard, key) = entry.remove();
                let served = Outcome::Served {
                    first: 50 * MS,
                    rest: 340 * MS,
                    events: 13,
                };
                let notice = Notice {
                    ended: vec![(key, served)],
                    ..Notice::default()
                };
                play.dispatchers[shard].apply(notice, now);
            }
            for (n, weight) in weights.iter().enumerate() {
                due[n] += weight * per_s / 1_000.0;
                while due[n] >= 1.0 {
                    due[n] -= 1.0;
                    play.asked += 1;
                    let number = play.asked as u64;
                    arrivals.insert(number, ms);
                    let shard = n % shards;
                    let request = Request {
                        prompt: 3_000,
                        events: 13,
                        objective: 800 * MS,
                        hold: 1_900 * MS,
                        patience: 10_000 * MS,
                        ..request("e", number, "agronomo", DATA_CENTRES[n])
                    };
                    let key = request.key.clone();
                    if let Decision::Grant(engine) = play.dispatchers[shard].place(request, now) {
                        play.begin(ms, shard, key, &engine, 0);
                    }
                }
            }
            for shard in 0..shards {
                for (key, decision) in play.dispatchers[shard].poll(now) {
                    if let Decision::Grant(engine) = decision {
                        let waited = ms - arrivals[&key.number];
                        play.begin(ms, shard, key, &engine, waited);
                    }
                }
            }
            play.relay(ms, now, &arrivals);
        }
        play.in_aim as f64 / play.asked as f64
    }
}

/// The day's load of a large fleet and a burst in one of its data centres: callers there get what
/// one dispatcher for all would give them.
#[test]
fn shards_serve_an_uneven_load_like_a_single_dispatcher() {
    let even = [0.23, 0.20, 0.17, 0.18, 0.22];
    let burst = [0.45, 0.15, 0.13, 0.13, 0.14];
    for (per_s, weights) in [(1_050.0, even), (1_300.0, even), (1_050.0, burst)] {
        let single = Play::run(1, per_s, weights);
        let divided = Play::run(5, per_s, weights);
        println!("{per_s} {weights:?}: {single:.3} with one dispatcher, {divided:.3} with five");
        assert!(divided >= single * 0.97, "{per_s}: {divided} with {single}");
    }
}
