//! Declarations, the upstreams listed by the platform, and rollouts of their releases.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use gooseberrylb_config::directory::rollout::{Rollout, Step};
use gooseberrylb_config::{declaration, directory, id};

use super::audit::Kind;
use super::{Reply, State};

impl State {
    /// Puts a declaration in force if its version is higher than the current one.
    pub(super) fn set_declaration(
        &mut self,
        text: &Arc<declaration::Text>,
        at: SystemTime,
    ) -> Reply {
        let current = self
            .directory
            .declaration
            .as_ref()
            .map(|text| text.version());
        if current.is_some_and(|current| current >= text.version()) {
            return Reply::Stale;
        }
        self.directory.declaration = Some(text.clone());
        self.increment_revision();
        let subject = format!("declaration {}", text.version());
        let cause = match current {
            Some(current) => format!("in place of version {current}"),
            None => "the first one".to_owned(),
        };
        self.audit
            .add(at, "operator", Kind::Declaration, subject, cause);
        Reply::Applied
    }

    /// Applies changes of the platform's list of upstreams.
    pub(super) fn update_upstreams(
        &mut self,
        set: &[(id::Upstream, Arc<directory::ListedUpstream>)],
        removed: &[id::Upstream],
    ) -> Reply {
        for name in removed {
            self.directory.listed.remove(name);
        }
        self.directory.listed.extend(set.iter().cloned());
        self.increment_revision();
        Reply::Applied
    }

    /// Starts a rollout.
    ///
    /// Returns [`Reply::Stale`] for a repeated order, which changes nothing, and [`Reply::Busy`]
    /// while another rollout of the service is in progress.
    pub(super) fn start_rollout(
        &mut self,
        service: &id::Service,
        release: &Arc<str>,
        window: Duration,
        at: SystemTime,
    ) -> Reply {
        if let Some(current) = self.directory.rollouts.get(service) {
            if current.is_resend(release, at) {
                return Reply::Stale;
            }
            if !current.stage.is_over() {
                return Reply::Busy;
            }
        }
        let mut rollout = Rollout::new(release.clone(), at, window);
        if let Some(earlier) = self.directory.rollouts.get(service) {
            rollout = rollout.with_refused_from(earlier);
        }
        self.directory.rollouts.insert(service.clone(), rollout);
        self.increment_revision();
        let subject = format!("rollout of {service} to {release}");
        let cause = format!("ordered, to be over in {} s", window.as_secs_f64());
        let kind = Kind::Rollout;
        self.audit.add(at, "operator", kind, subject, cause);
        Reply::Applied
    }

    /// Applies the next step of a rollout.
    pub(super) fn step_rollout(&mut self, step: &Step) -> Reply {
        let actor = self.leader_name();
        let Some(current) = self.directory.rollouts.get_mut(&step.service) else {
            return Reply::Stale;
        };
        if step.number != current.steps + 1 || current.stage.is_over() {
            return Reply::Stale;
        }
        current.steps = step.number;
        current.stage = step.stage;
        current.since = step.at;
        current.reason = step.reason.clone();
        let subject = format!("rollout of {} to {}", step.service, current.release);
        let cause = format!("step {}, {}: {}", step.number, step.stage, step.reason);
        self.increment_revision();
        self.audit
            .add(step.at, actor, Kind::Rollout, subject, cause);
        Reply::Applied
    }
}
