//! Relays a response body to the caller while it arrives. If the upstream fails and the route
//! allows it, an event stream is resumed at another upstream.

use std::time::{Duration, Instant};

use async_std::future;
use futures::future::Either;
use gooseberrylb_config::declaration::Retry;
use gooseberrylb_policy::crash::Ending;
use gooseberrylb_policy::dispatch::Outcome;
use gooseberrylb_policy::reach::Symptom;

use super::backpressure::SLOW_WRITE;
use super::caller::response_head;
use super::events::Scanner;
use super::forward::{Exchange, Forwarder, Lease};
use super::http::{Body, Connection, Framing, Progress, Response};

/// How the relay of a response ended. The names of the variants appear in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The whole response was relayed.
    Whole,
    /// The caller closed its connection.
    CallerGone,
    /// The upstream failed before the end of the response.
    Broken,
    /// The deadline of the request passed.
    Late,
}

/// Result and timing of a relayed response, as its caller saw it.
#[derive(Debug, Clone, Copy)]
pub struct Transfer {
    /// How the relay ended.
    pub end: End,
    /// Number of complete events received from upstreams.
    pub events: u64,
    /// Time at which the first part of the body arrived.
    pub first: Option<Instant>,
    /// Longest time between two consecutive parts of the body.
    pub longest_gap: Duration,
    /// Framing of the last upstream's response.
    pub framing: Framing,
    /// Number of bytes received after the last complete event.
    pub partial_bytes: usize,
}

impl Transfer {
    fn new(framing: Framing) -> Self {
        Self {
            end: End::Broken,
            events: 0,
            first: None,
            longest_gap: Duration::ZERO,
            framing,
            partial_bytes: 0,
        }
    }

