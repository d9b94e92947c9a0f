//! Simulated platform of a soak test: the requests that callers and operators send, the list of
//! upstreams, and upstreams that record what they run. The platform's names are used only in this
//! module.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::declaration::{MAIN_SERVICE, PROBED_SERVICES, SLOW_SERVICE};
use super::deployment::UPSTREAM_COUNT;
use super::history::{Call, Disruption, Execution, History, Kind, STREAM_EVENTS, event};
use super::lock;
use super::wire::{self, Message};

/// Time that an upstream takes for a plain response, and for each event of a stream.
const EVENT_DELAY: Duration = Duration::from_millis(20);

/// Time for which an unresponsive upstream keeps a connection open without a response: longer than
/// callers wait.
const UNRESPONSIVE_DURATION: Duration = Duration::from_secs(6);

/// Time for which an upstream is silent that goes on after it.
const PAUSE_DURATION: Duration = Duration::from_millis(1_200);

/// Time for which the upstream of [`SLOW_SERVICE`] sends no response to some requests.
const SLOW_DURATION: Duration = Duration::from_secs(3);

/// Interval between the requests of a probe for which it takes that long, as an upstream that never
/// responds in time gets no requests.
const SLOW_INTERVAL: u64 = 2;

/// Services of the upstreams beyond those that faults affect.
pub const FURTHER_SERVICES: [&str; 3] = [PROBED_SERVICES[0], PROBED_SERVICES[1], SLOW_SERVICE];

/// Time for which an upstream or the list waits for the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Header with the id of an attempt.
pub const ATTEMPT_HEADER: &str = "X-Gooseberrylb-Attempt-Id";
/// Header with the time that a caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "X-Gooseberrylb-Deadline-Ms";
/// Header with which an upstream signs its response.
pub const SIGNATURE_HEADER: &str = "X-Gooseberrylb-Response-Signature";
/// Header with the name of the upstream that a request is meant for.
pub const EXPECT_INSTANCE_HEADER: &str = "X-Gooseberrylb-Expect-Instance";
/// Header with the client account of a request.
pub const TENANT_HEADER: &str = "X-Gooseberrylb-Tenant";
/// Header with which an upstream states that it did not run the request.
pub const NOT_EXECUTED_HEADER: &str = "X-Gooseberrylb-Not-Executed";

/// Header with which an upstream states that it leaves.
pub const LEAVING_HEADER: &str = "Server-Leaving";

/// Upstream that leaves now and then, and starts again under another name.
const LEAVING_UPSTREAM: usize = 0;
/// Interval between the requests of a caller with which [`LEAVING_UPSTREAM`] begins to leave.
const LEAVING_INTERVAL: u64 = 40;
/// Time from the statement of an upstream that it leaves until it starts again.
const LEAVING_DURATION: Duration = Duration::from_millis(4_500);

/// Upstream that names a limit in all its responses.
const LIMITED_UPSTREAM: usize = 2;
/// Number of requests per second that it takes.
pub const LIMIT: f64 = 4.0;
/// Header with which it names its limit.
pub const LIMIT_HEADER: &str = "Server-Limit";

/// Upstream that turns a request away now and then, and wants no further ones for a while.
const CLOSED_UPSTREAM: usize = 1;
/// Interval between the requests of a caller with which [`CLOSED_UPSTREAM`] does so.
const CLOSED_INTERVAL: u64 = 30;
/// Time in seconds for which it wants no requests.
const CLOSED_S: u64 = 2;

/// Upstream that is brittle, and says so in all its responses.
const BRITTLE_UPSTREAM: usize = 3;
/// Number of requests that it runs at once, fewer than the slots in the list.
const BRITTLE_ROOM: usize = 2;
/// Number of requests that it can turn away in a second; beyond it, it crashes.
const TOLERANCE: usize = 3;
/// Period in which those that it turns away are counted.
const TOLERANCE_PERIOD: Duration = Duration::from_secs(1);
/// Header with which it says so.
const BRITTLE_HEADER: &str = "Server-Brittle";

/// Upstream that is alone in its data centre, which is evacuated now and then.
pub const EVACUATED_UPSTREAM: usize = 1;

/// Header with the parts of a prompt.
const PROMPT_HEADER: &str = "X-Gooseberrylb-Prompt-Prefix";
/// Part of a prompt under which every upstream crashes as it begins a response.
const CRASHING_PART: &str = "bad";
/// Target of requests under which every upstream crashes.
pub const CRASHING_TARGET: &str = "/safe/crash";

