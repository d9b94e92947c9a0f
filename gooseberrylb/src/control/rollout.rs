//! Drives rollouts on the leader: decides the next steps from what the dispatcher observed, and
//! proposes them. A step takes effect only once the replicated log has accepted it.

use std::rc::Rc;
use std::time::Duration;

use async_std::task;
use gooseberrylb_config::settings::timing;
use gooseberrylb_control::state::Command;
use gooseberrylb_policy::rollout;

use super::core::Core;
use super::lead;

/// Interval between two checks of the rollouts. It does not delay the protection against a bad
/// release, which the dispatcher already sends no requests by then.
const INTERVAL: Duration = Duration::from_millis(250);

/// Proposes due rollout steps while this instance is the leader.
pub async fn run(core: Rc<Core>) {
    loop {
        task::sleep(INTERVAL).await;
        for step in due_steps(&core) {
            let (service, stage) = (step.service.clone(), step.stage);
            log::info!(service:% = service, number = step.number, stage:% = stage, cause:% = step.reason; "proposing a rollout step");
            if let Err(error) = lead::propose(&core, &Command::RolloutStep(step)).await {
                log::warn!(service:% = service, stage:% = stage, error:% = error; "rollout step was not accepted");
            }
        }
    }
}

/// Returns the steps to be taken now by the rollouts that are not over.
fn due_steps(core: &Core) -> Vec<gooseberrylb_config::directory::rollout::Step> {
    let directory = core.feed.borrow().directory().clone();
    let open = directory.rollouts.iter();
    let open = open.filter(|(_, rollout)| !rollout.stage.is_over());
    let (now, wall) = (core.clock.now(), core.clock.wall());
    open.filter_map(|(service, rollout)| {
        let observation = core.dispatch.rollout_observation(core, service, now)?;
        rollout::decide(service, rollout, &observation, timing::MAX_LEASE, wall)
    })
    .collect()
}
