//! Sends this instance's requests and notices to the schedulers of their cells.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::{future, task};
use futures::FutureExt;
use futures::channel::oneshot;
use gooseberrylb_config::clock::Clock;
use gooseberrylb_config::directory::{Cell, View};
use gooseberrylb_policy::request::Request;
use gooseberrylb_policy::scheduler::{Decision, Refusal};
use gooseberrylb_wire::codec;
use gooseberrylb_wire::message::{Call, Event, Notice, Receipt};

use super::host::Host;
use super::notices::Outbox;
use super::runner::not_scheduler;
use super::{Command, Start};

/// Pause after a call that reached no scheduler.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum time that a request waits for its cell to have a scheduler before it is refused.
const SCHEDULER_WAIT: Duration = Duration::from_secs(8);

/// Time limit for delivering a notice to a scheduler.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sends requests and notices to schedulers, here or on other instances.
pub struct Client {
    host: Rc<Host>,
    clock: Arc<dyn Clock>,
    outboxes: RefCell<BTreeMap<Cell, Rc<Outbox>>>,
}

impl Client {
    /// Creates the client of this instance.
    pub fn new(start: &Start, host: Rc<Host>) -> Rc<Self> {
        Rc::new(Self {
            host,
            clock: start.clock.clone(),
            outboxes: RefCell::default(),
        })
    }

    /// Executes commands until the process ends.
    pub async fn run(self: Rc<Self>, commands: Receiver<Command>) {
        while let Ok(command) = commands.recv().await {
            match command {
                Command::Enqueue {
                    cell,
                    request,
                    reply,
                } => {
                    task::spawn_local(self.clone().enqueue(cell, *request, reply));
                }
                Command::Dispatched { cell, running } => self.outbox(&cell).add_running(*running),
                Command::End { cell, end } => self.outbox(&cell).push(Event::End(*end)),
                Command::Withdraw { cell, id } => self.outbox(&cell).push(Event::Withdraw(id)),
            }
        }
    }

    /// Wakes the outbox of each cell whose scheduler has not been notified in the current view.
    pub fn refresh(self: &Rc<Self>) {
        let snapshot = self.host.published.read();
        for (cell, view) in &snapshot.directory.views {
            let outbox = self.outbox(cell);
            if outbox.notified_view() < Some(view.number) {
                outbox.wake();
            }
        }
    }

    /// Returns the outbox of a cell; creates it, with its delivery task, on first use.
    fn outbox(self: &Rc<Self>, cell: &Cell) -> Rc<Outbox> {
        if let Some(outbox) = self.outboxes.borrow().get(cell) {
            return outbox.clone();
        }
        let outbox = Rc::new(Outbox::default());
        self.outboxes
            .borrow_mut()
            .insert(cell.clone(), outbox.clone());
        task::spawn_local(self.clone().send_notices(cell.clone(), outbox.clone()));
        outbox
    }

    /// Obtains a decision and replies with it. Withdraws the request if the entry stopped waiting.
    async fn enqueue(
        self: Rc<Self>,
        cell: Cell,
        request: Request,
        mut reply: oneshot::Sender<Decision>,
    ) {
        let (id, keyed) = (request.id.clone(), request.key.is_some());
        let decision = {
            let pending = self.decide(&cell, request).fuse();
            futures::pin_mut!(pending);
            futures::select! {
                decision = pending => Some(decision),
                () = reply.cancellation().fuse() => None,
            }
        };
        let is_abandoned = match decision {
            Some(decision) => {
                // An earlier call for the same request may have been granted and its reply lost.
                let refused = keyed && matches!(decision, Decision::Refuse { .. });
                reply.send(decision).is_err() || refused
            }
            None => true,
        };
        if is_abandoned {
            self.outbox(&cell).push(Event::Withdraw(id));
        }
    }

