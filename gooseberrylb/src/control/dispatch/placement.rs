//! Answers where a request would go now.

use std::sync::Arc;
use std::time::Duration;

use gooseberrylb_config::answer::placement::{Explanation, Placement};
use gooseberrylb_config::declaration::{Account, Route};
use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_policy::dispatch::{Key, Rank, Reason, Request, explain, objective};
use serde::{Deserialize, Serialize};

use super::{Host, units};
use crate::control::Core;
use crate::control::homes::{Homes, NO_UPSTREAM_PAUSE};

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
        let service = request.as_ref().map(|(service, _)| service.clone());
        let explanation = request
            .filter(|_| can_answer)
            .map(|(_, request)| match request {
                Some(request) => {
                    let dispatcher = self.dispatcher.borrow();
                    dispatcher.explain(request, core.clock.now())
                }
                None => Explanation {
                    verdict: explain::refused(Reason::NoUpstream, NO_UPSTREAM_PAUSE),
                    waiting: 0,
                    candidates: Vec::new(),
                },
            });
        Placement {
            answered_by: own,
            decided_by,
            service,
            explanation,
        }
    }
}

/// Returns the service of a request, and its first attempt as an entry would ask for it unless no upstream
/// is in the regions that the request is restricted to; `None` if the route or the account is not known.
fn request(
    core: &Core,
    directory: &Directory,
    question: &Question,
    data_centre: Arc<str>,
) -> Option<(id::Service, Option<Request>)> {
    let table = core.table(directory)?;
    let declaration = &table.declaration;
    let mut routes = declaration.routes.iter();
    let route: &Route = routes.find(|route| route.name == question.route)?;
    let service = route.targets.iter().max_by_key(|target| target.weight)?;
    let mut accounts = declaration.accounts.iter();
    let account: Option<&Account> = match &question.account {
        Some(name) => Some(accounts.find(|known| known.name == *name)?),
        None => None,
    };
    let excluded = match Homes::new(route, account) {
        Some(homes) => homes.excluded(core, directory, &service.service),
        None => Some(Vec::new()),
    };
    let quota = account.and_then(|account| account.quota);
    let tokens = (question.prompt, question.output);
    let declared = declaration.services.get(&service.service);
    let stride = declared.and_then(|service| service.stride);
    let request = |excluded| Request {
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
        rank: Rank::new(account.and_then(|account| account.rank), route.rank),
        data_centre,
        prompt: stride.map_or(0, |_| question.prompt),
        events: stride.map_or(0, |stride| question.output / u64::from(stride)),
        objective: route.objective,
        hold: objective::hold(route, Duration::ZERO).min(route.time_limit),
        patience: route.time_limit,
        excluded,
    };
    Some((service.service.clone(), excluded.map(request)))
}
