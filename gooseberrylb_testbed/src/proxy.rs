//! A fault-injecting TCP proxy: each link listens, connects each connection on to one target, and
//! does harm to it as it is told.

pub mod control;
mod relay;

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::{net, task};
use futures::future::{self, Either};
use serde::{Deserialize, Serialize};
use socket2::SockRef;

use relay::Ends;

/// What becomes of the bytes that flow in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Flow {
    /// They are forwarded.
    #[default]
    Forward,
    /// They are kept back, and forwarded once the fault is lifted.
    Hold,
    /// They are dropped; a connection that lost some is reset once the fault is lifted.
    Discard,
}

/// The faults of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Direction {
    /// What becomes of the bytes.
    pub flow: Flow,
    /// How late they are forwarded, in milliseconds.
    pub delay_ms: u64,
}

/// The faults of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The direction from whoever connected to the target.
    pub to_target: Direction,
    /// The direction from the target back.
    pub to_caller: Direction,
    /// Whether new connections are reset.
    pub refuse: bool,
}

impl Faults {
    /// Nothing is forwarded either way, and everything stays open.
    pub fn frozen() -> Self {
        let direction = Direction {
            flow: Flow::Hold,
            ..Direction::default()
        };
        Self {
            to_target: direction,
            to_caller: direction,
            refuse: false,
        }
    }

    /// Both directions are late by `delay`.
    pub fn delayed(delay: Duration) -> Self {
        let direction = Direction {
            delay_ms: delay.as_millis() as u64,
            ..Direction::default()
        };
        Self {
            to_target: direction,
            to_caller: direction,
            refuse: false,
        }
    }
}

/// How a connection is made to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    Reset,
    Close,
}

/// One connection through a link.
#[derive(Debug)]
struct Connection {
    stop: Sender<Stop>,
    silence: Arc<relay::Silence>,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    connections: Vec<Connection>,
    forwarded_bytes: u64,
}

/// A running link. Dropping it resets its connections and stops listening.
#[derive(Debug)]
pub struct Link {
    name: Arc<str>,
    address: SocketAddr,
    target: SocketAddr,
    state: Arc<Mutex<State>>,
    shutdown: Sender<()>,
}

impl Link {
    /// Listens on `listen` and connects on to `target`.
    pub fn start(name: &str, listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let (shutdown, link_closed) = async_channel::bounded(1);
        let shared = state.clone();
        // A thread, since a connection can be reset only through its standard type.
        thread::spawn(move || accept(&listener, target, &shared, &link_closed));
        Ok(Self {
            name: name.into(),
            address,
            target,
            state,
            shutdown,
        })
    }

    /// The link's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where it connects on to.
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        lock(&self.state).faults
    }

    /// The connections that are open.
    pub fn connections(&self) -> usize {
        lock(&self.state)
            .connections
            .iter()
            .filter(|c| !c.stop.is_closed())
            .count()
    }

    /// The bytes forwarded so far, both directions together.
    pub fn forwarded_bytes(&self) -> u64 {
        lock(&self.state).forwarded_bytes
    }

    /// Sets the faults of open and new connections.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Resets every open connection.
    pub fn cut(&self) {
        self.stop(Stop::Reset);
    }

    /// Closes every open connection in good order.
    pub fn close(&self) {
        self.stop(Stop::Close);
    }

    /// Makes every open connection silent for good, as when something between the ends has lost
    /// track of it; new connections work.
    pub fn silence(&self) {
        for connection in &lock(&self.state).connections {
            connection.silence.set();
        }
    }

    fn stop(&self, stop: Stop) {
        for connection in lock(&self.state).connections.drain(..) {
            // A connection that has ended already needs no stop.
            let _ = connection.stop.try_send(stop);
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shutdown.close();
        // Wakes the listening thread, which then sees that the link is gone.
        if let Err(error) = TcpStream::connect(self.address) {
            log::debug!("a link's listener could not be woken: {error}");
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn accept(
    listener: &TcpListener,
    target: SocketAddr,
    state: &Arc<Mutex<State>>,
    link_closed: &Receiver<()>,
) {
    loop {
        let accepted = listener.accept();
        if link_closed.is_closed() {
            return;
        }
        match accepted {
            Ok((caller, _)) if lock(state).faults.refuse => reset_on_drop(&caller),
            Ok((caller, _)) => track(caller, target, state, link_closed),
            Err(error) => log::warn!("accepting a connection failed: {error}"),
        }
    }
}

fn track(
    caller: TcpStream,
    target: SocketAddr,
    state: &Arc<Mutex<State>>,
    link_closed: &Receiver<()>,
) {
    let (stop, stopped) = async_channel::bounded(1);
    let silence = Arc::new(relay::Silence::default());
    let mut locked = lock(state);
    locked.connections.retain(|c| !c.stop.is_closed());
    locked.connections.push(Connection {
        stop,
        silence: silence.clone(),
    });
    drop(locked);
    let (state, link_closed) = (state.clone(), link_closed.clone());
    task::spawn(run_connection(
        caller,
        target,
        state,
        silence,
        stopped,
        link_closed,
    ));
}

/// Connects one connection on, and forwards until both directions end or it is stopped.
async fn run_connection(
    caller: TcpStream,
    target: SocketAddr,
    state: Arc<Mutex<State>>,
    silence: Arc<relay::Silence>,
    stopped: Receiver<Stop>,
    link_closed: Receiver<()>,
) {
    let connected = task::spawn_blocking(move || TcpStream::connect(target)).await;
    let Ok(target_stream) = connected else {
        reset_on_drop(&caller);
        return;
    };
    let ends = match relay_ends(&caller, &target_stream) {
        Ok(ends) => ends,
        Err(error) => {
            log::warn!("a connection could not be forwarded: {error}");
            return;
        }
    };
    let forwarding = Box::pin(relay::relay(ends, state, silence));
    let stop = Box::pin(future::select(
        Box::pin(stopped.recv()),
        Box::pin(link_closed.recv()),
    ));
    let is_clean = match future::select(forwarding, stop).await {
        Either::Left((ended, _)) => ended.is_ok(),
        Either::Right((Either::Left((Ok(Stop::Close), _)), _)) => true,
        Either::Right(_) => false,
    };
    if !is_clean {
        reset_on_drop(&caller);
        reset_on_drop(&target_stream);
    }
}

fn relay_ends(caller: &TcpStream, target_stream: &TcpStream) -> io::Result<Ends> {
    caller.set_nodelay(true)?;
    target_stream.set_nodelay(true)?;
    Ok(Ends {
        caller: net::TcpStream::from(caller.try_clone()?),
        target: net::TcpStream::from(target_stream.try_clone()?),
    })
}

/// Has the stream reset instead of closed when its last clone is dropped.
fn reset_on_drop(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("setting linger failed: {error}");
    }
}