/// Header fields of streams, with the end of the head.
const STREAM_FIELDS: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// API key of the account that all declarations contain.
pub const PERMANENT_KEY: &str = "key-steady";
/// API key of the account that some declarations contain and others don't.
pub const REVOCABLE_KEY: &str = "key-passing";

/// Request line to ask a keeper for the addresses of entries.
pub const RESOLVE: &str = "GET /api/resolve?name=a.example&region=padana&zone=lodi";
/// Request line to send a declaration to a keeper.
pub const DECLARE: &str = "PUT /api/configuration";
/// Request line to evacuate the data centre of [`EVACUATED_UPSTREAM`].
pub const EVACUATE: &str = "POST /api/evacuation/mantova";
/// Request line to end that.
pub const END_EVACUATION: &str = "DELETE /api/evacuation/mantova";
/// Request line to read the declaration in force from a keeper.
pub const READ_BACK: &str = "GET /api/configuration";

/// Behaviour of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds correctly.
    Normal,
    /// Runs requests and closes the connection without a response.
    DropsResponse,
    /// Runs requests and sends nothing.
    Unresponsive,
    /// Runs requests and responds with status 500.
    ServerError,
    /// Refuses requests with status 503 and runs none.
    AtCapacity,
    /// Runs requests and sends an unsigned response with more bytes than its stated length.
    Malformed,
    /// Runs requests and ends the connection within the response.
    Truncates,
    /// Is silent for a while and then responds correctly.
    Pauses,
    /// Responds correctly, and sends the response once more where the next one is expected.
    Repeats,
}

/// All behaviours other than [`Behaviour::Normal`].
pub const FAULTY_BEHAVIOURS: [Behaviour; 8] = [
    Behaviour::DropsResponse,
    Behaviour::Unresponsive,
    Behaviour::ServerError,
    Behaviour::AtCapacity,
    Behaviour::Malformed,
    Behaviour::Truncates,
    Behaviour::Pauses,
    Behaviour::Repeats,
];

/// State of the list of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListState {
    /// Responds with the list.
    Available,
    /// Closes connections without a response.
    Down,
    /// Responds with a list that cannot be decoded.
    Malformed,
}

/// Simulated upstream.
#[derive(Debug)]
struct Upstream {
    number: usize,
    service: &'static str,
    /// Address in the list.
    advertised: SocketAddr,
    /// Number of starts so far. Each start has a name of its own.
    start_count: AtomicU64,
    /// Number of the start in which the upstream leaves; 0 if it has not left yet.
    leaving_start: AtomicU64,
    behaviour: Mutex<Behaviour>,
    /// Number of requests that have arrived.
    arrivals: AtomicUsize,
    /// Number of requests that run.
    running: AtomicUsize,
    /// Times at which a brittle upstream turned requests away since it started.
    turned_away: Mutex<Vec<Instant>>,
}

/// Counts a request as running at an upstream until dropped.
struct Run<'a>(&'a Upstream);

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Upstream {
    /// Counts a request as running; `None` if the upstream is brittle and has no room for it.
    fn begin(&self) -> Option<Run<'_>> {
        self.arrivals.fetch_add(1, Ordering::SeqCst);
        let before = self.running.fetch_add(1, Ordering::SeqCst);
        let run = Run(self);
        let is_full = self.number == BRITTLE_UPSTREAM && before >= BRITTLE_ROOM;
        (!is_full).then_some(run)
    }

    /// Records that a brittle upstream turns a request away; returns whether that was one too many.
    fn turn_away(&self) -> bool {
        let now = Instant::now();
        let mut times = lock(&self.turned_away);
        times.retain(|at| *at + TOLERANCE_PERIOD > now);
        times.push(now);
        let falls = times.len() > TOLERANCE;
        if falls {
            times.clear();
        }
        falls
    }

    /// Returns the field with which a brittle upstream says so.
    fn brittle_field(&self) -> String {
        match self.number {
            BRITTLE_UPSTREAM => format!("{BRITTLE_HEADER}: {TOLERANCE}\r\n"),
            _ => String::new(),
        }
    }

    /// Returns the name under which the upstream runs since its last start.
    fn name(&self) -> String {
        format!(
            "u-{}-{}",
            self.number,
            self.start_count.load(Ordering::SeqCst)
        )
    }

    /// Whether the upstream says with its response to `attempt` that it leaves.
    fn is_leaving(self: &Arc<Self>, attempt: &str) -> bool {
        let start = self.start_count.load(Ordering::SeqCst);
        if self.leaving_start.load(Ordering::SeqCst) == start {
            return true;
        }
        let begins = self.number == LEAVING_UPSTREAM && is_multiple(attempt, LEAVING_INTERVAL);
        if begins {
            self.leaving_start.store(start, Ordering::SeqCst);
            let upstream = self.clone();
            thread::spawn(move || {
                thread::sleep(LEAVING_DURATION);
                // It may have been restarted meanwhile.
                let next = start + 1;
                let count = &upstream.start_count;
                count
                    .compare_exchange(start, next, Ordering::SeqCst, Ordering::SeqCst)
                    .ok();
            });
        }
        begins
    }

    /// Crashes: the upstream starts again under another name.
    fn crash(&self) {
        self.start_count.fetch_add(1, Ordering::SeqCst);
    }

    /// Whether the upstream turns `attempt` away and wants no requests for a while.
    fn is_closed(&self, attempt: &str) -> bool {
        self.number == CLOSED_UPSTREAM && is_multiple(attempt, CLOSED_INTERVAL)
    }
}

