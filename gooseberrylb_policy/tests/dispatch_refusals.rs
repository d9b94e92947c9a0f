//! What an entry refuses by itself for accounts that are over their quotas.

use std::time::{Duration, Instant};

use gooseberrylb_policy::dispatch::refusals::Refusals;
use gooseberrylb_policy::dispatch::{Key, Request};

const MS: Duration = Duration::from_millis(1);

fn ask(account: Option<&str>, units: f64) -> Request {
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
fn what_is_no_smaller_is_refused_until_there_is_room() {
    let now = Instant::now();
    let mut refusals = Refusals::default();
    refusals.record(&ask(Some("rossi"), 50.0), 200 * MS, now);
    let later = now + 50 * MS;
    let refusal = |units| refusals.remaining(&ask(Some("rossi"), units), later);
    assert_eq!(refusal(50.0), Some(150 * MS));
    assert_eq!(refusal(80.0), Some(150 * MS));
    assert_eq!(refusal(49.0), None);
    let over = now + 200 * MS;
    assert_eq!(refusals.remaining(&ask(Some("rossi"), 80.0), over), None);
}

#[test]
fn others_and_second_attempts_are_not_refused() {
    let now = Instant::now();
    let mut refusals = Refusals::default();
    refusals.record(&ask(Some("rossi"), 0.0), 200 * MS, now);
    assert_eq!(refusals.remaining(&ask(Some("bianchi"), 50.0), now), None);
    assert_eq!(refusals.remaining(&ask(None, 50.0), now), None);
    assert_eq!(refusals.remaining(&ask(Some("rossi"), 0.0), now), None);
}

/// Load: an account's requests are refused for seconds, and those of its others that waited are refused
/// in the meantime, which gives back what they counted.
#[test]
fn the_dispatcher_is_asked_again_from_time_to_time() {
    let now = Instant::now();
    let mut refusals = Refusals::default();
    refusals.record(&ask(Some("rossi"), 50.0), 5_000 * MS, now);
    let asked = (0..5_000).find(|ms| {
        let at = now + MS * *ms;
        refusals.remaining(&ask(Some("rossi"), 50.0), at).is_none()
    });
    assert!(asked.is_some_and(|ms| ms <= 500), "{asked:?}");
}
