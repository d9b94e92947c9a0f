//! Carries this instance's own requests to the schedulers of their cells.

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
use super::hosted::not_scheduler;
use super::notices::Outbox;
use super::{Command, Start};

/// The pause after a call that reached no scheduler.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a request waits for a cell to have a scheduler before it is refused.
const SCHEDULER_PATIENCE: Duration = Duration::from_secs(8);

/// How long telling a scheduler may take.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Carries requests and notices to schedulers.
pub struct Client {
    host: Rc<Host>,
    clock: Arc<dyn Clock>,
    outboxes: RefCell<BTreeMap<Cell, Rc<Outbox>>>,
}

impl Client {
    /// Makes the client of one instance.
    pub fn new(start: &Start, host: Rc<Host>) -> Rc<Self> {
        Rc::new(Self {
            host,
            clock: start.clock.clone(),
            outboxes: RefCell::default(),
        })
    }

    /// Takes commands until the process ends.
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

    /// Has the notices of cells looked at whose view changed.
    pub fn refresh(self: &Rc<Self>) {
        let snapshot = self.host.published.read();
        for (cell, view) in &snapshot.directory.views {
            let outbox = self.outbox(cell);
            if outbox.told_view() < Some(view.number) {
                outbox.wake();
            }
        }
    }

    fn outbox(self: &Rc<Self>, cell: &Cell) -> Rc<Outbox> {
        if let Some(outbox) = self.outboxes.borrow().get(cell) {
            return outbox.clone();
        }
        let outbox = Rc::new(Outbox::default());
        self.outboxes
            .borrow_mut()
            .insert(cell.clone(), outbox.clone());
        task::spawn_local(self.clone().tell(cell.clone(), outbox.clone()));
        outbox
    }

    async fn enqueue(
        self: Rc<Self>,
        cell: Cell,
        request: Request,
        mut reply: oneshot::Sender<Decision>,
    ) {
        let (id, keyed) = (request.id.clone(), request.key.is_some());
        let decision = {
            let deciding = self.decide(&cell, request).fuse();
            futures::pin_mut!(deciding);
            futures::select! {
                decision = deciding => Some(decision),
                () = reply.cancellation().fuse() => None,
            }
        };
        let given_up = match decision {
            Some(decision) => {
                // An earlier call for the same request may have been granted and its answer lost.
                let refused = keyed && matches!(decision, Decision::Refuse { .. });
                reply.send(decision).is_err() || refused
            }
            None => true,
        };
        if given_up {
            self.outbox(&cell).push(Event::Withdraw(id));
        }
    }

    /// Asks for a decision, at whichever instance schedules the cell, until there is one.
    async fn decide(&self, cell: &Cell, request: Request) -> Decision {
        let started = self.clock.now();
        let deadline = started + request.time_left;
        let patience = (started + SCHEDULER_PATIENCE).min(deadline);
        loop {
            let now = self.clock.now();
            let time_left = deadline.saturating_duration_since(now);
            let request = Request {
                time_left,
                ..request.clone()
            };
            let decision = match self.view(cell) {
                Some(view) => self.ask(cell, &view, request).await,
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
            if self.clock.now() >= patience {
                return not_scheduler();
            }
            task::sleep(RETRY_PAUSE).await;
        }
    }

    fn view(&self, cell: &Cell) -> Option<View> {
        let snapshot = self.host.published.read();
        snapshot
            .is_fresh(self.clock.now())
            .then(|| snapshot.view(cell).cloned())?
    }

    async fn ask(&self, cell: &Cell, view: &View, request: Request) -> Option<Decision> {
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
        // The link's watch ends the call when the scheduler falls silent; the wait itself may be long.
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

    /// Waits until the cell has a later view, whose scheduler is the one to ask.
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

    /// Tells the cell's scheduler what happens to this instance's requests.
    async fn tell(self: Rc<Self>, cell: Cell, outbox: Rc<Outbox>) {
        loop {
            let view = self.view(&cell);
            let is_new = view
                .as_ref()
                .is_some_and(|v| outbox.told_view() < Some(v.number));
            if view.is_none() || (outbox.is_empty() && !is_new) {
                // Woken by a new event or view; the pause bounds how long a missed one waits.
                future::timeout(Duration::from_millis(200), outbox.woken())
                    .await
                    .ok();
                continue;
            }
            let Some(view) = view else { continue };
            let queued = outbox.take();
            let mut events = Vec::with_capacity(queued.len() + 1);
            if is_new {
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
                Some(Receipt::Taken) => outbox.set_told_view(view.number),
                Some(Receipt::NotScheduler) | None => {
                    outbox.put_back(queued);
                    task::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

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
