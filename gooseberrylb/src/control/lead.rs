//! What the leader does besides agreeing: it notices which instances live, places schedulers,
//! repairs the membership and carries the moves on.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::task;
use gooseberrylb_config::directory::{self, Cell, Directory, View};
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Revision, Term};
use gooseberrylb_control::state::{Command, Reply};
use gooseberrylb_control::views::{self, Candidate, Candidates};

use super::Failure;
use super::core::Core;
use super::follow::{Follower, LEASE_DURATION};

/// The time between two looks at the fleet.
const INTERVAL: Duration = Duration::from_millis(150);

/// How long an instance may be silent before it counts as dead; its lease has lapsed by then.
pub const INSTANCE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Leads for as long as the instance runs, whenever the consensus says so.
pub async fn run(core: Rc<Core>) {
    let mut recorded = Term(0);
    loop {
        task::sleep(INTERVAL).await;
        if !core.is_leading() {
            core.move_coordinator.end_term();
            continue;
        }
        // A failure here means that leadership was lost, or that the disks are full; the next round
        // looks at the fleet anew.
        if let Err(error) = round(&core, &mut recorded).await {
            log::debug!("a round of leading was cut short: {error}");
        }
    }
}

async fn round(core: &Rc<Core>, recorded: &mut Term) -> Result<(), Failure> {
    record_leader(core, recorded).await?;
    register(core).await?;
    remove_dead(core).await?;
    assign_views(core).await?;
    super::repair::step(core).await;
    super::moves::step(core).await?;
    Ok(())
}

/// Has a command accepted; this instance must lead.
pub async fn propose(core: &Rc<Core>, command: &Command) -> Result<Reply, Failure> {
    core.propose_here(command.encode().into()).await
}

/// Writes into the log who leads, once a term.
async fn record_leader(core: &Rc<Core>, recorded: &mut Term) -> Result<(), Failure> {
    let Some(status) = core.status() else {
        return Ok(());
    };
    if *recorded == status.term {
        return Ok(());
    }
    let leader = core.identity.name.clone();
    let at = core.clock.wall();
    propose(
        core,
        &Command::Lead {
            leader,
            term: status.term,
            at,
        },
    )
    .await?;
    *recorded = status.term;
    Ok(())
}

/// Registers instances that are new, restarted, moved or leaving.
async fn register(core: &Rc<Core>) -> Result<(), Failure> {
    // An instance that is gone is not registered anew from what it last reported.
    let now = core.clock.now();
    let reports: Vec<_> = core
        .followers
        .borrow()
        .iter()
        .filter(|(_, f)| now < f.last_contact + INSTANCE_TIMEOUT)
        .map(|(_, f)| f.report.clone())
        .collect();
    for report in reports {
        let known_incarnation = core.state.borrow().incarnation(&report.name);
        let known = core
            .feed
            .borrow()
            .directory()
            .instances
            .get(&report.name)
            .cloned();
        let at = core.clock.wall();
        let mut described = report.instance.clone();
        described.leaving = false;
        let restarted = known_incarnation.is_none_or(|known| known < report.incarnation);
        let moved = known.as_ref().is_none_or(|known| {
            let known = directory::Instance {
                leaving: false,
                ..known.clone()
            };
            known != described
        });
        if let Some(later) = known_incarnation.filter(|known| *known > report.incarnation) {
            // A machine has one process at a time, so this one came after, by a clock set back.
            let leave = Command::Leave {
                name: report.name,
                incarnation: later,
                draining: false,
                cause: "restarted with an earlier time of day".into(),
                at,
            };
            propose(core, &leave).await?;
            continue;
        }
        let (name, incarnation) = (report.name, report.incarnation);
        if restarted || moved {
            let name = name.clone();
            propose(
                core,
                &Command::Join {
                    name,
                    instance: described,
                    incarnation,
                    at,
                },
            )
            .await?;
        }
        if report.instance.leaving && !known.is_some_and(|known| known.leaving) {
            let cause = "a planned stop".into();
            let leave = Command::Leave {
                name,
                incarnation,
                draining: true,
                cause,
                at,
            };
            propose(core, &leave).await?;
        }
    }
    Ok(())
}

