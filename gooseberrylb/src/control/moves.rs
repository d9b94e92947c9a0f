//! Carries the moves between versions on while this instance leads: decides their steps, and has
//! engines ordered to load what the new versions need.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use async_std::task;
use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Fencing, Term};
use gooseberrylb_control::state::Command;
use gooseberrylb_policy::moves::controller::{Action, Controller};
use gooseberrylb_policy::moves::evidence::{Evidence, Report};
use gooseberrylb_policy::moves::order::{Input, Message, Order, Tracker};
use gooseberrylb_policy::moves::weights::{self, Rate};
use gooseberrylb_policy::moves::{Move, Phase};

use super::Failure;
use super::core::Core;
use super::follow::LEASE;
use crate::metrics::METRICS;
use crate::upstream::order;

/// What the leader needs for the moves besides the control state.
#[derive(Default)]
pub struct Desk {
    evidence: RefCell<Evidence>,
    book: RefCell<Option<(Term, Tracker)>>,
}

impl Desk {
    /// Takes in what a scheduler has seen.
    pub fn merge(&self, core: &Core, report: Report) {
        self.evidence.borrow_mut().merge(core.clock.wall(), report);
    }

    /// Stops ordering, since this instance does not lead any more.
    pub fn close(&self) {
        self.book.take();
    }

    /// Feeds the book of orders, as long as this instance may order.
    fn feed(&self, core: &Core, input: Input) -> Vec<Message> {
        let mut book = self.book.borrow_mut();
        let Some((_, book)) = book.as_mut() else {
            return Vec::new();
        };
        // Nothing is ordered without the lease; it may come back in the same term.
        if !core.is_leading() {
            return Vec::new();
        }
        book.step(core.clock.now(), input)
    }

    fn weights(&self, rate: Option<Rate>) -> weights::State {
        let book = self.book.borrow();
        let book = book.as_ref().map(|(_, book)| book);
        weights::State {
            rate,
            confirmed: book.map(Tracker::confirmed).unwrap_or_default(),
            refused: book.map(Tracker::refused).unwrap_or_default(),
        }
    }

    /// Opens the book of a term; orders wait until the leases of earlier leaders have lapsed.
    fn open(&self, term: Term, since: Instant) {
        let mut book = self.book.borrow_mut();
        if book.as_ref().is_none_or(|(of, _)| *of != term) {
            *book = Some((term, Tracker::new(Fencing(term.0), since + LEASE)));
        }
    }
}

/// The moves that may still take a step.
pub fn open_moves(core: &Core) -> BTreeMap<id::Version, Move> {
    let state = core.state.borrow();
    let open = state.open_moves();
    open.map(|known| (known.version.clone(), known.clone()))
        .collect()
}

/// Takes the steps that are due and sends the orders that are wanted.
pub async fn step(core: &Rc<Core>) -> Result<(), Failure> {
    let (Some(status), Some(since)) = (core.status(), core.leader_since.get()) else {
        return Ok(());
    };
    core.desk.open(status.term, since);
    let moves = open_moves(core);
    count(&moves);
    let directory = core.feed.borrow().directory().clone();
    let wall = core.clock.wall();
    let rate = core.settings.weight_store_bytes_per_second.map(Rate);
    let weights = core.desk.weights(rate);
    let actions = {
        let mut evidence = core.desk.evidence.borrow_mut();
        evidence.retain(|version| moves.contains_key(version));
        Controller::new().decide(wall, &moves, &directory, &evidence, &weights)
    };
    for action in actions {
        match action {
            Action::Step(step) => {
                log::info!(
                    "{} {} at {}: {}",
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

fn count(moves: &BTreeMap<id::Version, Move>) {
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

fn send_all(core: &Rc<Core>, directory: &Directory, input: Input) {
    for message in core.desk.feed(core, input) {
        let of = match &message {
            Message::Query(order) | Message::Send(order, _) => order.clone(),
        };
        let address = directory
            .upstreams
            .get(&of.upstream)
            .map(|upstream| upstream.address);
        if let Some(address) = address {
            task::spawn_local(send(core.clone(), address, of, message));
        }
    }
}

/// Sends one message to an engine and feeds the book with what came of it.
async fn send(core: Rc<Core>, address: std::net::SocketAddr, of: Order, message: Message) {
    // The lease is looked at in the same step as the sending, so that a leader that was frozen sends
    // nothing when it thaws.
    if !core.is_leading() {
        return;
    }
    let answer = match message {
        Message::Query(_) => order::query(address, &of).await,
        Message::Send(_, fencing) => order::send(address, &of, fencing).await,
    };
    let input = match answer {
        Ok(answer) => Input::Answer(of.id, answer),
        Err(error) => {
            log::debug!("{} gave no answer to {}: {error}", of.upstream, of.id);
            Input::Lost(of.id)
        }
    };
    let directory = core.feed.borrow().directory().clone();
    send_all(&core, &directory, input);
}
