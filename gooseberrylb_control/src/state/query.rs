//! Read access to the control state.

use gooseberrylb_config::answer::{self, Audit, Report, report};
use gooseberrylb_config::directory::{Cell, Directory};
use gooseberrylb_config::{id, number};
use gooseberrylb_policy::moves::{Move, Phase};

use super::instances::Member;
use super::notes::Record;
use super::{Leader, State};
use crate::views::Members;

impl State {
    /// Returns the index of the last applied log entry.
    pub fn applied(&self) -> number::Index {
        self.applied
    }

    /// Returns the current configuration.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the leader recorded in the log, if any.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Returns the number that the next view of a cell must have.
    pub fn next_view(&self, cell: &Cell) -> number::View {
        let current = self.directory.view(cell).map(|view| view.number);
        let retired = self.retired_views.iter().find(|(other, _)| other == cell);
        let retired = retired.map(|(_, number)| *number);
        current.max(retired).unwrap_or_default().next()
    }

    /// Returns the members of the cell's current view, if it has one.
    pub fn view_members(&self, cell: &Cell) -> Option<&Members> {
        let mut entries = self.view_members.iter();
        entries
            .find(|(other, _)| other == cell)
            .map(|(_, members)| members)
    }

    /// Returns the incarnation of an instance that has joined and not left.
    pub fn incarnation(&self, name: &id::Instance) -> Option<u64> {
        let member = self.members.get(name)?;
        member.left.is_none().then_some(member.incarnation)
    }

    /// Returns the instances that have joined, including those that have left.
    pub fn members(&self) -> impl Iterator<Item = (&id::Instance, &Member)> {
        self.members.iter()
    }

    /// Returns all retained moves, ordered by the version that takes over the traffic.
    pub fn moves(&self) -> impl Iterator<Item = &Move> {
        self.moves.values()
    }

    /// Returns the moves that may take a step: running ones, and completed ones whose old version
    /// still exists and can take the traffic back.
    pub fn open_moves(&self) -> impl Iterator<Item = &Move> {
        self.moves.values().filter(|current| {
            let versions = &self.directory.versions;
            let versions_exist =
                versions.contains_key(&current.version) && versions.contains_key(&current.replaces);
            versions_exist && current.phase != Phase::Reverted
        })
    }

    /// Returns an accepted note.
    ///
    /// `in_force` is the revision that every live instance routes by.
    pub fn note(&self, number: number::Note, in_force: number::Revision) -> Option<answer::Note> {
        let record = self.notes.get(&number)?;
        let acceptance = &record.acceptance;
        Some(answer::Note {
            note: acceptance.note,
            author: acceptance.author.clone(),
            at: acceptance.at,
            revision: acceptance.revision,
            digest: acceptance.digest.clone(),
            state: record.progress(),
            in_force: acceptance.revision <= in_force,
            items: record.items.clone(),
        })
    }

    /// Returns summaries of the accepted notes; see [`State::note`] for `in_force`.
    pub fn notes(&self, in_force: number::Revision) -> answer::Notes {
        let summary = |record: &Record| answer::Summary {
            note: record.acceptance.note,
            author: record.acceptance.author.clone(),
            at: record.acceptance.at,
            revision: record.acceptance.revision,
            state: record.progress(),
            in_force: record.acceptance.revision <= in_force,
        };
        answer::Notes {
            notes: self.notes.values().map(summary).collect(),
        }
    }

    /// Returns at most `limit` entries of the audit trail that follow the one with number `after`.
    pub fn audit(&self, after: u64, limit: usize) -> Audit {
        self.audit.read(after, limit)
    }

    /// Returns the usage report for `filter`.
    pub fn report(&self, filter: &report::Filter) -> Report {
        self.reports.query(filter)
    }
}
