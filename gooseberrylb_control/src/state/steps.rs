//! Moves of traffic between versions, and their steps.

use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::answer::Progress;
use gooseberrylb_config::answer::report::{Change, Direction};
use gooseberrylb_config::directory::{ActiveMove, Share};
use gooseberrylb_config::{id, note, number};
use gooseberrylb_policy::moves::{Move, Phase, Step};

use super::audit::Kind;
use super::{Reply, State};

/// Whether a move in this phase is still running.
pub(super) fn is_running(phase: Phase) -> bool {
    match phase {
        Phase::Planned | Phase::Canary | Phase::Ramping => true,
        Phase::Done | Phase::Reverted => false,
    }
}

/// Returns the share of the new version in `phase`, given the share that the step asks for.
fn effective_share(phase: Phase, wanted: Share) -> Share {
    match phase {
        Phase::Planned | Phase::Reverted => Share::NONE,
        Phase::Canary | Phase::Ramping => wanted.min(Share::WHOLE),
        Phase::Done => Share::WHOLE,
    }
}

/// Returns the progress that is reported for a move in `phase`.
fn progress(phase: Phase) -> Progress {
    match phase {
        Phase::Planned | Phase::Canary | Phase::Ramping => Progress::Moving,
        Phase::Done => Progress::Done,
        Phase::Reverted => Progress::Reverted,
    }
}

impl State {
    /// Returns the running moves, in the form needed to check a note.
    pub(super) fn running_moves(&self) -> Vec<ActiveMove> {
        self.moves
            .values()
            .filter(|current| is_running(current.phase))
            .map(|current| ActiveMove {
                version: current.version.clone(),
                replaces: current.replaces.clone(),
            })
            .collect()
    }

    /// Applies the next step of a move.
    pub(super) fn step_move(&mut self, step: &Step) -> Reply {
        let Some(current) = self.moves.get(&step.version) else {
            return Reply::Stale;
        };
        if step.number != current.steps + 1 || !self.may_enter(current, step.phase) {
            return Reply::Stale;
        }
        let share = effective_share(step.phase, step.share);
        let mut next = current.clone();
        let before = next.share;
        next.phase = step.phase;
        next.share = share;
        next.steps = step.number;
        next.since = step.at;
        next.reason = step.reason.clone();
        self.moves.insert(step.version.clone(), next.clone());
        if share != before {
            self.set_shares(&next);
            self.record_share(&next, before);
        }
        self.update_item(&next);
        let subject = format!("version {}", step.version);
        let cause = format!(
            "step {}, {}, share {}: {}",
            step.number, step.phase, share, step.reason
        );
        let actor = self.leader_name();
        self.audit
            .add(step.at, actor, Kind::MoveStep, subject, cause);
        Reply::Applied
    }

    /// Whether a move may enter `phase`.
    ///
    /// A running move may enter any phase. A completed one may only be reverted, as long as the old
    /// version still exists and no other version takes over the traffic of the new one.
    fn may_enter(&self, current: &Move, phase: Phase) -> bool {
        let versions = &self.directory.versions;
        let versions_exist =
            versions.contains_key(&current.version) && versions.contains_key(&current.replaces);
        match current.phase {
            Phase::Planned | Phase::Canary | Phase::Ramping => versions_exist,
            Phase::Done => {
                let superseded = self
                    .running_moves()
                    .iter()
                    .any(|m| m.replaces == current.version);
                let has_whole_share = self.directory.share(&current.version) == Share::WHOLE;
                versions_exist && phase == Phase::Reverted && !superseded && has_whole_share
            }
            Phase::Reverted => false,
        }
    }

    /// Sets the shares of both versions of a move in the configuration.
    fn set_shares(&mut self, current: &Move) {
        let rest = Share(Share::WHOLE.0 - current.share.0);
        let shares = &mut self.directory.shares;
        shares.insert(current.version.clone(), current.share);
        shares.insert(current.replaces.clone(), rest);
        self.increment_revision();
    }

    /// Records a share change of a move for reports.
    fn record_share(&mut self, current: &Move, before: Share) {
        let direction = if current.share > before {
            Direction::Took
        } else {
            Direction::GaveBack
        };
        self.reports.record(Change {
            at: current.since,
            service: current.service.clone(),
            version: current.version.clone(),
            replaces: Some(current.replaces.clone()),
            direction,
            share: current.share,
            reason: current.reason.clone(),
        });
    }

    /// Updates the item of the note that requested the move.
    pub(super) fn update_item(&mut self, current: &Move) {
        let Some(record) = self.notes.get_mut(&current.note) else {
            return;
        };
        let name = current.version.as_str();
        let mut items = record.items.iter_mut();
        let of_move = items.find(|item| item.move_by.is_some() && &*item.name == name);
        if let Some(item) = of_move {
            item.state = progress(current.phase);
            item.reason = current.reason.clone();
            item.share = Some(current.share);
            item.phase = Some(Arc::from(current.phase.to_string()));
            item.step = Some(current.steps);
            item.move_by = Some(current.move_by);
            item.since = current.since;
        }
    }

    /// Plans the move that an added version requests, if any.
    pub(super) fn plan_move(
        &mut self,
        version: &note::Version,
        number: number::Note,
        at: SystemTime,
    ) {
        let (Some(replaces), Some(move_by)) = (&version.replaces, version.move_by) else {
            return;
        };
        let planned = Move {
            note: number,
            service: version.service.clone(),
            version: version.name.clone(),
            replaces: replaces.clone(),
            move_by,
            accepted: at,
            phase: Phase::Planned,
            share: Share::NONE,
            steps: 0,
            since: at,
            reason: Arc::from("accepted"),
        };
        self.moves.insert(version.name.clone(), planned);
    }

    /// Reverts the running move of a version that a note withdraws.
    pub(super) fn end_move(&mut self, version: &id::Version, by: number::Note, at: SystemTime) {
        let Some(current) = self.moves.get_mut(version) else {
            return;
        };
        if !is_running(current.phase) {
            return;
        }
        current.phase = Phase::Reverted;
        current.share = Share::NONE;
        current.steps += 1;
        current.since = at;
        current.reason = Arc::from(format!("note {by} withdrew the version"));
        let ended = current.clone();
        self.update_item(&ended);
    }
}