/// Whether the number of an attempt among those of its caller is a multiple of `interval`.
fn is_multiple(attempt: &str, interval: u64) -> bool {
    let number = attempt.rsplit('x').next().and_then(|n| n.parse().ok());
    number.is_some_and(|number: u64| number.is_multiple_of(interval))
}

/// Stand-ins for the list of upstreams and for the upstreams.
pub struct StandIns {
    upstreams: Vec<Arc<Upstream>>,
    list_state: Mutex<ListState>,
    history: Arc<History>,
}

impl StandIns {
    /// Starts the list at `feed`, and one upstream for each pair of addresses: the address in the
    /// list, and the address to listen on. Those from [`UPSTREAM_COUNT`] on run [`FURTHER_SERVICES`].
    pub fn start(
        feed: SocketAddr,
        addresses: &[(SocketAddr, SocketAddr)],
        history: Arc<History>,
    ) -> io::Result<Arc<Self>> {
        let upstream = |(number, (advertised, _)): (usize, &(SocketAddr, SocketAddr))| {
            Arc::new(Upstream {
                number,
                service: number
                    .checked_sub(usize::from(UPSTREAM_COUNT))
                    .map_or(MAIN_SERVICE, |further| FURTHER_SERVICES[further]),
                advertised: *advertised,
                start_count: AtomicU64::new(1),
                leaving_start: AtomicU64::new(0),
                behaviour: Mutex::new(Behaviour::Normal),
                arrivals: AtomicUsize::new(0),
                running: AtomicUsize::new(0),
                turned_away: Mutex::default(),
            })
        };
        let stand_ins = Arc::new(Self {
            upstreams: addresses.iter().enumerate().map(upstream).collect(),
            list_state: Mutex::new(ListState::Available),
            history,
        });
        let list = stand_ins.clone();
        serve(feed, move |stream| list.serve_list(stream))?;
        for (upstream, (_, listen)) in stand_ins.upstreams.iter().zip(addresses) {
            let (upstream, history) = (upstream.clone(), stand_ins.history.clone());
            serve(*listen, move |stream| {
                serve_upstream(&upstream, &history, stream)
            })?;
        }
        Ok(stand_ins)
    }

    /// Sets the behaviour of an upstream.
    pub fn set_behaviour(&self, number: usize, behaviour: Behaviour) {
        *lock(&self.upstreams[number].behaviour) = behaviour;
    }

    /// Returns the number of requests that have arrived at an upstream.
    pub fn arrivals(&self, number: usize) -> usize {
        self.upstreams[number].arrivals.load(Ordering::SeqCst)
    }

    /// Simulates a restart of an upstream, which then has another name at the same address.
    pub fn restart(&self, number: usize) {
        self.upstreams[number].crash();
    }

    /// Records a fault that has ended.
    pub fn record_disruption(&self, disruption: Disruption) {
        self.history.record_disruption(disruption);
    }

    /// Records a fault at keepers or at links between them that has ended.
    pub fn record_core_disruption(&self, start: Instant, end: Instant) {
        self.history.record_core_disruption(start, end);
    }

    /// Records the start of an instance.
    pub fn record_start(&self, host: u8) {
        self.history.record_start(host);
    }

    /// Sets the state of the list.
    pub fn set_list_state(&self, list_state: ListState) {
        *lock(&self.list_state) = list_state;
    }

