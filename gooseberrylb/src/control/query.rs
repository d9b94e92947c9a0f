//! Answers operators' queries from the replicated state.

use std::sync::Arc;

use gooseberrylb_config::answer::report::Filter;
use gooseberrylb_config::answer::status;
use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::{id, number};
use gooseberrylb_control::consensus::Role;
use serde::{Deserialize, Serialize};

use super::core::Core;
use super::dispatch::placement;
use super::lead;

/// Query of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// One release note, by number.
    Note(number::Note),
    /// All release notes.
    Notes,
    /// Request and token counts by client account, tier, service and version.
    Report(Filter),
    /// Entries of the audit trail after a given one.
    Audit {
        /// Sequence number of the entry before the first one returned.
        after: u64,
        /// Maximum number of entries returned.
        limit: usize,
    },
    /// Status of the system as seen by the instance that answers.
    Status,
    /// Declaration in force, as it was received.
    Declaration,
    /// Upstreams listed by the platform.
    Upstreams,
    /// Last rollout of each service.
    Rollouts,
    /// Data centres, and which of them are evacuated.
    Evacuations,
    /// Where a request would go now.
    Placement(placement::Question),
}

/// Answer to a [`Question`], as JSON of the operators' interface.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Body of the answer.
    Found(Arc<str>),
    /// The requested item does not exist.
    Missing,
}

/// Returns `value` encoded as an answer.
fn found<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_string(value) {
        Ok(text) => Answer::Found(text.into()),
        Err(error) => {
            log::error!("encoding an answer to an operator failed: {error}");
            Answer::Missing
        }
    }
}

/// Returns the answer to a question from this instance's state.
pub fn answer(core: &Core, question: &Question) -> Answer {
    let state = core.state.borrow();
    match question {
        Question::Note(number) => match state.note(*number, number::Revision(0)) {
            Some(mut note) => {
                note.in_force = lead::is_in_force(core, note.revision);
                found(&note)
            }
            None => Answer::Missing,
        },
        Question::Notes => {
            let mut notes = state.notes(number::Revision(0));
            for note in &mut notes.notes {
                note.in_force = lead::is_in_force(core, note.revision);
            }
            found(&notes)
        }
        Question::Report(filter) => found(&state.report(filter)),
        Question::Audit { after, limit } => found(&state.audit(*after, *limit)),
        Question::Status => found(&status(core)),
        Question::Rollouts => found(&state.directory().rollouts),
        Question::Placement(question) => {
            drop(state);
            found(&core.dispatch.explain(core, question))
        }
        Question::Evacuations => found(&super::evacuation::overview(&state)),
        Question::Upstreams => found(&state.directory().listed),
        Question::Declaration => match &state.directory().declaration {
            Some(text) => Answer::Found(text.source().clone()),
            None => Answer::Missing,
        },
    }
}

/// Returns the status of the system as seen by this instance.
pub fn status(core: &Core) -> status::Status {
    let published = core.published();
    let directory = core.feed.borrow().directory().clone();
    let node = core.status();
    let role = node.as_ref().map(|node| &node.role);
    status::Status {
        instance: core.identity.name.clone(),
        role: role_name(role).into(),
        leader: published.leader.clone().or_else(|| core.known_leader()),
        term: node
            .as_ref()
            .map_or(published.term, |node| node.term.max(published.term)),
        committed: node
            .as_ref()
            .map_or(number::Index(0), |node| node.committed),
        revision: directory.revision,
        fresh: published.is_fresh(core.clock.now()),
        instances: instances(core, &directory),
        voters: voters(core),
        losses_borne: super::voters::losses_borne(core),
        views: views(&directory),
        moves: moves(core),
    }
}

fn role_name(role: Option<&Role>) -> &'static str {
    match role {
        None => "learner",
        Some(Role::Unformed) => "unformed",
        Some(Role::Follower { .. }) => "follower",
        Some(Role::Candidate) => "candidate",
        Some(Role::Leader) => "leader",
    }
}

fn instances(core: &Core, directory: &Directory) -> Vec<status::Instance> {
    let voters = core
        .status()
        .map(|node| node.membership.voters)
        .unwrap_or_default();
    let followers = core.followers.borrow();
    let known = directory.instances.iter();
    known
        .map(|(name, instance)| status::Instance {
            name: name.clone(),
            data_centre: instance.data_centre.clone(),
            region: instance.region.clone(),
            callers: instance.callers,
            operators: instance.operators,
            leaving: instance.leaving,
            voter: voters.contains_key(name),
            revision: followers.get(name).map(|follower| follower.report.revision),
        })
        .collect()
}

fn voters(core: &Core) -> Vec<id::Instance> {
    let membership = core.status().map(|node| node.membership);
    membership
        .map(|known| known.voters.into_keys().collect())
        .unwrap_or_default()
}

fn views(directory: &Directory) -> Vec<status::View> {
    let known = directory.views.iter();
    known
        .map(|(cell, view)| status::View {
            service: cell.service.clone(),
            region: cell.region.clone(),
            view: view.number,
            scheduler: view.scheduler.clone(),
            backups: view.backups.clone(),
        })
        .collect()
}

fn moves(core: &Core) -> Vec<status::Move> {
    let state = core.state.borrow();
    let open = state.open_moves();
    open.map(|known| status::Move {
        note: known.note,
        service: known.service.clone(),
        version: known.version.clone(),
        replaces: known.replaces.clone(),
        phase: known.phase.to_string().into(),
        share: known.share,
        move_by: known.move_by,
        reason: known.reason.clone(),
    })
    .collect()
}
