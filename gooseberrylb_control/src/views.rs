//! Chooses the scheduler and the backups of each cell, so that no claim is forgotten.
//!
//! A grant of a request that must run at most once is acknowledged by every backup of the view
//! first, and a member that joined has to be synced before it can acknowledge. So a member of the
//! current view that held all claims in some view since it joined holds every claim that was ever
//! granted on: in the views that it was not synced in, nothing could be granted without it.
//! `docs/DESIGN.md` has the argument.

use std::collections::BTreeMap;

use gooseberrylb_config::directory::{Cell, View};
use gooseberrylb_config::id;
use gooseberrylb_config::number;
use serde::{Deserialize, Serialize};

/// How many backups a view has where there are enough instances.
pub const TARGET_BACKUPS: usize = 2;

/// Since when an instance has been a member of a cell's views without a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Joined {
    /// The first of these views.
    pub view: number::View,
    /// The start of the instance that joined; after a restart, its memory of claims is gone.
    pub incarnation: u64,
}

/// The members of a cell's current view.
pub type Members = BTreeMap<id::Instance, Joined>;

/// An instance that could be a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its start.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its region.
    pub region: id::Region,
    /// Whether it leaves, and so should hand over.
    pub leaving: bool,
    /// The last view of the cell in which it held all claims.
    pub holds: Option<number::View>,
}

/// The instances that are alive.
pub type Candidates = BTreeMap<id::Instance, Candidate>;

/// A view that should follow the current one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The view.
    pub view: View,
    /// Why.
    pub cause: &'static str,
    /// Whether nobody is left who holds all claims.
    pub claims_lost: bool,
}

/// The view that should follow `current`, if any.
pub fn plan(
    cell: &Cell,
    current: Option<(&View, &Members)>,
    candidates: &Candidates,
) -> Option<Plan> {
    let Some((view, members)) = current else {
        return first(cell, candidates);
    };
    let holders = holders(view, members, candidates);
    let whole = |name: &id::Instance| holders.contains(&name);
    if is_forming(view, members, candidates) {
        return repair(cell, view, members, candidates);
    }
    if !whole(&view.scheduler) || leaves(&view.scheduler, candidates) {
        return succeed(cell, view, &holders, candidates);
    }
    repair(cell, view, members, candidates)
}

/// Ranks instances for a cell, so that the cells spread over the instances and keep their places.
fn rank(cell: &Cell, name: &id::Instance) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in [cell.service.as_str(), cell.region.as_str(), name.as_str()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(first)
}

fn is_same_start(name: &id::Instance, members: &Members, candidates: &Candidates) -> bool {
    match (members.get(name), candidates.get(name)) {
        (Some(joined), Some(candidate)) => joined.incarnation == candidate.incarnation,
        _ => false,
    }
}

fn leaves(name: &id::Instance, candidates: &Candidates) -> bool {
    candidates
        .get(name)
        .is_some_and(|candidate| candidate.leaving)
}

/// The members that are alive and hold every claim.
fn holders<'a>(
    view: &'a View,
    members: &Members,
    candidates: &Candidates,
) -> Vec<&'a id::Instance> {
    let all = std::iter::once(&view.scheduler).chain(&view.backups);
    all.filter(|name| {
        let since = members.get(name).map(|joined| joined.view);
        let holds = candidates.get(name).and_then(|candidate| candidate.holds);
        is_same_start(name, members, candidates) && since.is_some() && holds >= since
    })
    .collect()
}

/// Whether the scheduler is alive, started this view with no claims, and may not have synced its
/// backups yet.
fn is_forming(view: &View, members: &Members, candidates: &Candidates) -> bool {
    let joined = members.get(&view.scheduler).map(|joined| joined.view);
    joined == Some(view.number)
        && is_same_start(&view.scheduler, members, candidates)
        && !leaves(&view.scheduler, candidates)
}

fn in_region<'a>(
    cell: &'a Cell,
    candidates: &'a Candidates,
) -> impl Iterator<Item = (&'a id::Instance, &'a Candidate)> {
    candidates
        .iter()
        .filter(|(_, c)| c.region == cell.region && !c.leaving)
}

fn first(cell: &Cell, candidates: &Candidates) -> Option<Plan> {
    let (scheduler, _) = in_region(cell, candidates).min_by_key(|(name, _)| rank(cell, name))?;
    let view = View::new(
        number::View(1),
        scheduler.clone(),
        fill(cell, scheduler, Vec::new(), candidates),
    );
    Some(Plan {
        view,
        cause: "the service has no scheduler yet",
        claims_lost: false,
    })
}

