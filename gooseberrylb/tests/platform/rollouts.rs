//! Rollouts of releases.

use std::sync::atomic::Ordering;

use crate::fleet::{CONTROL, ENTRY, Fleet, KEY, OPERATORS, declaration};
use crate::standin::{BAD, GOOD};

impl Fleet {
    /// Sends an order of a rollout to a keeper and returns the response.
    fn roll_out(&self, host: u8, order: &str) -> String {
        let length = order.len();
        let request = format!(
            "POST /api/rollouts HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{order}"
        );
        self.send(host, CONTROL, &request).unwrap_or_default()
    }

    /// Sends requests until each keeper reports the rollout in the given state.
    fn wait_for_state(&self, state: &str) {
        let reads_back = |fleet: &Self, host| {
            let answer = fleet.get(host, CONTROL, "/api/rollouts/desk");
            answer.is_some_and(|answer| answer.contains(state))
        };
        self.wait(|fleet| {
            (0..10).for_each(|_| drop(fleet.call("/plain/x", KEY)));
            (1..ENTRY).all(|host| reads_back(fleet, host))
        });
    }
}

#[test]
fn rollout_completes_for_good_release_and_rolls_back_bad_one() {
    let fleet = Fleet::start(4);
    fleet.wait_until_declared(&declaration(3, ""));
    let absent = fleet.get(1, CONTROL, "/api/rollouts/desk").unwrap();
    assert!(absent.starts_with("HTTP/1.1 404"), "{absent}");
    for (order, status) in [
        (r#"{"service":"desk"}"#, 400),
        (r#"{"service":"nil","target":"v2","duration-s":9}"#, 404),
    ] {
        let answer = fleet.roll_out(1, order);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
    }
    let bad = r#"{"service":"desk","target":"v3","duration-s":60}"#;
    let good = r#"{"service":"desk","target":"v2","duration-s":20}"#;
    let accepted = |answer: &str| answer.starts_with("HTTP/1.1 200");
    fleet.wait(|fleet| accepted(&fleet.roll_out(1, bad)));
    fleet.releases.store(true, Ordering::SeqCst);
    // Repeated at another keeper, it is the same order. A different order is refused meanwhile.
    fleet.wait(|fleet| accepted(&fleet.roll_out(2, bad)));
    fleet.wait(|fleet| fleet.roll_out(3, good).starts_with("HTTP/1.1 409"));
    fleet.wait_for_state("rolled_back");
    let bad_requests = fleet.requests_to(BAD);
    assert!((1..=50).contains(&bad_requests), "{bad_requests}");
    fleet.wait(|fleet| accepted(&fleet.roll_out(3, good)));
    fleet.wait_for_state("completed");
    // After completion all requests go to the good release.
    let others = fleet.received().len() - fleet.requests_to(GOOD);
    (0..20).for_each(|_| drop(fleet.call("/plain/x", KEY)));
    assert_eq!(fleet.received().len() - fleet.requests_to(GOOD), others);
    assert_eq!(fleet.requests_to(BAD), bad_requests);
    let token = "Authorization: Bearer 0123456789abcdef\r\nConnection: close\r\n";
    let request = format!("GET /v1/rollouts HTTP/1.1\r\nHost: x\r\n{token}\r\n");
    let rollouts = fleet.send(ENTRY, OPERATORS, &request).unwrap();
    assert!(
        rollouts.contains("completed") && rollouts.contains("v2"),
        "{rollouts}"
    );
}
