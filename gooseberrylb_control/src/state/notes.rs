//! Release notes: submission, validation and retention.

use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::answer::report::{Change, Direction};
use gooseberrylb_config::answer::{Item, Progress};
use gooseberrylb_config::directory::{Directory, Share};
use gooseberrylb_config::finding::Findings;
use gooseberrylb_config::{id, note};
use serde::{Deserialize, Serialize};

use super::audit::Kind;
use super::steps::is_running;
use super::{Acceptance, Reply, State};

/// Maximum number of retained notes.
///
/// Notes are retained to be read back and to distinguish a resend from a conflict.
pub const MAX_NOTES: usize = 5_000;

/// Accepted note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Acceptance of the note.
    pub acceptance: Acceptance,
    /// Items of the note and their progress.
    pub items: Vec<Item>,
}

impl Record {
    /// Returns the progress of the note as a whole.
    pub fn progress(&self) -> Progress {
        let any = |state| self.items.iter().any(|item| item.state == state);
        if any(Progress::Moving) {
            Progress::Moving
        } else if any(Progress::Reverted) {
            Progress::Reverted
        } else {
            Progress::Done
        }
    }
}

impl State {
    /// Accepts a note, or records in the audit trail why it is refused.
    ///
    /// A resend of an accepted note gets the original acceptance.
    pub(super) fn submit(
        &mut self,
        note: &note::Note,
        via: &id::Instance,
        at: SystemTime,
    ) -> Reply {
        let digest = note.digest();
        if let Some(record) = self.notes.get(&note.note) {
            let acceptance = record.acceptance.clone();
            if acceptance.digest == digest {
                return Reply::Accepted(acceptance);
            }
            let cause = format!(
                "the number was taken by {} with digest {}; this content has digest {digest}",
                acceptance.author, acceptance.digest
            );
            self.refuse(note, at, cause);
            return Reply::Conflict(acceptance);
        }
        let findings = self.check(note, at);
        if !findings.is_empty() {
            let cause = format!("submitted at {via}: {findings}");
            self.refuse(note, at, cause);
            return Reply::Invalid(findings);
        }
        self.accept(note, digest, via, at)
    }

    /// Returns all findings against `note`, so that they can be reported before it is proposed.
    pub fn check(&self, note: &note::Note, at: SystemTime) -> Findings {
        let mut findings = Findings::new();
        if note.note <= self.forgotten {
            let message = format!("numbers up to {} are used up", self.forgotten);
            findings.add("note", message);
        }
        findings.extend(self.directory.check(note, at, &self.running_moves()));
        for (i, version) in note.added.versions.iter().enumerate() {
            let unknown = !self.directory.versions.contains_key(&version.name);
            if let Some(earlier) = self.moves.get(&version.name).filter(|_| unknown) {
                let message = format!(
                    "{} named a version of note {}; a name stands for one version for good",
                    version.name, earlier.note
                );
                findings.add(format!("added.versions[{i}].name"), message);
            }
        }
        findings
    }

    /// Adds the refusal of a note to the audit trail.
    fn refuse(&mut self, note: &note::Note, at: SystemTime, cause: String) {
        let subject = format!("note {}", note.note);
        let author = note.author.as_str();
        self.audit
            .add(at, author, Kind::NoteRefused, subject, cause);
    }

    /// Applies a valid note to the configuration and plans its moves.
    fn accept(
        &mut self,
        note: &note::Note,
        digest: note::Digest,
        via: &id::Instance,
        at: SystemTime,
    ) -> Reply {
        self.retire_views(&note.withdrawn);
        let before = std::mem::take(&mut self.directory);
        self.directory = before.with_note(note);
        self.increment_revision();
        for version in &note.withdrawn.versions {
            self.end_move(version, note.note, at);
        }
        for version in &note.added.versions {
            self.plan_move(version, note.note, at);
        }
        self.update_deadlines(&note.changed);
        self.record_shares(&before, note, at);
        let acceptance = Acceptance {
            note: note.note,
            revision: self.directory.revision,
            digest,
            author: note.author.clone(),
            at,
        };
        let record = Record {
            acceptance: acceptance.clone(),
            items: note_items(note, at),
        };
        self.notes.insert(note.note, record);
        self.evict_notes();
        let subject = format!("note {}", note.note);
        let cause = format!(
            "submitted at {via}, revision {}, digest {}",
            acceptance.revision, acceptance.digest
        );
        let author = note.author.as_str();
        self.audit
            .add(at, author, Kind::NoteAccepted, subject, cause);
        Reply::Accepted(acceptance)
    }

    /// Retains the numbers of the last views of withdrawn services.
    fn retire_views(&mut self, withdrawn: &note::Withdrawals) {
        let views = &self.directory.views;
        let withdrawn_views = views
            .iter()
            .filter(|(cell, _)| withdrawn.services.contains(&cell.service));
        for (cell, view) in withdrawn_views {
            self.retired_views.retain(|(other, _)| other != cell);
            self.retired_views.push((cell.clone(), view.number));
        }
    }

