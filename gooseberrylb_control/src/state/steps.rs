//! Steps of moves.

use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::answer::Progress;
use gooseberrylb_config::answer::report::{Change, Direction};
use gooseberrylb_config::directory::{Moving, Share};
use gooseberrylb_config::{id, note, number};
use gooseberrylb_policy::moves::{Move, Phase, Step};

use super::audit::Kind;
use super::{Reply, State};

/// Whether a move in this phase may still take steps of its own accord.
pub(super) fn is_running(phase: Phase) -> bool {
    match phase {
        Phase::Planned | Phase::Canary | Phase::Ramping => true,
        Phase::Done | Phase::Reverted => false,
    }
}

/// The share that a move has in `phase`, whatever the step asks for.
fn share_in(phase: Phase, wanted: Share) -> Share {
    match phase {
        Phase::Planned | Phase::Reverted => Share::NONE,
        Phase::Canary | Phase::Ramping => wanted.min(Share::WHOLE),
        Phase::Done => Share::WHOLE,
    }
}

fn progress(phase: Phase) -> Progress {
    match phase {
        Phase::Planned | Phase::Canary | Phase::Ramping => Progress::Moving,
        Phase::Done => Progress::Done,
        Phase::Reverted => Progress::Reverted,
    }
}

impl State {
    /// The moves under way, as the check of a note wants them.
    pub(super) fn moving(&self) -> Vec<Moving> {
        self.moves
            .values()
            .filter(|known| is_running(known.phase))
            .map(|known| Moving {
                version: known.version.clone(),
                replaces: known.replaces.clone(),
            })
            .collect()
    }

    pub(super) fn step(&mut self, step: &Step) -> Reply {
        let Some(known) = self.moves.get(&step.version) else {
            return Reply::Stale;
        };
        if step.number != known.steps + 1 || !self.may_come_to(known, step.phase) {
            return Reply::Stale;
        }
        let share = share_in(step.phase, step.share);
        let mut next = known.clone();
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

    /// Whether a move may come to `phase`: a running one to any, one that is done back to the old
    /// version while that is still there and nothing else takes the new one's traffic.
    fn may_come_to(&self, known: &Move, phase: Phase) -> bool {
        let versions = &self.directory.versions;
        let present =
            versions.contains_key(&known.version) && versions.contains_key(&known.replaces);
        match known.phase {
            Phase::Planned | Phase::Canary | Phase::Ramping => present,
            Phase::Done => {
                let overtaken = self.moving().iter().any(|m| m.replaces == known.version);
                let whole = self.directory.share(&known.version) == Share::WHOLE;
                present && phase == Phase::Reverted && !overtaken && whole
            }
            Phase::Reverted => false,
        }
    }

    fn set_shares(&mut self, known: &Move) {
        let rest = Share(Share::WHOLE.0 - known.share.0);
        let shares = &mut self.directory.shares;
        shares.insert(known.version.clone(), known.share);
        shares.insert(known.replaces.clone(), rest);
        self.raise_revision();
    }

    fn record_share(&mut self, known: &Move, before: Share) {
        let direction = if known.share > before {
            Direction::Took
        } else {
            Direction::GaveBack
        };
        self.reports.record(Change {
            at: known.since,
            service: known.service.clone(),
            version: known.version.clone(),
            replaces: Some(known.replaces.clone()),
            direction,
            share: known.share,
            reason: known.reason.clone(),
        });
    }

    /// Brings the item of the note that asked for the move up to date.
    pub(super) fn update_item(&mut self, known: &Move) {
        let Some(record) = self.notes.get_mut(&known.note) else {
            return;
        };
        let name = known.version.as_str();
        let mut items = record.items.iter_mut();
        let of_move = items.find(|item| item.move_by.is_some() && &*item.name == name);
        if let Some(item) = of_move {
            item.state = progress(known.phase);
            item.reason = known.reason.clone();
            item.share = Some(known.share);
            item.phase = Some(Arc::from(known.phase.to_string()));
            item.step = Some(known.steps);
            item.move_by = Some(known.move_by);
            item.since = known.since;
        }
    }

    /// Plans the move that an added version asks for.
    pub(super) fn plan(&mut self, version: &note::Version, number: number::Note, at: SystemTime) {
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

    /// Ends the move of a version that a note withdraws.
    pub(super) fn end_move(&mut self, version: &id::Version, by: number::Note, at: SystemTime) {
        let Some(known) = self.moves.get_mut(version) else {
            return;
        };
        if !is_running(known.phase) {
            return;
        }
        known.phase = Phase::Reverted;
        known.share = Share::NONE;
        known.steps += 1;
        known.since = at;
        known.reason = Arc::from(format!("note {by} withdrew the version"));
        let ended = known.clone();
        self.update_item(&ended);
    }
}
