//! Callers of a soak test. A caller asks a keeper for the addresses of entries, caches them for a
//! while, and reuses an open connection until it is closed.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::history::{Call, History, Kind};
use super::platform;
use super::wire::{self, Message};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout of opening a connection, and of asking a keeper for addresses.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a caller uses the addresses that it was given.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(2);

/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// One in this many requests of a caller uses the revocable key.
const REVOCABLE_KEY_INTERVAL: u64 = 5;

/// One in this many requests of a caller has a prompt that crashes upstreams, and another one is the
/// request that does.
const CRASHING_INTERVAL: u32 = 40;

/// Number of callers created so far.
static CALLER_COUNT: AtomicU64 = AtomicU64::new(0);

/// Caller that sends requests and records them with their responses.
pub struct Caller {
    deployment: Arc<Deployment>,
    history: Arc<History>,
    rng: ChaCha8Rng,
    /// Prefix of its attempt ids.
    name: String,
    /// Number of requests sent so far.
    number: u64,
    addresses: Vec<SocketAddr>,
    /// Time at which a keeper returned the addresses.
    resolved_at: Option<Instant>,
    connection: Option<BufReader<TcpStream>>,
}

impl Caller {
    /// Returns a caller whose choices are determined by `seed` and `number`.
    pub fn new(
        deployment: &Arc<Deployment>,
        history: &Arc<History>,
        seed: u64,
        number: usize,
    ) -> Self {
        let caller_seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
        // The name comes from a counter rather than from `number`: attempt ids must be unique also
        // among callers that are created one after the other.
        let name = format!("c{}", CALLER_COUNT.fetch_add(1, Ordering::SeqCst));
        Self {
            deployment: deployment.clone(),
            history: history.clone(),
            rng: ChaCha8Rng::seed_from_u64(caller_seed),
            name,
            number: 0,
            addresses: Vec::new(),
            resolved_at: None,
            connection: None,
        }
    }

    /// Sends one request after the other until `stop` is set.
    pub fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            let kinds = [Kind::Once, Kind::Safe, Kind::Stream];
            let kind = match self.rng.random_range(0..CRASHING_INTERVAL) {
                0 => Kind::CrashingPrompt,
                1 => Kind::CrashingRequest,
                _ => kinds[self.rng.random_range(0..kinds.len())],
            };
            let uses_revocable_key = self.number.is_multiple_of(REVOCABLE_KEY_INTERVAL);
            if self.connection.is_none() {
                self.connection = self.connect_to_entry();
            }
            self.call(kind, uses_revocable_key);
            thread::sleep(REQUEST_INTERVAL);
        }
    }

    /// Sends a request to the entry at `index`, modulo the number of entries. Returns whether it
    /// was served.
    pub fn probe(&mut self, index: usize, kind: Kind) -> bool {
        let entries = &self.deployment.entries;
        let entry = self
            .deployment
            .caller_address(entries[index % entries.len()]);
        self.connection = connect(entry);
        self.call(kind, false)
    }

    /// Sends a request on the open connection, if there is one. Returns whether it was served.
    fn call(&mut self, kind: Kind, uses_revocable_key: bool) -> bool {
        let Some(mut connection) = self.connection.take() else {
            return false;
        };
        self.number += 1;
        let attempt = format!("{}x{}", self.name, self.number);
        let (target, body) = match kind {
            Kind::CrashingRequest => (platform::CRASHING_TARGET.to_owned(), "crash".to_owned()),
            Kind::Once | Kind::Safe | Kind::Stream | Kind::CrashingPrompt | Kind::Probe => (
                format!("{}%2e{}?a=%20&n={}", kind.prefix(), attempt, self.number),
                format!("body of {attempt}"),
            ),
        };
        let call = Call {
            kind,
            target,
            body,
            uses_revocable_key,
            sent_at: Instant::now(),
            entry: connection.get_ref().peer_addr().ok(),
        };
        self.history.record_request(&attempt, &call);
        let response = exchange(&mut connection, &attempt, &call);
        let Ok(Some(response)) = response else {
            return false;
        };
        if response.is_reusable() {
            self.connection = Some(connection);
        }
        self.history.record_response(&attempt, &response)
    }

    /// Connects to a random entry, after renewing the addresses if they are too old. Drops the
    /// address of an entry that does not accept the connection.
    fn connect_to_entry(&mut self) -> Option<BufReader<TcpStream>> {
        if self
            .resolved_at
            .is_none_or(|at| at.elapsed() > ADDRESS_LIFETIME)
        {
            let keepers = self.deployment.keepers();
            let keeper = keepers[self.rng.random_range(0..keepers.len())];
            if let Some(addresses) = resolve(self.deployment.directory_address(keeper)) {
                self.addresses = addresses;
                self.resolved_at = Some(Instant::now());
            }
        }
        if self.addresses.is_empty() {
            return None;
        }
        let chosen = self.rng.random_range(0..self.addresses.len());
        let connection = connect(self.addresses[chosen]);
        if connection.is_none() {
            self.addresses.remove(chosen);
        }
        connection
    }
}

/// Opens a connection, if the address accepts one in time.
pub fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(BufReader::new(stream))
}

/// Sends a request and reads its response.
pub fn exchange(
    connection: &mut BufReader<TcpStream>,
    attempt: &str,
    call: &Call,
) -> io::Result<Option<Message>> {
    let request = platform::request(attempt, call, REQUEST_TIMEOUT);
    connection.get_mut().write_all(request.as_bytes())?;
    wire::read(connection)
}

/// Asks a keeper for the addresses of entries.
fn resolve(keeper: SocketAddr) -> Option<Vec<SocketAddr>> {
    let response = send_request(keeper, platform::RESOLVE, "", CONNECT_TIMEOUT)?;
    platform::addresses(&response.body)
}

/// Sends one request on a new connection. Returns its response if it arrived completely.
pub fn send_request(
    address: SocketAddr,
    line: &str,
    body: &str,
    timeout: Duration,
) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut stream = BufReader::new(stream);
    let request = format!(
        "{line} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len(),
    );
    stream.get_mut().write_all(request.as_bytes()).ok()?;
    let response = wire::read(&mut stream).ok()??;
    response.is_complete.then_some(response)
}
