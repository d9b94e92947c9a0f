//! Claims on idempotency keys: copied to the backups before a grant, joined, answered, released and
//! taken over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::note::Kind;
use gooseberrylb_config::number::View;
use gooseberrylb_policy::request::Outcome;
use gooseberrylb_policy::scheduler::{
    Acknowledgement, Backup, Claim, CopyError, Decision, Input, Limits, Record, Refusal,
};

use crate::fixture::*;

fn bench(kind: Kind) -> Bench {
    Bench::new(
        directory(kind, &[("v1", 10_000, &["up-1", "up-2"], 2)]),
        view(1, &["entry-2", "entry-3"]),
    )
}

#[test]
fn an_unkeyed_request_is_granted_at_once() {
    let mut bench = bench(Kind::Engine);
    let decisions = bench.enqueue(request("entry-1", 1, 1));
    granted(&decisions, &id("entry-1", 1));
    assert!(bench.copies.is_empty());
}

#[test]
fn a_key_is_granted_only_once_the_backups_hold_it() {
    let mut bench = bench(Kind::Plain);
    assert!(bench.enqueue(keyed_request("entry-1", 1, "a")).is_empty());
    assert_eq!(bench.copies.len(), 1);
    assert!(bench.step(Input::Acknowledged(0)).is_empty());
    granted(&bench.acknowledge(), &id("entry-1", 1));
}

#[test]
fn a_key_whose_copy_is_not_acknowledged_in_time_is_refused() {
    let mut bench = bench(Kind::Plain);
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    let decisions = bench.advance(Duration::from_secs(1));
    assert_eq!(refused(&decisions, &id("entry-1", 1)), Refusal::NoBackup);
    assert!(
        bench.acknowledge().is_empty(),
        "a late acknowledgement grants nothing"
    );
}

#[test]
fn a_resent_key_joins_a_running_stream() {
    let mut bench = bench(Kind::Engine);
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    assert!(
        bench.enqueue(keyed_request("entry-2", 1, "a")).is_empty(),
        "the stream cannot be joined before it runs"
    );
    let decisions = bench.acknowledge();
    assert_eq!(decisions.len(), 2);
    assert!(matches!(decisions[0].1, Decision::Grant(_)));
    assert!(
        matches!(&decisions[1].1, Decision::Join { id: joined, .. } if *joined == id("entry-1", 1))
    );
}

#[test]
fn a_resent_key_of_a_plain_service_waits_for_the_end() {
    let mut bench = bench(Kind::Plain);
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    let grant = granted(&bench.acknowledge(), &id("entry-1", 1));
    assert!(bench.enqueue(keyed_request("entry-2", 1, "a")).is_empty());
    let decisions = bench.step(end(&id("entry-1", 1), &grant, Outcome::Served));
    assert!(matches!(
        decisions[..],
        [(
            _,
            Decision::Ended {
                outcome: Outcome::Served,
                ..
            }
        )]
    ));
    let decisions = bench.enqueue(keyed_request("entry-3", 1, "a"));
    assert!(matches!(
        decisions[..],
        [(
            _,
            Decision::Ended {
                outcome: Outcome::Served,
                ..
            }
        )]
    ));
}

#[test]
fn an_attached_request_ends_unknown_at_its_deadline() {
    let mut bench = bench(Kind::Plain);
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    granted(&bench.acknowledge(), &id("entry-1", 1));
    bench.enqueue(keyed_request("entry-2", 1, "a"));
    let decisions = bench.advance(Duration::from_secs(20));
    assert!(matches!(
        decisions[..],
        [(
            _,
            Decision::Ended {
                outcome: Outcome::Unknown,
                ..
            }
        )]
    ));
}

#[test]
fn a_withdrawn_key_is_granted_to_the_attached_request() {
    let mut bench = bench(Kind::Plain);
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    granted(&bench.acknowledge(), &id("entry-1", 1));
    bench.enqueue(keyed_request("entry-2", 1, "a"));
    assert!(bench.step(Input::Withdraw(id("entry-1", 1))).is_empty());
    granted(&bench.acknowledge(), &id("entry-2", 1));
}

#[test]
fn a_key_granted_before_stays_claimed_when_its_request_is_refused() {
    let mut bench = bench(Kind::Plain);
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    granted(&bench.acknowledge(), &id("entry-1", 1));
    // The entry's second message crosses the grant. The new grant then times out waiting for the
    // backups.
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    let decisions = bench.advance(Duration::from_secs(1));
    assert_eq!(refused(&decisions, &id("entry-1", 1)), Refusal::NoBackup);
    bench.acknowledge();
    assert!(bench.enqueue(keyed_request("entry-2", 1, "a")).is_empty());
    assert!(bench.acknowledge().is_empty());
}

#[test]
fn a_key_granted_before_stays_claimed_when_its_entry_is_reported_dead() {
    let mut bench = bench(Kind::Engine);
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    granted(&bench.acknowledge(), &id("entry-1", 1));
    // The request is enqueued again, and its new claim is being copied when the entry is reported
    // dead.
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    bench.step(Input::Died(name("entry-1")));
    let decisions = bench.enqueue(keyed_request("entry-2", 1, "a"));
    assert!(matches!(decisions[..], [(_, Decision::Join { .. })]));
}

#[test]
fn a_key_granted_before_stays_claimed_when_its_upstream_is_withdrawn() {
    let mut bench = bench(Kind::Plain);
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    granted(&bench.acknowledge(), &id("entry-1", 1));
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    let none = directory(Kind::Plain, &[("v1", 10_000, &[], 2)]);
    bench.step(Input::Directory(Arc::new(none)));
    assert!(bench.acknowledge().is_empty(), "the new grant is withdrawn");
    let known = bench.scheduler.snapshot();
    assert!(matches!(
        known[..],
        [Record {
            claim: Claim::Granted { .. },
            ..
        }]
    ));
}

