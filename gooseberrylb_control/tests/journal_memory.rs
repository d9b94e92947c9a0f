//! Memory that opening a journal takes. The only test of its process, whose peak it reads.

use std::fs;

use gooseberrylb_config::number::{Bytes, Index, Term};
use gooseberrylb_control::consensus::Record;
use gooseberrylb_control::entry::{Entry, Payload};
use gooseberrylb_control::journal::Journal;
use tempfile::TempDir;

/// Number of segments, each with one entry.
const SEGMENTS: u64 = 20;

/// Size of an entry, which fills a segment.
const ENTRY: Bytes = Bytes(4 * 1024 * 1024);

/// Memory of a few segments.
const LIMIT: Bytes = Bytes(8 * ENTRY.0);

/// Returns the peak of the resident memory of this process.
fn peak() -> Bytes {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kibibytes = line.unwrap().split_whitespace().nth(1).unwrap();
    Bytes(kibibytes.parse::<u64>().unwrap() * 1024)
}

/// Guards against a start that holds all segments in memory at once.
#[test]
fn journal_is_replayed_one_segment_at_a_time() {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    for term in 1..=SEGMENTS {
        // Each entry replaces the one before, so that little is left of a long journal.
        let entry = Entry {
            index: Index(1),
            term: Term(term),
            payload: Payload::Command(vec![0; ENTRY.0 as usize].into()),
        };
        journal.append(&[Record::Entry(entry)]).unwrap();
    }
    assert!(journal.size().0 >= SEGMENTS * ENTRY.0);
    drop(journal);
    // Resets the peak to the present value.
    fs::write("/proc/self/clear_refs", "5").unwrap();
    let before = peak();
    let (_, recovered) = Journal::open(folder.path()).unwrap();
    assert_eq!(recovered.persisted.entries[0].term, Term(SEGMENTS));
    let added = Bytes(peak().0 - before.0);
    assert!(added < LIMIT, "{added} of {LIMIT}");
}
