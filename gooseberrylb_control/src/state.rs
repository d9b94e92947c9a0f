//! The replicated control state: a pure function of the commands in log order.
//!
//! Every voter and learner applies the same entries and therefore holds the same state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use gooseberrylb_config::declaration;
use gooseberrylb_config::directory;
use gooseberrylb_config::directory::evacuation;
use gooseberrylb_config::directory::rollout;
use gooseberrylb_config::finding::Findings;
use gooseberrylb_config::id;
use gooseberrylb_config::note;
use gooseberrylb_config::number;
use gooseberrylb_policy::moves;
use gooseberrylb_policy::request::Outcome;
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Payload};
use crate::membership::Membership;
use crate::views;

pub mod audit;
mod codec;
mod declared;
mod evacuations;
pub mod instances;
pub mod notes;
mod query;
pub mod report;
mod rows;
mod steps;

pub use codec::Error;

/// Command carried by a log entry.
///
/// Commands are encoded as JSON, so that later releases can read them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Submits a release note from an operator.
    Submit {
        /// Submitted note.
        note: Box<note::Note>,
        /// Instance that received the submission.
        via: id::Instance,
        /// Time at which the leader received the note.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// Records that an instance started or that its addresses changed.
    Join {
        /// Name of the instance.
        name: id::Instance,
        /// Description of the instance.
        instance: directory::Instance,
        /// Start of the process, in milliseconds since 1970.
        incarnation: u64,
        /// Time at which the leader learned of the start or change.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// Records that an instance is leaving, has left or died.
    Leave {
        /// Name of the instance.
        name: id::Instance,
        /// Incarnation that leaves; a later one is not affected.
        incarnation: u64,
        /// Whether the instance still serves its requests in flight.
        draining: bool,
        /// Reason, for the audit trail.
        cause: Arc<str>,
        /// Time of the leader's decision.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// Changes the scheduler or the backups of a cell.
    ///
    /// Applied only if the number of the view is the next one.
    View {
        /// Service and region.
        cell: directory::Cell,
        /// New view.
        view: directory::View,
        /// Reason, for the audit trail.
        cause: Arc<str>,
        /// Time of the leader's decision.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// Takes a step of a move; applied only if its number is the next one.
    Step(moves::Step),
    /// Records a new leader.
    Lead {
        /// Elected leader.
        leader: id::Instance,
        /// Term of the leader, also the fencing number of its orders to engines.
        term: number::Term,
        /// Time of the election.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// Puts a declaration from an operator in force.
    ///
    /// Applied only if its version is higher than that of the current declaration.
    Declare {
        /// Text of the declaration.
        text: Arc<declaration::Text>,
        /// Time at which the leader received the declaration.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// Updates the platform's list of upstreams.
    List {
        /// Upstreams that are new or whose listing changed.
        set: Vec<(id::Upstream, Arc<directory::ListedUpstream>)>,
        /// Upstreams that are no longer listed.
        removed: Vec<id::Upstream>,
        /// Orders to evacuate data centres, or to end that. Release 0.1 of 3630e69 ignores the field, and
        /// would not know a command of its own.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        evacuations: Vec<evacuation::Order>,
        /// Time at which the leader read the list.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// Starts a rollout ordered by an operator.
    ///
    /// A repeated order for the rollout in progress changes nothing.
    RollOut {
        /// Service to roll out.
        service: id::Service,
        /// Release that should take over the traffic of the service.
        release: Arc<str>,
        /// Maximum duration of the rollout.
        window: Duration,
        /// Time at which the leader received the order.
        #[serde(with = "note::time")]
        at: SystemTime,
    },
    /// Takes a step of a rollout; applied only if its number is the next one.
    RolloutStep(rollout::Step),
    /// Merges the outcome counts of an entry instance, once per incarnation and number.
    Tally(Tally),
}

impl Command {
    /// Returns the time at which the command was made.
    pub fn at(&self) -> SystemTime {
        match self {
            Command::Submit { at, .. }
            | Command::Join { at, .. }
            | Command::Leave { at, .. }
            | Command::View { at, .. }
            | Command::Declare { at, .. }
            | Command::List { at, .. }
            | Command::RollOut { at, .. }
            | Command::Lead { at, .. } => *at,
            Command::Step(step) => step.at,
            Command::RolloutStep(step) => step.at,
            Command::Tally(tally) => tally.to,
        }
    }
}

/// Key of a row in a tally; requests with different labels are counted separately.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Label {
    /// Client account.
    pub account: id::Account,
    /// Tier of the requests.
    pub tier: number::Tier,
    /// Requested service.
    pub service: id::Service,
    /// Version that served the requests, if any.
    pub version: Option<id::Version>,
    /// Outcome of the requests.
    pub outcome: Outcome,
    /// Whether the system refused the requests, as opposed to not running them for another reason.
    pub refused: bool,
}

/// Counts of one row of a tally.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of requests.
    pub requests: u64,
    /// Number of prompt tokens processed, without cached ones.
    pub prompt_tokens: u64,
    /// Number of output tokens generated.
    pub output_tokens: u64,
    /// Number of prompt tokens processed without producing a complete answer.
    pub wasted_tokens: u64,
}

/// Numbered report of an entry instance with its counts over a time window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Reporting entry instance.
    pub instance: id::Instance,
    /// Start of the process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Number of the tally within the incarnation, starting at 1.
    pub number: u64,
    /// Start of the window: the end of the previous one, or the start of the process.
    #[serde(with = "note::time")]
    pub from: SystemTime,
    /// End of the window.
    #[serde(with = "note::time")]
    pub to: SystemTime,
    /// Whether this is the last tally before an orderly stop, so that no counts are missing after
    /// it.
    pub last: bool,
    /// Counts by label.
    #[serde(with = "rows")]
    pub rows: Vec<(Label, Counts)>,
}

/// Result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The note was accepted, either now or earlier with the same content.
    Accepted(Acceptance),
    /// The number belongs to an accepted note with different content.
    Conflict(Acceptance),
    /// The note is invalid.
    Invalid(Findings),
    /// The command was applied.
    Applied,
    /// The command was out of date and changed nothing.
    Stale,
    /// Another rollout of the service is in progress.
    Busy,
}

/// Acceptance of a note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// Number of the note.
    pub note: number::Note,
    /// Revision of the configuration that includes the note.
    pub revision: number::Revision,
    /// Digest of the content.
    pub digest: note::Digest,
    /// Author of the note.
    pub author: id::Author,
    /// Time of the acceptance.
    #[serde(with = "note::time")]
    pub at: SystemTime,
}

/// Leader as recorded in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Name of the instance.
    pub name: id::Instance,
    /// Term of the leader.
    pub term: number::Term,
    /// Time of the election.
    #[serde(with = "note::time")]
    pub at: SystemTime,
}