#[test]
fn a_key_taken_over_is_granted_again_to_its_own_request_only() {
    let mut old = bench(Kind::Plain);
    old.enqueue(keyed_request("entry-1", 1, "a"));
    granted(&old.acknowledge(), &id("entry-1", 1));
    let claims = old
        .scheduler
        .snapshot()
        .into_iter()
        .map(|record| (record.key, record.claim))
        .collect();
    let directory = directory(Kind::Plain, &[("v1", 10_000, &["up-1"], 2)]);
    let mut new = Bench::take_over(directory, view(2, &["entry-3"]), claims, old.now);
    assert!(new.enqueue(keyed_request("entry-2", 1, "a")).is_empty());
    assert!(new.enqueue(keyed_request("entry-1", 1, "a")).is_empty());
    assert!(
        new.acknowledge().is_empty(),
        "the new scheduler is recovering"
    );
    new.advance(Duration::from_secs(1));
    granted(&new.acknowledge(), &id("entry-1", 1));
}

#[test]
fn a_dead_entrys_key_ends_unknown() {
    let mut bench = bench(Kind::Plain);
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    granted(&bench.acknowledge(), &id("entry-1", 1));
    bench.enqueue(keyed_request("entry-2", 1, "a"));
    let decisions = bench.step(Input::Died(name("entry-1")));
    assert!(matches!(
        decisions[..],
        [(
            _,
            Decision::Ended {
                outcome: Outcome::Unknown,
                ..
            }
        )]
    ));
    let (_, records) = bench
        .copies
        .last()
        .expect("the end is copied to the backups");
    assert!(matches!(records[0].claim, Claim::Ended { .. }));
}

#[test]
fn a_retried_request_is_not_ended_by_the_end_of_its_first_dispatch() {
    let mut bench = bench(Kind::Plain);
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    let first = granted(&bench.acknowledge(), &id("entry-1", 1));
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    bench.step(end(&id("entry-1", 1), &first, Outcome::NotRun));
    granted(&bench.acknowledge(), &id("entry-1", 1));
}

#[test]
fn after_lost_claims_no_key_is_granted_until_the_longest_timeout_has_passed() {
    let mut bench = bench(Kind::Plain);
    let window = Duration::from_secs(120);
    bench.scheduler = bench.scheduler.with_claims_lost(bench.now, window);
    let decisions = bench.enqueue(keyed_request("entry-1", 1, "a"));
    assert_eq!(
        refused(&decisions, &id("entry-1", 1)),
        Refusal::NotScheduler
    );
    bench.advance(window);
    bench.enqueue(keyed_request("entry-1", 2, "a"));
    granted(&bench.acknowledge(), &id("entry-1", 2));
}

#[test]
fn a_granted_key_without_an_end_becomes_unknown_and_is_then_forgotten() {
    let mut bench = bench(Kind::Plain);
    bench.enqueue(keyed_request("entry-1", 1, "a"));
    granted(&bench.acknowledge(), &id("entry-1", 1));
    bench.advance(Duration::from_secs(51));
    let decisions = bench.enqueue(keyed_request("entry-2", 1, "a"));
    assert!(matches!(
        decisions[..],
        [(
            _,
            Decision::Ended {
                outcome: Outcome::Unknown,
                ..
            }
        )]
    ));
    assert_eq!(bench.scheduler.stats().in_flight.values().sum::<u32>(), 0);
    bench.advance(Limits::default().retention);
    assert!(bench.scheduler.snapshot().is_empty());
}

#[test]
fn a_backup_accepts_batches_in_order_and_from_its_latest_view_only() {
    let now = Instant::now();
    let mut backup = Backup::new(View(1));
    assert_eq!(
        backup.accept(View(1), 1, Vec::new(), now),
        Err(CopyError::Unsynced(View(1)))
    );
    let held = |view, sequence| {
        Ok(Acknowledgement {
            view: View(view),
            sequence,
        })
    };
    assert_eq!(backup.sync(View(1), 4, Vec::new(), now), held(1, 4));
    assert_eq!(
        backup.accept(View(1), 6, Vec::new(), now),
        Err(CopyError::Gap {
            offered: 6,
            held: 4
        })
    );
    assert_eq!(backup.accept(View(1), 5, Vec::new(), now), held(1, 5));
    assert_eq!(backup.accept(View(1), 5, Vec::new(), now), held(1, 5));
    backup.advance(View(2));
    let stale = CopyError::View {
        offered: View(1),
        known: View(2),
    };
    assert_eq!(backup.accept(View(1), 6, Vec::new(), now), Err(stale));
    assert_eq!(backup.sync(View(1), 6, Vec::new(), now), Err(stale));
    assert_eq!(backup.sync(View(2), 0, Vec::new(), now), held(2, 0));
}

#[test]
fn a_key_taken_over_is_not_released_by_the_end_of_an_earlier_grant() {
    let mut old = bench(Kind::Plain);
    old.enqueue(keyed_request("entry-1", 1, "a"));
    let first = granted(&old.acknowledge(), &id("entry-1", 1));
    old.enqueue(keyed_request("entry-1", 1, "a"));
    granted(&old.acknowledge(), &id("entry-1", 1));
    let records = old.scheduler.snapshot().into_iter();
    let claims = records.map(|record| (record.key, record.claim)).collect();
    let directory = directory(Kind::Plain, &[("v1", 10_000, &["up-1"], 2)]);
    let mut new = Bench::take_over(directory, view(2, &["entry-3"]), claims, old.now);
    new.step(end(&id("entry-1", 1), &first, Outcome::NotRun));
    assert_eq!(new.scheduler.snapshot().len(), 1);
}
