//! Relays the bytes of one connection in both directions, subject to the faults of its link.

use std::io;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::{future, task};
use gooseberrylb_config::clock::{Clock, System};

use super::{Direction, Faults, Flow, State, lock};

/// Maximum size of a chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of chunks queued in one direction.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Interval at which a held or delayed chunk is checked against the current faults.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Whether a connection was silenced, which is permanent.
#[derive(Debug, Default)]
pub struct Silence(AtomicBool);

impl Silence {
    /// Silences the connection.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Streams to the two ends of a connection.
pub struct Ends {
    /// Stream to the connecting side.
    pub caller: TcpStream,
    /// Stream to the target.
    pub target: TcpStream,
}

/// Bytes to be forwarded. A chunk without bytes marks the end of the stream.
struct Chunk {
    received_at: Instant,
    bytes: Vec<u8>,
}

/// Function that selects the faults of one direction.
type SelectDirection = fn(&Faults) -> Direction;

/// Relays both directions until both have ended or one fails.
pub async fn relay(ends: Ends, state: Arc<Mutex<State>>, silence: Arc<Silence>) -> io::Result<()> {
    let to_target = relay_direction(
        ends.caller.clone(),
        ends.target.clone(),
        Gate::new(&state, &silence, |faults| faults.to_target),
    );
    let to_caller = relay_direction(
        ends.target,
        ends.caller,
        Gate::new(&state, &silence, |faults| faults.to_caller),
    );
    futures::try_join!(to_target, to_caller).map(|_| ())
}

/// Relays one direction until its stream has ended.
async fn relay_direction(from: TcpStream, to: TcpStream, gate: Gate) -> io::Result<()> {
    let (sender, receiver) = async_channel::bounded(MAX_QUEUED_CHUNKS);
    futures::try_join!(read(from, sender), write(to, receiver, gate)).map(|_| ())
}

/// Reads chunks from a stream until it ends.
async fn read(mut from: TcpStream, sender: Sender<Chunk>) -> io::Result<()> {
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        let length = from.read(&mut bytes).await?;
        bytes.truncate(length);
        let chunk = Chunk {
            received_at: System.now(),
            bytes,
        };
        if sender.send(chunk).await.is_err() || length == 0 {
            return Ok(());
        }
    }
}

/// Writes chunks to a stream as the gate permits.
async fn write(mut to: TcpStream, receiver: Receiver<Chunk>, gate: Gate) -> io::Result<()> {
    let mut dropped = false;
    while let Ok(chunk) = receiver.recv().await {
        if !gate.wait_until_due(chunk.received_at).await {
            dropped = true;
            continue;
        }
        if dropped {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if chunk.bytes.is_empty() {
            return to.shutdown(Shutdown::Write);
        }
        // Counted before the write, so that the count includes all bytes that the receiver has
        // seen.
        gate.count(chunk.bytes.len());
        to.write_all(&chunk.bytes).await?;
    }
    // The end of the stream was dropped, so the receiving side must not be told of it.
    future::pending().await
}

/// Applies the faults of one direction.
struct Gate {
    state: Arc<Mutex<State>>,
    silence: Arc<Silence>,
    select: SelectDirection,
}

impl Gate {
    fn new(state: &Arc<Mutex<State>>, silence: &Arc<Silence>, select: SelectDirection) -> Self {
        Self {
            state: state.clone(),
            silence: silence.clone(),
            select,
        }
    }

    /// Adds to the forwarded bytes of the link.
    fn count(&self, bytes: usize) {
        lock(&self.state).forwarded_bytes += bytes as u64;
    }

    /// Waits until bytes that arrived at `received_at` may be forwarded. Returns `false` if they
    /// are to be dropped.
    async fn wait_until_due(&self, received_at: Instant) -> bool {
        loop {
            let direction = (self.select)(&lock(&self.state).faults);
            let due = received_at + Duration::from_millis(direction.delay_ms);
            match direction.flow {
                _ if self.silence.is_set() => return false,
                Flow::Discard => return false,
                Flow::Hold => task::sleep(POLL_INTERVAL).await,
                Flow::Forward if due > System.now() => {
                    task::sleep(POLL_INTERVAL.min(due - System.now())).await;
                }
                Flow::Forward => return true,
            }
        }
    }
}