    /// Serves one connection to the list.
    fn serve_list(&self, stream: &mut BufReader<TcpStream>) -> io::Result<()> {
        while wire::read(stream)?.is_some() {
            let body = match *lock(&self.list_state) {
                ListState::Available => self.list_body(),
                ListState::Down => return Ok(()),
                ListState::Malformed => "{\"instances\":[{\"service\":".to_owned(),
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.get_mut().write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    /// Returns the list as the platform encodes it.
    fn list_body(&self) -> String {
        let readable = self.upstreams.iter().map(|upstream| {
            serde_json::json!({
                "id": upstream.name(), "service": upstream.service, "address": upstream.advertised,
                "zone": if upstream.number == EVACUATED_UPSTREAM { "mantova" } else { "lodi" },
                "version": "v1", "slots": if upstream.service == SLOW_SERVICE { 64 } else { 8 }, "state": "ready",
            })
        });
        // The list also contains an entry that cannot be decoded, which must not affect the others.
        let unreadable = serde_json::json!({"id": 7, "state": "ready"});
        let entries: Vec<_> = readable.chain([unreadable]).collect();
        serde_json::json!({"instances": entries, "next": null}).to_string()
    }
}

/// Accepts connections for as long as the program runs.
fn serve(
    address: SocketAddr,
    handle: impl Fn(&mut BufReader<TcpStream>) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                // A peer that resets the connection ends it; no error needs handling here.
                let _ = stream.get_ref().set_read_timeout(Some(IDLE_TIMEOUT));
                let _ = handle(&mut stream);
                let _ = stream.get_ref().shutdown(Shutdown::Both);
            });
        }
    });
    Ok(())
}

/// Serves one connection to an upstream.
fn serve_upstream(
    upstream: &Arc<Upstream>,
    history: &History,
    stream: &mut BufReader<TcpStream>,
) -> io::Result<()> {
    while let Some(request) = wire::read(stream)? {
        if !request.is_complete {
            return Ok(());
        }
        let behaviour = *lock(&upstream.behaviour);
        let attempt = request
            .header(ATTEMPT_HEADER)
            .unwrap_or_default()
            .to_owned();
        let name = upstream.name();
        if request.header(EXPECT_INSTANCE_HEADER) != Some(&name)
            || behaviour == Behaviour::AtCapacity
        {
            let status = match behaviour {
                Behaviour::AtCapacity => "503 Full",
                _ => "421 Misdirected",
            };
            let refusal = format!(
                "HTTP/1.1 {status}\r\n{}: 1\r\n{}: {attempt}\r\nContent-Length: 0\r\n\r\n",
                NOT_EXECUTED_HEADER, ATTEMPT_HEADER,
            );
            stream.get_mut().write_all(refusal.as_bytes())?;
            continue;
        }
        if upstream.service == MAIN_SERVICE {
            history.record_arrival(&name, &attempt);
        }
        if upstream.is_closed(&attempt) {
            history.record_closed(&name, &attempt, Duration::from_secs(CLOSED_S));
            let refusal = format!(
                "HTTP/1.1 503 Busy\r\n{}: 1\r\n{}: {attempt}\r\nRetry-After: {CLOSED_S}\r\n\
                 Content-Length: 0\r\n\r\n",
                NOT_EXECUTED_HEADER, ATTEMPT_HEADER,
            );
            stream.get_mut().write_all(refusal.as_bytes())?;
            continue;
        }
        let Some(_run) = upstream.begin() else {
            if upstream.turn_away() {
                history.record_fall();
                upstream.crash();
                return Ok(());
            }
            let refusal = format!(
                "HTTP/1.1 503 Full\r\n{}: 1\r\n{}: {attempt}\r\n{}Content-Length: 0\r\n\r\n",
                NOT_EXECUTED_HEADER,
                ATTEMPT_HEADER,
                upstream.brittle_field(),
            );
            stream.get_mut().write_all(refusal.as_bytes())?;
            continue;
        };
        let leaving = upstream.is_leaving(&attempt);
        history.record_execution(Execution::new(&request, &attempt, upstream.service));
        if upstream.service == SLOW_SERVICE && is_multiple(&attempt, SLOW_INTERVAL) {
            thread::sleep(SLOW_DURATION);
            return Ok(());
        }
        let writer = stream.get_mut();
        match behaviour {
            Behaviour::Normal
            | Behaviour::Truncates
            | Behaviour::AtCapacity
            | Behaviour::Repeats => {}
            Behaviour::Pauses => {
                history.record_pause(&attempt);
                thread::sleep(PAUSE_DURATION);
            }
            Behaviour::DropsResponse => return Ok(()),
            Behaviour::Unresponsive => {
                thread::sleep(UNRESPONSIVE_DURATION);
                return Ok(());
            }
            Behaviour::ServerError => {
                let head = response_head(&attempt, &name, "500 Failed");
                writer.write_all(format!("{head}Content-Length: 4\r\n\r\noops").as_bytes())?;
                continue;
            }
            Behaviour::Malformed => {
                let garbage = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone and more";
                writer.write_all(garbage)?;
                return Ok(());
            }
        }
        if request.target() == CRASHING_TARGET {
            upstream.crash();
            return Ok(());
        }
        let prompt = request.header(PROMPT_HEADER).unwrap_or_default();
        if prompt.contains(CRASHING_PART) {
            upstream.crash();
            let head = response_head(&attempt, &name, "200 OK");
            return writer.write_all((head + STREAM_FIELDS).as_bytes());
        }
        let mut head = response_head(&attempt, &name, "200 OK");
        if leaving {
            head += &format!("{LEAVING_HEADER}: 1\r\n");
        }
        head += &upstream.brittle_field();
        if upstream.number == LIMITED_UPSTREAM {
            head += &format!("{LIMIT_HEADER}: {LIMIT}\r\n");
        }
        let truncate = behaviour == Behaviour::Truncates;
        write_response(&request, &attempt, head.clone(), truncate, writer)?;
        if behaviour == Behaviour::Repeats {
            write_response(&request, &attempt, head, false, writer)?;
        }
        if behaviour == Behaviour::Truncates {
            return Ok(());
        }
    }
    Ok(())
}

