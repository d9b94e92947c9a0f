//! Selection of the scheduler and the backups of each cell, such that no claim is lost.
//!
//! A grant of a request that must run at most once is first acknowledged by every backup of the
//! view, and a new member has to be synced before it can acknowledge. A member of the current view
//! that held all claims in some view since it joined therefore holds every claim that was ever
//! granted: in the views in which it was not synced, nothing could be granted without it.
//! `docs/DESIGN.md` has the full argument.

use std::collections::BTreeMap;

use gooseberrylb_config::directory::{Cell, View};
use gooseberrylb_config::id;
use gooseberrylb_config::number;
use serde::{Deserialize, Serialize};

/// Number of backups of a view, if there are enough instances.
pub const TARGET_BACKUPS: usize = 2;

/// Member of a cell's current view, with the start of its uninterrupted membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// First view of the uninterrupted membership.
    pub view: number::View,
    /// Incarnation of the instance when it joined; a restarted instance has lost its claims.
    pub incarnation: u64,
}

/// Members of a cell's current view, by instance.
pub type Members = BTreeMap<id::Instance, Member>;

/// Instance that can become or remain a member of a view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Start of the process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Data centre of the instance.
    pub data_centre: id::DataCentre,
    /// Region of the instance.
    pub region: id::Region,
    /// Whether the instance is leaving and should hand over its role.
    pub leaving: bool,
    /// Latest view of the cell in which the instance held all claims.
    pub holds: Option<number::View>,
}

/// Live instances.
pub type Candidates = BTreeMap<id::Instance, Candidate>;

/// View to install after the current one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Next view.
    pub view: View,
    /// Reason for the change, for the audit trail.
    pub cause: &'static str,
    /// Whether no instance that holds all claims is left.
    pub claims_lost: bool,
}

/// Returns the view that should follow `current`, or `None` if no change is needed.
pub fn plan(
    cell: &Cell,
    current: Option<(&View, &Members)>,
    candidates: &Candidates,
) -> Option<Plan> {
    let Some((view, members)) = current else {
        return plan_first(cell, candidates);
    };
    let holders = holders(view, members, candidates);
    let holds_claims = |name: &id::Instance| holders.contains(&name);
    if is_forming(view, members, candidates) {
        return plan_backups(cell, view, members, candidates);
    }
    if !holds_claims(&view.scheduler) || is_leaving(&view.scheduler, candidates) {
        return plan_succession(cell, view, &holders, candidates);
    }
    plan_backups(cell, view, members, candidates)
}

/// Returns the rank of an instance for a cell; the lowest rank is preferred.
///
/// The rank is a hash, so cells spread evenly over the instances and rarely move between them.
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

/// Whether a member is alive and has not restarted since it joined.
fn is_same_incarnation(name: &id::Instance, members: &Members, candidates: &Candidates) -> bool {
    match (members.get(name), candidates.get(name)) {
        (Some(member), Some(candidate)) => member.incarnation == candidate.incarnation,
        _ => false,
    }
}

fn is_leaving(name: &id::Instance, candidates: &Candidates) -> bool {
    candidates
        .get(name)
        .is_some_and(|candidate| candidate.leaving)
}

/// Returns the live members of the view that hold every claim.
fn holders<'a>(
    view: &'a View,
    members: &Members,
    candidates: &Candidates,
) -> Vec<&'a id::Instance> {
    let all = std::iter::once(&view.scheduler).chain(&view.backups);
    all.filter(|name| {
        let since = members.get(name).map(|member| member.view);
        let holds = candidates.get(name).and_then(|candidate| candidate.holds);
        is_same_incarnation(name, members, candidates) && since.is_some() && holds >= since
    })
    .collect()
}

/// Whether the scheduler is alive, not leaving, and joined with this view.
///
/// Such a scheduler started without claims, and may not have synced its backups yet.
fn is_forming(view: &View, members: &Members, candidates: &Candidates) -> bool {
    let joined_view = members.get(&view.scheduler).map(|member| member.view);
    joined_view == Some(view.number)
        && is_same_incarnation(&view.scheduler, members, candidates)
        && !is_leaving(&view.scheduler, candidates)
}

