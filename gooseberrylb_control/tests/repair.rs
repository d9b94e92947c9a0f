//! The repair policy, decision by decision.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use gooseberrylb_control::consensus::{Member, Role, Status};
use gooseberrylb_control::membership::{Change, Folder, Membership};
use gooseberrylb_control::repair::{self, Disk, Liveness, MIN_SPARE_UPTIME, VOTER_TIMEOUT};

fn name(text: &str) -> id::Instance {
    text.parse().unwrap()
}

/// A leader `a` with voters `b` and `c`, and a spare `d`, all heard for long.
struct Case {
    status: Status,
    disks: BTreeMap<id::Instance, Disk>,
    start: Instant,
}

impl Case {
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

    fn silence(&mut self, instance: &str, since: Duration) {
        let since = self.start + since;
        self.disks.get_mut(&name(instance)).unwrap().liveness = Liveness::Silent { since };
    }

    fn next(&self, at: Duration) -> Option<Change> {
        repair::next_change(&self.status, &self.disks, 3, self.start + at)
    }

    /// Makes the next change, and gives it.
    fn make(&mut self, at: Duration) -> Option<Change> {
        let change = self.next(at)?;
        self.status.membership = self.status.membership.with_change(&change).unwrap();
        Some(change)
    }

    fn catch_up(&mut self, instance: &str, caught_up: bool) {
        let member = Member {
            matched: Index(9),
            last_contact: Some(self.start),
            caught_up,
        };
        self.status.members.insert(name(instance), member);
    }
}

#[test]
fn a_silent_voter_is_replaced_step_by_step() {
    let mut case = Case::new();
    let minute = Duration::from_secs(60);
    case.silence("c", minute);
    let early = minute + VOTER_TIMEOUT - Duration::from_millis(1);
    assert_eq!(case.make(early), None);
    let due = minute + VOTER_TIMEOUT;
    case.status.can_change_membership = false;
    assert_eq!(case.make(due), None, "a change is under way");
    case.status.can_change_membership = true;
    let (instance, folder) = (name("d"), Folder(4));
    let add = Change::AddLearner { instance, folder };
    assert_eq!(case.make(due), Some(add));
    case.catch_up("d", false);
    assert_eq!(case.make(due), None, "it has not caught up");
    case.catch_up("d", true);
    let instance = name("d");
    assert_eq!(case.make(due), Some(Change::Promote { instance }));
    let instance = name("c");
    assert_eq!(case.make(due), Some(Change::Remove { instance }));
    assert_eq!(case.make(due), None);
    assert_eq!(case.status.membership.voters.len(), 3);
}

#[test]
fn a_voter_with_a_new_folder_goes_and_comes_back_as_a_learner() {
    let mut case = Case::new();
    let minute = Duration::from_secs(60);
    case.status.unexpected_folders.insert(name("b"), Folder(9));
    case.disks.get_mut(&name("b")).unwrap().folder = Folder(9);
    case.disks.remove(&name("d"));
    let instance = name("b");
    assert_eq!(case.make(minute), Some(Change::Remove { instance }));
    let (instance, folder) = (name("b"), Folder(9));
    let add = Change::AddLearner { instance, folder };
    assert_eq!(case.make(minute), Some(add));
    case.catch_up("b", true);
    let instance = name("b");
    assert_eq!(case.make(minute), Some(Change::Promote { instance }));
    assert_eq!(case.make(minute), None);
}

#[test]
fn a_spare_that_just_came_or_is_silent_is_not_taken() {
    let mut case = Case::new();
    let minute = Duration::from_secs(60);
    case.silence("c", Duration::ZERO);
    let since = case.start + minute;
    case.disks.get_mut(&name("d")).unwrap().liveness = Liveness::Alive { since };
    assert_eq!(case.next(minute), None);
    assert!(case.next(minute + MIN_SPARE_UPTIME).is_some());
    case.silence("d", minute);
    assert_eq!(case.next(2 * minute), None);
}

#[test]
fn a_learner_that_is_lost_or_not_needed_gives_way() {
    let mut case = Case::new();
    let minute = Duration::from_secs(60);
    case.status.membership.learners.insert(name("d"), Folder(4));
    let instance = name("d");
    let removal = Some(Change::Remove { instance });
    assert_eq!(case.next(minute), removal, "three voters are sound");
    case.silence("c", Duration::ZERO);
    assert_eq!(case.next(minute), None, "it is needed");
    case.silence("d", Duration::ZERO);
    assert_eq!(case.next(minute), removal, "it is lost");
}
