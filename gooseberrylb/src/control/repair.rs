//! Replaces lost voters: feeds the repair policy with the reports that the leader receives, and
//! proposes the membership changes that it returns.

use std::collections::BTreeMap;
use std::rc::Rc;

use gooseberrylb_config::id;
use gooseberrylb_control::membership::Folder;
use gooseberrylb_control::repair::{self, Disk, Liveness};

use super::core::Core;
use super::follow::Follower;
use super::lead;

/// Proposes the next membership change, if one is due.
pub async fn step(core: &Rc<Core>) {
    let Some(status) = core.status() else {
        return;
    };
    let disks = disks(core, &status.membership.voters);
    let target = match core.settings.deployment {
        // A platform counts the machines with disks, so each live one of them gets a vote.
        Some(_) => disks.values().filter(|disk| is_alive(disk)).count(),
        None => core.settings.peers.iter().filter(|peer| peer.voter).count(),
    };
    let target = target.max(1);
    let Some(change) = repair::next_change(&status, &disks, target, core.clock.now()) else {
        return;
    };
    log::info!("proposing membership change {change:?}");
    if let Err(reason) = core.change_here(change).await {
        log::info!("membership change was not made: {reason:?}");
    }
}

fn is_alive(disk: &Disk) -> bool {
    match disk.liveness {
        Liveness::Alive { .. } => true,
        Liveness::Silent { .. } => false,
    }
}

/// Returns the disks that may hold the log: those of all voters, and those of other instances that
/// are not leaving.
fn disks(core: &Core, voters: &BTreeMap<id::Instance, Folder>) -> BTreeMap<id::Instance, Disk> {
    let followers = core.followers.borrow();
    let reported = followers.iter().filter_map(|(name, follower)| {
        let folder = Folder(follower.report.folder?);
        Some((
            name.clone(),
            Disk {
                folder,
                liveness: liveness(core, follower),
            },
        ))
    });
    let mut disks: BTreeMap<_, _> = reported.collect();
    disks.retain(|name, _| {
        let leaving = followers
            .get(name)
            .is_some_and(|f| f.report.instance.leaving);
        !leaving || voters.contains_key(name)
    });
    // A voter that never reported to this leader counts as silent since the election.
    if let Some(since) = core.leader_since.get() {
        for (name, folder) in voters {
            let silent = Disk {
                folder: *folder,
                liveness: Liveness::Silent {
                    since: core.listening.silent_since(since),
                },
            };
            disks.entry(name.clone()).or_insert(silent);
        }
    }
    disks
}

fn liveness(core: &Core, follower: &Follower) -> Liveness {
    match lead::counts_as_dead(core, follower.last_contact) {
        false => Liveness::Alive {
            since: follower.alive_since,
        },
        true => Liveness::Silent {
            since: core.listening.silent_since(follower.last_contact),
        },
    }
}