    /// Records a part of the body that arrived at `now`; the part before it arrived at `last`.
    fn record_part(&mut self, last: Instant, now: Instant) {
        if self.first.is_some() {
            let gap = now.saturating_duration_since(last);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.first.get_or_insert(now);
    }

    /// Returns the result with its end and its number of events.
    fn finish(self, end: End, events: &Scanner) -> Self {
        Self {
            end,
            events: events.count,
            partial_bytes: events.unfinished().len(),
            ..self
        }
    }
}

/// Next thing that happens to a response in transfer.
enum Step {
    /// The upstream sent bytes.
    Bytes,
    /// The upstream closed its connection.
    End,
    /// The connection to the upstream failed, or the body is malformed.
    Broken,
    /// The deadline of the request passed.
    Late,
    /// The caller closed its connection.
    CallerGone,
}

/// Relays the response of `exchange` to the caller.
///
/// A truncated response must not look complete, so the connection to the caller has to be closed
/// unless the result is [`End::Whole`].
pub async fn relay(
    forwarder: &mut Forwarder,
    exchange: Box<Exchange>,
    caller: &mut Connection,
    closes: bool,
) -> Transfer {
    let framing = caller_framing(forwarder, &exchange.response);
    let ends_at_close = framing == Framing::UntilClose;
    if ends_at_close {
        // Holds for the end of this process as well.
        caller.reset_on_close(true);
    }
    let transfer = relay_body(forwarder, exchange, caller, framing, closes).await;
    if ends_at_close && transfer.end == End::Whole {
        caller.reset_on_close(false);
    }
    transfer
}

/// Returns the framing of the response to the caller, given that of the upstream.
fn caller_framing(forwarder: &Forwarder, response: &Response) -> Framing {
    let chunked = forwarder.request.accepts_chunked;
    match response.framing {
        // A length would have to be kept even if the stream turns out to be truncated.
        Framing::Length(_) if forwarder.is_event_stream(response) && chunked => Framing::Chunked,
        Framing::Length(length) => Framing::Length(length),
        Framing::Empty => Framing::Empty,
        Framing::Chunked | Framing::UntilClose if chunked => Framing::Chunked,
        Framing::Chunked | Framing::UntilClose => Framing::UntilClose,
    }
}

/// Relays a response with its head.
///
/// A stream that ends inside an event is truncated, whatever its framing says. Of a resumable
/// stream only complete events are relayed, so that another upstream can continue after the last
/// one.
async fn relay_body(
    forwarder: &mut Forwarder,
    mut exchange: Box<Exchange>,
    caller: &Connection,
    framing: Framing,
    closes: bool,
) -> Transfer {
    let streams = forwarder.is_event_stream(&exchange.response);
    let resumable = streams && forwarder.route.retry == Retry::Resume;
    let mut events = Scanner::default();
    let mut out = response_head(&exchange.response, framing, closes);
    let mut body = Body::new(exchange.response.framing);
    let mut transfer = Transfer::new(exchange.response.framing);
    let mut first = None;
    let mut last = exchange.sent_at;
    let mut events_before = 0;
    let mut is_caller_slow = false;
    loop {
        let mut data = Vec::new();
        let decoded = body.decode(exchange.connection.unread(), &mut data);
        let (progress, broken) = match decoded {
            Ok((used, progress)) => {
                exchange.connection.consume(used);
                (progress, false)
            }
            Err(_) => (Progress::More, true),
        };
        if !data.is_empty() {
            let now = forwarder.gateway.core.clock.now();
            transfer.record_part(last, now);
            last = now;
            first.get_or_insert(last);
            if resumable {
                let pending = events.unfinished().to_vec();
                let complete = events.scan(&data);
                if complete > 0 {
                    let parts = [&pending[..], &data[..complete]];
                    write_data(&mut out, framing, &parts.concat());
                }
            } else {
                if streams {
                    events.scan(&data);
                }
                write_data(&mut out, framing, &data);
            }
        }
        let is_truncated = events.is_inside_event();
        let is_whole = progress == Progress::Done && !is_truncated;
        if is_whole {
            write_end(&mut out, framing, resumable.then_some(&events));
        }
        if !out.is_empty() {
            let clock = &forwarder.gateway.core.clock;
            let began = clock.now();
            if forwarder.gateway.held.write(caller, &out).await.is_err() {
                return transfer.finish(End::CallerGone, &events);
            }
            is_caller_slow |= clock.now() >= began + SLOW_WRITE;
            out.clear();
        }
        if is_whole {
            let outcome =
                served_outcome(exchange.sent_at, first, last, events.count - events_before);
            finish_whole(forwarder, *exchange, Ending::Served, outcome);
            return transfer.finish(End::Whole, &events);
        }
        let is_over = progress == Progress::Done || events.is_event_too_large();
        let step = match broken || is_over {
            true => Step::Broken,
            false => wait_next(forwarder, &mut exchange.connection, caller).await,
        };
        // Without a framing, a crash looks like the end of the stream.
        let has_event = events.count > events_before;
        match step {
            Step::Bytes => {}
            Step::End if body.ends_at_close() && has_event && !is_truncated => {
                write_end(&mut out, framing, resumable.then_some(&events));
                if forwarder.gateway.held.write(caller, &out).await.is_err() {
                    return transfer.finish(End::CallerGone, &events);
                }
                let outcome =
                    served_outcome(exchange.sent_at, first, last, events.count - events_before);
                let ending = Ending::of_complete(false, wrote_for(first, last));
                finish_whole(forwarder, *exchange, ending, outcome);
                return transfer.finish(End::Whole, &events);
            }
            Step::CallerGone => return transfer.finish(End::CallerGone, &events),
            Step::Late => return transfer.finish(End::Late, &events),
            Step::End | Step::Broken => {
                let now = forwarder.gateway.core.clock.now();
                let wrote = first.map(|first| now.saturating_duration_since(first));
                log::info!(
                    id = forwarder.id(), upstream:% = exchange.lease, events = events.count,
                    own_events = events.count - events_before,
                    wrote_ms = wrote.map_or("-".to_owned(), |time| time.as_millis().to_string()),
                    parts = forwarder.parts(), content:% = forwarder.content, framing:? = transfer.framing,
                    partial_bytes = events.unfinished().len();
                    "the upstream failed during a response"
                );
                let is_malformed = broken || is_over;
                let Exchange {
                    lease, connection, ..
                } = *exchange;
                // The upstream may go on with the request for as long as its connection is open, while
                // another one resumes it.
                drop(connection);
                match lease {
                    // Upstreams cut off a response that is not read.
                    Lease::Grant(grant) if is_caller_slow => grant.end(Outcome::Dropped),
                    Lease::Grant(grant) if is_malformed => grant.end(Outcome::Failed),
                    Lease::Grant(grant) => {
                        let ending = Ending::of_broken(wrote);
                        forwarder.end_failed(grant, Symptom::Lost, Outcome::Failed, ending);
                    }
                    Lease::Delegate(_) => {}
                }
                let resumed_after = forwarder.metadata.last_event;
                let last_event = events.last_id.or(resumed_after).unwrap_or(0);
                let resumed = match resumable {
                    true => {
                        let resuming = std::pin::pin!(forwarder.resume(last_event));
                        let caller_gone = std::pin::pin!(caller.closed());
                        match futures::future::select(resuming, caller_gone).await {
                            Either::Left((resumed, _)) => resumed,
                            Either::Right(_) => return transfer.finish(End::CallerGone, &events),
                        }
                    }
                    false => None,
                };
                let Some(resumed) = resumed else {
                    return transfer.finish(End::Broken, &events);
                };
                log::info!(
                    id = forwarder.id(), upstream:% = resumed.lease, last = last_event;
                    "another upstream resumes the stream"
                );
                events.drop_unfinished();
                exchange = resumed;
                body = Body::new(exchange.response.framing);
                transfer.framing = exchange.response.framing;
                first = None;
                last = exchange.sent_at;
                events_before = events.count;
            }
        }
    }
}

/// Reports the end of a complete response and keeps the connection, if it may be reused.
fn finish_whole(forwarder: &Forwarder, exchange: Exchange, ending: Ending, outcome: Outcome) {
    let gateway = &forwarder.gateway;
    let keep_alive = exchange.response.keep_alive;
    let until = keep_alive.map(|keep_alive| gateway.core.clock.now() + keep_alive);
    match exchange.lease {
        Lease::Grant(grant) => {
            if let Some(until) = until {
                let address = grant.listed.address;
                gateway.pool.keep(address, exchange.connection, until);
            }
            forwarder.record_ending(&grant, ending);
            grant.end(outcome);
        }
        Lease::Delegate(address) => {
            if let Some(until) = until {
                gateway.delegates.keep(address, exchange.connection, until);
            }
        }
    }
}

/// Returns the outcome of a complete response. If it had no body, `first` counts as `last`.
fn served_outcome(sent_at: Instant, first: Option<Instant>, last: Instant, events: u64) -> Outcome {
    let first = first.unwrap_or(last);
    Outcome::Served {
        first: first.saturating_duration_since(sent_at),
        rest: last.saturating_duration_since(first),
        events,
    }
}

/// Returns the time from the first to the last part of a body.
fn wrote_for(first: Option<Instant>, last: Instant) -> Duration {
    first.map_or(Duration::ZERO, |first| {
        last.saturating_duration_since(first)
    })
}

/// Waits for bytes from the upstream, the end of either connection, or the deadline.
async fn wait_next(forwarder: &Forwarder, upstream: &mut Connection, caller: &Connection) -> Step {
    let now = forwarder.gateway.core.clock.now();
    let left = forwarder.deadline.saturating_duration_since(now);
    if left == Duration::ZERO {
        return Step::Late;
    }
    let reading = std::pin::pin!(upstream.fill());
    let caller_gone = std::pin::pin!(caller.closed());
    let either = futures::future::select(reading, caller_gone);
    match future::timeout(left, either).await {
        Err(_) => Step::Late,
        Ok(Either::Left((Ok(0), _))) => Step::End,
        Ok(Either::Left((Ok(_), _))) => Step::Bytes,
        Ok(Either::Left((Err(_), _))) => Step::Broken,
        Ok(Either::Right(_)) => Step::CallerGone,
    }
}

/// Appends `data` to `out`, as one chunk if the framing is chunked.
fn write_data(out: &mut Vec<u8>, framing: Framing, data: &[u8]) {
    use std::io::Write;
    match framing {
        Framing::Chunked => {
            // Writing to a Vec cannot fail.
            write!(out, "{:x}\r\n", data.len()).ok();
            out.extend_from_slice(data);
            out.extend_from_slice(b"\r\n");
        }
        Framing::Empty | Framing::Length(_) | Framing::UntilClose => out.extend_from_slice(data),
    }
}

/// Appends the end of a complete response to `out`, with the bytes that `held_back` has kept.
fn write_end(out: &mut Vec<u8>, framing: Framing, held_back: Option<&Scanner>) {
    if let Some(events) = held_back
        && !events.unfinished().is_empty()
    {
        write_data(out, framing, events.unfinished());
    }
    if framing == Framing::Chunked {
        out.extend_from_slice(b"0\r\n\r\n");
    }
}

#[cfg(test)]
mod tests;
