//! Calling end of a link. It connects on first use and reconnects on the first use after a failure.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::future;
use async_std::net::TcpStream;
use async_std::sync::Mutex;
use async_std::task;
use capnp::capability::FromClientHook;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp};
use futures::AsyncReadExt;
use thiserror::Error;

use crate::handshake::{self, Greeting, Key};
use crate::plane::Plane;
use crate::transport::vat_network;
use crate::watch::LastContact;

/// Time limit for opening a connection; it covers many round trips between data centres. A machine
/// without power does not answer at all, and an instance that searches for the leader has to try
/// the next one soon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a read after which a ping is sent, so that a link in use needs none. Two pings have
/// to fit into [`SILENCE_TIMEOUT`].
const PING_INTERVAL: Duration = Duration::from_millis(600);

/// Time without a read after which a connection is closed; pings are answered well within it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay after a failed attempt to connect, so that an unreachable peer is not flooded.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reason why a link could not be opened.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection could not be opened.
    #[error("cannot connect to {0}: {1}")]
    Connect(SocketAddr, io::Error),
    /// The handshake failed.
    #[error("handshake with {0} failed: {1}")]
    Handshake(SocketAddr, handshake::Error),
}

impl From<Error> for capnp::Error {
    fn from(error: Error) -> Self {
        capnp::Error::disconnected(error.to_string())
    }
}

/// Connection whose handshake is done.
struct Connection<P: Plane> {
    client: P::Client,
    usage: Rc<Usage>,
}

/// State of a connection that its users share with the task that runs it.
struct Usage {
    /// Whether the connection accepts calls.
    alive: Cell<bool>,
    /// Time at which the client was last requested.
    last_used: Cell<Instant>,
}

impl Usage {
    /// Whether the client has not been requested for longer than `timeout`.
    fn is_idle(&self, timeout: Option<Duration>) -> bool {
        timeout.is_some_and(|timeout| self.last_used.get().elapsed() > timeout)
    }
}

/// Link to one peer. It stays on the thread that created it.
pub struct Link<P: Plane> {
    address: SocketAddr,
    key: Key,
    /// Greeting of this instance.
    own: Greeting,
    connection: RefCell<Option<Connection<P>>>,
    /// Held while a connection is opened, so that concurrent callers share it.
    connecting: Mutex<()>,
}

impl<P: Plane> Link<P> {
    /// Returns a link to `address` that is not connected yet.
    pub fn new(address: SocketAddr, key: Key, own: Greeting) -> Rc<Self> {
        let own = Greeting {
            plane: P::KIND,
            ..own
        };
        Rc::new(Self {
            address,
            key,
            own,
            connection: RefCell::new(None),
            connecting: Mutex::new(()),
        })
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the client for calls to the peer, connecting first if there is no connection.
    ///
    /// A failed attempt returns its error only after `RETRY_PAUSE`, which delays the next attempt.
    pub async fn client(&self) -> Result<P::Client, Error> {
        if let Some(client) = self.current() {
            return Ok(client);
        }
        let _guard = self.connecting.lock().await;
        if let Some(client) = self.current() {
            return Ok(client);
        }
        match self.connect().await {
            Ok(connection) => {
                let client = connection.client.clone();
                *self.connection.borrow_mut() = Some(connection);
                Ok(client)
            }
            Err(error) => {
                task::sleep(RETRY_PAUSE).await;
                Err(error)
            }
        }
    }

    /// Closes the connection, so that the next call opens a new one.
    pub fn reset(&self) {
        if let Some(connection) = self.connection.borrow_mut().take() {
            connection.usage.alive.set(false);
        }
    }

    /// Returns the client of the current connection, if it accepts calls.
    fn current(&self) -> Option<P::Client> {
        let connection = self.connection.borrow();
        let connection = connection.as_ref()?;
        connection.usage.last_used.set(Instant::now());
        connection
            .usage
            .alive
            .get()
            .then(|| connection.client.clone())
    }

    /// Opens a connection and performs the handshake.
    async fn connect(&self) -> Result<Connection<P>, Error> {
        let address = self.address;
        let connected = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let mut stream = match connected.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(Error::Connect(address, e)),
            Err(_) => return Err(Error::Connect(address, io::ErrorKind::TimedOut.into())),
        };
        stream
            .set_nodelay(true)
            .map_err(|e| Error::Connect(address, e))?;
        handshake::connect(&mut stream, &self.key, &self.own)
            .await
            .map_err(|e| Error::Handshake(address, e))?;
        Ok(start::<P>(stream))
    }
}

/// Starts a task that runs the calls on a connection until it fails, is silent for
/// `SILENCE_TIMEOUT`, or is closed by this end.
fn start<P: Plane>(stream: TcpStream) -> Connection<P> {
    let (reader, writer) = stream.split();
    let (network, last_contact) = vat_network(reader, writer, Side::Client, SILENCE_TIMEOUT);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: P::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let usage = Rc::new(Usage {
        alive: Cell::new(true),
        last_used: Cell::new(Instant::now()),
    });
    let task_usage = usage.clone();
    let ping_client = client.clone();
    task::spawn_local(async move {
        let pings = ping_while_alive::<P>(ping_client, task_usage.clone(), last_contact);
        futures::pin_mut!(pings);
        // Dropping the RPC system closes the connection and fails the calls that are pending on it.
        futures::future::select(system, pings).await;
        task_usage.alive.set(false);
    });
    Connection { client, usage }
}

/// Pings the peer whenever nothing has arrived for [`PING_INTERVAL`], until the connection is
/// closed or idle.
async fn ping_while_alive<P: Plane>(
    client: P::Client,
    usage: Rc<Usage>,
    last_contact: LastContact,
) {
    while usage.alive.get() && !usage.is_idle(P::IDLE_TIMEOUT) {
        let remaining = PING_INTERVAL.saturating_sub(last_contact.elapsed());
        if !remaining.is_zero() {
            task::sleep(remaining).await;
            continue;
        }
        let ping = P::ping(&client);
        task::spawn_local(async move {
            // A lost ping needs no handling: reads fail after `SILENCE_TIMEOUT`.
            ping.await.ok();
        });
        task::sleep(PING_INTERVAL).await;
    }
}

/// Returns a client of a server on the same thread, for an instance's calls to itself.
pub fn local<C, S>(server: S) -> C
where
    C: FromClientHook + capnp::capability::FromServer<S>,
    S: 'static,
{
    capnp_rpc::new_client(server)
}
