//! The platform as a soak's deployment sees it: how callers and operators speak, the list of upstreams,
//! and the upstreams, which note all that they run. Its names stand here alone.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::history::{ACCOUNT, Call, Execution, History, Kind, STREAM_EVENTS, event};
use super::lock;
use super::wire::{self, Message};

/// How long an upstream takes for a plain answer, and for each event of a stream.
const EVENT_DELAY: Duration = Duration::from_millis(20);

/// How long an upstream that falls silent says nothing; longer than callers wait.
const UNRESPONSIVE_DURATION: Duration = Duration::from_secs(6);

/// How long an upstream or the list waits for the next request of a kept connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The fields that the platform's protocol names.
pub const ATTEMPT_HEADER: &str = "X-Gooseberrylb-Attempt-Id";
pub const DEADLINE_HEADER: &str = "X-Gooseberrylb-Deadline-Ms";
pub const SIGNATURE_HEADER: &str = "X-Gooseberrylb-Response-Signature";
pub const EXPECT_INSTANCE_HEADER: &str = "X-Gooseberrylb-Expect-Instance";
pub const TENANT_HEADER: &str = "X-Gooseberrylb-Tenant";
pub const NOT_EXECUTED_HEADER: &str = "X-Gooseberrylb-Not-Executed";

/// The keys of the account: one that is always there, and one that comes and goes.
pub const PERMANENT_KEY: &str = "key-steady";
pub const REVOCABLE_KEY: &str = "key-passing";

/// The calls at a keeper: for addresses, to declare, and to read back.
pub const RESOLVE: &str = "GET /api/resolve?name=a.example&region=padana&zone=lodi";
pub const DECLARE: &str = "PUT /api/configuration";
pub const READ_BACK: &str = "GET /api/configuration";

/// How an upstream behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers.
    Normal,
    /// It runs requests and closes the connection without an answer.
    DropsResponse,
    /// It runs requests and says nothing.
    Unresponsive,
    /// It runs requests and answers 500.
    ServerError,
    /// It says that it has no room, and runs nothing.
    AtCapacity,
    /// It runs requests and sends bytes that are no answer of its own.
    Malformed,
    /// It breaks its answers off.
    Truncates,
}

/// All manners but the good one.
pub const FAULTY_BEHAVIOURS: [Behaviour; 6] = [
    Behaviour::DropsResponse,
    Behaviour::Unresponsive,
    Behaviour::ServerError,
    Behaviour::AtCapacity,
    Behaviour::Malformed,
    Behaviour::Truncates,
];

/// How the list behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListState {
    /// It is answered.
    Available,
    /// Its connections are closed.
    Down,
    /// It cannot be read.
    Malformed,
}

#[derive(Debug)]
struct Upstream {
    number: usize,
    advertised: SocketAddr,
    /// How often it has started: each start has a name of its own.
    start_count: AtomicU64,
    behaviour: Mutex<Behaviour>,
}

impl Upstream {
    fn name(&self) -> String {
        format!(
            "u-{}-{}",
            self.number,
            self.start_count.load(Ordering::SeqCst)
        )
    }
}

/// The list and the upstreams.
pub struct StandIns {
    upstreams: Vec<Arc<Upstream>>,
    list_state: Mutex<ListState>,
    history: Arc<History>,
}

impl StandIns {
    /// Starts the list at `feed`, and an upstream for each place: where it is shown to be, and where
    /// it listens.
    pub fn start(
        feed: SocketAddr,
        addresses: &[(SocketAddr, SocketAddr)],
        history: Arc<History>,
    ) -> io::Result<Arc<Self>> {
        let upstream = |(number, (advertised, _)): (usize, &(SocketAddr, SocketAddr))| {
            Arc::new(Upstream {
                number,
                advertised: *advertised,
                start_count: AtomicU64::new(1),
                behaviour: Mutex::new(Behaviour::Normal),
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

    /// Sets how an upstream behaves.
    pub fn set_behaviour(&self, number: usize, behaviour: Behaviour) {
        *lock(&self.upstreams[number].behaviour) = behaviour;
    }

    /// Starts an upstream anew, under another name at the same address.
    pub fn restart(&self, number: usize) {
        self.upstreams[number]
            .start_count
            .fetch_add(1, Ordering::SeqCst);
    }

    /// Sets how the list behaves.
    pub fn set_list_state(&self, list_state: ListState) {
        *lock(&self.list_state) = list_state;
    }

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

    fn list_body(&self) -> String {
        let readable = self.upstreams.iter().map(|upstream| {
            serde_json::json!({
                "id": upstream.name(), "service": "desk", "address": upstream.advertised,
                "zone": "lodi", "version": "v1", "slots": 8, "state": "ready",
            })
        });
        // One entry that cannot be read, beside those that hold.
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
                // A peer that breaks off ends the connection, which is all there is to do.
                let _ = stream.get_ref().set_read_timeout(Some(IDLE_TIMEOUT));
                let _ = handle(&mut stream);
                let _ = stream.get_ref().shutdown(Shutdown::Both);
            });
        }
    });
    Ok(())
}

