//! The schedulers and backups that the configuration places on this instance.

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
use super::hosted::{self, Hosted, not_scheduler};
use crate::control::{self, Identity, Links};
use crate::metrics::METRICS;
use crate::published::{Published, Snapshot};

/// How long a scheduler without the claims refuses keys, which may be resent ones: as long as the
/// outcome of a key is kept for resending.
const LOST_CLAIMS_WINDOW: std::time::Duration = std::time::Duration::from_secs(300);

/// A backup's claims, and the last view in which they were all there.
struct Copy {
    backup: Backup,
    holds: Option<number::View>,
}

/// Everything that is scheduled or kept here.
pub struct Host {
    /// Who this instance is.
    pub identity: Identity,
    /// The configuration.
    pub published: Published,
    /// The links to other instances.
    pub links: Links<Traffic>,
    settings: Arc<Settings>,
    clock: Arc<dyn Clock>,
    control: control::Handle,
    hosted: RefCell<BTreeMap<Cell, Rc<Hosted>>>,
    copies: RefCell<BTreeMap<Cell, Copy>>,
    directory: RefCell<Arc<Directory>>,
    starts: RefCell<BTreeMap<id::Instance, u64>>,
    moves: RefCell<(Arc<BTreeMap<id::Version, Move>>, number::Revision)>,
}

impl Host {
    /// Makes a host of nothing yet.
    pub fn new(start: &Start) -> Rc<Self> {
        Rc::new(Self {
            links: Links::new(&start.identity),
            identity: start.identity.clone(),
            settings: start.settings.clone(),
            published: start.published.clone(),
            clock: start.clock.clone(),
            control: start.control.clone(),
            hosted: RefCell::default(),
            copies: RefCell::default(),
            directory: RefCell::default(),
            starts: RefCell::default(),
            moves: RefCell::default(),
        })
    }

    /// Takes in a new configuration, where there is one.
    pub fn refresh(&self) {
        let snapshot = self.published.read();
        self.follow_moves(&snapshot);
        let next = snapshot.directory.clone();
        if next.revision <= self.directory.borrow().revision {
            return;
        }
        let before = self.directory.replace(next.clone());
        self.drop_unplaced(&next);
        for (cell, view) in &next.views {
            if self.is_scheduler(view) {
                self.schedule(cell, view, &next);
            } else if view.backups.contains(&self.identity.name) {
                self.back_up(cell, view);
            }
        }
        let gone = before
            .instances
            .keys()
            .filter(|name| !next.instances.contains_key(*name));
        gone.for_each(|name| self.bury(name));
        self.feed_all(|| Input::Directory(next.clone()));
    }

    /// Whether a view makes this very process the scheduler, and not one before a restart.
    fn is_scheduler(&self, view: &View) -> bool {
        view.scheduler == self.identity.name && view.incarnation == self.identity.incarnation
    }

    /// Has the trials follow the moves, where any moves or views have changed.
    fn follow_moves(&self, snapshot: &Snapshot) {
        let known = self.moves.borrow().clone();
        let same = Arc::ptr_eq(&known.0, &snapshot.moves) && known.1 == snapshot.directory.revision;
        if same {
            return;
        }
        *self.moves.borrow_mut() = (snapshot.moves.clone(), snapshot.directory.revision);
        let hosted: Vec<_> = self.hosted.borrow().values().cloned().collect();
        for hosted in hosted {
            hosted.follow_moves(snapshot);
        }
    }

    fn drop_unplaced(&self, directory: &Directory) {
        let is_member = |cell: &Cell| {
            directory.view(cell).is_some_and(|view| {
                view.scheduler == self.identity.name || view.backups.contains(&self.identity.name)
            })
        };
        self.copies.borrow_mut().retain(|cell, _| is_member(cell));
        self.hosted.borrow_mut().retain(|cell, hosted| {
            let kept = is_member(cell);
            if !kept {
                hosted.retire();
            }
            kept
        });
    }

    fn schedule(&self, cell: &Cell, view: &View, directory: &Arc<Directory>) {
        let running = self.hosted.borrow().get(cell).cloned();
        let hosted = match running {
            Some(hosted) if hosted.view() == view.number => return,
            Some(hosted) if hosted.view() >= view.since => {
                hosted.change_view(view.clone());
                hosted
            }
            // Others may have granted since the view that runs here.
            Some(_) | None => self.take_over(cell, view, directory),
        };
        let backups = view
            .backups
            .iter()
            .filter_map(|name| self.address_of(directory, name));
        let links = backups.map(|address| self.links.to(address));
        let copiers = links.map(|link| Copier::start(&hosted, link)).collect();
        hosted.set_copiers(copiers);
    }

