//! Hosts the schedulers and backups that the configuration places on this instance.
//!
//! Whenever the published configuration changes, the host starts, moves and stops them to match the
//! views of the cells.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use gooseberrylb_config::clock::Clock;
use gooseberrylb_config::directory::{Cell, Directory, View};
use gooseberrylb_config::id;
use gooseberrylb_config::number;
use gooseberrylb_config::settings::Settings;
use gooseberrylb_policy::moves::Move;
use gooseberrylb_policy::request::Key;
use gooseberrylb_policy::scheduler::{Backup, Claim, CopyError, Decision, Input, Scheduler};
use gooseberrylb_wire::handshake::Greeting;
use gooseberrylb_wire::message::{Batch, Call, Event, Held, Holding, Notice, Receipt};
use gooseberrylb_wire::plane::Traffic;

use super::Start;
use super::copier::Copier;
use super::runner::{self, Runner, not_scheduler};
use crate::control::{self, Identity, Links};
use crate::metrics::METRICS;
use crate::published::{Published, Snapshot};

/// Time for which a scheduler that lost the claims refuses keys, which may be resent ones. It
/// equals the time for which the outcome of a key is kept for resending.
const CLAIMS_LOST_DURATION: std::time::Duration = std::time::Duration::from_secs(300);

/// Backup of one cell on this instance.
struct Copy {
    backup: Backup,
    /// Last view in which the claims were complete.
    complete_view: Option<number::View>,
}

/// Schedulers and backups of this instance.
pub struct Host {
    /// Identity of this instance.
    pub identity: Identity,
    /// Configuration published by the control thread.
    pub published: Published,
    /// Links to other instances.
    pub links: Links<Traffic>,
    settings: Arc<Settings>,
    clock: Arc<dyn Clock>,
    control: control::Handle,
    runners: RefCell<BTreeMap<Cell, Rc<Runner>>>,
    copies: RefCell<BTreeMap<Cell, Copy>>,
    /// Configuration that the schedulers and backups were last placed by.
    directory: RefCell<Arc<Directory>>,
    /// Latest known incarnation of each instance that has connected.
    incarnations: RefCell<BTreeMap<id::Instance, u64>>,
    /// Moves that the trials were last updated from, with the revision of their directory.
    moves: RefCell<(Arc<BTreeMap<id::Version, Move>>, number::Revision)>,
}

impl Host {
    /// Creates a host without schedulers and backups.
    pub fn new(start: &Start) -> Rc<Self> {
        Rc::new(Self {
            links: Links::new(&start.identity),
            identity: start.identity.clone(),
            settings: start.settings.clone(),
            published: start.published.clone(),
            clock: start.clock.clone(),
            control: start.control.clone(),
            runners: RefCell::default(),
            copies: RefCell::default(),
            directory: RefCell::default(),
            incarnations: RefCell::default(),
            moves: RefCell::default(),
        })
    }

    /// Applies the published configuration if it is newer than the current one.
    pub fn refresh(&self) {
        let snapshot = self.published.read();
        self.update_moves(&snapshot);
        let next = snapshot.directory.clone();
        if next.revision <= self.directory.borrow().revision {
            return;
        }
        let previous = self.directory.replace(next.clone());
        self.drop_removed(&next);
        for (cell, view) in &next.views {
            if self.is_scheduler(view) {
                self.start_scheduler(cell, view, &next);
            } else if view.backups.contains(&self.identity.name) {
                self.start_backup(cell, view);
            }
        }
        let departed = previous
            .instances
            .keys()
            .filter(|name| !next.instances.contains_key(*name));
        departed.for_each(|name| self.report_death(name));
        self.feed_all(|| Input::Directory(next.clone()));
    }

    /// Whether a view names this process as the scheduler, rather than one before a restart.
    fn is_scheduler(&self, view: &View) -> bool {
        view.scheduler == self.identity.name && view.incarnation == self.identity.incarnation
    }

    /// Updates the trials if the moves or the directory have changed.
    fn update_moves(&self, snapshot: &Snapshot) {
        let known = self.moves.borrow().clone();
        let unchanged =
            Arc::ptr_eq(&known.0, &snapshot.moves) && known.1 == snapshot.directory.revision;
        if unchanged {
            return;
        }
        *self.moves.borrow_mut() = (snapshot.moves.clone(), snapshot.directory.revision);
        let runners: Vec<_> = self.runners.borrow().values().cloned().collect();
        for runner in runners {
            runner.update_moves(snapshot);
        }
    }

    /// Stops the schedulers and drops the backups of cells whose view does not name this instance.
    fn drop_removed(&self, directory: &Directory) {
        let is_member = |cell: &Cell| {
            directory.view(cell).is_some_and(|view| {
                view.scheduler == self.identity.name || view.backups.contains(&self.identity.name)
            })
        };
        self.copies.borrow_mut().retain(|cell, _| is_member(cell));
        self.runners.borrow_mut().retain(|cell, runner| {
            let kept = is_member(cell);
            if !kept {
                runner.retire();
            }
            kept
        });
    }

