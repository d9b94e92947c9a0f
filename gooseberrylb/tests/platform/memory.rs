//! Memory of real processes, against that of the smallest machines they run on.

use std::fs;
use std::time::Duration;

use gooseberrylb_config::number::Bytes;

use crate::fleet::{ENTRY, Fleet, declaration, extra_route};

/// Memory of the smallest machine of a keeper.
const KEEPER_MEMORY: Bytes = Bytes(256_000_000);

/// Memory of the smallest machine of an entry.
const ENTRY_MEMORY: Bytes = Bytes(160_000_000);

/// Number of times that the declaration is changed.
const CHANGES: u32 = 160;

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
    std::thread::sleep(Duration::from_secs(1));
    fleet.check_peak_memory();
}