/// Returns the status line and the signed header fields of a response, without framing.
fn response_head(attempt: &str, name: &str, status: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{}: {attempt}\r\n{}: s.{attempt}.{name}\r\n",
        ATTEMPT_HEADER, SIGNATURE_HEADER,
    )
}

/// Writes `head` and the body of the response to a request, or their beginning if `truncate` is set.
fn write_response(
    request: &Message,
    attempt: &str,
    head: String,
    truncate: bool,
    writer: &mut TcpStream,
) -> io::Result<()> {
    if !request.target().starts_with("/stream/") {
        thread::sleep(EVENT_DELAY);
        let body = format!("answer {attempt}");
        let sent = if truncate { &body[..3] } else { &body };
        let length = body.len();
        let text = format!("{head}Content-Length: {length}\r\n\r\n{sent}");
        return writer.write_all(text.as_bytes());
    }
    writer.write_all((head + STREAM_FIELDS).as_bytes())?;
    for number in 1..=STREAM_EVENTS {
        thread::sleep(EVENT_DELAY);
        let event = event(attempt, number);
        if truncate && number == STREAM_EVENTS / 2 {
            return writer.write_all(format!("{:x}\r\n{}", event.len(), &event[..5]).as_bytes());
        }
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    writer.write_all(b"0\r\n\r\n")
}

/// Returns the request of a caller that waits for `timeout`.
pub fn request(attempt: &str, call: &Call, timeout: Duration) -> String {
    let method = match call.kind {
        Kind::Safe | Kind::CrashingRequest | Kind::Probe => "GET",
        Kind::Once | Kind::Stream | Kind::CrashingPrompt => "POST",
    };
    let key = if call.uses_revocable_key {
        REVOCABLE_KEY
    } else {
        PERMANENT_KEY
    };
    let part = match call.kind {
        Kind::CrashingPrompt => CRASHING_PART,
        Kind::Once | Kind::Safe | Kind::Stream | Kind::CrashingRequest | Kind::Probe => "50d",
    };
    let own = call.body.len();
    format!(
        "{method} {} HTTP/1.1\r\nHost: a.example\r\n{}: {attempt}\r\n{}: {}\r\n\
         {PROMPT_HEADER}: f0:60,{part}:700,{own}:50\r\n\
         Authorization: Token {key}\r\nContent-Length: {}\r\n\r\n{}",
        call.target,
        ATTEMPT_HEADER,
        DEADLINE_HEADER,
        timeout.as_millis(),
        call.body.len(),
        call.body,
    )
}

/// Decodes the addresses in the response of a keeper.
pub fn addresses(body: &[u8]) -> Option<Vec<SocketAddr>> {
    let body: serde_json::Value = serde_json::from_slice(body).ok()?;
    let addresses = body["addresses"].as_array()?.iter();
    let read = addresses.map(|address| address.as_str()?.parse().ok());
    read.collect()
}
