//! Fault-injecting TCP proxy. A link listens on one address, forwards each connection to one
//! target, and applies the faults that are set.

pub mod control;
mod owner;
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

/// Treatment of the bytes that flow in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Flow {
    /// Bytes are forwarded.
    #[default]
    Forward,
    /// Bytes are held back, and forwarded once the fault is cleared.
    Hold,
    /// Bytes are dropped. A connection that lost bytes is reset once the fault is cleared.
    Discard,
}

/// Faults of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Direction {
    /// Treatment of the bytes.
    pub flow: Flow,
    /// Delay of forwarded bytes, in milliseconds.
    pub delay_ms: u64,
}

/// Faults of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Faults of the direction from the connecting side to the target.
    pub to_target: Direction,
    /// Faults of the direction from the target to the connecting side.
    pub to_caller: Direction,
    /// Whether new connections are reset.
    pub refuse: bool,
}

impl Faults {
    /// Returns faults that hold back all bytes in both directions while connections stay open.
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

    /// Returns faults that delay both directions by `delay`.
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

/// What happens to the open connections of processes that are cut off from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenConnections {
    /// They are reset.
    Reset,
    /// They drop all further bytes.
    Silent,
    /// They live on.
    Live,
}

/// Way in which a connection is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    Reset,
    Close,
}

/// Connection through a link.
#[derive(Debug)]
struct Connection {
    /// The connecting side in the kernel's table.
    caller: Option<owner::Row>,
    stop: Sender<Stop>,
    silence: Arc<relay::Silence>,
}

/// State of a link that its connections share.
#[derive(Debug, Default)]
struct State {
    faults: Faults,
    connections: Vec<Connection>,
    /// Processes whose new connections are reset.
    cut_off: Vec<u32>,
    forwarded_bytes: u64,
}

/// Running link. Dropping it resets its connections and stops listening.
#[derive(Debug)]
pub struct Link {
    name: Arc<str>,
    address: SocketAddr,
    target: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Closed to stop the accepting thread and all connections.
    shutdown: Sender<()>,
}

impl Link {
    /// Listens on `listen` and forwards each connection to `target`.
    pub fn start(name: &str, listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let (shutdown, link_closed) = async_channel::bounded(1);
        let shared = state.clone();
        // Accepting needs a thread of its own: only a standard stream can be made to reset its
        // connection.
        thread::spawn(move || accept(&listener, target, &shared, &link_closed));
        Ok(Self {
            name: name.into(),
            address,
            target,
            state,
            shutdown,
        })
    }

    /// Returns the name of the link.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address on which the link listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address to which the link forwards.
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        lock(&self.state).faults
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        lock(&self.state)
            .connections
            .iter()
            .filter(|c| !c.stop.is_closed())
            .count()
    }

    /// Returns the number of bytes forwarded so far in both directions together.
    pub fn forwarded_bytes(&self) -> u64 {
        lock(&self.state).forwarded_bytes
    }

    /// Sets the faults of open and new connections.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Resets all open connections.
    pub fn cut(&self) {
        self.stop(Stop::Reset);
    }

    /// Closes all open connections gracefully.
    pub fn close(&self) {
        self.stop(Stop::Close);
    }

    /// Drops all further bytes of the connections open now, as when a middlebox has lost track of
    /// them. New connections are not affected.
    pub fn silence(&self) {
        for connection in &lock(&self.state).connections {
            connection.silence.set();
        }
    }

    /// Cuts some processes off from the target: resets their new connections.
    pub fn cut_off(&self, processes: &[u32], open: OpenConnections) {
        let mut state = lock(&self.state);
        state.cut_off = processes.to_vec();
        let is_theirs = |c: &&Connection| {
            let caller = c.caller.as_ref();
            caller.is_some_and(|caller| caller.is_of(processes))
        };
        for connection in state.connections.iter().filter(is_theirs) {
            match open {
                // Fails only if the connection has already ended.
                OpenConnections::Reset => drop(connection.stop.try_send(Stop::Reset)),
                OpenConnections::Silent => connection.silence.set(),
                OpenConnections::Live => {}
            }
        }
    }

    /// Ends what [`Link::cut_off`] began.
    pub fn end_cut_off(&self) {
        lock(&self.state).cut_off.clear();
    }

    fn stop(&self, stop: Stop) {
        for connection in lock(&self.state).connections.drain(..) {
            // Fails only if the connection has already ended.
            let _ = connection.stop.try_send(stop);
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shutdown.close();
        // Wakes up the accepting thread, which then finds that the link was dropped.
        if let Err(error) = TcpStream::connect(self.address) {
            log::debug!("failed to wake up the listener of a link: {error}");
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Accepts connections until the link is dropped.
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
            Ok((caller, _)) => {
                let (state, link_closed) = (state.clone(), link_closed.clone());
                let cut_off = lock(&state).cut_off.clone();
                if cut_off.is_empty() {
                    track(caller, target, &state, &link_closed);
                    continue;
                }
                // Others connect meanwhile.
                thread::spawn(move || {
                    match owner::Row::of_peer(&caller).is_some_and(|row| row.is_of(&cut_off)) {
                        true => reset_on_drop(&caller),
                        false => track(caller, target, &state, &link_closed),
                    }
                });
            }
            Err(error) => log::warn!("accepting a connection failed: {error}"),
        }
    }
}

/// Registers a new connection with its link and starts a task for it.
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
        caller: owner::Row::of_peer(&caller),
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

/// Connects to the target and forwards until both directions have ended or the connection is
/// stopped.
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
            log::warn!("failed to prepare a connection for forwarding: {error}");
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

/// Sets up both streams of a connection for the relay.
fn relay_ends(caller: &TcpStream, target_stream: &TcpStream) -> io::Result<Ends> {
    caller.set_nodelay(true)?;
    target_stream.set_nodelay(true)?;
    Ok(Ends {
        caller: net::TcpStream::from(caller.try_clone()?),
        target: net::TcpStream::from(target_stream.try_clone()?),
    })
}

/// Makes the stream send a reset instead of closing gracefully when its last clone is dropped.
fn reset_on_drop(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("failed to set SO_LINGER: {error}");
    }
}
