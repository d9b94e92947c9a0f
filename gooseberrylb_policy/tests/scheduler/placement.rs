//! The choice of the upstream for a request.

use std::sync::Arc;
use std::time::Duration;

use gooseberrylb_config::note::Kind;
use gooseberrylb_config::number::Tokens;
use gooseberrylb_policy::request::{Figures, Id, Outcome, Request};
use gooseberrylb_policy::scheduler::{CacheChange, Decision, End, Grant, Input};

use crate::fixture::*;

fn bench(slots: u32) -> Bench {
    let upstreams: &[&str] = &["up-1", "up-2"];
    Bench::new(
        directory(Kind::Engine, &[("v1", 10_000, upstreams, slots)]),
        view(1, &[]),
    )
}

fn failed(id: &Id, grant: &Grant) -> Input {
    Input::End(End {
        id: id.clone(),
        ticket: grant.ticket,
        outcome: Outcome::NotRun,
        failed: true,
        cancelled: false,
        figures: Figures::default(),
        answer: None,
    })
}

/// Serves requests one after another, with `up-1` at a quarter of the speed of `up-2`, and returns
/// the number served by `up-1`.
fn serve(bench: &mut Bench, numbers: std::ops::Range<u64>) -> usize {
    let mut slow = 0;
    for n in numbers {
        let id = id("entry-1", n);
        let grant = granted(&bench.enqueue(request("entry-1", n, 1)), &id);
        let is_slow = grant.upstream.as_str() == "up-1";
        slow += usize::from(is_slow);
        let time = Duration::from_millis(if is_slow { 400 } else { 100 });
        bench.now += time;
        bench.step(Input::End(End {
            id,
            ticket: grant.ticket,
            outcome: Outcome::Served,
            failed: false,
            cancelled: false,
            figures: Figures {
                first_token: time,
                decode: time,
                prompt: Tokens(100),
                cached: Tokens(0),
                output: Tokens(50),
            },
            answer: None,
        }));
    }
    slow
}

#[test]
fn a_slow_upstream_gets_fewer_requests() {
    let mut bench = bench(4);
    serve(&mut bench, 0..20);
    assert!(serve(&mut bench, 20..120) < 50);
}

#[test]
fn a_failed_upstream_is_ejected_and_then_probed_with_one_request() {
    let mut bench = bench(4);
    let first = granted(&bench.enqueue(request("entry-1", 0, 1)), &id("entry-1", 0));
    bench.step(failed(&id("entry-1", 0), &first));
    let to_failed = |decisions: &[(Id, Decision)]| {
        let to = |decision: &Decision| matches!(decision, Decision::Grant(g) if g.upstream == first.upstream);
        decisions
            .iter()
            .filter(|(_, decision)| to(decision))
            .count()
    };
    for n in 1..10 {
        assert_eq!(to_failed(&bench.enqueue(request("entry-1", n, 1))), 0);
    }
    assert_eq!(to_failed(&bench.advance(Duration::from_secs(1))), 1);
    let probe = bench.decisions.last().cloned();
    let Some((probe, Decision::Grant(grant))) = probe else {
        panic!("the last decision is not the grant of the probe");
    };
    bench.step(failed(&probe, &grant));
    assert_eq!(
        to_failed(&bench.advance(Duration::from_secs(1))),
        0,
        "the back-off doubled"
    );
    assert_eq!(to_failed(&bench.advance(Duration::from_secs(1))), 1);
}

#[test]
fn a_prompt_is_placed_where_its_prefix_is_cached_until_cache_events_are_missed() {
    let mut bench = bench(4);
    let prefixed = |n| Request {
        prefix: Arc::from([1, 2, 3, 4]),
        cost: cost(4_000, 50),
        ..request("entry-1", n, 1)
    };
    bench.step(Input::Cache(
        name("up-2"),
        (1..=4).map(CacheChange::Stored).collect(),
    ));
    let grant = granted(&bench.enqueue(prefixed(0)), &id("entry-1", 0));
    assert_eq!(grant.upstream.as_str(), "up-2");
    bench.step(end(&id("entry-1", 0), &grant, Outcome::Served));
    bench.step(Input::Cache(name("up-2"), vec![CacheChange::Gap]));
    let grant = granted(&bench.enqueue(prefixed(1)), &id("entry-1", 1));
    assert_eq!(grant.upstream.as_str(), "up-1");
}
