//! Where a request would go now: the answer is what a real request gets then, and asking changes
//! nothing.

use std::time::{Duration, Instant};

use gooseberrylb_config::answer::placement::{Obstacle, Verdict};
use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Request, Upstream,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use fixture::MS;

#[path = "fixture/dispatch.rs"]
mod fixture;

fn upstream(index: usize) -> Upstream {
    let data_centres = ["lodi", "mantova"];
    Upstream {
        data_centre: data_centres[index % 2].into(),
        slots: 2,
        ..fixture::upstream(index)
    }
}

fn request(number: u64, rank: u8) -> Request {
    Request {
        rank: rank.into(),
        ..fixture::request(number)
    }
}

/// Guards against an explanation that differs from the decision, and against one that reserves anything.
#[test]
fn explanation_is_what_a_request_gets_and_changes_nothing() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut dispatcher = Dispatcher::new();
        dispatcher.set_upstreams((0..4).map(upstream), now);
        let mut running = Vec::new();
        let mut seen = [0; 3];
        for number in 0..400 {
            now += rng.random_range(1..8) * MS;
            if !running.is_empty() && rng.random_bool(0.3) {
                let key: Key = running.swap_remove(rng.random_range(0..running.len()));
                let outcome = match rng.random_bool(0.2) {
                    true => Outcome::Failed,
                    false => Outcome::Served {
                        first: 40 * MS,
                        rest: Duration::ZERO,
                        events: 0,
                    },
                };
                let notice = Notice {
                    ended: vec![(key, outcome)],
                    ..Notice::default()
                };
                dispatcher.apply(notice, now);
            }
            let decided = dispatcher.poll(now);
            running.extend(decided.into_iter().map(|(key, _)| key));
            let request = request(number, rng.random_range(0..3));
            let load = dispatcher.load();
            let explained = dispatcher.explain(request.clone(), now);
            assert_eq!(dispatcher.explain(request.clone(), now), explained);
            assert_eq!(dispatcher.load(), load);
            let key = request.key.clone();
            let decision = dispatcher.place(request, now);
            match (&explained.verdict, &decision) {
                (Verdict::Granted(upstream), Decision::Grant(granted)) => {
                    assert_eq!(upstream, granted);
                    let mut candidates = explained.candidates.iter();
                    let chosen = candidates.find(|c| c.upstream == *granted).unwrap();
                    assert_eq!(chosen.obstacles, []);
                    running.push(key);
                    seen[0] += 1;
                }
                (Verdict::Waits { .. }, Decision::Wait) => seen[1] += 1,
                (Verdict::Refused { retry_after_ms, .. }, Decision::Refuse(_, pause)) => {
                    assert_eq!(u128::from(*retry_after_ms), pause.as_millis());
                    seen[2] += 1;
                }
                _ => panic!("seed {seed}: {:?} and {decision:?}", explained.verdict),
            }
        }
        assert!(seen.iter().all(|count| *count > 0), "seed {seed}: {seen:?}");
    }
}

/// Guards against a candidate that is shown as free though it is full.
#[test]
fn obstacles_of_candidates_are_named() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_upstreams([upstream(0)], now);
    (0..2).for_each(|number| {
        dispatcher.place(request(number, 0), now);
    });
    let excluded = Request {
        excluded: vec!["i-0".parse().unwrap()],
        ..request(3, 0)
    };
    let explained = dispatcher.explain(excluded, now);
    assert_eq!(
        explained.candidates[0].obstacles,
        [Obstacle::Excluded, Obstacle::Busy]
    );
    assert_eq!(explained.waiting, 0);
}
