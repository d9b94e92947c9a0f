//! Behaviour of the journal after crashes, on damaged files and on full disks.

use std::fs;
use std::path::{Path, PathBuf};

use gooseberrylb_config::number::{Bytes, Index, Term};
use gooseberrylb_control::consensus::{Persisted, Record};
use gooseberrylb_control::entry::{Entry, Payload, Snapshot};
use gooseberrylb_control::journal::{Error, Journal};
use gooseberrylb_control::membership::{Cluster, Membership};
use tempfile::TempDir;

fn entry(index: u64, term: u64) -> Record {
    Record::Entry(Entry {
        index: Index(index),
        term: Term(term),
        payload: Payload::Command(vec![index as u8; 40].into()),
    })
}

fn snapshot(index: u64, term: u64) -> Record {
    Record::Snapshot(Snapshot {
        index: Index(index),
        term: Term(term),
        membership: Membership::default(),
        state: vec![7; 100].into(),
    })
}

fn recover(folder: &Path) -> Result<Persisted, Error> {
    Journal::open(folder).map(|(_, recovered)| recovered.persisted)
}

fn indices(persisted: &Persisted) -> Vec<u64> {
    persisted.entries.iter().map(|e| e.index.0).collect()
}

/// Returns the paths of the segments in a folder.
fn segments(folder: &Path) -> Vec<PathBuf> {
    let items = fs::read_dir(folder)
        .unwrap()
        .map(|item| item.unwrap().path());
    let is_segment = |path: &PathBuf| path.extension().is_some_and(|e| e == "journal");
    items.filter(is_segment).collect()
}

/// Returns the path of the last segment in a folder.
fn last_segment(folder: &Path) -> PathBuf {
    segments(folder).into_iter().max().unwrap()
}

/// Creates a journal with three appends, the last one of two entries.
///
/// Returns the folder, the path of the segment, and the length of the segment after each append.
fn three_appends() -> (TempDir, PathBuf, Vec<u64>) {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    let path = last_segment(folder.path());
    let mut lengths = Vec::new();
    let appends = [
        vec![entry(1, 1)],
        vec![entry(2, 1)],
        vec![entry(3, 1), entry(4, 1)],
    ];
    for records in appends {
        journal.append(&records).unwrap();
        lengths.push(fs::metadata(&path).unwrap().len());
    }
    (folder, path, lengths)
}

#[test]
fn appended_records_are_recovered_under_the_same_folder_id() {
    let folder = TempDir::new().unwrap();
    let (mut journal, first) = Journal::open(folder.path()).unwrap();
    assert_eq!(first.persisted, Persisted::default());
    let vote = Record::Vote {
        term: Term(3),
        vote: Some("a".parse().unwrap()),
    };
    let cluster = Record::Cluster(Cluster(9));
    journal.append(&[entry(1, 1), entry(2, 1), vote]).unwrap();
    journal.append(&[entry(2, 3), cluster]).unwrap();
    drop(journal);
    let (_, reopened) = Journal::open(folder.path()).unwrap();
    assert_eq!(reopened.folder, first.folder);
    assert_eq!(reopened.persisted.term, Term(3));
    assert_eq!(reopened.persisted.cluster, Some(Cluster(9)));
    assert_eq!(indices(&reopened.persisted), [1, 2]);
    assert_eq!(reopened.persisted.entries[1].term, Term(3));
}

#[test]
fn second_open_of_a_locked_folder_is_refused() {
    let folder = TempDir::new().unwrap();
    let _held = Journal::open(folder.path()).unwrap();
    let second = Journal::open(folder.path());
    assert!(matches!(second, Err(Error::Locked { .. })));
}

#[test]
fn last_frame_torn_at_any_byte_is_truncated_and_appends_continue() {
    let (folder, path, lengths) = three_appends();
    let intact = fs::read(&path).unwrap();
    for length in lengths[1]..lengths[2] {
        fs::write(&path, &intact[..length as usize]).unwrap();
        let (mut journal, recovered) = Journal::open(folder.path()).unwrap();
        assert_eq!(
            indices(&recovered.persisted),
            [1, 2],
            "truncated to {length}"
        );
        assert_eq!(fs::metadata(&path).unwrap().len(), lengths[1]);
        journal.append(&[entry(3, 2)]).unwrap();
        drop(journal);
        let reopened = recover(folder.path()).unwrap();
        assert_eq!(indices(&reopened), [1, 2, 3], "truncated to {length}");
        fs::remove_file(&path).unwrap();
    }
}