/// Replicated control state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Index of the last applied log entry.
    applied: number::Index,
    /// Memberships that are not yet in the audit trail.
    ///
    /// Membership entries carry no time, so they are recorded with the time of the next command.
    unrecorded: Vec<(number::Index, Membership)>,
    /// Current configuration.
    directory: directory::Directory,
    /// Accepted notes by number.
    notes: BTreeMap<number::Note, notes::Record>,
    /// Highest number of the notes that are no longer retained.
    forgotten: number::Note,
    /// Moves by the version that takes over the traffic.
    moves: BTreeMap<id::Version, moves::Move>,
    /// Instances that have joined, including those that have left.
    members: BTreeMap<id::Instance, instances::Member>,
    /// Number of the last view of each cell whose service was withdrawn, so that view numbers are
    /// never reused.
    retired_views: Vec<(directory::Cell, number::View)>,
    /// Members of the current view of each cell.
    view_members: Vec<(directory::Cell, views::Members)>,
    /// Current leader, once one is recorded.
    leader: Option<Leader>,
    /// Audit trail.
    audit: audit::Trail,
    /// Outcome counts and share changes for reports.
    reports: report::Reports,
    /// Evacuated data centres, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    evacuations: BTreeMap<Arc<str>, evacuation::Evacuation>,
}

impl State {
    /// Returns the state before the first log entry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a committed entry and returns the reply if the entry carries a command.
    pub fn apply_entry(&mut self, entry: &Entry) -> Result<Option<Reply>, Error> {
        match &entry.payload {
            Payload::Noop => {
                self.applied = self.applied.max(entry.index);
                Ok(None)
            }
            Payload::Membership(membership) => {
                self.queue_membership(entry, membership);
                Ok(None)
            }
            Payload::Command(bytes) => {
                let command = Command::decode(bytes)?;
                Ok(Some(self.apply(entry.index, &command)))
            }
        }
    }