    /// Starts the scheduler of a cell or switches it to `view`, and starts copying to the backups.
    fn start_scheduler(&self, cell: &Cell, view: &View, directory: &Arc<Directory>) {
        let current = self.runners.borrow().get(cell).cloned();
        let runner = match current {
            Some(runner) if runner.view() == view.number => return,
            Some(runner) if runner.view() >= view.since => {
                runner.change_view(view.clone());
                runner
            }
            // Another scheduler may have granted since the view that runs here.
            Some(_) | None => self.take_over(cell, view, directory),
        };
        let backups = view
            .backups
            .iter()
            .filter_map(|name| self.address_of(directory, name));
        let links = backups.map(|address| self.links.to(address));
        let copiers = links.map(|link| Copier::start(&runner, link)).collect();
        runner.set_copiers(copiers);
    }

    /// Returns the address of another instance: from the settings, otherwise as published by the
    /// instance itself.
    pub fn address_of(&self, directory: &Directory, name: &id::Instance) -> Option<SocketAddr> {
        let mut peers = self.settings.peers.iter();
        let by_settings = peers
            .find(|peer| peer.name == *name)
            .map(|peer| peer.address);
        by_settings.or_else(|| directory.instances.get(name).map(|instance| instance.peers))
    }

    /// Starts the scheduler of a cell with the claims of the backup here, if those are complete.
    fn take_over(&self, cell: &Cell, view: &View, directory: &Arc<Directory>) -> Rc<Runner> {
        let copy = self.copies.borrow_mut().remove(cell);
        let copy = copy.filter(|copy| copy.complete_view >= Some(view.since));
        let complete_view = copy.as_ref().and_then(|copy| copy.complete_view);
        let claims = copy
            .map(|copy| copy.backup.claims().clone())
            .unwrap_or_default();
        let departed = departed_entries(&claims, directory);
        log::info!(
            "started the scheduler of {cell:?} in view {} with {} claims",
            view.number,
            claims.len()
        );
        let now = self.clock.now();
        let seed = rand::random();
        let directory = directory.clone();
        let mut scheduler =
            Scheduler::new(cell.clone(), view.clone(), directory, claims, now, seed);
        if view.number > number::View(1) && complete_view.is_none() {
            scheduler = scheduler.with_claims_lost(now, CLAIMS_LOST_DURATION);
        }
        let runner = Runner::new(runner::Parts {
            cell: cell.clone(),
            scheduler,
            complete_view,
            incarnation: self.identity.incarnation,
            clock: self.clock.clone(),
        });
        runner.update_moves(&self.published.read());
        // These entries left the configuration before this scheduler started, so it was not told.
        for entry in departed {
            runner.step(Input::Died(entry));
        }
        let replaced = self
            .runners
            .borrow_mut()
            .insert(cell.clone(), runner.clone());
        if let Some(replaced) = replaced {
            replaced.retire();
        }
        runner
    }

    /// Starts the backup of a cell, or advances it to `view`.
    fn start_backup(&self, cell: &Cell, view: &View) {
        if let Some(runner) = self.runners.borrow_mut().remove(cell) {
            runner.retire();
            let copy = self.step_down(&runner);
            self.copies.borrow_mut().insert(cell.clone(), copy);
        }
        let mut copies = self.copies.borrow_mut();
        let new = || Copy {
            backup: Backup::new(view.number),
            complete_view: None,
        };
        let copy = copies.entry(cell.clone()).or_insert_with(new);
        copy.backup.advance(view.number);
    }

    /// Returns a backup with the claims of a scheduler that steps down, in case its successor dies
    /// before it has copied them.
    fn step_down(&self, runner: &Runner) -> Copy {
        let view = runner.view();
        let (sequence, records) = runner.read(|s| (s.sequence(), s.snapshot()));
        let mut backup = Backup::new(view);
        let synced = backup.sync(view, sequence, records, self.clock.now());
        let complete_view = runner.complete_view().filter(|_| synced.is_ok());
        Copy {
            backup,
            complete_view,
        }
    }

    /// Tells all schedulers that an instance has died.
    fn report_death(&self, name: &id::Instance) {
        self.feed_all(|| Input::Died(name.clone()));
    }

    /// Returns the cells that are scheduled here.
    pub fn scheduled(&self) -> Vec<Cell> {
        self.runners.borrow().keys().cloned().collect()
    }

    /// Feeds an input to the scheduler of a cell, if it still runs here.
    pub fn feed(&self, cell: &Cell, input: Input) {
        let runner = self.runners.borrow().get(cell).cloned();
        if let Some(runner) = runner {
            runner.step(input);
        }
    }

    fn feed_all(&self, input: impl Fn() -> Input) {
        let runners: Vec<_> = self.runners.borrow().values().cloned().collect();
        for runner in runners {
            runner.step(input());
        }
    }

    /// Feeds [`Input::Tick`] to all schedulers.
    pub fn tick(&self) {
        self.feed_all(|| Input::Tick);
    }

