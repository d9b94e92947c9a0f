//! Simulates rollouts in virtual time with a dispatcher, the rollout's decisions and a load.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

use gooseberrylb_config::directory::rollout::{Rollout, Stage};
use gooseberrylb_config::id;
use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Rank, Request, Upstream,
};
use gooseberrylb_policy::rollout::decide;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 30;
const STEP: Duration = Duration::from_millis(5);
const LEASE: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(20);
/// Largest share of the requests that a bad release may get, and the requests besides; stated
/// bounds.
const MAX_EXPOSURE: (f64, u64) = (0.1, 50);
/// Most bad responses that a release may give before it gets no more requests; a stated bound.
const MAX_BAD_ANSWERS: u64 = 50;
const ROUTES: [(&str, f64); 3] = [("plan", 0.3), ("diagnosis", 0.2), ("summary", 0.5)];

/// A fault of the release.
#[derive(Debug, Clone, Copy, Default)]
struct Fault {
    /// Time from which on the fault occurs.
    from: Duration,
    /// Route that it is limited to.
    route: Option<&'static str>,
    /// Number of requests at once on the release from which on it occurs.
    min_running: u32,
    /// Probability that a request fails.
    failing: f64,
    /// Factor by which responses are slower; `None` means that they never arrive.
    slowdown: Option<f64>,
}

/// A load, and the faults that occur independently of the release.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Requests per second.
    rate: f64,
    /// Start and end in seconds, and the factor, of a burst.
    burst: Option<(f64, f64, f64)>,
    /// Probability that a request fails at any upstream.
    background: f64,
    /// Time at which the dispatcher is replaced by one without state.
    replaced_at: Option<Duration>,
    fault: Option<Fault>,
}

const BASE_LOAD: Load = Load {
    rate: 40.0,
    burst: None,
    background: 0.01,
    replaced_at: None,
    fault: None,
};

struct Running {
    key: Key,
    ends: Duration,
    outcome: Outcome,
    upstream: id::Upstream,
    silent_at: Option<Duration>,
}

#[derive(Debug, Default)]
struct Run {
    stage: Option<Stage>,
    over_at: Duration,
    reason: String,
    requests: u64,
    on_release: u64,
    bad: u64,
    sent_after_rollback: u64,
    elsewhere_at_completion: usize,
    sent_elsewhere_after_completion: u64,
    refused: u64,
}

fn service() -> id::Service {
    "agronomo".parse().unwrap()
}

fn upstreams() -> Vec<Upstream> {
    // Upstreams of both releases have three speeds, by the number in their names.
    let named = |release: &str, i: usize| Upstream {
        name: format!("{release}-{i}").parse().unwrap(),
        service: service(),
        release: release.into(),
        data_centre: ["cremona", "lodi", "mantova"][i % 3].into(),
        slots: 8,
        limit_part: 1.0,
    };
    let releases = ["v1", "v2"].into_iter();
    releases
        .flat_map(|release| (0..6).map(move |i| named(release, i)))
        .collect()
}

