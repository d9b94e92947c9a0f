//! Decisions of the repair policy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use gooseberrylb_control::consensus::{Member, Role, Status};
use gooseberrylb_control::membership::{Change, Folder, Membership};
use gooseberrylb_control::repair::{self, Disk, Liveness, MIN_SPARE_UPTIME, VOTER_TIMEOUT};

fn name(text: &str) -> id::Instance {
    text.parse().unwrap()
}

/// Status of leader `a` with the voters `a`, `b` and `c` and the spare `d`.
///
/// All four instances are alive since `start`.
struct Fixture {
    status: Status,
    disks: BTreeMap<id::Instance, Disk>,
    start: Instant,
}

impl Fixture {
    fn new() -> Self {
        let start = Instant::now();
        let liveness = Liveness::Alive { since: start };
        let folders = ["a", "b", "c", "d"]
            .map(name)
            .into_iter()
            .zip((1..).map(Folder));
        let disk = |folder| Disk { folder, liveness };
        let disks: BTreeMap<_, _> = folders.clone().map(|(n, f)| (n, disk(f))).collect();
        let status = Status {
            role: Role::Leader,
            term: Term(1),
            leader: Some(name("a")),
            committed: Index(9),
            last: Index(9),
            membership: Membership {
                voters: folders.take(3).collect(),
                learners: BTreeMap::new(),
            },
            blocked_by: None,
            granted: BTreeSet::new(),
            can_change_membership: true,
            unexpected_folders: BTreeMap::new(),
            members: BTreeMap::new(),
        };
        Self {
            status,
            disks,
            start,
        }
    }

    /// Marks an instance as out of contact since `since` after the start.
    fn set_silent(&mut self, instance: &str, since: Duration) {
        let since = self.start + since;
        self.disks.get_mut(&name(instance)).unwrap().liveness = Liveness::Silent { since };
    }

    /// Returns the change that is due at `at` after the start, with a target of three voters.
    fn next_change(&self, at: Duration) -> Option<Change> {
        repair::next_change(&self.status, &self.disks, 3, self.start + at)
    }

    /// Applies and returns the change that is due at `at` after the start.
    fn apply_next(&mut self, at: Duration) -> Option<Change> {
        let change = self.next_change(at)?;
        self.status.membership = self.status.membership.with_change(&change).unwrap();
        Some(change)
    }

    /// Sets whether an instance has caught up with the log.
    fn set_caught_up(&mut self, instance: &str, caught_up: bool) {
        let member = Member {
            matched: Index(9),
            last_contact: Some(self.start),
            silence: Duration::ZERO,
            caught_up,
        };
        self.status.members.insert(name(instance), member);
    }
}

#[test]
fn silent_voter_is_replaced_step_by_step() {
    let mut fixture = Fixture::new();
    let minute = Duration::from_secs(60);
    fixture.set_silent("c", minute);
    let early = minute + VOTER_TIMEOUT - Duration::from_millis(1);
    assert_eq!(fixture.apply_next(early), None);
    let due = minute + VOTER_TIMEOUT;
    fixture.status.can_change_membership = false;
    assert_eq!(
        fixture.apply_next(due),
        None,
        "another change is in progress"
    );
    fixture.status.can_change_membership = true;
    let (instance, folder) = (name("d"), Folder(4));
    let add = Change::AddLearner { instance, folder };
    assert_eq!(fixture.apply_next(due), Some(add));
    fixture.set_caught_up("d", false);
    assert_eq!(
        fixture.apply_next(due),
        None,
        "the learner has not caught up"
    );
    fixture.set_caught_up("d", true);
    let instance = name("d");
    assert_eq!(fixture.apply_next(due), Some(Change::Promote { instance }));
    let instance = name("c");
    assert_eq!(fixture.apply_next(due), Some(Change::Remove { instance }));
    assert_eq!(fixture.apply_next(due), None);
    assert_eq!(fixture.status.membership.voters.len(), 3);
}

#[test]
fn voter_with_a_new_folder_is_removed_and_added_as_a_learner() {
    let mut fixture = Fixture::new();
    let minute = Duration::from_secs(60);
    fixture
        .status
        .unexpected_folders
        .insert(name("b"), Folder(9));
    fixture.disks.get_mut(&name("b")).unwrap().folder = Folder(9);
    fixture.disks.remove(&name("d"));
    let instance = name("b");
    assert_eq!(
        fixture.apply_next(minute),
        Some(Change::Remove { instance })
    );
    let (instance, folder) = (name("b"), Folder(9));
    let add = Change::AddLearner { instance, folder };
    assert_eq!(fixture.apply_next(minute), Some(add));
    fixture.set_caught_up("b", true);
    let instance = name("b");
    assert_eq!(
        fixture.apply_next(minute),
        Some(Change::Promote { instance })
    );
    assert_eq!(fixture.apply_next(minute), None);
}

#[test]
fn new_or_silent_spare_is_not_added() {
    let mut fixture = Fixture::new();
    let minute = Duration::from_secs(60);
    fixture.set_silent("c", Duration::ZERO);
    let since = fixture.start + minute;
    fixture.disks.get_mut(&name("d")).unwrap().liveness = Liveness::Alive { since };
    assert_eq!(fixture.next_change(minute), None);
    assert!(fixture.next_change(minute + MIN_SPARE_UPTIME).is_some());
    fixture.set_silent("d", minute);
    assert_eq!(fixture.next_change(2 * minute), None);
}

#[test]
fn lost_or_unneeded_learner_is_removed() {
    let mut fixture = Fixture::new();
    let minute = Duration::from_secs(60);
    fixture
        .status
        .membership
        .learners
        .insert(name("d"), Folder(4));
    let instance = name("d");
    let removal = Some(Change::Remove { instance });
    assert_eq!(
        fixture.next_change(minute),
        removal,
        "three voters are without a fault"
    );
    fixture.set_silent("c", Duration::ZERO);
    assert_eq!(fixture.next_change(minute), None, "the learner is needed");
    fixture.set_silent("d", Duration::ZERO);
    assert_eq!(fixture.next_change(minute), removal, "the learner is lost");
}