    /// Reports trials and complete claims to the control thread, and updates the metrics.
    pub fn report(&self) {
        for runner in self.runners.borrow().values() {
            if let Some(report) = runner.poll_trials() {
                self.control.report(report);
            }
        }
        self.report_holdings();
        self.update_metrics();
    }

    /// Publishes the cells whose claims this instance holds, with the view of their last complete
    /// state.
    fn report_holdings(&self) {
        let runners = self.runners.borrow();
        let scheduled = runners
            .iter()
            .map(|(cell, runner)| (cell.clone(), runner.complete_view()));
        let copies = self.copies.borrow();
        let copied = copies
            .iter()
            .map(|(cell, copy)| (cell.clone(), copy.complete_view));
        let holdings = scheduled
            .chain(copied)
            .filter_map(|(cell, view)| view.map(|view| Holding { cell, view }))
            .collect();
        if let Ok(mut holds) = self.control.shared.holds.lock() {
            *holds = holdings;
        }
    }

    /// Records the incarnation of an instance that has connected. If the instance has restarted,
    /// the requests of its earlier incarnation neither wait nor end any more.
    pub fn record_start(&self, greeting: &Greeting) {
        let known = self.incarnations.borrow().get(&greeting.instance).copied();
        if known.is_none_or(|known| known < greeting.incarnation) {
            let mut incarnations = self.incarnations.borrow_mut();
            incarnations.insert(greeting.instance.clone(), greeting.incarnation);
            drop(incarnations);
            if known.is_some() {
                self.report_death(&greeting.instance);
            }
        }
    }

    /// Returns the scheduler of a cell if it runs here in `view` and the configuration is fresh.
    fn scheduler_of(&self, cell: &Cell, view: number::View) -> Option<Rc<Runner>> {
        self.refresh();
        if !self.published.read().is_fresh(self.clock.now()) {
            return None;
        }
        let runner = self.runners.borrow().get(cell).cloned()?;
        (runner.view() == view && !runner.is_retired()).then_some(runner)
    }

    /// Requests a decision from the scheduler here.
    pub async fn enqueue(&self, call: Call) -> Decision {
        match self.scheduler_of(&call.cell, call.view) {
            Some(runner) => runner.enqueue(call.request).await,
            None => not_scheduler(),
        }
    }

    /// Feeds the events of a notice to the scheduler here.
    pub fn notify(&self, notice: Notice) -> Receipt {
        let Some(runner) = self.scheduler_of(&notice.cell, notice.view) else {
            return Receipt::NotScheduler;
        };
        let directory = self.directory.borrow().clone();
        for event in notice.events {
            match event {
                Event::Withdraw(id) => runner.step(Input::Withdraw(id)),
                Event::End(end) => runner.end(end, &directory),
                Event::Resume { entry, running } => {
                    runner.step(Input::Resume { entry, running });
                }
            }
        }
        Receipt::Taken
    }

    /// Applies a batch of claim records to the backup here.
    pub fn copy(&self, batch: Batch) -> Held {
        self.refresh();
        let mut copies = self.copies.borrow_mut();
        let Some(copy) = copies.get_mut(&batch.cell) else {
            drop(copies);
            return self.refuse_copy(&batch);
        };
        let now = self.clock.now();
        let mut answer = Held::Missing;
        for part in batch.parts {
            let result = if batch.whole {
                copy.backup
                    .sync(batch.view, part.sequence, part.records, now)
            } else {
                copy.backup
                    .accept(batch.view, part.sequence, part.records, now)
            };
            match result {
                Ok(accepted) => answer = Held::UpTo(accepted.sequence),
                Err(CopyError::View { known, .. }) => return Held::Later(known),
                Err(CopyError::Unsynced(_) | CopyError::Gap { .. }) => return Held::Missing,
            }
        }
        if copy.backup.is_synced() {
            copy.complete_view = Some(copy.backup.view());
        }
        answer
    }

    /// Returns the answer to a batch for a cell that has no backup here.
    fn refuse_copy(&self, batch: &Batch) -> Held {
        let directory = self.directory.borrow();
        match directory.view(&batch.cell) {
            Some(view) if view.number > batch.view => Held::Later(view.number),
            _ => Held::NotBackup,
        }
    }

    /// Sets the metrics of the queue lengths.
    fn update_metrics(&self) {
        for (cell, runner) in self.runners.borrow().iter() {
            for (tier, waiting) in runner.read(|s| s.stats().waiting) {
                let labels = [cell.service.as_str(), &tier.to_string()];
                let waiting = i64::try_from(waiting.requests).unwrap_or(i64::MAX);
                METRICS.waiting.with_label_values(&labels).set(waiting);
            }
        }
    }
}

/// Returns the entries that hold a granted claim but are no longer in the directory.
fn departed_entries(
    claims: &BTreeMap<Key, Claim>,
    directory: &Directory,
) -> BTreeSet<id::Instance> {
    let granted = claims.values().filter_map(|claim| match claim {
        Claim::Granted { id, .. } => Some(&id.entry),
        Claim::Released | Claim::Ended { .. } => None,
    });
    granted
        .filter(|entry| !directory.instances.contains_key(*entry))
        .cloned()
        .collect()
}
