//! Evacuations of the data centre that all upstreams are in.

use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{CONTROL, ENTRY, Fleet, KEY, OPERATORS};

/// Time after the acknowledgement from which on nothing may reach the upstreams.
const EVACUATION: Duration = Duration::from_secs(5);

/// Target of the requests.
const TARGET: &str = "/pair/evacuated";

impl Fleet {
    /// Sends an operator's order to the keepers in turn until one responds with a status other than
    /// 503, and returns that response.
    fn order(&self, method: &str, data_centre: &str) -> String {
        let request = format!(
            "{method} /api/evacuation/{data_centre} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        );
        let mut answer = String::new();
        let mut host = 0;
        self.wait(|fleet| {
            host = host % 3 + 1;
            answer = fleet.send(host, CONTROL, &request).unwrap_or_default();
            !answer.is_empty() && !answer.starts_with("HTTP/1.1 503")
        });
        answer
    }

    /// Sends requests to two entries for a time and returns how many upstreams have received.
    fn call_both(&self, entries: [u8; 2], time: Duration) -> usize {
        let count = |fleet: &Self| {
            let received = fleet.received();
            received.iter().filter(|r| r.contains(TARGET)).count()
        };
        let before = count(self);
        let end = Instant::now() + time;
        while Instant::now() < end {
            entries.iter().for_each(|host| {
                self.call_at(*host, TARGET, KEY);
            });
            thread::sleep(Duration::from_millis(20));
        }
        count(self) - before
    }

    fn is_served_at(&self, host: u8) -> bool {
        self.call_at(host, TARGET, KEY).starts_with("HTTP/1.1 201")
    }
}

/// Guards against requests that entries send on after the acknowledgement, against orders that are
/// lost with all processes, and against repeated orders that are refused.
#[test]
fn evacuated_data_centre_gets_nothing_until_the_order_is_withdrawn() {
    let mut fleet = Fleet::start(28);
    let entries = [ENTRY, ENTRY + 1];
    fleet.start_entry(ENTRY + 1);
    for host in entries {
        fleet.wait(|fleet| fleet.is_served_at(host));
    }
    for _ in 0..2 {
        let answer = fleet.order("POST", "lodi");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let answer = fleet.order("POST", "nowhere");
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    fleet.call_both(entries, EVACUATION);
    assert_eq!(fleet.call_both(entries, Duration::from_secs(1)), 0);
    // The entries place alone while the keepers are away, and the keepers are all killed.
    (1..ENTRY).for_each(|host| fleet.signal(host, "-STOP"));
    assert_eq!(fleet.call_both(entries, Duration::from_secs(1)), 0);
    fleet.restart_keepers();
    fleet.wait(Fleet::is_ready);
    assert_eq!(fleet.call_both(entries, Duration::from_secs(2)), 0);
    let list = fleet.get_evacuations();
    assert!(list.contains(r#""evacuated":{"lodi""#), "{list}");
    for _ in 0..2 {
        let answer = fleet.order("DELETE", "lodi");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    for host in entries {
        fleet.wait(|fleet| fleet.is_served_at(host));
    }
}

impl Fleet {
    /// Kills all keepers and starts them again with their data.
    fn restart_keepers(&mut self) {
        let (keepers, entries): (Vec<_>, Vec<_>) = std::mem::take(&mut self.processes)
            .into_iter()
            .partition(|(host, _)| *host < ENTRY);
        self.processes = entries;
        for (_, mut keeper) in keepers {
            keeper.kill().unwrap();
            keeper.wait().unwrap();
        }
        (1..ENTRY).for_each(|host| self.spawn(host));
    }

    /// Returns the response of the operators' interface to a question for the evacuations.
    fn get_evacuations(&self) -> String {
        let request = "GET /v1/evacuations HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
            Authorization: Bearer 0123456789abcdef\r\n\r\n";
        let mut answer = String::new();
        self.wait(|fleet| {
            answer = fleet.send(1, OPERATORS, request).unwrap_or_default();
            answer.starts_with("HTTP/1.1 200")
        });
        answer
    }
}
