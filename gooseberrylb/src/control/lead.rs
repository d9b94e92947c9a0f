//! Periodic tasks of the leader: registers instances and removes dead ones, assigns schedulers and
//! backups, repairs the membership and advances the moves.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::task;
use gooseberrylb_config::directory::{self, Cell, Directory, View};
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Revision, Term};
use gooseberrylb_config::settings::timing;
use gooseberrylb_control::state::{Command, Reply};
use gooseberrylb_control::views::{self, Candidate, Candidates};
use gooseberrylb_wire::message::Report;

use super::Failure;
use super::core::Core;
use super::follow::Follower;

/// Maximum number of proposals that wait to be accepted at the same time.
const MAX_CONCURRENT_PROPOSALS: usize = 64;

/// Runs the leader's tasks while this instance leads.
pub async fn run(core: Rc<Core>) {
    let mut recorded = Term(0);
    let mut leads = false;
    loop {
        task::sleep(timing::LEADER_INTERVAL).await;
        core.voters.observe(&core);
        let led = std::mem::replace(&mut leads, core.is_leading());
        if led && !leads && core.leader_since.get().is_some() {
            log::warn!("the leader's lease has lapsed; it asks the other voters");
        }
        if !leads {
            core.move_coordinator.end_term();
            continue;
        }
        // A failure means that leadership was lost or that disks are full. The next round starts
        // over.
        if let Err(error) = round(&core, &mut recorded).await {
            log::debug!("round of the leader's tasks failed: {error}");
        }
    }
}

async fn round(core: &Rc<Core>, recorded: &mut Term) -> Result<(), Failure> {
    record_leader(core, recorded).await?;
    // The repair comes before the other tasks: until a lost voter is replaced, fewer losses are borne.
    super::repair::step(core).await;
    register(core).await?;
    remove_dead(core).await?;
    assign_views(core).await?;
    super::evacuation::step(core).await?;
    super::moves::step(core).await?;
    Ok(())
}

/// Proposes a command and returns the reply once it is accepted; this instance must lead.
pub async fn propose(core: &Rc<Core>, command: &Command) -> Result<Reply, Failure> {
    let limit = core.timing.proposal;
    core.propose_here(command.encode().into(), limit).await
}

/// Records the leader in the log, once per term.
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

/// Registers instances that are new, restarted, leaving, or have changed addresses or location.
async fn register(core: &Rc<Core>) -> Result<(), Failure> {
    // The last report of a dead instance must not register it again.
    let now = core.clock.now();
    let reports: Vec<_> = core
        .followers
        .borrow()
        .iter()
        .filter(|(_, f)| now < f.last_contact + timing::INSTANCE_TIMEOUT)
        .map(|(_, f)| f.report.clone())
        .collect();
    let commands: Vec<Command> = reports
        .into_iter()
        .flat_map(|report| registration(core, report))
        .collect();
    propose_all(core, &commands).await
}

/// Returns the commands that register what is new in an instance's report.
fn registration(core: &Core, report: Report) -> Vec<Command> {
    let known_incarnation = core.state.borrow().incarnation(&report.name);
    let known = {
        let feed = core.feed.borrow();
        feed.directory().instances.get(&report.name).cloned()
    };
    let at = core.clock.wall();
    let mut reported_instance = report.instance.clone();
    reported_instance.leaving = false;
    let restarted = known_incarnation.is_none_or(|known| known < report.incarnation);
    let moved = known.as_ref().is_none_or(|known| {
        let known = directory::Instance {
            leaving: false,
            ..known.clone()
        };
        known != reported_instance
    });
    if let Some(later) = known_incarnation.filter(|known| *known > report.incarnation) {
        // An instance has only one process at a time, so this one started later, after the clock
        // was set back.
        return vec![Command::Leave {
            name: report.name,
            incarnation: later,
            draining: false,
            cause: "restarted with an earlier time of day".into(),
            at,
        }];
    }
    let (name, incarnation) = (report.name, report.incarnation);
    let mut commands = Vec::new();
    if restarted || moved {
        commands.push(Command::Join {
            name: name.clone(),
            instance: reported_instance,
            incarnation,
            at,
        });
    }
    if report.instance.leaving && !known.is_some_and(|known| known.leaving) {
        commands.push(Command::Leave {
            name,
            incarnation,
            draining: true,
            cause: "a planned stop".into(),
            at,
        });
    }
    commands
}

