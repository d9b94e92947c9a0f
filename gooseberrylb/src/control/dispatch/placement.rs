//! Answers where a request would go now.

use std::sync::Arc;

use gooseberrylb_config::answer::placement::Placement;
use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_policy::dispatch::{Key, Rank, Request};
use serde::{Deserialize, Serialize};

use super::{Host, units};
use crate::control::Core;

/// Request that is asked about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Name of the route.
    pub route: Arc<str>,
    /// Client account, if the request has one.
    pub account: Option<id::Account>,
    /// Data centre of the entry that takes the request.
    pub data_centre: Option<Arc<str>>,
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Expected output, in tokens.
    pub output: u64,
}

impl Host {
    /// Returns where a request would go now, as this instance's dispatcher sees it.
    pub fn explain(&self, core: &Core, question: &Question) -> Placement {
        let directory = core.feed.borrow().directory().clone();
        let own = core.identity.name.clone();
        let data_centre = question.data_centre.clone();
        let data_centre =
            data_centre.unwrap_or_else(|| core.identity.instance.data_centre.as_str().into());
        let plan = core.plan(&directory);
        let shard = id::DataCentre::new(&data_centre).ok();
        let shard = shard.and_then(|name| plan.shard_of(&name).cloned());
        let decided_by = match (plan.is_divided(), shard) {
            (true, shard) => shard.and_then(|shard| shard.dispatchers.first().cloned()),
            (false, _) => Some(own.clone()),
        };
        let request = request(core, &directory, question, data_centre);
        let can_answer = self.prepare(core);
        let service = request.as_ref().map(|request| request.service.clone());
        let explanation = request.filter(|_| can_answer).map(|request| {
            let dispatcher = self.dispatcher.borrow();
            dispatcher.explain(request, core.clock.now())
        });
        Placement {
            answered_by: own,
            decided_by,
            service,
            explanation,
        }
    }
}

/// Returns the first attempt of a request as an entry would ask for it; `None` if the route is not known.
fn request(
    core: &Core,
    directory: &Directory,
    question: &Question,
    data_centre: Arc<str>,
) -> Option<Request> {
    let table = core.table(directory)?;
    let declaration = &table.declaration;
    let route = declaration
        .routes
        .iter()
        .find(|r| r.name == question.route)?;
    let service = route.targets.iter().max_by_key(|target| target.weight)?;
    let accounts = declaration.accounts.iter();
    let account = question
        .account
        .as_ref()
        .and_then(|name| accounts.clone().find(|known| known.name == *name));
    let quota = account.and_then(|account| account.quota);
    let tokens = (question.prompt, question.output);
    let declared = declaration.services.get(&service.service);
    let stride = declared.and_then(|service| service.stride);
    let rank = account.and_then(|account| account.rank);
    Some(Request {
        key: Key {
            entry: core.identity.name.clone(),
            incarnation: 0,
            number: 0,
        },
        service: service.service.clone(),
        route: route.name.clone(),
        account: quota.and(question.account.clone()),
        units: quota.map_or(0.0, |quota| units(quota.unit, Some(tokens))),
        weight: quota.map_or(1.0, |quota| quota.per_second),
        rank: Rank {
            account: rank.unwrap_or(route.rank),
            route: route.rank,
        },
        data_centre,
        prompt: stride.map_or(0, |_| question.prompt),
        events: stride.map_or(0, |stride| question.output / u64::from(stride)),
        objective: route.objective,
        hold: route.time_limit.mul_f64(0.6),
        patience: route.time_limit,
        excluded: Vec::new(),
    })
}