    /// Where another instance is reached: as the settings say, else as it said itself.
    pub fn address_of(&self, directory: &Directory, name: &id::Instance) -> Option<SocketAddr> {
        let mut peers = self.settings.peers.iter();
        let by_settings = peers
            .find(|peer| peer.name == *name)
            .map(|peer| peer.address);
        by_settings.or_else(|| directory.instances.get(name).map(|instance| instance.peers))
    }

    fn take_over(&self, cell: &Cell, view: &View, directory: &Arc<Directory>) -> Rc<Hosted> {
        let copy = self.copies.borrow_mut().remove(cell);
        let copy = copy.filter(|copy| copy.holds >= Some(view.since));
        let holds = copy.as_ref().and_then(|copy| copy.holds);
        let claims = copy
            .map(|copy| copy.backup.claims().clone())
            .unwrap_or_default();
        let gone = gone_entries(&claims, directory);
        log::info!(
            "scheduling {cell:?} in view {} with {} claims",
            view.number,
            claims.len()
        );
        let now = self.clock.now();
        let seed = rand::random();
        let directory = directory.clone();
        let mut scheduler =
            Scheduler::new(cell.clone(), view.clone(), directory, claims, now, seed);
        if view.number > number::View(1) && holds.is_none() {
            scheduler = scheduler.with_claims_lost(now, LOST_CLAIMS_WINDOW);
        }
        let hosted = Hosted::new(hosted::Parts {
            cell: cell.clone(),
            scheduler,
            holds,
            incarnation: self.identity.incarnation,
            clock: self.clock.clone(),
        });
        hosted.follow_moves(&self.published.read());
        // They left the configuration before this scheduler was placed, so it has not heard of it.
        for entry in gone {
            hosted.step(Input::Died(entry));
        }
        let replaced = self
            .hosted
            .borrow_mut()
            .insert(cell.clone(), hosted.clone());
        if let Some(replaced) = replaced {
            replaced.retire();
        }
        hosted
    }

    fn back_up(&self, cell: &Cell, view: &View) {
        if let Some(hosted) = self.hosted.borrow_mut().remove(cell) {
            hosted.retire();
            let copy = self.step_down(&hosted);
            self.copies.borrow_mut().insert(cell.clone(), copy);
        }
        let mut copies = self.copies.borrow_mut();
        let new = || Copy {
            backup: Backup::new(view.number),
            holds: None,
        };
        let copy = copies.entry(cell.clone()).or_insert_with(new);
        copy.backup.advance(view.number);
    }

    /// Keeps the claims of a scheduler that becomes a backup, in case its heir dies at once.
    fn step_down(&self, hosted: &Hosted) -> Copy {
        let view = hosted.view();
        let (sequence, records) = hosted.read(|s| (s.sequence(), s.snapshot()));
        let mut backup = Backup::new(view);
        let synced = backup.sync(view, sequence, records, self.clock.now());
        let holds = hosted.holds().filter(|_| synced.is_ok());
        Copy { backup, holds }
    }

    fn bury(&self, name: &id::Instance) {
        self.feed_all(|| Input::Died(name.clone()));
    }

    /// The cells that are scheduled here.
    pub fn scheduled(&self) -> Vec<Cell> {
        self.hosted.borrow().keys().cloned().collect()
    }

    /// Feeds the scheduler of one cell, if it still runs here.
    pub fn feed(&self, cell: &Cell, input: Input) {
        let hosted = self.hosted.borrow().get(cell).cloned();
        if let Some(hosted) = hosted {
            hosted.step(input);
        }
    }

    fn feed_all(&self, input: impl Fn() -> Input) {
        let hosted: Vec<_> = self.hosted.borrow().values().cloned().collect();
        for hosted in hosted {
            hosted.step(input());
        }
    }

    /// Lets time pass.
    pub fn tick(&self) {
        self.feed_all(|| Input::Tick);
    }

    /// Reports which claims are held here, what schedulers see of moves, and the queues.
    pub fn report(&self) {
        for hosted in self.hosted.borrow().values() {
            if let Some(report) = hosted.poll_trials() {
                self.control.report(report);
            }
        }
        self.report_holdings();
        self.measure();
    }

