//! Rollouts on the leader: the pure decision is fed with what the dispatcher saw, and its steps are
//! accepted by the control log before anybody acts on them.

use std::rc::Rc;
use std::time::Duration;

use async_std::task;
use gooseberrylb_control::state::Command;
use gooseberrylb_policy::rollout;

use super::core::Core;
use super::{follow, lead};

/// The time between two looks at the rollouts; a release that is bad gets nothing before this anyhow.
const INTERVAL: Duration = Duration::from_millis(250);

/// Looks after the rollouts whenever this instance dispatches.
pub async fn run(core: Rc<Core>) {
    loop {
        task::sleep(INTERVAL).await;
        for step in due_steps(&core) {
            let (service, stage) = (step.service.clone(), step.stage);
            log::info!(service:% = service, number = step.number, stage:% = stage, cause:% = step.reason; "a rollout takes a step");
            if let Err(error) = lead::propose(&core, &Command::RolloutStep(step)).await {
                log::warn!(service:% = service, stage:% = stage, error:% = error; "a rollout's step was not accepted");
            }
        }
    }
}

fn due_steps(core: &Core) -> Vec<gooseberrylb_config::directory::rollout::Step> {
    let directory = core.feed.borrow().directory().clone();
    let open = directory.rollouts.iter();
    let open = open.filter(|(_, rollout)| !rollout.stage.is_over());
    let (now, wall) = (core.clock.now(), core.clock.wall());
    open.filter_map(|(service, rollout)| {
        let observation = core.dispatch.rollout_observation(core, service, now)?;
        rollout::decide(service, rollout, &observation, follow::LEASE_DURATION, wall)
    })
    .collect()
}
