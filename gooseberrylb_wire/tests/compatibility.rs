//! Messages to and from instances of the release before this one, 3630e69, which run beside those of
//! this one while a fleet is replaced.

use std::time::Duration;

use async_std::task;
use gooseberrylb_policy::announcement::Announcement;
use gooseberrylb_policy::availability::Report;
use gooseberrylb_policy::dispatch::{Decision, Key};
use gooseberrylb_policy::warm_up::Cold;
use gooseberrylb_wire::dispatch::{Answer, Reader, append};
use serde::{Deserialize, Serialize};

/// Announcements as that release knows them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierAnnouncement {
    Upstream(Report),
}

/// Answers as that release knows them, with the same positions.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierAnswer {
    Decided(Key, Decision),
    Taken(u64),
    Announced(Vec<EarlierAnnouncement>),
}

fn report() -> Report {
    Report {
        service: "agronomo".parse().unwrap(),
        upstream: "i-1".parse().unwrap(),
        leaving: true,
        closed_for: None,
        limit: None,
        tolerance: None,
    }
}

fn cold() -> Announcement {
    Announcement::Cold(Cold {
        service: "agronomo".parse().unwrap(),
        upstream: "i-1".parse().unwrap(),
        left: Duration::from_secs(3),
    })
}

/// Returns the messages that a reader makes of the bytes of others.
fn read<T: Serialize, U: serde::de::DeserializeOwned>(messages: &[T]) -> Vec<U> {
    let mut bytes = Vec::new();
    for message in messages {
        append(message, &mut bytes).unwrap();
    }
    let mut reader = Reader::new(&bytes[..]);
    let next = || task::block_on(reader.next()).unwrap();
    std::iter::from_fn(next).collect()
}

/// Guards against a session that ends at a message which the earlier release cannot read.
#[test]
fn earlier_release_ignores_announcements_that_it_does_not_know() {
    let sent = [
        Answer::Announced(vec![cold(), Announcement::Upstream(report())]),
        Answer::Taken(7),
    ];
    let received: Vec<EarlierAnswer> = read(&sent);
    let known = vec![EarlierAnnouncement::Upstream(report())];
    assert_eq!(
        received,
        [EarlierAnswer::Announced(known), EarlierAnswer::Taken(7)]
    );
}

/// Guards against a session that ends at a message of the earlier release.
#[test]
fn announcements_of_an_earlier_release_are_read() {
    let known = vec![EarlierAnnouncement::Upstream(report())];
    let sent = [EarlierAnswer::Announced(known), EarlierAnswer::Taken(7)];
    let received: Vec<Answer> = read(&sent);
    let announced = vec![Announcement::Upstream(report())];
    assert_eq!(received, [Answer::Announced(announced), Answer::Taken(7)]);
}

/// Guards against decisions that one of the releases cannot read, and against a copy that is sent on the
/// word of a dispatcher that does not know copies.
#[test]
fn decisions_of_both_releases_are_read() {
    let key = Key {
        entry: "entry-1".parse().unwrap(),
        incarnation: 1,
        number: 2,
    };
    let granted = Decision::Grant("i-1".parse().unwrap());
    let due = Some(Duration::from_millis(90));
    let sent = [
        Answer::Decided(key.clone(), granted.clone(), due),
        Answer::Taken(7),
    ];
    let earlier = [
        EarlierAnswer::Decided(key.clone(), granted.clone()),
        EarlierAnswer::Taken(7),
    ];
    assert_eq!(read::<_, EarlierAnswer>(&sent), earlier);
    let received: Vec<Answer> = read(&earlier);
    assert_eq!(
        received,
        [Answer::Decided(key, granted, None), Answer::Taken(7)]
    );
}

#[test]
fn announcements_of_this_release_are_read_whole() {
    let announced = vec![Announcement::Upstream(report()), cold()];
    let sent = [Answer::Announced(announced)];
    assert_eq!(read::<_, Answer>(&sent), sent);
}
