use super::*;

/// Size of an entry with a declaration of some 4,000 routes.
const LARGE: usize = 200_000;

fn entry(index: u64, size: usize) -> Entry {
    Entry {
        index: Index(index),
        term: Term(1),
        payload: Payload::Command(vec![0; size].into()),
    }
}

/// Applies entries of `size` bytes up to index `last`, with snapshots of `state_size` bytes when they are
/// due. Returns the largest total size of the entries since a snapshot, and the number of snapshots.
fn apply(size: usize, last: u64, state_size: usize) -> (Bytes, usize) {
    let (mut applied, mut largest, mut snapshots) = (Applied::default(), Bytes(0), 0);
    for index in 1..=last {
        applied.record(&entry(index, size));
        largest = largest.max(applied.log_size);
        if applied.is_snapshot_due() {
            let snapshot = applied.take_snapshot(vec![0; state_size]);
            assert_eq!(snapshot.index, Index(index));
            snapshots += 1;
        }
    }
    (largest, snapshots)
}

/// Guards against a log that passes the memory or the disk of its machine before the next snapshot.
#[test]
fn large_entries_are_replaced_by_a_snapshot_before_they_fill_the_memory() {
    let (largest, snapshots) = apply(LARGE, 900, 300_000);
    assert!(largest.0 <= MIN_LOG.0 + LARGE as u64, "{largest}");
    assert!(snapshots > 30, "{snapshots}");
}

#[test]
fn small_entries_are_replaced_after_their_number() {
    assert_eq!(apply(100, 999, 300_000).1, 0);
    assert_eq!(apply(100, 3_000, 300_000).1, 3);
}

#[test]
fn snapshots_larger_than_the_log_are_not_taken_for_each_change() {
    let state_size = 20 * 1024 * 1024;
    let (largest, _) = apply(LARGE, 900, state_size);
    assert!(largest.0 <= (state_size + LARGE) as u64, "{largest}");
    // The first snapshot is due before the size of the state is known.
    assert!(apply(LARGE, 200, state_size).1 <= 2);
}