    /// Requests a decision from the current scheduler of the cell until one answers, or refuses the
    /// request when the time to wait for a scheduler is over.
    async fn decide(&self, cell: &Cell, request: Request) -> Decision {
        let started = self.clock.now();
        let deadline = started + request.time_left;
        let give_up_at = (started + SCHEDULER_WAIT).min(deadline);
        loop {
            let now = self.clock.now();
            let time_left = deadline.saturating_duration_since(now);
            let request = Request {
                time_left,
                ..request.clone()
            };
            let decision = match self.view(cell) {
                Some(view) => self.request_decision(cell, &view, request).await,
                None => None,
            };
            match decision {
                Some(Decision::Refuse {
                    reason: Refusal::NotScheduler,
                    ..
                })
                | None => {}
                Some(decision) => return decision,
            }
            if self.clock.now() >= give_up_at {
                return not_scheduler();
            }
            task::sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the view of a cell while the configuration is fresh.
    fn view(&self, cell: &Cell) -> Option<View> {
        let snapshot = self.host.published.read();
        snapshot
            .is_fresh(self.clock.now())
            .then(|| snapshot.view(cell).cloned())?
    }

    /// Requests a decision from the scheduler of `view`. Returns `None` if the call fails or the
    /// scheduler is replaced.
    async fn request_decision(
        &self,
        cell: &Cell,
        view: &View,
        request: Request,
    ) -> Option<Decision> {
        let call = Call {
            cell: cell.clone(),
            view: view.number,
            request,
        };
        if view.scheduler == self.host.identity.name {
            return Some(self.host.enqueue(call).await);
        }
        let bytes = codec::encode(&call).ok()?;
        let address = self.address_of(view)?;
        let client = self.host.links.to(address).client().await.ok()?;
        let mut request = client.enqueue_request();
        request.get().set_call(&bytes);
        // No timeout: the wait for a decision may be long, and the link fails the call after
        // too long a silence of the scheduler's instance.
        let answer = request.send().promise;
        let superseded = self.superseded(cell, view);
        futures::pin_mut!(superseded);
        match futures::future::select(answer, superseded).await {
            futures::future::Either::Left((answer, _)) => {
                codec::decode(answer.ok()?.get().ok()?.get_decision().ok()?).ok()
            }
            futures::future::Either::Right(_) => None,
        }
    }

    /// Waits until the cell no longer has the scheduler of `view`.
    async fn superseded(&self, cell: &Cell, view: &View) {
        loop {
            task::sleep(RETRY_PAUSE).await;
            let snapshot = self.host.published.read();
            if snapshot
                .view(cell)
                .is_none_or(|current| current.scheduler != view.scheduler)
            {
                return;
            }
        }
    }

    fn address_of(&self, view: &View) -> Option<std::net::SocketAddr> {
        let snapshot = self.host.published.read();
        self.host.address_of(&snapshot.directory, &view.scheduler)
    }

    /// Delivers the queued events of a cell to its scheduler. A new scheduler first receives the
    /// running requests.
    async fn send_notices(self: Rc<Self>, cell: Cell, outbox: Rc<Outbox>) {
        loop {
            let view = self.view(&cell);
            let is_new_view = view
                .as_ref()
                .is_some_and(|v| outbox.notified_view() < Some(v.number));
            if view.is_none() || (outbox.is_empty() && !is_new_view) {
                // A new event or view ends the wait; the timeout bounds the delay after a miss.
                future::timeout(Duration::from_millis(200), outbox.wait())
                    .await
                    .ok();
                continue;
            }
            let Some(view) = view else { continue };
            let queued = outbox.take();
            let mut events = Vec::with_capacity(queued.len() + 1);
            if is_new_view {
                let entry = self.host.identity.name.clone();
                events.push(Event::Resume {
                    entry,
                    running: outbox.running(),
                });
            }
            events.extend(queued.iter().cloned());
            let notice = Notice {
                cell: cell.clone(),
                view: view.number,
                events,
            };
            match self.notify(&view, notice).await {
                Some(Receipt::Taken) => outbox.set_notified_view(view.number),
                Some(Receipt::NotScheduler) | None => {
                    outbox.requeue(queued);
                    task::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Sends a notice to the scheduler of `view`. Returns `None` if the call fails.
    async fn notify(&self, view: &View, notice: Notice) -> Option<Receipt> {
        if view.scheduler == self.host.identity.name {
            return Some(self.host.notify(notice));
        }
        let bytes = codec::encode(&notice).ok()?;
        let link = self.host.links.to(self.address_of(view)?);
        let call = async {
            let client = link.client().await.ok()?;
            let mut request = client.notify_request();
            request.get().set_notice(&bytes);
            let response = request.send().promise.await.ok()?;
            codec::decode(response.get().ok()?.get_receipt().ok()?).ok()
        };
        match future::timeout(NOTICE_TIMEOUT, call).await {
            Ok(receipt) => receipt,
            Err(_) => {
                link.reset();
                None
            }
        }
    }
}
