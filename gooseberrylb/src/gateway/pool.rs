//! Connections to upstreams that are kept between requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future;
use async_std::net::TcpStream;

use super::http::Connection;
use crate::metrics::METRICS;

/// How long opening a connection may take; a machine that answers at all does so within a few
/// milliseconds, and the packet that opens a connection is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The most kept connections to one upstream; each holds a descriptor here and a place there.
const MAX_KEPT: usize = 8;

struct Kept {
    connection: Connection,
    until: Instant,
}

/// The kept connections by address.
#[derive(Default)]
pub struct Pool {
    kept: RefCell<HashMap<SocketAddr, Vec<Kept>>>,
}

impl Pool {
    /// A connection to `address`: a kept one on which nothing has come unasked, or a new one.
    pub async fn connect(&self, address: SocketAddr, now: Instant) -> io::Result<Connection> {
        while let Some(kept) = self.take(address) {
            if now < kept.until && kept.connection.is_quiet().await {
                return Ok(kept.connection);
            }
        }
        METRICS.upstream_connections.inc();
        let stream = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(Connection::new(stream))
    }

    /// Keeps a connection for the next request.
    pub fn keep(&self, address: SocketAddr, connection: Connection, until: Instant) {
        if !connection.may_keep() {
            return;
        }
        let mut kept = self.kept.borrow_mut();
        let list = kept.entry(address).or_default();
        if list.len() < MAX_KEPT {
            list.push(Kept { connection, until });
        }
    }

    /// Closes the connections whose time is over.
    pub fn sweep(&self, now: Instant) {
        self.kept.borrow_mut().retain(|_, list| {
            list.retain(|kept| now < kept.until);
            !list.is_empty()
        });
    }

    fn take(&self, address: SocketAddr) -> Option<Kept> {
        self.kept.borrow_mut().get_mut(&address)?.pop()
    }
}