    fn report_holdings(&self) {
        let hosted = self.hosted.borrow();
        let scheduled = hosted
            .iter()
            .map(|(cell, hosted)| (cell.clone(), hosted.holds()));
        let copies = self.copies.borrow();
        let copied = copies.iter().map(|(cell, copy)| (cell.clone(), copy.holds));
        let holdings = scheduled
            .chain(copied)
            .filter_map(|(cell, view)| view.map(|view| Holding { cell, view }))
            .collect();
        if let Ok(mut holds) = self.control.shared.holds.lock() {
            *holds = holdings;
        }
    }

    /// Learns of an instance's start; requests of an earlier start neither wait nor end any more.
    pub fn greet(&self, greeting: &Greeting) {
        let known = self.starts.borrow().get(&greeting.instance).copied();
        if known.is_none_or(|known| known < greeting.incarnation) {
            let mut starts = self.starts.borrow_mut();
            starts.insert(greeting.instance.clone(), greeting.incarnation);
            drop(starts);
            if known.is_some() {
                self.bury(&greeting.instance);
            }
        }
    }

    fn scheduler_of(&self, cell: &Cell, view: number::View) -> Option<Rc<Hosted>> {
        self.refresh();
        if !self.published.read().is_fresh(self.clock.now()) {
            return None;
        }
        let hosted = self.hosted.borrow().get(cell).cloned()?;
        (hosted.view() == view && !hosted.is_retired()).then_some(hosted)
    }

    /// Asks the scheduler here for leave to dispatch.
    pub async fn enqueue(&self, call: Call) -> Decision {
        match self.scheduler_of(&call.cell, call.view) {
            Some(hosted) => hosted.enqueue(call.request).await,
            None => not_scheduler(),
        }
    }

    /// Tells the scheduler here what became of requests.
    pub fn notify(&self, notice: Notice) -> Receipt {
        let Some(hosted) = self.scheduler_of(&notice.cell, notice.view) else {
            return Receipt::NotScheduler;
        };
        let directory = self.directory.borrow().clone();
        for event in notice.events {
            match event {
                Event::Withdraw(id) => hosted.step(Input::Withdraw(id)),
                Event::End(end) => hosted.end(end, &directory),
                Event::Resume { entry, running } => {
                    hosted.step(Input::Resume { entry, running });
                }
            }
        }
        Receipt::Taken
    }

    /// Takes claims in as a backup.
    pub fn copy(&self, batch: Batch) -> Held {
        self.refresh();
        let mut copies = self.copies.borrow_mut();
        let Some(copy) = copies.get_mut(&batch.cell) else {
            drop(copies);
            return self.refuse_copy(&batch);
        };
        let now = self.clock.now();
        let mut held = Held::Missing;
        for part in batch.parts {
            let taken = if batch.whole {
                copy.backup
                    .sync(batch.view, part.sequence, part.records, now)
            } else {
                copy.backup
                    .accept(batch.view, part.sequence, part.records, now)
            };
            match taken {
                Ok(taken) => held = Held::UpTo(taken.sequence),
                Err(CopyError::View { known, .. }) => return Held::Later(known),
                Err(CopyError::Unsynced(_) | CopyError::Gap { .. }) => return Held::Missing,
            }
        }
        if copy.backup.is_synced() {
            copy.holds = Some(copy.backup.view());
        }
        held
    }

    fn refuse_copy(&self, batch: &Batch) -> Held {
        let directory = self.directory.borrow();
        match directory.view(&batch.cell) {
            Some(view) if view.number > batch.view => Held::Later(view.number),
            _ => Held::NotBackup,
        }
    }

    /// Puts the sizes of the queues into the metrics.
    fn measure(&self) {
        for (cell, hosted) in self.hosted.borrow().iter() {
            for (tier, waiting) in hosted.read(|s| s.stats().waiting) {
                let labels = [cell.service.as_str(), &tier.to_string()];
                let waiting = i64::try_from(waiting.requests).unwrap_or(i64::MAX);
                METRICS.waiting.with_label_values(&labels).set(waiting);
            }
        }
    }
}

/// The entries that hold a granted claim and are no instances any more.
fn gone_entries(claims: &BTreeMap<Key, Claim>, directory: &Directory) -> BTreeSet<id::Instance> {
    let granted = claims.values().filter_map(|claim| match claim {
        Claim::Granted { id, .. } => Some(&id.entry),
        Claim::Released | Claim::Ended { .. } => None,
    });
    granted
        .filter(|entry| !directory.instances.contains_key(*entry))
        .cloned()
        .collect()
}