    /// Updates the deadlines of running moves that the note changes.
    fn update_deadlines(&mut self, changed: &note::Changes) {
        for version in &changed.versions {
            let Some(current) = self.moves.get_mut(&version.name) else {
                continue;
            };
            let Some(move_by) = version.move_by.filter(|_| is_running(current.phase)) else {
                continue;
            };
            current.move_by = move_by;
            let current = current.clone();
            self.update_item(&current);
        }
    }

    /// Records the share changes that result directly from the note.
    fn record_shares(&mut self, before: &Directory, note: &note::Note, at: SystemTime) {
        let reason: Arc<str> = Arc::from(format!("note {}", note.note));
        let versions = self.directory.versions.values();
        let withdrawn = note.withdrawn.versions.iter();
        let withdrawn = withdrawn.filter_map(|name| before.versions.get(name));
        let changes: Vec<Change> = versions
            .chain(withdrawn)
            .filter_map(|version| {
                let old = before.share(&version.name);
                let share = self.directory.share(&version.name);
                let direction = match share.cmp(&old) {
                    std::cmp::Ordering::Greater => Direction::Took,
                    std::cmp::Ordering::Less => Direction::GaveBack,
                    std::cmp::Ordering::Equal => return None,
                };
                Some(Change {
                    at,
                    service: version.service.clone(),
                    version: version.name.clone(),
                    replaces: version.replaces.clone(),
                    direction,
                    share,
                    reason: reason.clone(),
                })
            })
            .collect();
        for change in changes {
            self.reports.record(change);
        }
    }

    /// Drops the notes with the lowest numbers, down to [`MAX_NOTES`].
    ///
    /// A note with a running move is kept. Numbers up to the highest dropped one are no longer
    /// accepted.
    fn evict_notes(&mut self) {
        while self.notes.len() > MAX_NOTES {
            let is_settled = |record: &&Record| record.progress() != Progress::Moving;
            let Some(record) = self.notes.values().find(is_settled) else {
                return;
            };
            let number = record.acceptance.note;
            self.notes.remove(&number);
            self.forgotten = self.forgotten.max(number);
            let versions = &self.directory.versions;
            self.moves
                .retain(|name, current| current.note != number || versions.contains_key(name));
        }
    }
}

/// Returns the items of a note as of its acceptance.
fn note_items(note: &note::Note, at: SystemTime) -> Vec<Item> {
    let mut items = Vec::new();
    push_described("added", &note.added, at, &mut items);
    push_described("changed", &note.changed, at, &mut items);
    let withdrawn = &note.withdrawn;
    let mut push = |kind: &str, name: &str| items.push(completed_item("withdrawn", kind, name, at));
    for name in &withdrawn.services {
        push("service", name.as_str());
    }
    for name in &withdrawn.client_accounts {
        push("client account", name.as_str());
    }
    for name in &withdrawn.models {
        push("model", name.as_str());
    }
    for name in &withdrawn.adapters {
        push("adapter", name.as_str());
    }
    for name in &withdrawn.upstreams {
        push("upstream", name.as_str());
    }
    for name in &withdrawn.versions {
        push("version", name.as_str());
    }
    items
}

/// Appends the items of one part of a note that describes things.
fn push_described(part: &str, changes: &note::Changes, at: SystemTime, items: &mut Vec<Item>) {
    let mut push = |kind: &str, name: &str| items.push(completed_item(part, kind, name, at));
    for service in &changes.services {
        push("service", service.name.as_str());
    }
    for account in &changes.client_accounts {
        push("client account", account.name.as_str());
    }
    for model in &changes.models {
        push("model", model.name.as_str());
    }
    for adapter in &changes.adapters {
        push("adapter", adapter.name.as_str());
    }
    for upstream in &changes.upstreams {
        push("upstream", upstream.name.as_str());
    }
    for version in &changes.versions {
        let mut item = completed_item(part, "version", version.name.as_str(), at);
        if part == "added" && version.replaces.is_some() {
            item.state = Progress::Moving;
            item.reason = Arc::from("accepted");
            item.share = Some(Share::NONE);
            item.phase = Some(Arc::from("planned"));
            item.step = Some(0);
            item.move_by = version.move_by;
        }
        items.push(item);
    }
}

/// Returns an item that is completed by the acceptance of the note.
fn completed_item(part: &str, kind: &str, name: &str, at: SystemTime) -> Item {
    Item {
        what: Arc::from(format!("{part} {kind}")),
        name: Arc::from(name),
        state: Progress::Done,
        reason: Arc::from("in the configuration with the note's revision"),
        share: None,
        phase: None,
        step: None,
        move_by: None,
        since: at,
    }
}
