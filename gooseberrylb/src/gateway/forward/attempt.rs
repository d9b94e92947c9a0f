//! One attempt of a request at an upstream: sends it and reads the response.

use std::time::{Duration, Instant};

use async_std::future;
use futures::future::Either;
use gooseberrylb_config::dialect::{Outgoing, ResponseMetadata};
use gooseberrylb_policy::crash::Ending;
use gooseberrylb_policy::dispatch::Outcome;
use gooseberrylb_policy::reach::Symptom;

use super::exchange::{Delivery, Exchange, Failure, Lease};
use super::{Forwarder, write_field};
use crate::gateway::http::{self, Connection, Framing, Response};
use crate::gateway::memory;
use crate::gateway::place::Grant;
use crate::metrics::METRICS;

/// Size limit in bytes of responses that are buffered before they are sent to the caller. Until
/// then, a truncated response can be replaced by a retry or reported as an error.
const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// Minimum time to wait for the head of a response before the upstream counts as silent.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of late responses to earlier requests that are skipped on a connection.
const MAX_STALE_RESPONSES: u32 = 2;

impl Forwarder {
    /// Sends the request to the granted upstream and reads the response, or only its head if the
    /// body is to be relayed. A `last_event` asks for the events of a stream after that one.
    pub(super) async fn attempt(
        &mut self,
        grant: Grant,
        last_event: Option<u64>,
    ) -> std::result::Result<Delivery, Failure> {
        let now = self.now();
        let address = grant.listed.address;
        let connecting = self.gateway.pool.connect(address, now);
        let connected = future::timeout(self.time_left(), connecting).await;
        let (mut connection, is_new) = match connected {
            Ok(Ok((connection, is_new))) => {
                if is_new {
                    self.gateway.record_established(now);
                }
                (connection, is_new)
            }
            Ok(Err(error)) => {
                log::info!(
                    id = self.id(), upstream:% = grant.upstream, error:% = error;
                    "connecting to the upstream failed"
                );
                // Of other failures, the way from this entry may be the cause.
                let outcome = match error.kind() {
                    std::io::ErrorKind::ConnectionRefused => Outcome::Refused,
                    _ => Outcome::Failed,
                };
                self.end_failed(grant, Symptom::Unreached, outcome, Ending::Unclear);
                return Err(Failure::ConnectFailed);
            }
            Err(_) => return Err(Failure::ConnectFailed),
        };
        let time_left = self.time_left();
        if time_left.is_zero() {
            return Err(Failure::ConnectFailed);
        }
        // It may have been withdrawn while the connection was opened.
        let listed = &self.gateway.core.published().directory.listed;
        if listed.get(&grant.upstream).is_none_or(|u| u.draining) {
            log::info!(id = self.id(), upstream:% = grant.upstream; "the upstream was withdrawn before the request was sent");
            return Err(Failure::Withdrawn);
        }
        let head = self.request_head(&grant, time_left, last_event);
        let sent_at = self.now();
        if self.attempts > 0 {
            self.gateway.budget.borrow_mut().withdraw(sent_at);
        }
        self.attempts += 1;
        self.sent = true;
        self.confirmed = self.gateway.confirmation_age(sent_at);
        let response = match self.send(&grant, &mut connection, is_new, head).await {
            Ok((response, reply)) => {
                self.gateway.record_heard(&grant.upstream);
                if is_new {
                    self.gateway.record_worked(now);
                }
                if reply.not_run {
                    let outcome = match response.status {
                        421 => Outcome::Failed,
                        _ => Outcome::Full,
                    };
                    grant.end(outcome);
                    self.discard_body(response, connection, address).await;
                    return Err(Failure::NotRun);
                }
                response
            }
            Err(failure) => {
                let outcome = Outcome::Failed;
                match failure {
                    Failure::Lost(_) => {
                        let ending = Ending::of_broken(None);
                        self.end_failed(grant, Symptom::Lost, outcome, ending);
                    }
                    Failure::Silent | Failure::TimedOut => {
                        self.end_failed(grant, Symptom::Silent, outcome, Ending::Unclear);
                    }
                    Failure::ConnectFailed
                    | Failure::Withdrawn
                    | Failure::NotRun
                    | Failure::Unknown(_) => {
                        grant.end(outcome);
                    }
                }
                return Err(failure);
            }
        };
        if self.is_streamed(&response) {
            return Ok(Delivery::Streamed(Box::new(Exchange {
                lease: Lease::Grant(grant),
                connection,
                response,
                sent_at,
            })));
        }
        self.read_buffered(grant, connection, response, sent_at)
            .await
    }

    /// Whether the body of a response is relayed while it arrives.
    pub(in crate::gateway) fn is_streamed(&self, response: &Response) -> bool {
        let is_large = matches!(response.framing, Framing::Length(n) if n > MAX_BUFFERED_BYTES);
        self.is_event_stream(response) || is_large
    }