fn simulate(load: &Load, seed: u64) -> Run {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (start, epoch) = (Instant::now(), SystemTime::UNIX_EPOCH);
    let mut rollout = Rollout::new("v2".into(), epoch, WINDOW);
    let mut dispatcher = Dispatcher::new();
    let mut running: Vec<Running> = Vec::new();
    let mut run = Run::default();
    let mut at = Duration::ZERO;
    let mut number = 0;
    let mut next = Duration::ZERO;
    let mut waiting: BTreeMap<Key, usize> = BTreeMap::new();
    let mut replaced = false;
    let configure = |dispatcher: &mut Dispatcher, rollout: &Rollout, now| {
        dispatcher.set_upstreams(upstreams(), now);
        let all = BTreeMap::from([(service(), rollout.clone())]);
        dispatcher.set_rollouts(&all, MAX_EXPOSURE.0 * 0.6, now);
    };
    configure(&mut dispatcher, &rollout, start);
    while at < WINDOW + Duration::from_secs(5) {
        let now = start + at;
        if load.replaced_at.is_some_and(|when| at >= when) && !replaced {
            replaced = true;
            dispatcher = Dispatcher::new();
            configure(&mut dispatcher, &rollout, now);
            let known = running
                .iter()
                .map(|r| gooseberrylb_policy::dispatch::Running {
                    key: r.key.clone(),
                    service: service(),
                    upstream: r.upstream.clone(),
                    prompt: 1_000,
                    patience: Duration::from_secs(10),
                });
            dispatcher.apply(
                Notice {
                    running: Some(("entry-1".parse().unwrap(), known.collect())),
                    ..Notice::default()
                },
                now,
            );
        }
        let mut granted = Vec::new();
        while next <= at {
            number += 1;
            let route = pick_route(&mut rng);
            let request = request(number, ROUTES[route].0);
            let key = request.key.clone();
            run.requests += 1;
            match dispatcher.place(request, now) {
                Decision::Grant(upstream) => granted.push((key, upstream, route)),
                Decision::Wait => {
                    waiting.insert(key, route);
                }
                Decision::Refuse(..) | Decision::Unknown => run.refused += 1,
            }
            let seconds = at.as_secs_f64();
            let times = match load.burst {
                Some((from, to, times)) if (from..to).contains(&seconds) => times,
                _ => 1.0,
            };
            let uniform: f64 = rng.random();
            next += Duration::from_secs_f64(-(1.0 - uniform).ln() / (load.rate * times));
        }
        let mut notice = Notice::default();
        running.retain(|r| {
            let ends = r.ends <= at;
            if ends {
                notice.ended.push((r.key.clone(), r.outcome));
            }
            !ends
        });
        for r in &mut running {
            if r.silent_at.is_some_and(|when| when <= at) {
                r.silent_at = None;
                notice.silent.push(r.key.clone());
            }
        }
        dispatcher.apply(notice, now);
        for (key, decision) in dispatcher.poll(now) {
            match (waiting.remove(&key), decision) {
                (Some(route), Decision::Grant(upstream)) => granted.push((key, upstream, route)),
                (_, Decision::Refuse(..)) => run.refused += 1,
                (_, Decision::Grant(_) | Decision::Wait | Decision::Unknown) => {}
            }
        }
        for (key, upstream, route) in granted {
            let is_new = upstream.as_str().starts_with("v2");
            if is_new {
                run.on_release += 1;
                run.sent_after_rollback += u64::from(rollout.stage == Stage::RolledBack);
            } else if rollout.stage == Stage::Completed {
                run.sent_elsewhere_after_completion += 1;
            }
            let at_new = running
                .iter()
                .filter(|r| r.upstream.as_str().starts_with("v2"));
            let running_now = u32::try_from(at_new.count()).unwrap();
            let fault = load.fault.filter(|fault| {
                let of_route = fault.route.is_none_or(|name| name == ROUTES[route].0);
                is_new && of_route && at >= fault.from && running_now >= fault.min_running
            });
            let (ends, outcome, bad) = serve(&mut rng, load, fault, &upstream);
            run.bad += u64::from(bad);
            let silent = ends > Duration::from_secs(1) && bad;
            running.push(Running {
                key,
                ends: at + ends,
                outcome,
                upstream,
                silent_at: silent.then(|| at + Duration::from_secs(1)),
            });
        }
        if at.as_millis().is_multiple_of(250)
            && let Some(observation) = dispatcher.rollout_observation(&service(), now)
            && let Some(step) = decide(&service(), &rollout, &observation, LEASE, epoch + at)
        {
            rollout.stage = step.stage;
            rollout.steps = step.number;
            rollout.since = step.at;
            rollout.reason = step.reason.clone();
            if step.stage.is_over() && run.stage.is_none() {
                run.stage = Some(step.stage);
                run.over_at = at;
                run.reason = step.reason.to_string();
                let elsewhere = running
                    .iter()
                    .filter(|r| r.upstream.as_str().starts_with("v1"));
                run.elsewhere_at_completion = elsewhere.count();
            }
            configure(&mut dispatcher, &rollout, now);
        }
        at += STEP;
    }
    run
}

