//! What is read from the control state.

use gooseberrylb_config::answer::{self, Audit, Report, report};
use gooseberrylb_config::directory::{Cell, Directory};
use gooseberrylb_config::{id, number};
use gooseberrylb_policy::moves::{Move, Phase};

use super::instances::Member;
use super::notes::Record;
use super::{Leader, State};
use crate::views::Members;

impl State {
    /// The last entry of the log that the state holds.
    pub fn applied(&self) -> number::Index {
        self.applied
    }

    /// The configuration.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The leader that the log knows of.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The number that the next view of a domain must have.
    pub fn next_view(&self, cell: &Cell) -> number::View {
        let current = self.directory.view(cell).map(|view| view.number);
        let retired = self.retired_views.iter().find(|(known, _)| known == cell);
        let retired = retired.map(|(_, number)| *number);
        current.max(retired).unwrap_or_default().next()
    }

    /// Since when each instance has been a member of the cell's current view.
    pub fn view_members(&self, cell: &Cell) -> Option<&Members> {
        let mut known = self.view_members.iter();
        known.find(|(of, _)| of == cell).map(|(_, members)| members)
    }

    /// The start of an instance that has joined and not left.
    pub fn incarnation(&self, name: &id::Instance) -> Option<u64> {
        let member = self.members.get(name)?;
        member.left.is_none().then_some(member.incarnation)
    }

    /// The instances that have joined, those that have left too.
    pub fn members(&self) -> impl Iterator<Item = (&id::Instance, &Member)> {
        self.members.iter()
    }

    /// All moves that are remembered, by the version that takes traffic.
    pub fn moves(&self) -> impl Iterator<Item = &Move> {
        self.moves.values()
    }

    /// The moves that may take a step: those under way, and those done whose old version is still
    /// there to take the traffic back.
    pub fn open_moves(&self) -> impl Iterator<Item = &Move> {
        self.moves.values().filter(|known| {
            let versions = &self.directory.versions;
            let present =
                versions.contains_key(&known.version) && versions.contains_key(&known.replaces);
            present && known.phase != Phase::Reverted
        })
    }

    /// An accepted note, where `in_force` is the revision that every live instance routes by.
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

    /// The accepted notes.
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

    /// At most `limit` entries of the audit trail behind the one of number `after`.
    pub fn audit(&self, after: u64, limit: usize) -> Audit {
        self.audit.read(after, limit)
    }

    /// Who got what.
    pub fn report(&self, filter: &report::Filter) -> Report {
        self.reports.read(filter)
    }
}