/// Adds backups up to [`TARGET_BACKUPS`], from data centres that have no member yet where there are such.
fn fill(
    cell: &Cell,
    scheduler: &id::Instance,
    mut backups: Vec<id::Instance>,
    candidates: &Candidates,
) -> Vec<id::Instance> {
    while backups.len() < TARGET_BACKUPS {
        let is_member = |name: &id::Instance| name == scheduler || backups.contains(name);
        let taken = |c: &Candidate| {
            let mut members = candidates.iter().filter(|(name, _)| is_member(name));
            members.any(|(_, member)| member.data_centre == c.data_centre)
        };
        let free = in_region(cell, candidates).filter(|(name, _)| !is_member(name));
        let best = free.min_by_key(|(name, c)| (taken(c), rank(cell, name)));
        match best {
            Some((name, _)) => backups.push(name.clone()),
            None => break,
        }
    }
    backups
}

/// Replaces a scheduler that is dead, has forgotten its claims, or leaves.
fn succeed(
    cell: &Cell,
    view: &View,
    holders: &[&id::Instance],
    candidates: &Candidates,
) -> Option<Plan> {
    let number = view.number.next();
    let staying = holders.iter().filter(|name| !leaves(name, candidates));
    let heir = staying.min_by_key(|name| rank(cell, name));
    if heir.is_none() && holders.contains(&&view.scheduler) {
        // Only leaving members hold the claims: a backup has to be synced before they may go.
        return grow(cell, view, candidates);
    }
    let heir = heir.or(holders.first());
    if let Some(scheduler) = heir {
        let stays = |name: &&id::Instance| name != scheduler && candidates.contains_key(*name);
        // A leaving scheduler stays as a backup until a new one is synced, since it holds all claims.
        let all = std::iter::once(&view.scheduler).chain(&view.backups);
        let backups = all
            .filter(stays)
            .filter(|n| holders.contains(n))
            .cloned()
            .collect();
        let view = View::new(number, (*scheduler).clone(), backups);
        let cause = "the scheduler died, restarted or leaves";
        return Some(Plan {
            view,
            cause,
            claims_lost: false,
        });
    }
    let plan = first(cell, candidates)?;
    let view = View {
        number,
        ..plan.view
    };
    Some(Plan {
        view,
        cause: "every holder of the claims was lost",
        claims_lost: true,
    })
}

/// Drops dead backups at once; adds new ones, and lets leaving ones go, only from a synced view.
fn repair(cell: &Cell, view: &View, members: &Members, candidates: &Candidates) -> Option<Plan> {
    let alive = |name: &&id::Instance| is_same_start(name, members, candidates);
    let backups: Vec<id::Instance> = view.backups.iter().filter(alive).cloned().collect();
    if backups.len() < view.backups.len() {
        let view = View::new(view.number.next(), view.scheduler.clone(), backups);
        return Some(Plan {
            view,
            cause: "a backup died or restarted",
            claims_lost: false,
        });
    }
    let scheduler = candidates.get(&view.scheduler);
    if scheduler.and_then(|candidate| candidate.holds) != Some(view.number) {
        return None;
    }
    let staying: Vec<id::Instance> = backups
        .iter()
        .filter(|name| !leaves(name, candidates))
        .cloned()
        .collect();
    let wanted = fill(cell, &view.scheduler, staying, candidates);
    let adds = wanted.iter().any(|name| !view.backups.contains(name));
    if !adds && wanted.len() == view.backups.len() {
        return None;
    }
    let cause = if adds {
        "a backup is added"
    } else {
        "a backup leaves"
    };
    let view = View::new(view.number.next(), view.scheduler.clone(), wanted);
    Some(Plan {
        view,
        cause,
        claims_lost: false,
    })
}

/// Adds a backup to a view whose scheduler leaves and has nobody to hand over to.
fn grow(cell: &Cell, view: &View, candidates: &Candidates) -> Option<Plan> {
    let backups = fill(cell, &view.scheduler, view.backups.clone(), candidates);
    if backups.len() == view.backups.len() {
        return None;
    }
    let view = View::new(view.number.next(), view.scheduler.clone(), backups);
    Some(Plan {
        view,
        cause: "the scheduler leaves and needs an heir",
        claims_lost: false,
    })
}

/// Who has been a member since when, once `next` follows the view of `members`.
pub fn joined(
    members: &Members,
    next: &View,
    incarnation: impl Fn(&id::Instance) -> u64,
) -> Members {
    let all = std::iter::once(&next.scheduler).chain(&next.backups);
    all.map(|name| {
        let incarnation = incarnation(name);
        let new = Joined {
            view: next.number,
            incarnation,
        };
        let known = members
            .get(name)
            .copied()
            .filter(|joined| joined.incarnation == incarnation);
        (name.clone(), known.unwrap_or(new))
    })
    .collect()
}
