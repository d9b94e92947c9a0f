//! Release notes: accepted, answered again or refused.

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

/// The number of notes that are kept for read-back and to tell a resend from a conflict.
pub const KEPT_NOTES: usize = 5_000;

/// An accepted note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// How it was accepted.
    pub acceptance: Acceptance,
    /// What it holds, and what became of it.
    pub items: Vec<Item>,
}

impl Record {
    /// What became of the note as a whole.
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

    /// All that is wrong with submitting `note` now, so that it can be told before it is proposed.
    pub fn check(&self, note: &note::Note, at: SystemTime) -> Findings {
        let mut findings = Findings::new();
        if note.note <= self.forgotten {
            let message = format!("numbers up to {} are used up", self.forgotten);
            findings.add("note", message);
        }
        findings.extend(self.directory.check(note, at, &self.moving()));
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

    fn refuse(&mut self, note: &note::Note, at: SystemTime, cause: String) {
        let subject = format!("note {}", note.note);
        let author = note.author.as_str();
        self.audit
            .add(at, author, Kind::NoteRefused, subject, cause);
    }

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
        self.raise_revision();
        for version in &note.withdrawn.versions {
            self.end_move(version, note.note, at);
        }
        for version in &note.added.versions {
            self.plan(version, note.note, at);
        }
        self.change_deadlines(&note.changed);
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
            items: items(note, at),
        };
        self.notes.insert(note.note, record);
        self.forget_notes();
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

    fn retire_views(&mut self, withdrawn: &note::Withdrawals) {
        let views = &self.directory.views;
        let gone = views
            .iter()
            .filter(|(cell, _)| withdrawn.services.contains(&cell.service));
        for (cell, view) in gone {
            self.retired_views.retain(|(known, _)| known != cell);
            self.retired_views.push((cell.clone(), view.number));
        }
    }

    fn change_deadlines(&mut self, changed: &note::Changes) {
        for version in &changed.versions {
            let Some(known) = self.moves.get_mut(&version.name) else {
                continue;
            };
            let Some(move_by) = version.move_by.filter(|_| is_running(known.phase)) else {
                continue;
            };
            known.move_by = move_by;
            let known = known.clone();
            self.update_item(&known);
        }
    }

    /// Records the versions whose traffic the note itself changed.
    fn record_shares(&mut self, before: &Directory, note: &note::Note, at: SystemTime) {
        let reason: Arc<str> = Arc::from(format!("note {}", note.note));
        let versions = self.directory.versions.values();
        let gone = note.withdrawn.versions.iter();
        let gone = gone.filter_map(|name| before.versions.get(name));
        let changes: Vec<Change> = versions
            .chain(gone)
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

    /// Drops the notes of the lowest numbers where there are too many. A note whose move is under
    /// way stays, and a number below those dropped is not accepted any more.
    fn forget_notes(&mut self) {
        while self.notes.len() > KEPT_NOTES {
            let ended = |record: &&Record| record.progress() != Progress::Moving;
            let Some(record) = self.notes.values().find(ended) else {
                return;
            };
            let number = record.acceptance.note;
            self.notes.remove(&number);
            self.forgotten = self.forgotten.max(number);
            let versions = &self.directory.versions;
            self.moves
                .retain(|name, known| known.note != number || versions.contains_key(name));
        }
    }
}

fn items(note: &note::Note, at: SystemTime) -> Vec<Item> {
    let mut items = Vec::new();
    described("added", &note.added, at, &mut items);
    described("changed", &note.changed, at, &mut items);
    let withdrawn = &note.withdrawn;
    let mut gone = |kind: &str, name: &str| items.push(item("withdrawn", kind, name, at));
    for name in &withdrawn.services {
        gone("service", name.as_str());
    }
    for name in &withdrawn.client_accounts {
        gone("client account", name.as_str());
    }
    for name in &withdrawn.models {
        gone("model", name.as_str());
    }
    for name in &withdrawn.adapters {
        gone("adapter", name.as_str());
    }
    for name in &withdrawn.upstreams {
        gone("upstream", name.as_str());
    }
    for name in &withdrawn.versions {
        gone("version", name.as_str());
    }
    items
}

fn described(part: &str, changes: &note::Changes, at: SystemTime, items: &mut Vec<Item>) {
    let mut plain = |kind: &str, name: &str| items.push(item(part, kind, name, at));
    for service in &changes.services {
        plain("service", service.name.as_str());
    }
    for account in &changes.client_accounts {
        plain("client account", account.name.as_str());
    }
    for model in &changes.models {
        plain("model", model.name.as_str());
    }
    for adapter in &changes.adapters {
        plain("adapter", adapter.name.as_str());
    }
    for upstream in &changes.upstreams {
        plain("upstream", upstream.name.as_str());
    }
    for version in &changes.versions {
        let mut item = item(part, "version", version.name.as_str(), at);
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

/// An item that is done with the note's acceptance.
fn item(part: &str, kind: &str, name: &str, at: SystemTime) -> Item {
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