    /// Whether a response is a stream of events. What an upstream answers instead, such as an error, is
    /// neither resumed nor a part of a stream.
    pub(in crate::gateway) fn is_event_stream(&self, response: &Response) -> bool {
        self.route.streams && response.status == 200
    }

    /// Reads and drops the body of a response that is not sent to the caller, so that the
    /// connection can be reused.
    async fn discard_body(
        &self,
        response: Response,
        mut connection: Connection,
        address: std::net::SocketAddr,
    ) {
        let Some(keep_alive) = response.keep_alive else {
            return;
        };
        let body = connection.read_body(response.framing, MAX_BUFFERED_BYTES as usize);
        if let Ok(Ok(_)) = future::timeout(MIN_FIRST_BYTE_TIMEOUT, body).await {
            let until = self.now() + keep_alive;
            self.gateway.pool.keep(address, connection, until);
        }
    }

    /// Reads the body of the response in full and reports the outcome to the dispatcher.
    async fn read_buffered(
        &mut self,
        grant: Grant,
        mut connection: Connection,
        response: Response,
        sent_at: Instant,
    ) -> std::result::Result<Delivery, Failure> {
        let reading = self.read_body(&mut connection, response.framing);
        let body = match future::timeout(self.time_left(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                log::info!(
                    id = self.id(), upstream:% = grant.upstream, content:% = self.content, error:% = error;
                    "reading the response body failed"
                );
                let ending = Ending::of_broken(None);
                self.end_failed(grant, Symptom::Lost, Outcome::Failed, ending);
                return Err(Failure::Unknown("the upstream's answer broke off"));
            }
            Err(_) => return Err(Failure::TimedOut),
        };
        let now = self.now();
        if let Some(keep_alive) = response.keep_alive {
            let address = grant.listed.address;
            self.gateway
                .pool
                .keep(address, connection, now + keep_alive);
        }
        if response.status >= 500 {
            grant.end(Outcome::Failed);
            if self.may_repeat() {
                return Err(Failure::Unknown("the upstream failed"));
            }
            return Ok(Delivery::Buffered(response, body));
        }
        if (200..300).contains(&response.status) {
            let is_framed = response.framing != Framing::UntilClose;
            self.record_ending(&grant, Ending::of_complete(is_framed, Duration::ZERO));
        }
        grant.end(Outcome::Served {
            first: now.saturating_duration_since(sent_at),
            rest: Duration::ZERO,
            events: 0,
        });
        Ok(Delivery::Buffered(response, body))
    }

    /// Reads the body of a response in full, into the memory for these.
    pub(in crate::gateway) async fn read_body(
        &self,
        connection: &mut Connection,
        framing: Framing,
    ) -> std::result::Result<memory::Body, http::Error> {
        let limit = self.gateway.body_limit();
        let mut room = self.gateway.response_memory.room(self.time_left());
        let mut body = http::Body::new(framing);
        let bytes = connection
            .read_body_into(&mut body, limit, &mut room)
            .await?;
        Ok(memory::Body::new(bytes, room))
    }

    /// Writes the request and reads the head of its response.
    async fn send(
        &self,
        grant: &Grant,
        connection: &mut Connection,
        is_new: bool,
        head: Vec<u8>,
    ) -> std::result::Result<(Response, ResponseMetadata), Failure> {
        let sent = self.now();
        let writing = self.write_request(connection, head);
        let Ok(written) = future::timeout(self.time_left(), writing).await else {
            return Err(Failure::TimedOut);
        };
        if let Err(error) = written {
            log::info!(
                id = self.id(), upstream:% = grant.upstream, error:% = error;
                "writing the request failed"
            );
            return Err(Failure::Lost("the upstream closed the connection"));
        }
        let patience = self.route.objective.max(MIN_FIRST_BYTE_TIMEOUT);
        let for_head_request = self.request.method == "HEAD";
        let mut stale_responses = 0;
        let mut reported = false;
        loop {
            let timeout = if reported {
                self.time_left()
            } else {
                patience.min(self.time_left())
            };
            let response = match future::timeout(
                timeout,
                connection.read_response(for_head_request),
            )
            .await
            {
                Ok(Ok(response)) => response,
                Ok(Err(error)) => {
                    log::info!(
                        id = self.id(), upstream:% = grant.upstream, parts = self.parts(), content:% = self.content, error:% = error;
                        "an upstream gave no answer"
                    );
                    return Err(Failure::Lost("the upstream closed the connection"));
                }
                Err(_) if self.time_left().is_zero() => return Err(Failure::TimedOut),
                Err(_) if reported => continue,
                Err(_) => {
                    reported = true;
                    self.gateway.report_silence(grant);
                    log::info!(
                        id = self.id(), upstream:% = grant.upstream, waited_ms = patience.as_millis() as u64;
                        "no response from the upstream within the expected time"
                    );
                    if self.may_repeat() {
                        return Err(Failure::Silent);
                    }
                    continue;
                }
            };
            let reply = self
                .gateway
                .dialect
                .response_metadata(response.status, &response.fields.borrowed());
            // On a connection that was used before, a response without an id may be a late copy of
            // the one to the request before.
            let is_ours = match &reply.attempt {
                Some(_) => reply.attempt == self.metadata.attempt,
                None => is_new,
            };
            let is_success = (200..300).contains(&response.status);
            let is_own_success = is_success && reply.signed && !reply.encoded;
            let served = (is_ours && is_own_success).then_some(sent);
            self.record_statement(grant, &reply, served);
            if !is_ours && stale_responses < MAX_STALE_RESPONSES && response.keep_alive.is_some() {
                // This is the late response to an earlier request on the connection. The response
                // to this request follows it.
                stale_responses += 1;
                let rest = connection.read_body(response.framing, MAX_BUFFERED_BYTES as usize);
                if let Ok(Ok(_)) = future::timeout(self.time_left(), rest).await {
                    continue;
                }
            }
            if !is_ours || (is_success && !is_own_success) {
                log::info!(
                    id = self.id(), upstream:% = grant.upstream, status = response.status,
                    signed = reply.signed, own = is_ours;
                    "the response is not signed by the upstream for this request"
                );
                return Err(Failure::Unknown(
                    "the upstream gave an answer that is not its own",
                ));
            }
            return Ok((response, reply));
        }
    }

