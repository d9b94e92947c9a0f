//! Explains where a request would go now, without sending or reserving anything. The decision is made
//! by the code that places requests, on a copy of the dispatcher.

use std::time::{Duration, Instant};

use gooseberrylb_config::answer::placement::{Explanation, Verdict};

use super::service::Service;
use super::{Decision, Dispatcher, Reason, Request};

impl Dispatcher {
    /// Returns where a request would go now.
    pub fn explain(&self, request: Request, now: Instant) -> Explanation {
        let request = request.bounded();
        let service = self.services.get(&request.service);
        let candidates = service.map(|service| service.candidates(&request, now));
        let waiting = service.map_or(0, Service::queued_count);
        let mut copy = self.clone();
        let key = request.key.clone();
        let name = request.service.clone();
        let verdict = match copy.place(request, now) {
            Decision::Grant(upstream) => Verdict::Granted(upstream),
            Decision::Wait => {
                let service = copy.services.get(&name);
                let ahead = service.map_or(0, |service| service.ahead_of(&key));
                Verdict::Waits { ahead }
            }
            Decision::Refuse(reason, pause) => refused(reason, pause),
            Decision::Unknown => Verdict::Unknown,
        };
        Explanation {
            verdict,
            waiting,
            candidates: candidates.unwrap_or_default(),
        }
    }
}

/// Returns the verdict on a request that is refused.
pub fn refused(reason: Reason, pause: Duration) -> Verdict {
    Verdict::Refused {
        reason: format!("{reason:?}").into(),
        retry_after_ms: millis(pause),
    }
}

/// Returns a time in milliseconds.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
