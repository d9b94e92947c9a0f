//! One of several upstreams takes long for some requests.

use std::thread;

use crate::fleet::{Fleet, KEY};
use crate::standin::STALLING;

/// Number of responses from each upstream, after which its times are known.
const KNOWN: usize = 70;

/// Number of slow requests that have to be copied.
const COPIED: usize = 5;

/// Number of callers at the same time, one for each upstream of the service. A single one is always sent
/// to the upstream that was measured as the fastest, which need not be the stalling one.
const CALLERS: usize = 8;

impl Fleet {
    /// Returns the number of requests with a target that upstreams have received.
    fn arrivals_with(&self, target: &str) -> usize {
        let received = self.received();
        received.iter().filter(|r| r.contains(target)).count()
    }

    /// Sends a request of each caller, all of which have to be served. Returns their number.
    fn call_together(&self, target: &str) -> usize {
        thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| {
                    let answer = self.call(target, KEY);
                    assert!(answer.starts_with("HTTP/1.1 201"), "{answer}");
                });
            }
        });
        CALLERS
    }

    /// Sends requests until the stalling upstream has served enough to be known.
    fn learn(&self) {
        let mut number = 0;
        self.wait(|fleet| {
            for _ in 0..20 {
                number += 1;
                let answer = fleet.call(&format!("/lookup/{number}"), KEY);
                assert!(answer.starts_with("HTTP/1.1 201"), "{answer}");
            }
            fleet.requests_to(STALLING) >= KNOWN
        });
    }
}

/// Guards against slow answers that a copy would have cut, and against copies beside the limit: the share
/// allows one for each two requests.
#[test]
fn slow_request_is_answered_by_its_copy() {
    let fleet = Fleet::start_with_copies(30, 0.5);
    fleet.learn();
    let (mut calls, before) = (0, fleet.requests_to(STALLING));
    fleet.wait(|fleet| {
        calls += fleet.call_together("/lookup/stalls");
        fleet.arrivals_with("/lookup/stalls") >= calls + COPIED
    });
    assert!(fleet.requests_to(STALLING) > before);
    assert!(fleet.arrivals_with("/lookup/stalls") <= 2 * calls);
}

/// Guards against copies where the operators have not asked for them.
#[test]
fn no_copy_is_sent_without_a_share() {
    let fleet = Fleet::start(31);
    fleet.learn();
    let before = fleet.requests_to(STALLING);
    let mut calls = 0;
    fleet.wait(|fleet| {
        calls += fleet.call_together("/lookup/stalls");
        fleet.requests_to(STALLING) > before
    });
    assert_eq!(fleet.arrivals_with("/lookup/stalls"), calls);
}