    /// Takes over what the upstream says of its availability.
    fn record_statement(&self, grant: &Grant, reply: &ResponseMetadata, served: Option<Instant>) {
        if let Some(value) = &reply.unreadable {
            METRICS.statements.with_label_values(&["unreadable"]).inc();
            log::info!(
                id = self.id(), upstream:% = grant.upstream, value:% = value;
                "ignoring an unreadable statement of an upstream on its availability"
            );
        }
        grant.record_statement(reply.statement, served);
        if let Some(left) = reply.cold_for {
            grant.record_cold(left);
        }
    }

    /// Writes the request. Stops early if the upstream responds before it has read the whole body.
    pub(in crate::gateway) async fn write_request(
        &self,
        connection: &mut Connection,
        mut head: Vec<u8>,
    ) -> std::io::Result<()> {
        const WRITE_BYTES: usize = 64 * 1024;
        if self.body.len() <= WRITE_BYTES {
            head.extend_from_slice(&self.body);
            return connection.write(&head).await;
        }
        connection.write(&head).await?;
        for part in self.body.chunks(WRITE_BYTES) {
            let answered_early = {
                let writing = std::pin::pin!(connection.write(part));
                let answered = std::pin::pin!(connection.readable());
                match futures::future::select(writing, answered).await {
                    Either::Left((written, _)) => {
                        written?;
                        false
                    }
                    Either::Right(_) => true,
                }
            };
            if answered_early {
                // The upstream still expects the rest of the body, so that it would read the next
                // request as a part of it.
                connection.disable_reuse();
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns the request line and the fields of the request that are forwarded, without those that
    /// `is_withheld` names and without the end of the head.
    pub(in crate::gateway) fn forwarded_head(&self, is_withheld: impl Fn(&str) -> bool) -> Vec<u8> {
        let mut head = Vec::with_capacity(1024 + self.body.len().min(64 * 1024));
        let request = &self.request;
        head.extend_from_slice(request.method.as_bytes());
        head.push(b' ');
        head.extend_from_slice(request.target.as_bytes());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        for field in request.fields.iter() {
            let name = field.name.as_str();
            let is_dropped = request.fields.is_hop_by_hop(name)
                || name.eq_ignore_ascii_case("Content-Length")
                || name.eq_ignore_ascii_case("Expect")
                || is_withheld(name);
            if !is_dropped {
                write_field(&mut head, name, &field.value);
            }
        }
        head
    }

    /// Returns the head of the request as it is sent to the upstream.
    fn request_head(&self, grant: &Grant, time_left: Duration, last_event: Option<u64>) -> Vec<u8> {
        let dialect = &self.gateway.dialect;
        let mut head = self.forwarded_head(|name| dialect.is_withheld(name));
        let request = &self.request;
        let outgoing = Outgoing {
            upstream: &grant.upstream,
            account: self.account.as_ref().map(|account| &account.name),
            patience: time_left,
            last_event: last_event.or(self.metadata.last_event),
        };
        dialect.write_outgoing(&outgoing, &mut head);
        if request.framing != Framing::Empty || !self.body.is_empty() {
            write_field(
                &mut head,
                "Content-Length",
                self.body.len().to_string().as_bytes(),
            );
        } else if request.fields.all("Content-Length").next().is_some() {
            write_field(&mut head, "Content-Length", b"0");
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}
