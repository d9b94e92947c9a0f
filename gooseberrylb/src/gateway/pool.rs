//! Pool of idle connections to upstreams or to other entries.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future;
use async_std::net::TcpStream;

use super::http::Connection;
use crate::metrics::METRICS;

/// Time limit for opening a connection. A reachable machine accepts within a few milliseconds, and
/// TCP repeats a lost SYN only after one second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of idle connections per address. Each takes a file descriptor here and one of
/// the upstream's connections.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// A connection that waits for its next request.
struct Idle {
    connection: Connection,
    /// Time after which the connection is not used again.
    expires: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Returns an idle connection to `address` that has not expired, if there is one. Idle
    /// connections on which bytes or an end have arrived are closed.
    pub async fn take_idle(&self, address: SocketAddr, now: Instant) -> Option<Connection> {
        while let Some(idle) = self.take(address) {
            if now < idle.expires && idle.connection.is_idle().await {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Returns an idle connection to `address`, or opens a new one. Returns also whether it is new.
    pub async fn connect(
        &self,
        address: SocketAddr,
        now: Instant,
    ) -> io::Result<(Connection, bool)> {
        if let Some(connection) = self.take_idle(address, now).await {
            return Ok((connection, false));
        }
        METRICS.upstream_connections.inc();
        let stream = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok((Connection::new(stream), true))
    }

    /// Keeps a connection for reuse until `expires`.
    pub fn keep(&self, address: SocketAddr, connection: Connection, expires: Instant) {
        if !connection.is_reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(Idle {
                connection,
                expires,
            });
        }
    }

    /// Closes the connections that have expired.
    pub fn sweep(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.expires);
            !connections.is_empty()
        });
    }

    /// Removes and returns the connection that became idle last.
    fn take(&self, address: SocketAddr) -> Option<Idle> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }
}
