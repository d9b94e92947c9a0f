//! Upstreams that send a second copy of a response, late, on a connection that is in use again.

use crate::fleet::{CALLERS, ENTRY, Fleet, KEY};

impl Fleet {
    /// Sends a request with an id of its own and returns the response.
    fn call_with_id(&self, target: &str, id: &str) -> String {
        let request = format!(
            "GET {target} HTTP/1.1\r\nHost: a.example\r\nX-Gooseberrylb-Attempt-Id: {id}\r\n\
             X-Gooseberrylb-Deadline-Ms: 4000\r\nConnection: close\r\n{KEY}\r\n"
        );
        self.send(ENTRY, CALLERS, &request).unwrap()
    }
}

/// Guards against the next caller on a connection getting the answer to the request before, also where the
/// copy does not say whose it is.
#[test]
fn late_copy_of_a_response_reaches_no_other_caller() {
    let fleet = Fleet::start(32);
    for kind in ["named", "unnamed"] {
        for number in 0..10 {
            let target = format!("/lookup/late-copy-{kind}-{number}");
            let answer = fleet.call_with_id(&target, &format!("id-{kind}-{number}"));
            let is_own = answer.ends_with(&target) && answer.starts_with("HTTP/1.1 200");
            assert!(is_own, "{target}: {answer}");
        }
    }
}