/// Returns the candidates in the cell's region that are not leaving.
fn in_region<'a>(
    cell: &'a Cell,
    candidates: &'a Candidates,
) -> impl Iterator<Item = (&'a id::Instance, &'a Candidate)> {
    candidates
        .iter()
        .filter(|(_, c)| c.region == cell.region && !c.leaving)
}

/// Plans the first view of a cell.
fn plan_first(cell: &Cell, candidates: &Candidates) -> Option<Plan> {
    let (scheduler, _) = in_region(cell, candidates).min_by_key(|(name, _)| rank(cell, name))?;
    let view = View::new(
        number::View(1),
        scheduler.clone(),
        fill_backups(cell, scheduler, Vec::new(), candidates),
    );
    Some(Plan {
        view,
        cause: "the service has no scheduler yet",
        claims_lost: false,
    })
}

/// Adds backups up to [`TARGET_BACKUPS`], preferably from data centres without a member.
fn fill_backups(
    cell: &Cell,
    scheduler: &id::Instance,
    mut backups: Vec<id::Instance>,
    candidates: &Candidates,
) -> Vec<id::Instance> {
    while backups.len() < TARGET_BACKUPS {
        let is_member = |name: &id::Instance| name == scheduler || backups.contains(name);
        let shares_data_centre = |c: &Candidate| {
            let mut members = candidates.iter().filter(|(name, _)| is_member(name));
            members.any(|(_, member)| member.data_centre == c.data_centre)
        };
        let free = in_region(cell, candidates).filter(|(name, _)| !is_member(name));
        let best = free.min_by_key(|(name, c)| (shares_data_centre(c), rank(cell, name)));
        match best {
            Some((name, _)) => backups.push(name.clone()),
            None => break,
        }
    }
    backups
}

/// Replaces a scheduler that is dead, has lost its claims, or is leaving.
fn plan_succession(
    cell: &Cell,
    view: &View,
    holders: &[&id::Instance],
    candidates: &Candidates,
) -> Option<Plan> {
    let number = view.number.next();
    let staying = holders.iter().filter(|name| !is_leaving(name, candidates));
    let successor = staying.min_by_key(|name| rank(cell, name));
    if successor.is_none() && holders.contains(&&view.scheduler) {
        // Only leaving members hold the claims: a new backup has to be synced before they leave.
        return add_backup(cell, view, candidates);
    }
    let successor = successor.or(holders.first());
    if let Some(scheduler) = successor {
        let stays = |name: &&id::Instance| name != scheduler && candidates.contains_key(*name);
        // A leaving scheduler holds all claims, so it stays a backup until a new one is synced.
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
    let plan = plan_first(cell, candidates)?;
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

/// Plans changes of the backups.
///
/// Dead backups are dropped at once. Backups are added, and leaving ones removed, only once the
/// current view is synced.
fn plan_backups(
    cell: &Cell,
    view: &View,
    members: &Members,
    candidates: &Candidates,
) -> Option<Plan> {
    let alive = |name: &&id::Instance| is_same_incarnation(name, members, candidates);
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
        .filter(|name| !is_leaving(name, candidates))
        .cloned()
        .collect();
    let wanted = fill_backups(cell, &view.scheduler, staying, candidates);
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

/// Adds backups to a view whose scheduler is leaving and has no successor.
fn add_backup(cell: &Cell, view: &View, candidates: &Candidates) -> Option<Plan> {
    let backups = fill_backups(cell, &view.scheduler, view.backups.clone(), candidates);
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

/// Returns the members of `next`, the view that follows the one of `members`.
///
/// An instance that stays a member without a restart keeps its entry.
pub fn next_members(
    members: &Members,
    next: &View,
    incarnation: impl Fn(&id::Instance) -> u64,
) -> Members {
    let all = std::iter::once(&next.scheduler).chain(&next.backups);
    all.map(|name| {
        let incarnation = incarnation(name);
        let new = Member {
            view: next.number,
            incarnation,
        };
        let known = members
            .get(name)
            .copied()
            .filter(|member| member.incarnation == incarnation);
        (name.clone(), known.unwrap_or(new))
    })
    .collect()
}
