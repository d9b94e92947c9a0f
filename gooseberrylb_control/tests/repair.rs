//! Decisions of the repair policy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use gooseberrylb_config::settings::Silence;
use gooseberrylb_control::consensus::{Member, Role, Status};
use gooseberrylb_control::membership::{Change, Folder, Membership};
use gooseberrylb_control::repair::{self, Disk, Goal, LEARNER_TIMEOUT, Liveness};

fn name(text: &str) -> id::Instance {
    text.parse().unwrap()
}

/// Status of leader `a` with the voters `a`, `b` and `c` and the spare `d`.
///
/// All four instances are alive since `start`.
struct Fixture {
    goal: Goal,
    status: Status,
    disks: BTreeMap<id::Instance, Disk>,
    start: Instant,
}

impl Fixture {
    fn new() -> Self {
        let start = Instant::now();
        let liveness = Liveness::Alive {
            since: start,
            last: start + Duration::from_secs(3600),
        };
        let folders = ["a", "b", "c", "d"]
            .map(name)
            .into_iter()
            .zip((1..).map(Folder));
        let leaving = false;
        let disk = |folder| Disk {
            folder,
            liveness,
            leaving,
        };
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
            goal: Goal::fixed(3),
            status,
            disks,
            start,
        }
    }

    /// Marks a member as one that has not answered for `silence`.
    fn set_silent(&mut self, instance: &str, silence: Duration) {
        let member = Member {
            matched: Index(9),
            last_contact: None,
            silence,
            caught_up: false,
        };
        self.status.members.insert(name(instance), member);
    }

    /// Marks a spare as one that has not reported for long.
    fn set_lost(&mut self, instance: &str) {
        self.disks.get_mut(&name(instance)).unwrap().liveness = Liveness::Silent;
    }

    /// Returns the change that is due at `at` after the start, with a target of three voters.
    fn next_change(&self, at: Duration) -> Option<Change> {
        let due = repair::next_change(&self.status, &self.disks, &self.goal, self.start + at);
        due.map(|repair| repair.change)
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
    let due = minute;
    fixture.set_silent("c", fixture.goal.silence - Duration::from_millis(1));
    assert_eq!(fixture.apply_next(due), None);
    fixture.set_silent("c", fixture.goal.silence);
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
    fixture.set_silent("c", minute);
    let since = fixture.start + minute;
    fixture.disks.get_mut(&name("d")).unwrap().liveness = Liveness::Alive {
        since,
        last: since + minute,
    };
    assert_eq!(fixture.next_change(minute), None);
    let uptime = fixture.goal.spare_uptime;
    assert!(fixture.next_change(minute + uptime).is_some());
    fixture.set_lost("d");
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
    fixture.set_silent("c", minute);
    assert_eq!(fixture.next_change(minute), None, "the learner is needed");
    fixture.set_silent("d", LEARNER_TIMEOUT);
    assert_eq!(fixture.next_change(minute), removal, "the learner is lost");
}

/// Returns the case of four voters, one of which may be lost, and a spare, `f`.
fn platform() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.goal = Goal::every_disk(1, Silence::within(Duration::from_secs(4)));
    let liveness = Liveness::Alive {
        since: fixture.start,
        last: fixture.start,
    };
    let folder = Folder(4);
    fixture.status.membership.voters.insert(name("d"), folder);
    let disk = Disk {
        folder: Folder(6),
        liveness,
        leaving: false,
    };
    fixture.disks.insert(name("f"), disk);
    fixture
}

#[test]
fn every_live_disk_becomes_a_learner_and_then_a_voter() {
    let mut fixture = platform();
    let (instance, folder) = (name("f"), Folder(6));
    let add = Change::AddLearner { instance, folder };
    assert_eq!(fixture.apply_next(Duration::ZERO), Some(add));
    assert_eq!(fixture.apply_next(Duration::ZERO), None);
    fixture.set_caught_up("f", true);
    let instance = name("f");
    let promotion = Change::Promote { instance };
    assert_eq!(fixture.apply_next(Duration::ZERO), Some(promotion));
    assert_eq!(fixture.apply_next(Duration::ZERO), None);
}

#[test]
fn voter_that_is_gone_is_removed_sooner_if_too_few_losses_are_borne_with_it() {
    let mut fixture = platform();
    fixture.disks.remove(&name("f"));
    let removal = Some(Change::Remove {
        instance: name("c"),
    });
    let moment = Duration::from_millis(1);
    fixture.set_silent("c", fixture.goal.urgent_silence - moment);
    assert_eq!(fixture.next_change(Duration::ZERO), None);
    fixture.set_silent("c", fixture.goal.urgent_silence);
    assert_eq!(
        fixture.next_change(Duration::ZERO),
        removal,
        "three of four voters bear no loss"
    );
    fixture
        .status
        .membership
        .voters
        .insert(name("e"), Folder(5));
    assert_eq!(
        fixture.next_change(Duration::ZERO),
        None,
        "four of five voters bear a loss"
    );
    fixture.set_silent("c", fixture.goal.silence);
    assert_eq!(fixture.next_change(Duration::ZERO), removal);
}

#[test]
fn last_voters_that_hold_enough_copies_are_not_removed() {
    let mut fixture = Fixture::new();
    fixture.goal = Goal::every_disk(1, Silence::within(Duration::from_secs(4)));
    fixture.disks.remove(&name("d"));
    fixture.set_silent("c", Duration::from_secs(60));
    assert_eq!(fixture.next_change(Duration::ZERO), None);
}

#[test]
fn voter_that_is_about_to_stop_loses_its_vote_if_too_few_losses_are_borne_without_it() {
    let mut fixture = platform();
    fixture.disks.get_mut(&name("a")).unwrap().leaving = true;
    let removal = Some(Change::Remove {
        instance: name("a"),
    });
    fixture.disks.remove(&name("f"));
    assert_eq!(fixture.next_change(Duration::ZERO), removal);
    fixture
        .status
        .membership
        .voters
        .insert(name("e"), Folder(5));
    assert_eq!(
        fixture.next_change(Duration::ZERO),
        None,
        "four of five voters bear a loss"
    );
    fixture.status.membership.voters.remove(&name("d"));
    fixture.status.membership.voters.remove(&name("e"));
    fixture.disks.remove(&name("d"));
    assert_eq!(
        fixture.next_change(Duration::ZERO),
        None,
        "three voters are needed"
    );
}

/// Guards against a voter that loses its vote and gets it back from a report made before its loss.
#[test]
fn spare_without_a_recent_report_is_not_added() {
    let fixture = platform();
    let limit = fixture.goal.urgent_silence;
    let early = limit - Duration::from_millis(1);
    assert!(fixture.next_change(early).is_some());
    assert_eq!(fixture.next_change(limit), None);
}
