//! Delegation of requests by an entry that is cut off from the upstreams.
//!
//! The entry sends the caller's request on to another entry, as it came, and relays the response.
//! The other entry handles it like a caller's request, but does not delegate it again. It declines
//! with [`DECLINED`] if it reaches no upstream either. See `docs/PLATFORM.md`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future;
use gooseberrylb_config::id;
use gooseberrylb_wire::plane::Kind;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use super::forward::{Delivery, Exchange, Failure, Forwarder, Lease, write_field};
use super::http::{Connection, Framing, Request, Response};
use super::memory;
use super::pool::{CONNECT_TIMEOUT, Pool};
use super::session;
use crate::control::Core;
use crate::control::homes::Homes;
use crate::metrics::METRICS;

/// Status code with which an entry declines a request that it has not sent to any upstream.
pub const DECLINED: u16 = 421;

/// Header field with the [`Ticket`] of a delegated request.
const TICKET: &str = "Gooseberrylb-Delegation";

/// Maximum number of entries that a request is offered to.
const MAX_DELEGATES: usize = 3;

/// Time for which an entry that declined or could not be reached is left out.
const DECLINE_PERIOD: Duration = Duration::from_secs(1);

/// State of a delegated request at the entry that took it from its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Whether the account has been charged.
    pub charged: bool,
    /// Number of attempts in which the request was sent on before.
    pub attempts: u32,
    /// Time that is left, in milliseconds.
    pub left_ms: u64,
    /// Number of the last event that the caller has of a stream that is resumed.
    pub last_event: Option<u64>,
}

impl Ticket {
    /// Removes the ticket from a request of another entry; `None` if it has no valid one.
    pub fn take(request: &mut Request) -> Option<Self> {
        serde_json::from_slice(&request.fields.take_last(TICKET)?).ok()
    }
}

/// Other entries as delegates.
#[derive(Default)]
pub struct Delegates {
    /// Idle connections.
    pool: Pool,
    /// Time until which an entry is left out.
    declined: RefCell<HashMap<id::Instance, Instant>>,
}

impl Delegates {
    /// Closes the connections that have expired.
    pub fn sweep(&self, now: Instant) {
        self.pool.sweep(now);
        self.declined.borrow_mut().retain(|_, until| now < *until);
    }

    /// Keeps a connection for the next request.
    pub fn keep(&self, address: SocketAddr, connection: Connection, until: Instant) {
        self.pool.keep(address, connection, until);
    }

    /// Whether there is an entry to delegate to.
    pub fn has_any(&self, core: &Core, homes: Option<&Homes>, now: Instant) -> bool {
        self.pick(core, homes, now).is_some()
    }

    /// Picks an entry at random, rather one of the same data centre. A request that is restricted to
    /// regions is sent to no machine elsewhere.
    fn pick(
        &self,
        core: &Core,
        homes: Option<&Homes>,
        now: Instant,
    ) -> Option<(id::Instance, SocketAddr)> {
        let published = core.published();
        let declined = self.declined.borrow();
        let is_usable = |name: &id::Instance| declined.get(name).is_none_or(|until| now >= *until);
        let others = || {
            let instances = published.directory.instances.iter();
            instances.filter(|(name, instance)| {
                let is_other = **name != core.identity.name;
                let is_near = instance.region == core.identity.instance.region;
                let is_home = homes.is_none_or(|homes| homes.contains(instance.region.as_str()));
                is_other
                    && (is_near || is_home)
                    && instance.entry
                    && !instance.leaving
                    && is_usable(name)
            })
        };
        let own = &core.identity.instance.data_centre;
        let near = others().filter(|(_, instance)| instance.data_centre == *own);
        let mut rng = rand::rng();
        let chosen = near.choose(&mut rng).or_else(|| others().choose(&mut rng));
        let (name, _) = chosen?;
        Some((name.clone(), core.address_of(name)?))
    }

    fn leave_out(&self, name: &id::Instance, now: Instant) {
        let until = now + DECLINE_PERIOD;
        self.declined.borrow_mut().insert(name.clone(), until);
    }

    /// Returns a connection to an entry for requests.
    async fn connect(
        &self,
        core: &Core,
        address: SocketAddr,
        now: Instant,
    ) -> io::Result<Connection> {
        if let Some(connection) = self.pool.take_idle(address, now).await {
            return Ok(connection);
        }
        let opening = session::open(core, address, Kind::Delegate);
        let opened = future::timeout(CONNECT_TIMEOUT, opening).await;
        let stream = opened.unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
        Ok(Connection::new(stream))
    }
}

