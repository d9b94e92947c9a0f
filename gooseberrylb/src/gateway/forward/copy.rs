//! Second copies of slow requests. See `docs/design/second-copies.md`.

use std::cell::Cell;
use std::time::Duration;

use async_std::task;
use futures::future::Either;
use gooseberrylb_config::declaration::Retry;

use super::exchange::{Delivery, Failure};
use super::{Forwarder, Grant};
use crate::metrics::METRICS;

/// Outcome of an attempt.
type Attempt = std::result::Result<Delivery, Failure>;

impl Forwarder {
    /// Sends the request to the granted upstream, and a copy to another one if the response is slow. The
    /// first good response is taken, and the other request is cancelled by closing its connection.
    pub(super) async fn attempt_with_copy(&mut self, grant: Grant) -> Attempt {
        let Some(due) = grant.copy_due.filter(|_| self.may_copy()) else {
            return self.attempt(grant, None).await;
        };
        let mut copy = self.copy(&grant);
        let first_upstream = grant.upstream.clone();
        let was_sent = Cell::new(false);
        let (result, copy_won) = {
            let first = std::pin::pin!(self.attempt(grant, None));
            let second = std::pin::pin!(copy.run_copy(due, &was_sent));
            match futures::future::select(first, second).await {
                // The copy may still bring what the first attempt did not.
                Either::Left((result, second)) if !is_good(&result) && was_sent.get() => {
                    match second.await {
                        Some(good) if is_good(&good) => (good, true),
                        other => (join(result, other.as_ref()), false),
                    }
                }
                Either::Left((result, _cancelled)) => (result, false),
                Either::Right((Some(good), _cancelled)) if is_good(&good) => (good, true),
                // No copy was sent, or it was no better.
                Either::Right((other, first)) => (join(first.await, other.as_ref()), false),
            }
        };
        if was_sent.get() {
            self.attempts += 1;
            let event = if copy_won { "won" } else { "lost" };
            METRICS.copies.with_label_values(&[event]).inc();
        }
        if let Some(upstream) = copy.last_upstream.filter(|_| was_sent.get()) {
            if copy_won {
                self.excluded.push(first_upstream);
                self.last_upstream = Some(upstream);
            } else {
                self.excluded.push(upstream);
            }
        }
        result
    }

    /// Whether a copy of the request may be sent: if it may run any number of times and its route and the
    /// retry budget allow another attempt.
    fn may_copy(&self) -> bool {
        self.route.retry == Retry::Any
            && !self.route.streams
            && self.attempts + 1 < self.route.max_attempts
            && !self.delegated
    }

    /// Returns the state for a copy of the request beside an attempt at the upstream of `grant`.
    fn copy(&self, grant: &Grant) -> Self {
        let mut excluded = self.excluded.clone();
        excluded.push(grant.upstream.clone());
        Self {
            gateway: self.gateway.clone(),
            request: self.request.clone(),
            body: self.body.clone(),
            metadata: self.metadata.clone(),
            route: self.route.clone(),
            account: self.account.clone(),
            content: self.content,
            arrived: self.arrived,
            deadline: self.deadline,
            excluded,
            // The first attempt counts, so that the copy draws on the retry budget.
            attempts: self.attempts + 1,
            sent: self.sent,
            last_upstream: None,
            placement_wait: self.placement_wait,
            alone: false,
            confirmed: None,
            charged: true,
            delegated: self.delegated,
            delegate: None,
        }
    }

    /// Sends the copy once it is due. Returns `None` if none may be sent then.
    async fn run_copy(&mut self, due: Duration, was_sent: &Cell<bool>) -> Option<Attempt> {
        task::sleep(due).await;
        if !self.has_retry_left() {
            return None;
        }
        let request = self.placement_request()?;
        let grant = self.gateway.placer.place_copy(request).await;
        let Some(grant) = grant.filter(|grant| self.gateway.placer.is_available(grant)) else {
            METRICS.copies.with_label_values(&["refused"]).inc();
            return None;
        };
        log::info!(
            id = self.id(), upstream:% = grant.upstream, after_ms = due.as_millis() as u64;
            "sending a second copy of a slow request"
        );
        self.last_upstream = Some(grant.upstream.clone());
        was_sent.set(true);
        Some(self.attempt(grant, None).await)
    }
}

/// Returns the result of the first attempt, beside a copy that was no better. If the copy may have run, the
/// first must not say that the request has not.
fn join(first: Attempt, copy: Option<&Attempt>) -> Attempt {
    let copy_may_have_run = match copy {
        None => false,
        Some(Err(Failure::NotRun | Failure::ConnectFailed | Failure::Withdrawn)) => false,
        Some(Ok(_) | Err(_)) => true,
    };
    match first {
        Err(Failure::NotRun | Failure::ConnectFailed | Failure::Withdrawn) if copy_may_have_run => {
            Err(Failure::Unknown("the upstream failed"))
        }
        other => other,
    }
}

/// Whether an attempt brought a response that no other is waited for.
fn is_good(result: &Attempt) -> bool {
    match result {
        Ok(Delivery::Buffered(response, _)) => (200..300).contains(&response.status),
        Ok(Delivery::Streamed(_)) => true,
        Ok(Delivery::Fault(_)) | Err(_) => false,
    }
}

#[cfg(test)]
mod tests;
