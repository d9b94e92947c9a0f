//! Forwards the bytes of one connection, subject to its link's faults.

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

/// The part of a stream that is forwarded at once, in bytes.
const PART_BYTES: usize = 16 * 1024;

/// The parts that may be under way in one direction.
const PARTS: usize = 256;

/// How soon a lifted fault is noticed.
const POLL: Duration = Duration::from_millis(5);

/// Whether a connection has gone silent for good.
#[derive(Debug, Default)]
pub struct Silence(AtomicBool);

impl Silence {
    /// Makes the connection silent.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The two ends of a connection.
pub struct Ends {
    /// Whoever connected.
    pub caller: TcpStream,
    /// The target.
    pub target: TcpStream,
}

/// Bytes on their way, or the end of the stream where there are none.
struct Part {
    came: Instant,
    bytes: Vec<u8>,
}

/// Chooses one direction's faults.
type Choice = fn(&Faults) -> Direction;

/// Forwards both directions until both have ended or one fails.
pub async fn forward(
    ends: Ends,
    state: Arc<Mutex<State>>,
    silence: Arc<Silence>,
) -> io::Result<()> {
    let there = one_way(
        ends.caller.clone(),
        ends.target.clone(),
        Gate::new(&state, &silence, |faults| faults.to_target),
    );
    let back = one_way(
        ends.target,
        ends.caller,
        Gate::new(&state, &silence, |faults| faults.to_caller),
    );
    futures::try_join!(there, back).map(|_| ())
}

async fn one_way(from: TcpStream, to: TcpStream, gate: Gate) -> io::Result<()> {
    let (sender, receiver) = async_channel::bounded(PARTS);
    futures::try_join!(read(from, sender), write(to, receiver, gate)).map(|_| ())
}

async fn read(mut from: TcpStream, sender: Sender<Part>) -> io::Result<()> {
    loop {
        let mut bytes = vec![0; PART_BYTES];
        let n = from.read(&mut bytes).await?;
        bytes.truncate(n);
        let part = Part {
            came: System.now(),
            bytes,
        };
        if sender.send(part).await.is_err() || n == 0 {
            return Ok(());
        }
    }
}

async fn write(mut to: TcpStream, receiver: Receiver<Part>, gate: Gate) -> io::Result<()> {
    let mut lost = false;
    while let Ok(part) = receiver.recv().await {
        if !gate.passes(part.came).await {
            lost = true;
            continue;
        }
        if lost {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if part.bytes.is_empty() {
            return to.shutdown(Shutdown::Write);
        }
        // Counted first, so that whoever has received the bytes finds them counted.
        gate.count(part.bytes.len());
        to.write_all(&part.bytes).await?;
    }
    // The end of the stream was dropped: the other side must not learn of it.
    future::pending().await
}

/// Decides when bytes of one direction go on.
struct Gate {
    state: Arc<Mutex<State>>,
    silence: Arc<Silence>,
    choose: Choice,
}

impl Gate {
    fn new(state: &Arc<Mutex<State>>, silence: &Arc<Silence>, choose: Choice) -> Self {
        Self {
            state: state.clone(),
            silence: silence.clone(),
            choose,
        }
    }

    fn count(&self, bytes: usize) {
        lock(&self.state).forwarded_bytes += bytes as u64;
    }

    /// Waits until bytes that came at `came` may go on; `false` if they are to be dropped.
    async fn passes(&self, came: Instant) -> bool {
        loop {
            let direction = (self.choose)(&lock(&self.state).faults);
            let due = came + Duration::from_millis(direction.delay_ms);
            match direction.flow {
                _ if self.silence.is_set() => return false,
                Flow::Discard => return false,
                Flow::Hold => task::sleep(POLL).await,
                Flow::Forward if due > System.now() => {
                    task::sleep(POLL.min(due - System.now())).await;
                }
                Flow::Forward => return true,
            }
        }
    }
}