/// Serves one connection of an upstream.
fn serve_upstream(
    upstream: &Upstream,
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
        history.record_execution(Execution::new(&request, &attempt));
        let writer = stream.get_mut();
        match behaviour {
            Behaviour::Normal | Behaviour::Truncates | Behaviour::AtCapacity => {}
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
        write_response(
            &request,
            &attempt,
            &name,
            behaviour == Behaviour::Truncates,
            writer,
        )?;
        if behaviour == Behaviour::Truncates {
            return Ok(());
        }
    }
    Ok(())
}

fn response_head(attempt: &str, name: &str, status: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{}: {attempt}\r\n{}: s.{attempt}.{name}\r\n",
        ATTEMPT_HEADER, SIGNATURE_HEADER,
    )
}

/// Answers a request, or begins to.
fn write_response(
    request: &Message,
    attempt: &str,
    name: &str,
    truncate: bool,
    writer: &mut TcpStream,
) -> io::Result<()> {
    let head = response_head(attempt, name, "200 OK");
    if !request.target().starts_with("/stream/") {
        thread::sleep(EVENT_DELAY);
        let body = format!("answer {attempt}");
        let sent = if truncate { &body[..3] } else { &body };
        let length = body.len();
        let text = format!("{head}Content-Length: {length}\r\n\r\n{sent}");
        return writer.write_all(text.as_bytes());
    }
    let type_and_framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    writer.write_all((head + type_and_framing).as_bytes())?;
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

/// A request as a caller that waits for so long writes it.
pub fn request(attempt: &str, call: &Call, timeout: Duration) -> String {
    let method = match call.kind {
        Kind::Safe => "GET",
        Kind::Once | Kind::Stream => "POST",
    };
    let key = if call.uses_revocable_key {
        REVOCABLE_KEY
    } else {
        PERMANENT_KEY
    };
    format!(
        "{method} {} HTTP/1.1\r\nHost: a.example\r\n{}: {attempt}\r\n{}: {}\r\n\
         Authorization: Token {key}\r\nContent-Length: {}\r\n\r\n{}",
        call.target,
        ATTEMPT_HEADER,
        DEADLINE_HEADER,
        timeout.as_millis(),
        call.body.len(),
        call.body,
    )
}

/// The addresses that a keeper names.
pub fn addresses(body: &[u8]) -> Option<Vec<SocketAddr>> {
    let body: serde_json::Value = serde_json::from_slice(body).ok()?;
    let addresses = body["addresses"].as_array()?.iter();
    let read = addresses.map(|address| address.as_str()?.parse().ok());
    read.collect()
}

/// A declaration, with the key that comes and goes or without it.
pub fn declaration(version: u64, has_revocable_key: bool) -> String {
    let route = |name: &str, kind: &str| {
        serde_json::json!({
            "name": name, "host": "a.example", "path-prefix": format!("/{name}/"), "kind": kind,
            "timeout-ms": 4_000, "target-latency-ms": 1_000, "target-gap-ms": 500, "priority": 1,
            "service": "desk", "max-attempts": 2,
        })
    };
    let mut keys = vec![PERMANENT_KEY];
    keys.extend(has_revocable_key.then_some(REVOCABLE_KEY));
    serde_json::json!({
        "version": version,
        "routes": [route("once", "unsafe"), route("safe", "safe"), route("stream", "streaming")],
        "services": [{"name": "desk", "max-connections": 400}],
        "tenants": [{"name": ACCOUNT, "api-keys": keys}],
    })
    .to_string()
}
