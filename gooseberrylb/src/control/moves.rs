//! Advances the moves between versions while this instance leads: proposes their steps, and orders
//! engines to load the weights that new versions need.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use async_std::task;
use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Fencing, Term};
use gooseberrylb_config::settings::timing;
use gooseberrylb_control::state::Command;
use gooseberrylb_policy::moves::controller::{Action, Controller};
use gooseberrylb_policy::moves::evidence::{Evidence, Report};
use gooseberrylb_policy::moves::order::{Input, Message, Order, Tracker};
use gooseberrylb_policy::moves::weights::{self, Rate};
use gooseberrylb_policy::moves::{Move, Phase};

use super::Failure;
use super::core::Core;
use crate::metrics::METRICS;
use crate::upstream::order;

/// State that the leader keeps for the moves besides the replicated state.
#[derive(Default)]
pub struct Coordinator {
    /// Evidence that the schedulers reported.
    evidence: RefCell<Evidence>,
    /// Orders to engines, with the term in which they are sent.
    tracker: RefCell<Option<(Term, Tracker)>>,
}

impl Coordinator {
    /// Merges a scheduler's evidence.
    pub fn merge(&self, core: &Core, report: Report) {
        self.evidence.borrow_mut().merge(core.clock.wall(), report);
    }

    /// Drops the orders, since this instance no longer leads.
    pub fn end_term(&self) {
        self.tracker.take();
    }

    /// Passes an input to the order tracker and returns the messages to be sent, if this instance
    /// may send orders.
    fn step(&self, core: &Core, input: Input) -> Vec<Message> {
        let mut tracker = self.tracker.borrow_mut();
        let Some((_, tracker)) = tracker.as_mut() else {
            return Vec::new();
        };
        // No orders are sent without the lease, which may be regained in the same term.
        if !core.is_leading() {
            return Vec::new();
        }
        tracker.step(core.clock.now(), input)
    }

    /// Returns the state of the weights on the engines.
    fn weights(&self, rate: Option<Rate>) -> weights::State {
        let tracker = self.tracker.borrow();
        let tracker = tracker.as_ref().map(|(_, tracker)| tracker);
        weights::State {
            rate,
            confirmed: tracker.map(Tracker::confirmed).unwrap_or_default(),
            refused: tracker.map(Tracker::refused).unwrap_or_default(),
        }
    }

    /// Creates the order tracker of a term, unless it exists. It sends nothing until the leases of
    /// earlier leaders have expired.
    fn start_term(&self, term: Term, since: Instant) {
        let mut tracker = self.tracker.borrow_mut();
        if tracker.as_ref().is_none_or(|(current, _)| *current != term) {
            *tracker = Some((
                term,
                Tracker::new(Fencing(term.0), since + timing::MAX_LEASE),
            ));
        }
    }
}

/// Returns the moves that may still take a step.
pub fn open_moves(core: &Core) -> BTreeMap<id::Version, Move> {
    let state = core.state.borrow();
    let open = state.open_moves();
    open.map(|known| (known.version.clone(), known.clone()))
        .collect()
}

/// Proposes the steps that are due and sends the orders that are needed.
pub async fn step(core: &Rc<Core>) -> Result<(), Failure> {
    let (Some(status), Some(since)) = (core.status(), core.leader_since.get()) else {
        return Ok(());
    };
    core.move_coordinator.start_term(status.term, since);
    let moves = open_moves(core);
    record_metrics(&moves);
    let directory = core.feed.borrow().directory().clone();
    let wall = core.clock.wall();
    let rate = core.settings.weight_store_bytes_per_second.map(Rate);
    let weights = core.move_coordinator.weights(rate);
    let actions = {
        let mut evidence = core.move_coordinator.evidence.borrow_mut();
        evidence.retain(|version| moves.contains_key(version));
        Controller::new().decide(wall, &moves, &directory, &evidence, &weights)
    };
    for action in actions {
        match action {
            Action::Step(step) => {
                log::info!(
                    "proposing move step: version {}, phase {}, share {}: {}",
                    step.version,
                    step.phase,
                    step.share.0,
                    step.reason
                );
                super::lead::propose(core, &Command::Step(step)).await?;
            }
            Action::Order(order) => send_all(core, &directory, Input::Request(order)),
        }
    }
    send_all(core, &directory, Input::Tick);
    Ok(())
}

/// Sets the metrics of the number of moves per phase.
fn record_metrics(moves: &BTreeMap<id::Version, Move>) {
    let phases = [
        Phase::Planned,
        Phase::Canary,
        Phase::Ramping,
        Phase::Done,
        Phase::Reverted,
    ];
    for phase in phases {
        let count = moves.values().filter(|known| known.phase == phase).count();
        let labels = [phase.to_string()];
        METRICS
            .moves
            .with_label_values(&labels)
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}

/// Passes an input to the order tracker and sends the resulting messages.
fn send_all(core: &Rc<Core>, directory: &Directory, input: Input) {
    for message in core.move_coordinator.step(core, input) {
        let order = match &message {
            Message::Query(order) | Message::Send(order, _) => order.clone(),
        };
        let address = directory
            .upstreams
            .get(&order.upstream)
            .map(|upstream| upstream.address);
        if let Some(address) = address {
            task::spawn_local(send(core.clone(), address, order, message));
        }
    }
}

/// Sends one message to an engine and passes its answer, or the loss of it, to the order tracker.
async fn send(core: Rc<Core>, address: std::net::SocketAddr, order: Order, message: Message) {
    // The lease is checked right before sending, without an await in between, so that a leader that
    // was suspended sends nothing when it resumes.
    if !core.is_leading() {
        return;
    }
    let answer = match message {
        Message::Query(_) => order::query(address, &order).await,
        Message::Send(_, fencing) => order::send(address, &order, fencing).await,
    };
    let input = match answer {
        Ok(answer) => Input::Answer(order.id, answer),
        Err(error) => {
            log::debug!("{} gave no answer to {}: {error}", order.upstream, order.id);
            Input::Lost(order.id)
        }
    };
    let directory = core.feed.borrow().directory().clone();
    send_all(&core, &directory, input);
}