/// Strikes off the instances that have been silent for too long.
async fn remove_dead(core: &Rc<Core>) -> Result<(), Failure> {
    let now = core.clock.now();
    let Some(since) = core.leader_since.get() else {
        return Ok(());
    };
    let names: Vec<id::Instance> = core
        .feed
        .borrow()
        .directory()
        .instances
        .keys()
        .cloned()
        .collect();
    for name in names {
        let last_contact = core
            .followers
            .borrow()
            .get(&name)
            .map_or(since, |f| f.last_contact);
        if name == core.identity.name || now < last_contact + INSTANCE_TIMEOUT {
            continue;
        }
        let incarnation = core.state.borrow().incarnation(&name).unwrap_or_default();
        let cause = format!("not heard of for {} ms", (now - last_contact).as_millis()).into();
        let at = core.clock.wall();
        let leave = Command::Leave {
            name,
            incarnation,
            draining: false,
            cause,
            at,
        };
        propose(core, &leave).await?;
    }
    Ok(())
}

/// Gives each cell the scheduler and backups that it should have.
async fn assign_views(core: &Rc<Core>) -> Result<(), Failure> {
    if !knows_live_instances(core) {
        return Ok(());
    }
    let directory = core.feed.borrow().directory().clone();
    for cell in cells(&directory) {
        let candidates = candidates(core, &directory, &cell);
        let plan = {
            let state = core.state.borrow();
            let current = directory.view(&cell).zip(state.view_members(&cell));
            views::plan(&cell, current, &candidates)
        };
        let Some(plan) = plan else {
            continue;
        };
        if plan.claims_lost {
            log::warn!("every holder of the claims of {cell:?} was lost");
        }
        let cause = plan.cause.into();
        let at = core.clock.wall();
        // A service that was withdrawn and added again goes on counting where its views ended.
        let number = core.state.borrow().next_view(&cell);
        let view = View {
            number,
            ..plan.view
        };
        propose(
            core,
            &Command::View {
                cell,
                view,
                cause,
                at,
            },
        )
        .await?;
    }
    Ok(())
}

/// Whether this leader has heard every instance, or long enough to call the others dead: before
/// that, a scheduler that is well would be replaced for having had no time to report.
fn knows_live_instances(core: &Core) -> bool {
    let now = core.clock.now();
    let waited = core
        .leader_since
        .get()
        .is_some_and(|since| now >= since + INSTANCE_TIMEOUT);
    waited || have_all_reported(core)
}

fn cells(directory: &Directory) -> Vec<Cell> {
    let regions: BTreeSet<&id::Region> = directory.instances.values().map(|i| &i.region).collect();
    let mut cells = Vec::new();
    for service in directory.services.keys() {
        for region in &regions {
            cells.push(Cell {
                service: service.clone(),
                region: (*region).clone(),
            });
        }
    }
    cells
}

fn candidates(core: &Core, directory: &Directory, cell: &Cell) -> Candidates {
    let followers = core.followers.borrow();
    let now = core.clock.now();
    let known = directory.instances.iter();
    known
        .filter_map(|(name, instance)| {
            let follower = followers
                .get(name)
                .filter(|f| now < f.last_contact + INSTANCE_TIMEOUT)?;
            let holds = follower
                .report
                .holds
                .iter()
                .find(|h| h.cell == *cell)
                .map(|h| h.view);
            let candidate = Candidate {
                incarnation: follower.report.incarnation,
                data_centre: instance.data_centre.clone(),
                region: instance.region.clone(),
                leaving: instance.leaving || follower.report.instance.leaving,
                holds,
            };
            Some((name.clone(), candidate))
        })
        .collect()
}

/// Whether every instance routes by `revision`, or may route by nothing at all.
pub fn is_in_force(core: &Core, revision: Revision) -> bool {
    let now = core.clock.now();
    let Some(since) = core.leader_since.get() else {
        return false;
    };
    let followers = core.followers.borrow();
    // Instances that this leader has not heard of may hold a lease of the leader before it.
    if now < since + LEASE_DURATION && !have_all_reported(core) {
        return false;
    }
    followers.iter().all(|(_, follower)| {
        follower.report.revision >= revision || lease_has_expired(core, follower, now)
    })
}

fn have_all_reported(core: &Core) -> bool {
    let followers = core.followers.borrow();
    let feed = core.feed.borrow();
    feed.directory()
        .instances
        .keys()
        .all(|name| followers.get(name).is_some())
}

/// Whether a follower's lease has certainly ended; one that follows a relay may have been handed a
/// lease by it after its last report reached the leader.
fn lease_has_expired(core: &Core, follower: &Follower, now: Instant) -> bool {
    let uses_relays = core.feed.borrow().directory().instances.len() > core.max_direct_followers();
    let relay_margin = if uses_relays {
        LEASE_DURATION
    } else {
        Duration::ZERO
    };
    now >= follower.lease_until + relay_margin
}