impl Forwarder {
    /// Has another entry forward the request. A `last_event` asks for the events of a stream after
    /// that one. Returns `None` if no entry takes it; then it was sent to no upstream.
    pub(super) async fn delegate(
        &mut self,
        last_event: Option<u64>,
    ) -> Option<Result<Delivery, Failure>> {
        let gateway = self.gateway.clone();
        for _ in 0..MAX_DELEGATES {
            let now = self.now();
            let (name, address) =
                gateway
                    .delegates
                    .pick(&gateway.core, self.homes().as_ref(), now)?;
            let connecting = gateway.delegates.connect(&gateway.core, address, now);
            let connection = match future::timeout(self.time_left(), connecting).await {
                Ok(Ok(connection)) => connection,
                Ok(Err(error)) => {
                    log::info!(id = self.id(), entry:% = name, error:% = error; "connecting to another entry failed");
                    gateway.delegates.leave_out(&name, now);
                    continue;
                }
                Err(_) => return Some(Err(Failure::TimedOut)),
            };
            match self.send_to_delegate(address, connection, last_event).await {
                Ok(Some(delivery)) => {
                    METRICS.delegated.with_label_values(&["sent"]).inc();
                    self.delegate = Some(name);
                    return Some(Ok(delivery));
                }
                Ok(None) => {
                    METRICS.delegated.with_label_values(&["declined"]).inc();
                    log::info!(id = self.id(), entry:% = name; "another entry declined a request");
                    gateway.delegates.leave_out(&name, now);
                }
                Err(failure) => {
                    log::info!(id = self.id(), entry:% = name; "another entry failed to answer a request");
                    self.delegate = Some(name);
                    return Some(Err(failure));
                }
            }
        }
        None
    }

    /// Sends the request to another entry and reads the response, or only its head if the body is to
    /// be relayed. Returns `None` if the entry declines it.
    async fn send_to_delegate(
        &mut self,
        address: SocketAddr,
        mut connection: Connection,
        last_event: Option<u64>,
    ) -> Result<Option<Delivery>, Failure> {
        let head = self.delegated_head(last_event);
        let sent_at = self.now();
        let was_sent = std::mem::replace(&mut self.sent, true);
        let answered = async {
            self.write_request(&mut connection, head).await?;
            connection
                .read_response(self.request.method == "HEAD")
                .await
        };
        let response = match future::timeout(self.time_left(), answered).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => {
                self.attempts += 1;
                return Err(Failure::Unknown("the other entry closed the connection"));
            }
            Err(_) => return Err(Failure::TimedOut),
        };
        if response.status == DECLINED {
            self.sent = was_sent;
            self.read_delegated(address, connection, &response).await?;
            return Ok(None);
        }
        self.attempts += 1;
        if self.is_streamed(&response) {
            return Ok(Some(Delivery::Streamed(Box::new(Exchange {
                lease: Lease::Delegate(address),
                connection,
                response,
                sent_at,
            }))));
        }
        let body = self.read_delegated(address, connection, &response).await?;
        Ok(Some(Delivery::Buffered(response, body)))
    }

    /// Reads the body of another entry's response in full and keeps the connection.
    async fn read_delegated(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        response: &Response,
    ) -> Result<memory::Body, Failure> {
        let reading = self.read_body(&mut connection, response.framing);
        let body = match future::timeout(self.time_left(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return Err(Failure::Unknown("the other entry's answer broke off")),
            Err(_) => return Err(Failure::TimedOut),
        };
        if let Some(keep_alive) = response.keep_alive {
            let until = self.now() + keep_alive;
            self.gateway.delegates.keep(address, connection, until);
        }
        Ok(body)
    }

    /// Returns the head of the request as it is sent to another entry: as the caller sent it, with a
    /// ticket.
    fn delegated_head(&self, last_event: Option<u64>) -> Vec<u8> {
        let mut head = self.forwarded_head(|name| name.eq_ignore_ascii_case(TICKET));
        let ticket = Ticket {
            charged: self.charged,
            attempts: self.attempts,
            left_ms: self.time_left().as_millis() as u64,
            last_event: last_event.or(self.metadata.last_event),
        };
        // A structure of numbers always has a JSON form.
        let ticket = serde_json::to_vec(&ticket).unwrap_or_default();
        write_field(&mut head, TICKET, &ticket);
        if self.request.framing != Framing::Empty || !self.body.is_empty() {
            let length = self.body.len().to_string();
            write_field(&mut head, "Content-Length", length.as_bytes());
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}
