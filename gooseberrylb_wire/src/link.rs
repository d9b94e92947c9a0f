//! The calling end of a link: connects when it is first used, and anew after a failure.

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

use crate::carrier::carry;
use crate::handshake::{self, Greeting, Key};
use crate::plane::Plane;
use crate::watch::Heard;

/// How long opening a connection may take: many round trips between data centres. A machine without
/// power does not answer at all, and whoever looks for the leader must go on to the next one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// After which silence a ping is sent; a link that is in use needs none. Two pings must fit into the
/// longest silence.
const PING_AFTER: Duration = Duration::from_millis(600);

/// The longest silence before a connection is given up; pings are answered well within it.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// How long after a failed attempt the next one waits, so that a dead peer is not flooded.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a link could not be opened.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection could not be opened.
    #[error("cannot connect to {0}: {1}")]
    Connect(SocketAddr, io::Error),
    /// The handshake failed.
    #[error("cannot shake hands with {0}: {1}")]
    Handshake(SocketAddr, handshake::Error),
}

impl From<Error> for capnp::Error {
    fn from(error: Error) -> Self {
        capnp::Error::disconnected(error.to_string())
    }
}

struct Open<P: Plane> {
    client: P::Client,
    usage: Rc<Usage>,
}

/// Whether a connection may still be used, and when it was used last.
struct Usage {
    alive: Cell<bool>,
    last: Cell<Instant>,
}

impl Usage {
    fn is_idle(&self, limit: Option<Duration>) -> bool {
        limit.is_some_and(|limit| self.last.get().elapsed() > limit)
    }
}

/// A link to one peer; it lives on the thread that made it.
pub struct Link<P: Plane> {
    address: SocketAddr,
    key: Key,
    own: Greeting,
    open: RefCell<Option<Open<P>>>,
    dialing: Mutex<()>,
}

impl<P: Plane> Link<P> {
    /// Makes a link to `address`; nothing is connected yet.
    pub fn new(address: SocketAddr, key: Key, own: Greeting) -> Rc<Self> {
        let own = Greeting {
            plane: P::KIND,
            ..own
        };
        Rc::new(Self {
            address,
            key,
            own,
            open: RefCell::new(None),
            dialing: Mutex::new(()),
        })
    }

    /// Where the peer listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What calls are made on, connecting first where needed.
    pub async fn client(&self) -> Result<P::Client, Error> {
        if let Some(client) = self.current() {
            return Ok(client);
        }
        let _one_at_a_time = self.dialing.lock().await;
        if let Some(client) = self.current() {
            return Ok(client);
        }
        match self.dial().await {
            Ok(open) => {
                let client = open.client.clone();
                *self.open.borrow_mut() = Some(open);
                Ok(client)
            }
            Err(error) => {
                task::sleep(RETRY_PAUSE).await;
                Err(error)
            }
        }
    }

    /// Gives up the connection, so that the next call opens a new one.
    pub fn reset(&self) {
        if let Some(open) = self.open.borrow_mut().take() {
            open.usage.alive.set(false);
        }
    }

    fn current(&self) -> Option<P::Client> {
        let open = self.open.borrow();
        let open = open.as_ref()?;
        open.usage.last.set(Instant::now());
        open.usage.alive.get().then(|| open.client.clone())
    }

    async fn dial(&self) -> Result<Open<P>, Error> {
        let address = self.address;
        let connecting = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let mut stream = match connecting.await {
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

/// Runs the calls on a connection until it fails, falls silent or is given up.
fn start<P: Plane>(stream: TcpStream) -> Open<P> {
    let (reader, writer) = stream.split();
    let (network, heard) = carry(reader, writer, Side::Client, SILENCE_LIMIT);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: P::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let usage = Rc::new(Usage {
        alive: Cell::new(true),
        last: Cell::new(Instant::now()),
    });
    let ended = usage.clone();
    let pinged = client.clone();
    task::spawn_local(async move {
        let pings = ping_while_alive::<P>(pinged, ended.clone(), heard);
        futures::pin_mut!(pings);
        // Dropping the loser closes the connection, and fails the calls under way on it.
        futures::future::select(system, pings).await;
        ended.alive.set(false);
    });
    Open { client, usage }
}

async fn ping_while_alive<P: Plane>(client: P::Client, usage: Rc<Usage>, heard: Heard) {
    while usage.alive.get() && !usage.is_idle(P::IDLE_LIMIT) {
        let quiet = PING_AFTER.saturating_sub(heard.silence());
        if !quiet.is_zero() {
            task::sleep(quiet).await;
            continue;
        }
        let ping = P::ping(&client);
        task::spawn_local(async move {
            // A lost ping shows as silence, which the reader's watch reports.
            ping.await.ok();
        });
        task::sleep(PING_AFTER).await;
    }
}

/// Makes a client out of a server on the same thread, for an instance's calls to itself.
pub fn local<C, S>(server: S) -> C
where
    C: FromClientHook + capnp::capability::FromServer<S>,
    S: 'static,
{
    capnp_rpc::new_client(server)
}
