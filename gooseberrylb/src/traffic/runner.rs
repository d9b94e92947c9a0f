//! Runs the scheduler of one cell: feeds it inputs, and delivers its decisions and claim records.

use std::cell::{Cell as Slot, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use futures::channel::oneshot;
use gooseberrylb_config::clock::Clock;
use gooseberrylb_config::directory::{Cell, Directory};
use gooseberrylb_config::number;
use gooseberrylb_policy::moves::evidence::Report;
use gooseberrylb_policy::request::{Id, Request};
use gooseberrylb_policy::scheduler::{Decision, End, Input, Output, Refusal, Scheduler};

use super::copier::Copier;
use super::trials::{self, Context, Trials};
use crate::published::Snapshot;

/// Time after which an entry that asked the wrong scheduler may retry.
pub const NOT_SCHEDULER_RETRY: std::time::Duration = std::time::Duration::from_millis(500);

/// Call that waits for a decision.
struct Waiter {
    /// Number of the call, which tells it apart from a later call for the same request.
    call: u64,
    reply: oneshot::Sender<Decision>,
}

/// Parts of a runner.
pub struct Parts {
    /// Cell that is scheduled.
    pub cell: Cell,
    /// Scheduler of the cell.
    pub scheduler: Scheduler,
    /// Last view in which the claims that the scheduler took over were complete.
    pub complete_view: Option<number::View>,
    /// Incarnation of this instance.
    pub incarnation: u64,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
}

/// Scheduler of one cell, with the callers that wait for its decisions and the copiers that
/// replicate its claims.
pub struct Runner {
    /// Cell that is scheduled.
    pub cell: Cell,
    scheduler: RefCell<Scheduler>,
    trials: Trials,
    clock: Arc<dyn Clock>,
    waiters: RefCell<HashMap<Id, Waiter>>,
    /// Number of the last call of [`Runner::enqueue`].
    last_call: Slot<u64>,
    copiers: RefCell<Vec<Rc<Copier>>>,
    retired: Slot<bool>,
    /// See [`Runner::complete_view`].
    complete_view: Slot<Option<number::View>>,
}

/// Returns the refusal of a request that was sent to the wrong scheduler.
pub fn not_scheduler() -> Decision {
    Decision::Refuse {
        reason: Refusal::NotScheduler,
        retry_after: NOT_SCHEDULER_RETRY,
    }
}

impl Runner {
    /// Creates a runner without copiers.
    pub fn new(parts: Parts) -> Rc<Self> {
        Rc::new(Self {
            trials: Trials::new(parts.cell.clone(), parts.incarnation),
            cell: parts.cell,
            scheduler: RefCell::new(parts.scheduler),
            clock: parts.clock,
            waiters: RefCell::default(),
            last_call: Slot::new(0),
            copiers: RefCell::default(),
            retired: Slot::new(false),
            complete_view: Slot::new(parts.complete_view),
        })
    }

    /// Updates the trials of versions from the moves and the directory in `snapshot`.
    pub fn update_moves(&self, snapshot: &Snapshot) {
        let inputs = self.trials.configure(&Context {
            now: self.clock.now(),
            wall: self.clock.wall(),
            view: self.view(),
            moves: &snapshot.moves,
            directory: &snapshot.directory,
        });
        for input in inputs {
            self.step(input);
        }
    }

    /// Returns the report for the leader on versions under a move, if one is due and has findings.
    pub fn poll_trials(&self) -> Option<Report> {
        let report = self.trials.poll(self.clock.now())?;
        (!report.findings.is_empty()).then_some(report)
    }

    /// Records the end of a dispatched request in the trials and the scheduler.
    pub fn end(&self, end: End, directory: &Directory) {
        let now = self.clock.now();
        let sample = trials::sample(&self.scheduler.borrow(), directory, &end, now);
        self.step(Input::End(end));
        let Some(sample) = sample else {
            return;
        };
        for input in self.trials.record(now, &sample) {
            self.step(input);
        }
    }

    /// Returns the view in which the scheduler grants.
    pub fn view(&self) -> number::View {
        self.scheduler.borrow().view().number
    }

    /// Whether the runner was retired and answers no more calls.
    pub fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// Returns the result of `query` on the scheduler.
    pub fn read<T>(&self, query: impl FnOnce(&Scheduler) -> T) -> T {
        query(&self.scheduler.borrow())
    }

    /// Stops the current copiers and replaces them by `copiers`, which begin with a full sync.
    pub fn set_copiers(&self, copiers: Vec<Rc<Copier>>) {
        for old in self.copiers.replace(copiers) {
            old.stop();
        }
    }

    /// Returns the last view in which the scheduler and every backup held all claims.
    pub fn complete_view(&self) -> Option<number::View> {
        if self.retired.get() {
            return self.complete_view.get();
        }
        let copiers = self.copiers.borrow();
        if self.covers_all_backups(&copiers) && copiers.iter().all(|copier| copier.is_synced()) {
            self.complete_view.set(Some(self.view()));
        }
        self.complete_view.get()
    }

    /// Feeds an input to the scheduler and executes its outputs.
    pub fn step(&self, input: Input) {
        if self.retired.get() {
            return;
        }
        let outputs = self.scheduler.borrow_mut().step(self.clock.now(), input);
        self.execute(outputs);
    }

    /// Switches to a view with the same scheduler and other backups.
    pub fn change_view(&self, view: gooseberrylb_config::directory::View) {
        let outputs = self
            .scheduler
            .borrow_mut()
            .change_view(view, self.clock.now());
        self.execute(outputs);
    }

    /// Delivers decisions and copies claim records.
    fn execute(&self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Decide(id, decision) => self.deliver(&id, decision),
                Output::Copy { sequence, records } => {
                    for copier in self.copiers.borrow().iter() {
                        copier.push(sequence, records.clone());
                    }
                    if self.has_no_backups() {
                        self.step(Input::Acknowledged(sequence));
                    }
                }
            }
        }
    }

    /// Whether each backup of the view has a copier. A backup whose address is not known yet has
    /// none, but must hold the claims as well.
    fn covers_all_backups(&self, copiers: &[Rc<Copier>]) -> bool {
        copiers.len() == self.scheduler.borrow().view().backups.len()
    }

    /// Whether the view names no backups. A named backup must acknowledge claims even if its
    /// address is unknown here.
    fn has_no_backups(&self) -> bool {
        self.scheduler.borrow().view().backups.is_empty()
    }

    /// Sends a decision to the call that waits for it.
    fn deliver(&self, id: &Id, decision: Decision) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(id) {
            // If the receiver was dropped, the entry asks again or withdraws under the same id.
            waiter.reply.send(decision).ok();
        }
    }

    /// Feeds the scheduler the sequence number that every backup has acknowledged.
    pub fn acknowledge(&self) {
        let copiers = self.copiers.borrow();
        let acknowledged = copiers.iter().map(|copier| copier.acknowledged()).min();
        let acknowledged = acknowledged.filter(|_| self.covers_all_backups(&copiers));
        drop(copiers);
        if let Some(acknowledged) = acknowledged {
            self.step(Input::Acknowledged(acknowledged));
        }
    }

    /// Requests a decision on a request. Dropping the future withdraws the request.
    pub async fn enqueue(self: Rc<Self>, request: Request) -> Decision {
        if self.retired.get() {
            return not_scheduler();
        }
        let id = request.id.clone();
        let call = self.last_call.get() + 1;
        self.last_call.set(call);
        let (reply, decision) = oneshot::channel();
        self.waiters
            .borrow_mut()
            .insert(id.clone(), Waiter { call, reply });
        let guard = Guard {
            runner: self.clone(),
            id,
            call,
        };
        self.step(Input::Enqueue(request));
        let decision = decision.await;
        drop(guard);
        decision.unwrap_or_else(|_| not_scheduler())
    }

    /// Stops the runner and the copiers, and refuses all waiting requests as sent to the wrong
    /// scheduler.
    pub fn retire(&self) {
        self.retired.set(true);
        self.set_copiers(Vec::new());
        for (_, waiter) in self.waiters.borrow_mut().drain() {
            waiter.reply.send(not_scheduler()).ok();
        }
    }
}

/// Withdraws a request on drop if its decision is still pending.
struct Guard {
    runner: Rc<Runner>,
    id: Id,
    call: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut waiters = self.runner.waiters.borrow_mut();
        // A later call for the same request has replaced the waiter.
        if waiters
            .get(&self.id)
            .is_some_and(|waiter| waiter.call == self.call)
        {
            waiters.remove(&self.id);
            drop(waiters);
            self.runner.step(Input::Withdraw(self.id.clone()));
        }
    }
}
