//! Refusals that an entry repeats from its cache for accounts over their quotas.

use std::time::{Duration, Instant};

use gooseberrylb_policy::dispatch::refusals::Refusals;
use gooseberrylb_policy::dispatch::{Key, Request};

const MS: Duration = Duration::from_millis(1);

fn request(account: Option<&str>, units: f64) -> Request {
    Request {
        key: Key {
            entry: "entry-1".parse().unwrap(),
            incarnation: 1,
            number: 1,
        },
        service: "agronomo".parse().unwrap(),
        route: "plan".into(),
        account: account.map(|name| name.parse().unwrap()),
        units,
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

#[test]
fn request_no_smaller_than_the_refused_one_is_refused_until_there_is_room() {
    let now = Instant::now();
    let mut refusals = Refusals::default();
    refusals.record(&request(Some("rossi"), 50.0), 200 * MS, now);
    let later = now + 50 * MS;
    let refusal = |units| refusals.remaining(&request(Some("rossi"), units), later);
    assert_eq!(refusal(50.0), Some(150 * MS));
    assert_eq!(refusal(80.0), Some(150 * MS));
    assert_eq!(refusal(49.0), None);
    let over = now + 200 * MS;
    assert_eq!(
        refusals.remaining(&request(Some("rossi"), 80.0), over),
        None
    );
}

#[test]
fn other_accounts_and_retries_are_not_refused() {
    let now = Instant::now();
    let mut refusals = Refusals::default();
    refusals.record(&request(Some("rossi"), 0.0), 200 * MS, now);
    assert_eq!(
        refusals.remaining(&request(Some("bianchi"), 50.0), now),
        None
    );
    assert_eq!(refusals.remaining(&request(None, 50.0), now), None);
    assert_eq!(refusals.remaining(&request(Some("rossi"), 0.0), now), None);
}

/// Guards against refusing an account for longer than needed: a refusal announces seconds, but
/// refunds of other requests that were refused after they were queued make room sooner.
#[test]
fn cached_refusal_expires_early_so_that_the_dispatcher_is_asked_again() {
    let now = Instant::now();
    let mut refusals = Refusals::default();
    refusals.record(&request(Some("rossi"), 50.0), 5_000 * MS, now);
    let expired_after = (0..5_000).find(|ms| {
        let at = now + MS * *ms;
        refusals
            .remaining(&request(Some("rossi"), 50.0), at)
            .is_none()
    });
    assert!(
        expired_after.is_some_and(|ms| ms <= 500),
        "{expired_after:?}"
    );
}