#[test]
fn flipped_bit_before_the_last_frame_is_reported_with_file_and_offset() {
    let (folder, path, lengths) = three_appends();
    let intact = fs::read(&path).unwrap();
    for position in 0..lengths[1] as usize {
        let mut bytes = intact.clone();
        bytes[position] ^= 0x10;
        fs::write(&path, &bytes).unwrap();
        let Err(Error::Corrupt { file, offset, .. }) = recover(folder.path()) else {
            panic!("a flipped bit at offset {position} was not detected");
        };
        assert_eq!(file, path);
        let offset_of_flip = position as u64;
        let starts: Vec<u64> = [0, 31, lengths[0]]
            .into_iter()
            .filter(|b| *b <= offset_of_flip)
            .collect();
        assert_eq!(Some(&offset), starts.last(), "flipped at offset {position}");
        assert_eq!(
            fs::read(&path).unwrap(),
            bytes,
            "the damaged file was modified"
        );
    }
}

#[test]
fn damaged_closed_segment_is_not_truncated() {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    let path = last_segment(folder.path());
    let big = |index| {
        Record::Entry(Entry {
            index: Index(index),
            term: Term(1),
            payload: Payload::Command(vec![0; 3 << 20].into()),
        })
    };
    for index in 1..=3 {
        journal.append(&[big(index)]).unwrap();
    }
    drop(journal);
    assert_ne!(last_segment(folder.path()), path);
    assert_eq!(indices(&recover(folder.path()).unwrap()), [1, 2, 3]);
    let mut bytes = fs::read(&path).unwrap();
    bytes.pop();
    fs::write(&path, &bytes).unwrap();
    let Err(Error::Corrupt { file, .. }) = recover(folder.path()) else {
        panic!("a closed segment without its last byte was not detected");
    };
    assert_eq!(file, path);
    fs::remove_file(&path).unwrap();
    assert!(matches!(recover(folder.path()), Err(Error::Corrupt { .. })));
}

#[test]
fn snapshots_bound_the_journal_size_over_many_restarts() {
    let folder = TempDir::new().unwrap();
    let mut size = Bytes(0);
    for round in 0..20 {
        let (mut journal, recovered) = Journal::open(folder.path()).unwrap();
        let first = round * 25 + 1;
        let covered = recovered.persisted.snapshot.as_ref().map(|s| s.index.0);
        assert_eq!(
            covered.unwrap_or(0) + recovered.persisted.entries.len() as u64 + 1,
            first
        );
        for index in first..first + 25 {
            journal.append(&[entry(index, 1)]).unwrap();
        }
        journal.append(&[snapshot(first + 20, 1)]).unwrap();
        size = journal.size();
    }
    assert_eq!(segments(folder.path()).len(), 1);
    assert!(
        size.0 < 2000,
        "the journal takes {size} bytes after 20 rounds, of which only the last one is needed"
    );
    let persisted = recover(folder.path()).unwrap();
    assert_eq!(indices(&persisted), [497, 498, 499, 500]);
}

#[test]
fn snapshot_of_another_log_discards_the_following_entries() {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal
        .append(&[entry(1, 1), entry(2, 1), entry(3, 1)])
        .unwrap();
    journal.append(&[snapshot(2, 2)]).unwrap();
    drop(journal);
    let (mut journal, recovered) = Journal::open(folder.path()).unwrap();
    assert!(indices(&recovered.persisted).is_empty());
    journal.append(&[entry(3, 2)]).unwrap();
    journal.append(&[snapshot(2, 2)]).unwrap();
    drop(journal);
    assert_eq!(
        indices(&recover(folder.path()).unwrap()),
        [3],
        "entries of the same log are kept"
    );
}

#[test]
fn full_journal_writes_nothing_until_a_snapshot_frees_space() {
    let folder = TempDir::new().unwrap();
    let (journal, _) = Journal::open(folder.path()).unwrap();
    let mut journal = journal.with_limit(Bytes(1000));
    let mut index = 0;
    let refusal = loop {
        match journal.append(&[entry(index + 1, 1)]) {
            Ok(()) => index += 1,
            Err(error) => break error,
        }
    };
    assert!(matches!(refusal, Error::Full));
    journal.append(&[snapshot(index, 1)]).unwrap();
    journal.append(&[entry(index + 1, 1)]).unwrap();
    drop(journal);
    assert_eq!(indices(&recover(folder.path()).unwrap()), [index + 1]);
}

#[test]
fn gap_and_missing_folder_id_are_refused() {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    let gap = journal.append(&[entry(2, 1)]);
    assert!(matches!(gap, Err(Error::Gap { index: Index(2) })));
    journal.append(&[entry(1, 1)]).unwrap();
    drop(journal);
    fs::remove_file(folder.path().join("folder-id")).unwrap();
    assert!(matches!(recover(folder.path()), Err(Error::Corrupt { .. })));
}
