//! Deltas turn an older directory into the newer one, and never revert a directory.

use gooseberrylb_config::directory::{Cell, Directory, Gap, Share, View};
use gooseberrylb_config::number::Revision;
use gooseberrylb_config::{id, note, number};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn view(number: u64) -> View {
    View::new(
        number::View(number),
        id::Instance::new("i1").unwrap(),
        Vec::new(),
    )
}

fn cell(n: u8) -> Cell {
    Cell {
        service: id::Service::new(&format!("s{n}")).unwrap(),
        region: id::Region::new("r").unwrap(),
    }
}

/// Applies one change and increments the revision.
fn change(directory: &mut Directory, (kind, name, value): (u8, u8, u16)) {
    let account = id::Account::new(&format!("a{name}")).unwrap();
    let version = id::Version::new(&format!("v{name}")).unwrap();
    match kind {
        0 => {
            let name = account.clone();
            let share = u32::from(value);
            directory
                .accounts
                .insert(account, note::Account { name, share });
        }
        1 => {
            directory.accounts.remove(&account);
        }
        2 => {
            directory.shares.insert(version, Share(value));
        }
        3 => {
            directory.shares.remove(&version);
        }
        _ => directory.set_view(cell(name), view(u64::from(value))),
    }
    directory.revision = directory.revision.next();
}

fn changes() -> impl Strategy<Value = Vec<(u8, u8, u16)>> {
    prop::collection::vec((0..5u8, 0..4u8, 0..50u16), 0..20)
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn delta_turns_the_older_directory_into_the_newer_one(first in changes(), second in changes()) {
        let mut older = Directory::default();
        first.into_iter().for_each(|c| change(&mut older, c));
        let mut newer = older.clone();
        second.into_iter().for_each(|c| change(&mut newer, c));
        let text = serde_json::to_string(&older.diff(&newer)).unwrap();
        let delta = serde_json::from_str(&text).unwrap();
        let mut updated = older.clone();
        prop_assert_eq!(updated.apply(&delta), Ok(()));
        prop_assert_eq!(&updated, &newer);
        let back = newer.diff(&older);
        prop_assert_eq!(updated.apply(&back), Ok(()));
        prop_assert_eq!(&updated, &newer);
    }
}

#[test]
fn delta_from_another_revision_is_rejected() {
    let mut directory = Directory::default();
    let mut first = directory.clone();
    change(&mut first, (0, 0, 1));
    let mut second = first.clone();
    change(&mut second, (0, 1, 1));
    let gap = directory.apply(&first.diff(&second));
    let (have, from) = (Revision(0), Revision(1));
    assert_eq!(gap, Err(Gap { have, from }));
    assert_eq!(directory, Directory::default());
}

#[test]
fn delta_round_trips_through_an_encoding_without_field_names() {
    let text = r#"{ "note": 1, "author": "a", "added": {
        "versions": [{ "name": "v1", "service": "s", "upstreams": ["u"] },
            { "name": "v2", "service": "s", "upstreams": ["u"], "replaces": "v1",
              "move_by": "2030-01-01T00:00:00Z" }] } }"#;
    let note = note::Note::parse(text).unwrap();
    let mut newer = Directory::default().with_note(&note);
    newer.revision = Revision(1);
    let delta = Directory::default().diff(&newer);
    let bytes = postcard::to_stdvec(&(delta.clone(), 7)).unwrap();
    assert_eq!(postcard::from_bytes(&bytes), Ok((delta, 7)));
    let bytes = postcard::to_stdvec(&(newer.clone(), 7)).unwrap();
    assert_eq!(postcard::from_bytes(&bytes), Ok((newer, 7)));
}