/// Proposes commands, each without waiting for the ones before it: a large fleet that starts, or
/// comes back after a loss of power, registers hundreds of instances at once.
async fn propose_all(core: &Rc<Core>, commands: &[Command]) -> Result<(), Failure> {
    for batch in commands.chunks(MAX_CONCURRENT_PROPOSALS) {
        let proposals = batch.iter().map(|command| propose(core, command));
        for result in futures::future::join_all(proposals).await {
            result?;
        }
    }
    Ok(())
}

/// Removes the instances that have not reported for [`timing::INSTANCE_TIMEOUT`].
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
    let mut commands = Vec::new();
    for name in names {
        let reported = core.followers.borrow().get(&name).map(|f| f.last_contact);
        let last_contact = reported.unwrap_or(since);
        if name == core.identity.name || !counts_as_dead(core, last_contact) {
            continue;
        }
        let incarnation = core.state.borrow().incarnation(&name).unwrap_or_default();
        log::info!(
            instance:% = name, silent_ms = (now - last_contact).as_millis() as u64, has_reported = reported.is_some();
            "removing an instance that has not reported"
        );
        let cause = format!("not heard of for {} ms", (now - last_contact).as_millis()).into();
        let at = core.clock.wall();
        commands.push(Command::Leave {
            name,
            incarnation,
            draining: false,
            cause,
            at,
        });
    }
    propose_all(core, &commands).await
}

/// Assigns a scheduler and backups to each cell, where they have to change.
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
            log::warn!("all copies of the claims of {cell:?} were lost");
        }
        let cause = plan.cause.into();
        let at = core.clock.wall();
        // A service that was withdrawn and added again continues the numbering of its views.
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

/// Whether all instances have reported to this leader, or it has led long enough to consider the
/// others dead. Before that, a healthy scheduler that had no time to report would be replaced.
fn knows_live_instances(core: &Core) -> bool {
    let since = core.leader_since.get();
    since.is_some_and(|since| counts_as_dead(core, since)) || have_all_reported(core)
}

/// Returns all combinations of a service and a region with instances.
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

/// Returns the live instances that may become scheduler or backup of `cell`.
fn candidates(core: &Core, directory: &Directory, cell: &Cell) -> Candidates {
    let followers = core.followers.borrow();
    let known = directory.instances.iter();
    known
        .filter_map(|(name, instance)| {
            let follower = followers.get(name);
            let follower = follower.filter(|f| !counts_as_dead(core, f.last_contact))?;
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

/// Whether an instance that was last heard of at a time, or never since the election at that time, counts as
/// dead now.
pub fn counts_as_dead(core: &Core, last_contact: Instant) -> bool {
    core.clock.now() >= core.listening.silent_since(last_contact) + timing::INSTANCE_TIMEOUT
}

/// Whether every instance that may still act on its configuration has at least `revision`.
pub fn is_in_force(core: &Core, revision: Revision) -> bool {
    let now = core.clock.now();
    let Some(since) = core.leader_since.get() else {
        return false;
    };
    let followers = core.followers.borrow();
    // Instances that have not reported to this leader may hold a lease of its predecessor.
    if now < since + timing::MAX_LEASE && !have_all_reported(core) {
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

/// Whether a follower's lease has certainly expired. A relay may have granted its follower a lease
/// after the last report that reached the leader.
fn lease_has_expired(core: &Core, follower: &Follower, now: Instant) -> bool {
    let uses_relays = core.feed.borrow().directory().instances.len() > core.max_direct_followers();
    let relay_margin = if uses_relays {
        timing::MAX_LEASE
    } else {
        Duration::ZERO
    };
    now >= follower.lease_until + relay_margin
}