fn pick_route(rng: &mut ChaCha8Rng) -> usize {
    let mut point: f64 = rng.random();
    let found = ROUTES.iter().position(|(_, share)| {
        point -= share;
        point < 0.0
    });
    found.unwrap_or(0)
}

fn request(number: u64, route: &str) -> Request {
    Request {
        key: Key {
            entry: "entry-1".parse().unwrap(),
            incarnation: 1,
            number,
        },
        service: service(),
        route: route.into(),
        account: None,
        units: 0.0,
        weight: 1.0,
        rank: Rank::default(),
        data_centre: "lodi".into(),
        prompt: 1_000,
        events: 20,
        objective: Duration::from_millis(800),
        hold: Duration::from_millis(1_500),
        patience: Duration::from_secs(10),
        excluded: Vec::new(),
    }
}

/// Returns how long an upstream takes, the outcome, and whether the release is to blame.
fn serve(
    rng: &mut ChaCha8Rng,
    load: &Load,
    fault: Option<Fault>,
    upstream: &id::Upstream,
) -> (Duration, Outcome, bool) {
    let number: u32 = upstream.as_str()[3..].parse().unwrap();
    let speed = [1.0, 1.4, 2.0][(number % 3) as usize];
    let slowdown = match fault.map(|fault| fault.slowdown) {
        Some(None) => return (Duration::from_secs(10), Outcome::Dropped, true),
        Some(Some(slowdown)) => slowdown,
        None => 1.0,
    };
    let mut noise = || 0.7 + 0.6 * rng.random::<f64>();
    let first = Duration::from_secs_f64(0.04 / speed * slowdown * noise());
    let rest = Duration::from_secs_f64(0.3 / speed * slowdown * noise());
    let blamed = fault.is_some_and(|fault| rng.random::<f64>() < fault.failing);
    if blamed || rng.random::<f64>() < load.background {
        return (first, Outcome::Failed, blamed);
    }
    let served = Outcome::Served {
        first,
        rest,
        events: 20,
    };
    (first + rest, served, slowdown > 1.0)
}

fn assert_completed(load: &Load) {
    for seed in 0..SEEDS {
        let run = simulate(load, seed);
        assert_eq!(run.stage, Some(Stage::Completed), "seed {seed}: {run:?}");
        assert!(run.over_at < WINDOW, "seed {seed}: {run:?}");
        assert_eq!(run.elsewhere_at_completion, 0, "seed {seed}: {run:?}");
        assert_eq!(
            run.sent_elsewhere_after_completion, 0,
            "seed {seed}: {run:?}"
        );
    }
}

fn assert_rolled_back(fault: Fault) {
    let load = Load {
        fault: Some(fault),
        ..BASE_LOAD
    };
    for seed in 0..SEEDS {
        let run = simulate(&load, seed);
        assert_eq!(run.stage, Some(Stage::RolledBack), "seed {seed}: {run:?}");
        assert!(run.over_at < WINDOW, "seed {seed}: {run:?}");
        let most = (run.requests as f64 * MAX_EXPOSURE.0) as u64 + MAX_EXPOSURE.1;
        assert!(
            run.on_release <= most,
            "seed {seed}, at most {most}: {run:?}"
        );
        assert!(run.bad <= MAX_BAD_ANSWERS, "seed {seed}: {run:?}");
        assert_eq!(run.sent_after_rollback, 0, "seed {seed}: {run:?}");
    }
}

#[test]
fn good_release_takes_all_traffic_in_time() {
    assert_completed(&BASE_LOAD);
}

#[test]
fn good_release_takes_all_traffic_during_a_burst() {
    assert_completed(&Load {
        burst: Some((4.0, 12.0, 3.0)),
        ..BASE_LOAD
    });
}

#[test]
fn good_release_takes_all_traffic_while_upstreams_fail() {
    assert_completed(&Load {
        background: 0.1,
        ..BASE_LOAD
    });
}

#[test]
fn good_release_takes_all_traffic_across_a_change_of_dispatcher() {
    for at in [1, 5, 9, 11, 14] {
        assert_completed(&Load {
            replaced_at: Some(Duration::from_secs(at)),
            ..BASE_LOAD
        });
    }
}

