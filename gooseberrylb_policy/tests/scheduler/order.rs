//! The order of service: tiers, accounts, version shares and deadlines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gooseberrylb_config::directory::Share;
use gooseberrylb_config::id;
use gooseberrylb_config::note::{Account, Kind};
use gooseberrylb_config::number::Tokens;
use gooseberrylb_policy::request::{Id, Outcome, Request};
use gooseberrylb_policy::scheduler::{Decision, Grant, Input, Limits, Refusal, Running};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fixture::*;

const MAX_WAITING: usize = 40;

/// Requests arriving at three times the rate at which they finish, with a takeover halfway.
struct Overload {
    bench: Bench,
    waiting: BTreeMap<Id, Request>,
    running: Vec<(Request, Grant)>,
}

impl Overload {
    fn new(view_number: u64) -> Self {
        let mut bench = Bench::new(fleet(), view(view_number, &[]));
        let limits = Limits {
            max_waiting: MAX_WAITING,
            ..Limits::default()
        };
        bench.scheduler = bench.scheduler.with_limits(limits);
        Self {
            bench,
            waiting: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    /// Feeds an input and checks that no decision favours a lower tier over a waiting higher one.
    fn feed(&mut self, input: Input) -> Result<(), TestCaseError> {
        for (id, decision) in self.bench.step(input) {
            let Some(request) = self.waiting.remove(&id) else {
                return Err(TestCaseError::fail(format!("{id} is not waiting")));
            };
            let tier = request.tier;
            match decision {
                Decision::Grant(grant) => {
                    let higher = self.waiting.values().find(|other| other.tier < tier);
                    prop_assert!(higher.is_none(), "tier {tier} is granted before {higher:?}");
                    self.running.push((request, grant));
                }
                Decision::Refuse { reason, .. } => {
                    let lower = self.waiting.values().find(|other| other.tier > tier);
                    prop_assert_eq!(reason, Refusal::Shed);
                    prop_assert!(lower.is_none(), "tier {tier} is shed before {lower:?}");
                }
                other => prop_assert!(false, "unexpected decision {other:?}"),
            }
        }
        Ok(())
    }

    fn arrive(&mut self, request: Request) -> Result<(), TestCaseError> {
        self.waiting.insert(request.id.clone(), request.clone());
        self.feed(Input::Enqueue(request))
    }

    fn finish_one(&mut self, choice: usize) -> Result<(), TestCaseError> {
        if self.running.is_empty() {
            return Ok(());
        }
        let (request, grant) = self.running.swap_remove(choice % self.running.len());
        self.feed(end(&request.id, &grant, Outcome::Served))
    }

    /// Replaces the scheduler by a new one, to which each entry reports its running requests and
    /// enqueues its waiting requests again.
    fn fail_over(&mut self) -> Result<(), TestCaseError> {
        let now = self.bench.now;
        self.bench.scheduler = Overload::new(2).bench.scheduler;
        self.bench.now = now + Duration::from_millis(10);
        for entry in ["entry-1", "entry-2", "entry-3"] {
            let waiting: Vec<_> = self.waiting.values().cloned().collect();
            for request in waiting
                .into_iter()
                .filter(|request| request.id.entry.as_str() == entry)
            {
                self.feed(Input::Enqueue(request))?;
            }
            let of_entry = |(request, _): &&(Request, Grant)| request.id.entry.as_str() == entry;
            let running = self.running.iter().filter(of_entry).cloned();
            let running = running
                .map(|(request, grant)| Running { request, grant })
                .collect();
            let entry = name(entry);
            self.feed(Input::Resume { entry, running })?;
        }
        Ok(())
    }
}

fn fleet() -> gooseberrylb_config::directory::Directory {
    directory(Kind::Engine, &[("v1", 10_000, &["up-1", "up-2"], 4)])
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_higher_tier_is_never_shed_or_served_after_a_lower_one(
        arrivals in prop::collection::vec((1u8..5, 0usize..3, 1u64..2000, any::<usize>()), 200..600),
    ) {
        let mut overload = Overload::new(1);
        let middle = arrivals.len() / 2;
        for (n, (tier, entry, prompt, choice)) in arrivals.into_iter().enumerate() {
            if n == middle {
                overload.fail_over()?;
            }
            let entry = ["entry-1", "entry-2", "entry-3"][entry];
            let request = Request {
                cost: cost(prompt, 10),
                time_left: Duration::from_secs(100_000),
                ..request(entry, n as u64, tier)
            };
            overload.arrive(request)?;
            if n % 3 == 0 {
                overload.finish_one(choice)?;
            }
        }
    }

    #[test]
    fn waiting_accounts_are_served_by_share_within_one_request_of_each(
        costs in prop::collection::vec(1u64..5000, 200),
        share in 1u32..5,
    ) {
        let mut directory = directory(Kind::Engine, &[("v1", 10_000, &["up-1"], 1)]);
        for (account, share) in [("large", share), ("small", 1)] {
            let name: id::Account = name(account);
            directory.accounts.insert(name.clone(), Account { name, share });
        }
        let mut bench = Bench::new(directory, view(1, &[]));
        let mut grants = Vec::new();
        let mut left = BTreeMap::from([("large", 0u64), ("small", 0)]);
        let mut requests = BTreeMap::new();
        for (n, tokens) in costs.iter().enumerate() {
            let account = if n % 2 == 0 { "large" } else { "small" };
            let request = Request {
                account: name(account),
                // Half of the requests cost what was expected, the other half a different amount.
                cost: cost(if n % 4 < 2 { *tokens } else { 1_000 }, 0),
                time_left: Duration::from_secs(100_000),
                ..request("entry-1", n as u64, 1)
            };
            requests.insert(request.id.clone(), (account, *tokens));
            *left.entry(account).or_default() += 1;
            grants.extend(bench.enqueue(request));
        }
        let max_cost = *costs.iter().max().expect("costs are not empty") as f64;
        let mut served = BTreeMap::from([("large", 0.0), ("small", 0.0)]);
        while let Some((id, Decision::Grant(grant))) = grants.pop() {
            let (account, tokens) = requests[&id];
            *served.entry(account).or_default() += tokens as f64;
            *left.entry(account).or_default() -= 1;
            let lag = (served["large"] / f64::from(share) - served["small"]).abs();
            // The first request was served while no other was waiting.
            prop_assert!(lag <= 2.0 * max_cost + max_cost, "the accounts are {lag} tokens apart");
            if left.values().any(|left| *left == 0) {
                break;
            }
            let Input::End(mut end) = end(&id, &grant, Outcome::Served) else {
                continue;
            };
            end.figures.prompt = Tokens(tokens);
            end.figures.output = Tokens(0);
            grants.extend(bench.step(Input::End(end)));
        }
    }

    #[test]
    fn a_new_version_gets_at_most_its_share_plus_one(
        share in 0u16..10_000,
        busy in prop::collection::vec(any::<bool>(), 300),
    ) {
        let versions: [(&str, u16, &[&str], u32); 2] =
            [("v1", 10_000 - share, &["up-1"], 50), ("v2", share, &["up-2"], 2)];
        let mut bench = Bench::new(directory(Kind::Engine, &versions), view(1, &[]));
        let mut grants: Vec<bool> = Vec::new();
        let mut running = Vec::new();
        for (n, keep) in busy.into_iter().enumerate() {
            if !keep {
                running.drain(..).for_each(|input| drop(bench.step(input)));
            }
            for (id, decision) in bench.enqueue(request("entry-1", n as u64, 1)) {
                let Decision::Grant(grant) = decision else {
                    continue;
                };
                let new = grant.version.as_str() == "v2";
                grants.push(new);
                let end = end(&id, &grant, Outcome::Served);
                if new {
                    running.push(end);
                } else {
                    bench.step(end);
                }
            }
        }
        for from in 0..grants.len() {
            let mut taken = 0.0;
            for (n, new) in grants[from..].iter().enumerate() {
                taken += f64::from(u8::from(*new));
                let limit = f64::from(share) / 10_000.0 * (n + 1) as f64 + 1.0;
                prop_assert!(taken <= limit + 1e-9, "{taken} of {} grants", n + 1);
            }
        }
    }
}

#[test]
fn the_flooding_account_is_shed_before_one_within_its_share() {
    let mut overload = Overload::new(1);
    let send = |overload: &mut Overload, n: u64, account: &str| {
        let request = Request {
            account: name(account),
            ..request("entry-1", n, 1)
        };
        overload.bench.enqueue(request)
    };
    for n in 0..60 {
        send(&mut overload, n, "large");
    }
    let decisions = send(&mut overload, 60, "small");
    let [(id, Decision::Refuse { reason, .. })] = &decisions[..] else {
        panic!("expected one shed request, not {decisions:?}");
    };
    assert_eq!(*reason, Refusal::Shed);
    assert_ne!(id.number, 60);
}

#[test]
fn a_version_lowered_to_zero_gets_no_more_grants() {
    let versions: [(&str, u16, &[&str], u32); 2] =
        [("v1", 5_000, &["up-1"], 50), ("v2", 5_000, &["up-2"], 50)];
    let mut bench = Bench::new(directory(Kind::Engine, &versions), view(1, &[]));
    let old = |bench: &mut Bench, n: u64| {
        let decisions = bench.enqueue(request("entry-1", n, 1));
        granted(&decisions, &id("entry-1", n)).version.as_str() == "v1"
    };
    assert!(!(0..10).all(|n| old(&mut bench, n)));
    bench.step(Input::LowerShare(name("v2"), Share::NONE));
    assert!(
        (10..20).all(|n| old(&mut bench, n)),
        "the lower share applies ahead of the control state"
    );
    let restored = directory(
        Kind::Engine,
        &[("v1", 9_000, &["up-1"], 50), ("v2", 1_000, &["up-2"], 50)],
    );
    bench.step(Input::Directory(Arc::new(restored)));
    assert!(
        !(20..40).all(|n| old(&mut bench, n)),
        "the control state assigned another share"
    );
}

#[test]
fn a_version_lowered_after_it_took_all_traffic_gives_it_back() {
    let versions: [(&str, u16, &[&str], u32); 2] =
        [("v1", 0, &["up-1"], 50), ("v2", 10_000, &["up-2"], 50)];
    let mut bench = Bench::new(directory(Kind::Engine, &versions), view(1, &[]));
    let version = |bench: &mut Bench, n: u64| {
        let decisions = bench.enqueue(request("entry-1", n, 1));
        granted(&decisions, &id("entry-1", n)).version.to_string()
    };
    assert_eq!(version(&mut bench, 1), "v2");
    bench.step(Input::LowerShare(name("v2"), Share::NONE));
    assert_eq!(version(&mut bench, 2), "v1");
}

#[test]
fn a_withdrawn_upstream_gets_no_grants_not_even_unacknowledged_ones() {
    let both = directory(Kind::Plain, &[("v1", 10_000, &["up-1", "up-2"], 4)]);
    let mut bench = Bench::new(both, view(1, &["entry-2"]));
    for n in 0..4 {
        bench.enqueue(keyed_request("entry-1", n, &format!("key-{n}")));
    }
    let one = directory(Kind::Plain, &[("v1", 10_000, &["up-2"], 4)]);
    bench.step(Input::Directory(Arc::new(one)));
    let mut decisions = bench.acknowledge();
    decisions.extend(bench.acknowledge());
    assert_eq!(decisions.len(), 4);
    for (_, decision) in decisions {
        assert!(matches!(decision, Decision::Grant(grant) if grant.upstream.as_str() == "up-2"));
    }
}

#[test]
fn a_request_that_cannot_finish_in_time_is_refused_at_once() {
    let mut bench = Bench::new(fleet(), view(1, &[]));
    let grant = granted(&bench.enqueue(request("entry-1", 1, 1)), &id("entry-1", 1));
    bench.step(end(&id("entry-1", 1), &grant, Outcome::Served));
    // Rates after one request: 100 prompt tokens in 100 ms, 50 output tokens in 500 ms.
    let late = Request {
        cost: cost(100, 5_000),
        ..request("entry-1", 2, 1)
    };
    let decisions = bench.enqueue(late);
    assert_eq!(refused(&decisions, &id("entry-1", 2)), Refusal::TooLate);
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once() {
    let mut bench = Bench::new(fleet(), view(1, &[]));
    let grant = granted(&bench.enqueue(request("entry-1", 0, 1)), &id("entry-1", 0));
    bench.step(end(&id("entry-1", 0), &grant, Outcome::Served));
    // Each request takes 0.6 s on one of eight slots, so 88 requests take more than 6 s.
    for n in 1..=88 {
        bench.enqueue(request("entry-1", n, 2));
    }
    let short = |n, tier| Request {
        time_left: Duration::from_secs(5),
        ..request("entry-1", n, tier)
    };
    // The higher tier has no requests ahead of it and uses the headroom.
    granted(&bench.enqueue(short(89, 1)), &id("entry-1", 89));
    let decisions = bench.enqueue(short(90, 2));
    assert_eq!(refused(&decisions, &id("entry-1", 90)), Refusal::TooLate);
}

#[test]
fn a_waiting_request_is_refused_as_soon_as_it_cannot_finish_in_time() {
    let mut bench = Bench::new(fleet(), view(1, &[]));
    let grant = granted(&bench.enqueue(request("entry-1", 0, 1)), &id("entry-1", 0));
    bench.step(end(&id("entry-1", 0), &grant, Outcome::Served));
    for n in 1..=8 {
        bench.enqueue(request("entry-1", n, 1));
    }
    let waiting = Request {
        time_left: Duration::from_secs(5),
        ..request("entry-1", 9, 1)
    };
    assert!(bench.enqueue(waiting).is_empty());
    let decisions = bench.advance(Duration::from_millis(4_500));
    assert_eq!(refused(&decisions, &id("entry-1", 9)), Refusal::TooLate);
}

#[test]
fn without_an_upstream_a_request_is_refused_at_once() {
    let mut bench = Bench::new(
        directory(Kind::Engine, &[("v1", 10_000, &[], 1)]),
        view(1, &[]),
    );
    let decisions = bench.enqueue(request("entry-1", 1, 1));
    assert_eq!(refused(&decisions, &id("entry-1", 1)), Refusal::NoUpstream);
}

#[test]
fn lower_tiers_leave_headroom_for_higher_ones() {
    let mut bench = Bench::new(
        directory(Kind::Engine, &[("v1", 10_000, &["up-1"], 8)]),
        view(1, &[]),
    );
    let first = bench.enqueue(request("entry-1", 0, 1));
    bench.step(end(
        &id("entry-1", 0),
        &granted(&first, &id("entry-1", 0)),
        Outcome::Served,
    ));
    for n in 1..=20 {
        bench.enqueue(request("entry-1", n, 3));
    }
    let decisions = bench.enqueue(request("entry-1", 21, 1));
    granted(&decisions, &id("entry-1", 21));
}
