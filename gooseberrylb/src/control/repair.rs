//! Replaces lost voters: feeds the repair policy with the reports that the leader receives, and
//! proposes the membership changes that it returns.

use std::collections::BTreeMap;
use std::rc::Rc;

use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_config::settings::{Settings, Silence};
use gooseberrylb_control::membership::{Folder, Membership};
use gooseberrylb_control::repair::{self, Disk, Goal, Liveness, Repair};

use super::core::Core;
use super::follow::Follower;
use super::lead;

/// Maximum number of changes made in one round of the leader's tasks, so that others are not held up.
const MAX_CHANGES: usize = 8;

/// Proposes the membership changes that are due, one after the other.
pub async fn step(core: &Rc<Core>) {
    for _ in 0..MAX_CHANGES {
        let Some(status) = core.status() else {
            return;
        };
        let goal = {
            let feed = core.feed.borrow();
            let silence = core.timing.silence;
            goal(
                &core.settings,
                silence,
                &status.membership,
                feed.directory(),
            )
        };
        let disks = disks(core);
        let due = repair::next_change(&status, &disks, &goal, core.clock.now());
        let Some(Repair { change, cause }) = due else {
            return;
        };
        log::info!(cause:%; "proposing membership change {change:?}");
        if let Err(reason) = core.change_here(change).await {
            log::info!("membership change was not made: {reason:?}");
            return;
        }
    }
}

/// Returns what the settings ask of the voters, by the places where these are.
fn goal(
    settings: &Settings,
    silence: Silence,
    membership: &Membership,
    directory: &Directory,
) -> Goal {
    match &settings.deployment {
        Some(deployment) => {
            let voters = membership.voters.keys();
            let instances = voters.filter_map(|voter| directory.instances.get(voter));
            let places = instances.map(|instance| (&instance.data_centre, &instance.region));
            let losses = deployment.tolerance.losses(places);
            Goal::every_disk(losses, silence)
        }
        None => Goal::fixed(settings.peers.iter().filter(|peer| peer.voter).count()),
    }
}

/// Returns the disks that the instances have reported.
fn disks(core: &Core) -> BTreeMap<id::Instance, Disk> {
    let followers = core.followers.borrow();
    let reported = followers.iter().filter_map(|(name, follower)| {
        let folder = Folder(follower.report.folder?);
        let disk = Disk {
            folder,
            liveness: liveness(core, follower),
            leaving: follower.report.instance.leaving,
        };
        Some((name.clone(), disk))
    });
    reported.collect()
}

fn liveness(core: &Core, follower: &Follower) -> Liveness {
    match lead::counts_as_dead(core, follower.last_contact) {
        false => Liveness::Alive {
            since: follower.alive_since,
            last: follower.last_contact,
        },
        true => Liveness::Silent,
    }
}
