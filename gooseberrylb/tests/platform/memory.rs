//! Memory of real processes, against that of the smallest machines they run on.

use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use gooseberrylb_config::number::Bytes;

use crate::fleet::{CALLERS, ENTRY, Fleet, KEY, TIMEOUT, declaration, extra_route};

/// Memory of the smallest machine of a keeper.
const KEEPER_MEMORY: Bytes = Bytes(256_000_000);

/// Memory of the smallest machine of an entry.
const ENTRY_MEMORY: Bytes = Bytes(160_000_000);

/// Number of times that the declaration is changed.
const CHANGES: u32 = 100;

/// Number of large routes of a declaration, and the length of the path prefix of each.
const ROUTES: u64 = 100;
const PREFIX_BYTES: usize = 8_000;

/// Returns a declaration of 0.8 MB whose text hardly compresses.
fn large_declaration(version: u32) -> String {
    let mut state = u64::from(version) << 32 | 1;
    let mut routes = String::new();
    for _ in 0..ROUTES {
        let mut prefix = String::new();
        while prefix.len() < PREFIX_BYTES {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            prefix.push_str(&format!("{state:016x}"));
        }
        let rest = format!(
            r#""host":"b.example","path-prefix":"/{prefix}/","timeout-ms":5000,"service":"desk""#
        );
        routes.push_str(&extra_route(&rest));
    }
    declaration(version, &routes)
}

impl Fleet {
    /// Checks that no process has used more memory than the smallest machine of its role has.
    fn check_peak_memory(&self) {
        for (host, process) in &self.processes {
            let limit = match *host {
                ENTRY.. => ENTRY_MEMORY,
                _ => KEEPER_MEMORY,
            };
            let peak = peak_memory(process.id());
            assert!(peak < limit, "instance {host} used {peak} of {limit} bytes");
        }
    }
}

/// Returns the largest resident memory that a process has had.
fn peak_memory(pid: u32) -> Bytes {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kibibytes = line.unwrap().split_whitespace().nth(1).unwrap();
    Bytes(kibibytes.parse::<u64>().unwrap() * 1024)
}

/// Guards against processes that keep so much of the history of a large declaration that they pass the memory
/// of their machines, at once or when they read their log back.
#[test]
fn many_changes_of_a_large_declaration_fit_into_the_memory_of_all_processes() {
    let mut fleet = Fleet::start(41);
    let mut last = String::new();
    for version in 10..10 + CHANGES {
        last = large_declaration(version);
        fleet.declare(&last, 200);
    }
    fleet.wait_until_declared(&last);
    fleet.check_peak_memory();
    for (_, mut process) in std::mem::take(&mut fleet.processes) {
        process.kill().unwrap();
        process.wait().unwrap();
    }
    (1..=ENTRY).for_each(|host| fleet.spawn(host));
    fleet.wait_until_declared(&last);
    fleet.wait(Fleet::is_ready);
    thread::sleep(Duration::from_secs(1));
    fleet.check_peak_memory();
}

/// Number of requests that are sent at the same time, and the size of their bodies: the largest that a
/// declaration admits unless it says otherwise.
const REQUESTS: usize = 64;
const BODY_BYTES: usize = 4 * 1024 * 1024;

impl Fleet {
    /// Sends requests with large bodies at the same time and returns the status codes of the responses.
    fn call_with_large_bodies(&self, target: &str) -> Vec<String> {
        let address = self.network.address(ENTRY, CALLERS);
        let call = |number: usize| {
            let head = format!(
                "POST {target}{number} HTTP/1.1\r\nHost: a.example\r\nX-Gooseberrylb-Attempt-Id: id-{number}\r\n\
                 X-Gooseberrylb-Deadline-Ms: 4000\r\nContent-Length: {BODY_BYTES}\r\n\
                 Connection: close\r\n{KEY}\r\n"
            );
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&vec![b'x'; BODY_BYTES]).unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).unwrap();
            answer.split(' ').nth(1).unwrap_or_default().to_owned()
        };
        thread::scope(|scope| {
            let calls: Vec<_> = (0..REQUESTS)
                .map(|number| scope.spawn(move || call(number)))
                .collect();
            let statuses = calls.into_iter().map(|call| call.join().unwrap());
            statuses.collect()
        })
    }
}

/// Guards against bodies of requests that each keep to their limit and together fill the memory of the entry,
/// whose end cuts off the requests of all callers.
#[test]
fn many_large_request_bodies_fit_into_the_memory_of_an_entry() {
    let fleet = Fleet::start(42);
    fleet.wait(|fleet| fleet.status("/plain/x") == "201");
    for target in ["/plain/slow-", "/crowd/"] {
        let statuses = fleet.call_with_large_bodies(target);
        for status in &statuses {
            assert!(
                ["200", "201", "503", "504"].contains(&status.as_str()),
                "{statuses:?}"
            );
        }
        assert!(
            statuses.iter().any(|status| status != "503"),
            "{target}: {statuses:?}\n{}",
            fleet.output()
        );
    }
    fleet.check_peak_memory();
}

/// Guards against responses of faulty upstreams that never end and together fill the memory of the entry.
#[test]
fn many_responses_without_end_fit_into_the_memory_of_an_entry() {
    let fleet = Fleet::start(43);
    fleet.wait(|fleet| fleet.status("/plain/x") == "201");
    for place in ["body", "fields"] {
        thread::scope(|scope| {
            for number in 0..REQUESTS {
                let route = ["lookup", "pair", "plain"][number % 3];
                let target = format!("/{route}/endless-{place}-{number}");
                let fleet = &fleet;
                scope.spawn(move || fleet.call(&target, KEY));
            }
        });
    }
    assert_eq!(fleet.status("/plain/after"), "201");
    fleet.check_peak_memory();
}