    /// Applies the command of the entry at `index`.
    ///
    /// Returns [`Reply::Stale`] without any change if the entry has already been applied.
    pub fn apply(&mut self, index: number::Index, command: &Command) -> Reply {
        if index <= self.applied {
            return Reply::Stale;
        }
        self.applied = index;
        self.audit_memberships(command.at());
        match command {
            Command::Submit { note, via, at } => self.submit(note, via, *at),
            Command::Join {
                name,
                instance,
                incarnation,
                at,
            } => self.join(name, instance, *incarnation, *at),
            Command::Leave {
                name,
                incarnation,
                draining,
                cause,
                at,
            } => self.leave(name, *incarnation, *draining, cause, *at),
            Command::View {
                cell,
                view,
                cause,
                at,
            } => self.change_view(cell, view, cause, *at),
            Command::Step(step) => self.step_move(step),
            Command::Lead { leader, term, at } => self.record_leader(leader, *term, *at),
            Command::Declare { text, at } => self.set_declaration(text, *at),
            Command::List {
                set,
                removed,
                evacuations,
                at,
            } => {
                self.apply_evacuations(evacuations, *at);
                self.update_upstreams(set, removed)
            }
            Command::RollOut {
                service,
                release,
                window,
                at,
            } => self.start_rollout(service, release, *window, *at),
            Command::RolloutStep(step) => self.step_rollout(step),
            Command::Tally(tally) => self.reports.merge(tally),
        }
    }

    /// Queues the membership of an entry for the audit trail.
    fn queue_membership(&mut self, entry: &Entry, membership: &Membership) {
        if entry.index <= self.applied {
            return;
        }
        self.applied = entry.index;
        let record = (entry.index, membership.clone());
        self.unrecorded.push(record);
    }

    /// Adds the queued memberships to the audit trail.
    fn audit_memberships(&mut self, at: SystemTime) {
        let names = |members: &BTreeMap<id::Instance, _>| {
            let names: Vec<_> = members.keys().map(|name| name.as_str()).collect();
            names.join(", ")
        };
        for (index, membership) in std::mem::take(&mut self.unrecorded) {
            let cause = format!(
                "voters [{}], catching up [{}]",
                names(&membership.voters),
                names(&membership.learners)
            );
            let subject = format!("entry {index}");
            let actor = self.leader_name();
            self.audit
                .add(at, actor, audit::Kind::Membership, subject, cause);
        }
    }

    /// Records a leader, unless one of the same or a later term is known.
    fn record_leader(
        &mut self,
        leader: &id::Instance,
        term: number::Term,
        at: SystemTime,
    ) -> Reply {
        if self.leader.as_ref().is_some_and(|known| known.term >= term) {
            return Reply::Stale;
        }
        self.leader = Some(Leader {
            name: leader.clone(),
            term,
            at,
        });
        let subject = format!("term {term}");
        let cause = format!("{leader} was elected");
        self.audit
            .add(at, leader.as_str(), audit::Kind::Leader, subject, cause);
        Reply::Applied
    }

    /// Installs the next view of a cell.
    fn change_view(
        &mut self,
        cell: &directory::Cell,
        view: &directory::View,
        cause: &Arc<str>,
        at: SystemTime,
    ) -> Reply {
        let known = self.directory.service(&cell.service).is_some();
        if !known || view.number != self.next_view(cell) {
            return Reply::Stale;
        }
        let scheduler = self.update_view_members(cell, view);
        let installed = directory::View {
            since: scheduler.view,
            incarnation: scheduler.incarnation,
            ..view.clone()
        };
        self.directory.set_view(cell.clone(), installed);
        self.increment_revision();
        let backups: Vec<_> = view.backups.iter().map(|name| name.as_str()).collect();
        let cause = format!(
            "scheduler {}, backups [{}]: {cause}",
            view.scheduler,
            backups.join(", ")
        );
        let subject = format!(
            "view {} of {} in {}",
            view.number, cell.service, cell.region
        );
        let actor = self.leader_name();
        self.audit
            .add(at, actor, audit::Kind::ViewChange, subject, cause);
        Reply::Applied
    }

    /// Updates the members of the cell and returns the entry of the scheduler.
    fn update_view_members(
        &mut self,
        cell: &directory::Cell,
        view: &directory::View,
    ) -> views::Member {
        let known = self.view_members(cell).cloned().unwrap_or_default();
        let members = views::next_members(&known, view, |name| {
            self.incarnation(name).unwrap_or_default()
        });
        self.view_members.retain(|(of, _)| of != cell);
        let new = views::Member {
            view: view.number,
            incarnation: 0,
        };
        let scheduler = members.get(&view.scheduler).copied().unwrap_or(new);
        self.view_members.push((cell.clone(), members));
        scheduler
    }

    fn increment_revision(&mut self) {
        self.directory.revision = self.directory.revision.next();
    }

    /// Returns the name of the leader, or "leader" if none is recorded.
    fn leader_name(&self) -> Arc<str> {
        match &self.leader {
            Some(leader) => Arc::from(leader.name.as_str()),
            None => Arc::from("leader"),
        }
    }
}
