//! Evacuations of data centres: takes operators' orders, and on the leader shows the upstreams of
//! evacuated data centres as draining, so that nothing is placed there. See
//! `docs/design/evacuation.md`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::directory::evacuation::{Evacuation, Order, Overview};
use gooseberrylb_config::directory::{Directory, ListedUpstream};
use gooseberrylb_config::id;
use gooseberrylb_config::number::Revision;
use gooseberrylb_control::state::{Command, Reply, State};

use super::core::Core;
use super::{Answer, Failure, Handle, Question, lead};
use crate::metrics::METRICS;

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The order is part of the control state.
    Accepted,
    /// Neither an instance nor an upstream is in such a data centre.
    UnknownDataCentre,
}

/// Progress of evacuations towards being in force, as the leader sees it.
#[derive(Default)]
pub struct Progress {
    /// Revision that every instance must have, by data centre; `None` once all have.
    awaited: RefCell<BTreeMap<Arc<str>, Option<Revision>>>,
}

/// Submits an operator's order. A repeated order is accepted again.
pub async fn submit(control: &Handle, order: Order, at: SystemTime) -> Result<Outcome, Failure> {
    let known = match control.query(Question::Evacuations).await? {
        Answer::Found(text) => serde_json::from_str::<Overview>(&text),
        Answer::Missing => return Err(Failure::Unreachable),
    };
    let overview = match known {
        Ok(overview) => overview,
        Err(error) => {
            log::error!(error:% = error; "cannot decode the evacuations from the leader");
            return Err(Failure::Unreachable);
        }
    };
    let name = order.data_centre.clone();
    if !overview.known.contains(&name) && !overview.evacuated.contains_key(&name) {
        return Ok(Outcome::UnknownDataCentre);
    }
    let message = match order.active {
        true => "ordered an evacuation",
        false => "withdrew an evacuation",
    };
    let command = Command::List {
        set: Vec::new(),
        removed: Vec::new(),
        evacuations: vec![order],
        at,
    };
    let result = control.propose(command).await;
    log::info!(data_centre:% = name, outcome:? = result; "{message}");
    match result? {
        Reply::Applied | Reply::Stale => Ok(Outcome::Accepted),
        Reply::Accepted(_) | Reply::Conflict(_) | Reply::Invalid(_) | Reply::Busy => {
            log::error!(data_centre:% = name; "the control state gave an answer that does not fit an evacuation");
            Err(Failure::Unreachable)
        }
    }
}

/// Returns the known data centres and the evacuated ones.
pub fn overview(state: &State) -> Overview {
    let directory = state.directory();
    let instances = directory.instances.values();
    let instances = instances.map(|instance| instance.data_centre.as_str().into());
    let listed = directory.listed.values();
    let listed = listed.map(|upstream| upstream.data_centre.clone());
    Overview {
        known: instances.chain(listed).collect(),
        evacuated: state.evacuations().clone(),
    }
}

/// Shows an upstream as draining.
pub fn drain(listed: &mut Arc<ListedUpstream>) {
    if !listed.draining {
        Arc::make_mut(listed).draining = true;
    }
}

/// Marks the upstreams of evacuated data centres in the replicated list, without a read of the
/// platform's list, and logs which evacuations are in force everywhere. Only the leader calls this.
pub async fn step(core: &Rc<Core>) -> Result<(), Failure> {
    let (set, evacuated) = {
        let state = core.state.borrow();
        METRICS.evacuations.set(state.evacuations().len() as i64);
        let evacuated = state.evacuations().clone();
        let listed = state.directory().listed.iter();
        let withdrawn = listed
            .filter(|(_, listed)| !listed.draining && evacuated.contains_key(&listed.data_centre));
        let set = withdrawn.map(|(name, listed)| {
            let mut listed = listed.clone();
            drain(&mut listed);
            (name.clone(), listed)
        });
        let set: Vec<(id::Upstream, _)> = set.collect();
        (set, evacuated)
    };
    if !set.is_empty() {
        let command = Command::List {
            set,
            removed: Vec::new(),
            evacuations: Vec::new(),
            at: core.clock.wall(),
        };
        lead::propose(core, &command).await?;
    }
    log_progress(core, &evacuated);
    Ok(())
}

/// Logs each evacuation once every instance has the list that shows it.
fn log_progress(core: &Core, evacuated: &BTreeMap<Arc<str>, Evacuation>) {
    let mut awaited = core.evacuations.awaited.borrow_mut();
    awaited.retain(|name, _| evacuated.contains_key(name));
    let revision = core.feed.borrow().directory().revision;
    for (name, evacuation) in evacuated {
        let awaits = awaited.entry(name.clone()).or_insert(Some(revision));
        if let Some(revision) = awaits.filter(|revision| lead::is_in_force(core, *revision)) {
            *awaits = None;
            let passed = core.clock.wall().duration_since(evacuation.since);
            log::info!(
                data_centre:% = name, revision = revision.0,
                ms = passed.unwrap_or_default().as_millis() as u64;
                "an evacuation is in force"
            );
        }
    }
}

/// Logs the data centres whose upstreams get no requests any more, or get requests again, with a new
/// configuration.
pub fn log_changes(before: &Directory, after: &Directory) {
    let (before, now) = (usable(before), usable(after));
    for (name, is_usable) in &now {
        let was_usable = before.get(name).copied().unwrap_or(*is_usable);
        match (was_usable, is_usable) {
            (true, false) => {
                log::info!(data_centre:% = name, revision = after.revision.0; "the upstreams of a data centre get no requests");
            }
            (false, true) => {
                log::info!(data_centre:% = name, revision = after.revision.0; "the upstreams of a data centre get requests again");
            }
            (true, true) | (false, false) => {}
        }
    }
}

/// Returns whether any upstream may get requests, for each data centre that has some.
fn usable(directory: &Directory) -> BTreeMap<&Arc<str>, bool> {
    let mut usable = BTreeMap::new();
    for listed in directory.listed.values() {
        *usable.entry(&listed.data_centre).or_default() |= !listed.draining;
    }
    usable
}