#[test]
fn good_release_of_a_quiet_service_takes_all_traffic() {
    assert_completed(&Load {
        rate: 0.5,
        background: 0.0,
        ..BASE_LOAD
    });
}

#[test]
fn release_that_fails_at_once_is_rolled_back() {
    assert_rolled_back(Fault {
        failing: 0.5,
        slowdown: Some(1.0),
        ..Fault::default()
    });
}

#[test]
fn release_that_never_answers_is_rolled_back() {
    assert_rolled_back(Fault::default());
}

#[test]
fn release_that_is_slow_is_rolled_back() {
    assert_rolled_back(Fault {
        slowdown: Some(5.0),
        ..Fault::default()
    });
}

#[test]
fn release_that_fails_late_is_rolled_back() {
    for from in [5, 9] {
        assert_rolled_back(Fault {
            from: Duration::from_secs(from),
            failing: 0.6,
            slowdown: Some(1.0),
            ..Fault::default()
        });
    }
}

#[test]
fn release_that_fails_on_one_route_is_rolled_back() {
    assert_rolled_back(Fault {
        route: Some("summary"),
        failing: 0.8,
        slowdown: Some(1.0),
        ..Fault::default()
    });
}

#[test]
fn release_that_fails_under_load_is_rolled_back() {
    assert_rolled_back(Fault {
        min_running: 6,
        failing: 0.8,
        slowdown: Some(1.0),
        ..Fault::default()
    });
}

#[test]
fn release_that_is_not_listed_in_time_is_rolled_back() {
    let rollout = Rollout::new("v2".into(), SystemTime::UNIX_EPOCH, WINDOW);
    let observation = Default::default();
    let decided = |at| {
        decide(
            &service(),
            &rollout,
            &observation,
            LEASE,
            SystemTime::UNIX_EPOCH + at,
        )
    };
    assert_eq!(decided(WINDOW / 2), None);
    let step = decided(WINDOW).unwrap();
    assert_eq!(step.stage, Stage::RolledBack);
    assert!(step.reason.contains("v2"), "{step:?}");
}

#[test]
fn rolled_back_release_gets_no_requests_in_a_later_rollout() {
    let now = Instant::now();
    for stage in [Stage::Waiting, Stage::Trying, Stage::Draining] {
        let mut dispatcher = Dispatcher::new();
        let bad = upstreams().into_iter().map(|upstream| Upstream {
            name: format!("bad-{}", upstream.name).parse().unwrap(),
            release: "v0".into(),
            ..upstream
        });
        dispatcher.set_upstreams(upstreams().into_iter().chain(bad), now);
        let rollout = Rollout {
            stage,
            refused: vec!["v0".into()],
            ..Rollout::new("v2".into(), SystemTime::UNIX_EPOCH, WINDOW)
        };
        dispatcher.set_rollouts(&BTreeMap::from([(service(), rollout)]), 0.06, now);
        for number in 0..60 {
            if let Decision::Grant(upstream) = dispatcher.place(request(number, "plan"), now) {
                assert!(!upstream.as_str().starts_with("bad"), "{stage}: {upstream}");
            }
        }
    }
}

#[test]
fn upstreams_are_used_in_any_stage_when_all_run_one_release() {
    let now = Instant::now();
    let stages = [
        Stage::Waiting,
        Stage::Trying,
        Stage::Draining,
        Stage::RolledBack,
    ];
    for (stage, release) in stages.into_iter().flat_map(|s| [(s, "v1"), (s, "v2")]) {
        let mut dispatcher = Dispatcher::new();
        let all = upstreams().into_iter();
        dispatcher.set_upstreams(all.filter(|u| &*u.release == release), now);
        let rollout = Rollout {
            stage,
            ..Rollout::new("v2".into(), SystemTime::UNIX_EPOCH, WINDOW)
        };
        dispatcher.set_rollouts(&BTreeMap::from([(service(), rollout)]), 0.06, now);
        let used: BTreeSet<bool> = (0..10)
            .map(|i| {
                matches!(
                    dispatcher.place(request(i, "plan"), now),
                    Decision::Grant(_)
                )
            })
            .collect();
        assert_eq!(used, BTreeSet::from([true]), "{stage} with {release}");
    }
}
