//! Stand-ins for the platform's list of upstreams and for the upstreams.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::fleet::{Network, STAND_INS, UPSTREAM, field};
use crate::owner;

/// Time for which the body of a request to an upstream with `unread` in its target is not read.
const UNREAD_TIME: Duration = Duration::from_secs(120);

/// Reads a message whose body has a `Content-Length`; `None` if the connection ends first.
pub fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let mut text = String::from_utf8(bytes).unwrap();
    if text.contains("/unread") {
        thread::sleep(UNREAD_TIME);
    }
    let length = field(&text, "content-length").map_or(0, |value| value.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    text.push_str(&String::from_utf8(body).unwrap());
    Some(text)
}

/// What a stand-in does after the text of a response.
pub enum End {
    /// Closes the connection in order.
    Close,
    /// Resets the connection, once the text has had time to be read.
    Reset,
    /// Repeats a text until the peer closes the connection.
    Endless(&'static str),
    /// Waits until the peer closes the connection, and records that for a target.
    AwaitClose(String),
    /// Keeps the connection, and sends a text before the response to the next request.
    Late(String),
}

/// Response of a stand-in.
pub struct Answer {
    text: String,
    end: End,
}

impl From<String> for Answer {
    fn from(text: String) -> Self {
        Self {
            text,
            end: End::Close,
        }
    }
}

impl Answer {
    fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(self.text.as_bytes())?;
        match self.end {
            End::Close | End::Late(_) => Ok(()),
            End::AwaitClose(ref target) => {
                // The peer sends no more, so that the read ends with the connection.
                let _ = stream.read(&mut [0; 1]);
                CLOSED.lock().unwrap().push(target.clone());
                Ok(())
            }
            End::Reset => {
                thread::sleep(Duration::from_millis(100));
                SockRef::from(&*stream).set_linger(Some(Duration::ZERO))
            }
            End::Endless(text) => {
                let bytes = text.repeat(64 * 1024 / text.len());
                loop {
                    stream.write_all(bytes.as_bytes())?;
                }
            }
        }
    }
}

/// Processes whose connections to a stand-in are reset.
pub type CutOff = Arc<Mutex<Vec<u32>>>;

/// Serves requests with the responses that `answer` returns. Closes each connection after one
/// response. Connections of processes that are cut off are reset.
pub fn serve<A: Into<Answer>>(
    address: SocketAddr,
    cut_off: CutOff,
    answer: impl Fn(&str) -> A + Send + Sync + 'static,
) -> TcpListener {
    let listener = TcpListener::bind(address).unwrap();
    let accepted = listener.try_clone().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in accepted.incoming() {
            let (mut stream, answer) = (stream.unwrap(), answer.clone());
            let processes = cut_off.lock().unwrap().clone();
            thread::spawn(move || {
                let is_cut_off = |row: owner::Row| row.is_of(&processes);
                if !processes.is_empty() && owner::Row::of_peer(&stream).is_some_and(is_cut_off) {
                    let resets = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return resets.unwrap();
                }
                let mut late = String::new();
                while let Some(request) = read_message(&mut stream) {
                    let answer: Answer = answer(&request).into();
                    // The caller may have closed its connection.
                    stream.write_all(late.as_bytes()).ok();
                    answer.send(&mut stream).ok();
                    match answer.end {
                        End::Reset => return,
                        End::Late(text) => late = text,
                        End::Close | End::Endless(_) | End::AwaitClose(_) => break,
                    }
                }
                stream.shutdown(Shutdown::Both).ok();
            });
        }
    });
    listener
}

/// Returns a response with the signature of an upstream. `rest` holds further fields and the body.
pub fn signed_response(request: &str, status: &str, rest: &str) -> String {
    let id = field(request, "x-gooseberrylb-attempt-id").unwrap_or_default();
    format!(
        "HTTP/1.1 {status}\r\nConnection: close\r\nX-Gooseberrylb-Attempt-Id: {id}\r\n\
         X-Gooseberrylb-Response-Signature: s.{id}\r\n{rest}"
    )
}

/// Like [`signed_response`], on a connection that stays open.
fn kept_response(request: &str, status: &str, rest: &str) -> String {
    signed_response(request, status, rest).replace("Connection: close\r\n", "")
}

/// Returns the response of the upstream stand-in, which depends on words in the request's target.
/// `earlier` is the number of requests with this target before this one.
pub fn upstream_response(request: &str, earlier: usize) -> Answer {
    let target = request.split(' ').nth(1).unwrap();
    if target.contains("silent") {
        thread::sleep(Duration::from_secs(8));
    }
    if target.contains("unframed") {
        return unframed_response(request, target);
    }
    if let Some((_, place)) = target.split_once("endless-") {
        return endless_response(request, place);
    }
    if let Some((_, percent)) = target.split_once("head-cut-") {
        let whole = signed_response(
            request,
            "200 OK",
            "Content-Length: 5\r\nX-Last: field\r\n\r\n",
        );
        let length = whole.len() * percent.parse::<usize>().unwrap() / 100;
        return whole[..length].to_owned().into();
    }
    let instance = field(request, "x-gooseberrylb-expect-instance");
    if target.starts_with("/pair/")
        && target != "/pair/brittle"
        && instance.as_deref() == Some(SPEAKING)
    {
        return speaking_response(request, target).into();
    }
    if target == "/pair/brittle" {
        return brittle_response(request, instance.as_deref() == Some(SPEAKING)).into();
    }
    if target == "/pair/limited" {
        // Keeps its slots busy, so that there is use for those of the limited upstream.
        thread::sleep(BUSY_TIME);
    }
    if target.contains("stalls") && instance.as_deref() == Some(STALLING) {
        // Less than the objective, after which the request would be sent again without a copy.
        thread::sleep(STALL_TIME);
    }
    if target.contains("late-copy") {
        return repeated_response(request, target);
    }
    if target.contains("late-refusal") {
        return refusal_response(request, target);
    }
    if target.ends_with(CRASHING) {
        return Answer {
            text: String::new(),
            end: End::Reset,
        };
    }
    if target.starts_with("/crowd/") {
        return crowd_response(request);
    }
    if target.starts_with("/resumable/spoilt") {
        return spoilt_response(request, target, earlier);
    }
    if target.starts_with("/resumable/") {
        return resumable_response(request, earlier);
    }
    framed_response(request, target).into()
}

/// Upstream that takes long for requests whose target asks for it.
pub const STALLING: &str = "i-crowd-0";

/// Time that it takes.
const STALL_TIME: Duration = Duration::from_millis(1_500);

/// Returns a response with the target as its body, whose copy arrives before the next response on the
/// connection. The copy names no request if the target says so.
fn repeated_response(request: &str, target: &str) -> Answer {
    let length = target.len();
    let rest = format!("Content-Length: {length}\r\n\r\n{target}");
    let text = kept_response(request, "200 OK", &rest);
    let is_id = |line: &&str| line.starts_with("X-Gooseberrylb-Attempt-Id");
    let unnamed = || {
        let lines = text.split_inclusive("\r\n");
        lines.filter(|line| !is_id(line)).collect()
    };
    let copy = match target.contains("unnamed") {
        true => unnamed(),
        false => text.clone(),
    };
    Answer {
        text,
        end: End::Late(copy),
    }
}

/// Refuses a request that asks for it, and serves another one. The refusal arrives once more before the
/// next response on the connection, and names no request if the target says so.
fn refusal_response(request: &str, target: &str) -> Answer {
    if !target.contains("refused") {
        let rest = format!("Content-Length: {}\r\n\r\n{target}", target.len());
        return Answer {
            text: kept_response(request, "201 Made", &rest),
            end: End::Late(String::new()),
        };
    }
    let id = field(request, "x-gooseberrylb-attempt-id").unwrap_or_default();
    let refusal = |id: &str| {
        format!(
            "HTTP/1.1 503 Full\r\nX-Gooseberrylb-Not-Executed: 1\r\nKeep-Alive: timeout=60\r\n{id}\
             Content-Length: 0\r\n\r\n"
        )
    };
    let text = refusal(&format!("X-Gooseberrylb-Attempt-Id: {id}\r\n"));
    let end = match target.contains("unnamed") {
        true => End::Late(refusal("")),
        false => End::Late(text.clone()),
    };
    Answer { text, end }
}

/// Returns a response that ends with its connection.
fn unframed_response(request: &str, target: &str) -> Answer {
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let body = match target.rsplit('-').next() {
        Some("whole" | "reset") => events,
        Some("inside") => "id: 1\ndata: a\n\nid: 2\nda",
        Some("empty") => "",
        Some("spaced") => "id: 1\ndata: a\n\n\n",
        _ => "hello",
    };
    let rest = format!("Content-Type: text/event-stream\r\n\r\n{body}");
    Answer {
        text: signed_response(request, "200 OK", &rest),
        end: match target.ends_with("reset") {
            true => End::Reset,
            false => End::Close,
        },
    }
}

/// Upstream that makes statements on its availability; another one of its service makes none.
pub const SPEAKING: &str = "i-5";

/// Time in seconds for which the upstream says that it wants no request.
pub const CLOSED_S: u64 = 2;

/// Time that another upstream takes for requests to the one that names a limit.
const BUSY_TIME: Duration = Duration::from_millis(400);

/// Number of requests per second that the upstream takes if it names a limit.
pub const LIMIT: f64 = 2.0;

/// Returns a response with a statement if the target asks for one.
fn speaking_response(request: &str, target: &str) -> String {
    if target.contains("closed") {
        return format!(
            "HTTP/1.1 503 Busy\r\nX-Gooseberrylb-Not-Executed: 1\r\nRetry-After: {CLOSED_S}\r\n\
             Content-Length: 0\r\n\r\n"
        );
    }
    if target.contains("unsigned") {
        return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".to_owned();
    }
    let statement = match target.rsplit('/').next() {
        Some("leaving") => "Server-Leaving: 1\r\n".to_owned(),
        Some("limited") => format!("Server-Limit: {LIMIT}\r\n"),
        _ => String::new(),
    };
    let rest = format!("{statement}Content-Length: 5\r\n\r\nhello");
    signed_response(request, "201 Made", &rest)
}

/// Number of requests that a brittle upstream may turn away in a second.
pub const TOLERATED: usize = 3;

/// Number of requests that a brittle upstream runs at once, of the slots that the list shows.
const BRITTLE_ROOM: usize = 2;

/// Number of requests that run at the brittle upstream.
static BRITTLE_RUNNING: AtomicUsize = AtomicUsize::new(0);

/// Times at which the brittle upstream turned a request away.
pub static TURNED_AWAY: Mutex<Vec<Instant>> = Mutex::new(Vec::new());

/// Returns a response of one of two busy upstreams, of which one is brittle and says so.
fn brittle_response(request: &str, is_brittle: bool) -> String {
    if !is_brittle {
        thread::sleep(BUSY_TIME);
        return signed_response(request, "201 Made", "Content-Length: 5\r\n\r\nhello");
    }
    let running = BRITTLE_RUNNING.fetch_add(1, Ordering::SeqCst);
    let field = format!("Server-Brittle: {TOLERATED}\r\n");
    let response = match running < BRITTLE_ROOM {
        true => {
            thread::sleep(BUSY_TIME);
            let rest = format!("{field}Content-Length: 5\r\n\r\nhello");
            signed_response(request, "201 Made", &rest)
        }
        false => {
            TURNED_AWAY.lock().unwrap().push(Instant::now());
            format!(
                "HTTP/1.1 503 Full\r\nX-Gooseberrylb-Not-Executed: 1\r\n{field}\
                 Content-Length: 0\r\n\r\n"
            )
        }
    };
    BRITTLE_RUNNING.fetch_sub(1, Ordering::SeqCst);
    response
}

/// Number of upstreams of the service that has a crash for a part of a prompt.
const CROWD: u32 = 8;

/// End of the targets of requests under which upstreams crash.
pub const CRASHING: &str = "/crashing";

/// Part of a prompt under which upstreams crash.
pub const CRASHING_PART: &str = "bad0";

/// Returns a stream, which the upstream's crash breaks off before its first event if the prompt has
/// the crashing part.
fn crowd_response(request: &str) -> Answer {
    let parts = field(request, "x-gooseberrylb-prompt-prefix").unwrap_or_default();
    let crashes = parts.contains(&format!("{CRASHING_PART}:"));
    let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let rest = match crashes {
        true => head.to_owned(),
        false => format!("{head}f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"),
    };
    Answer {
        text: signed_response(request, "200 OK", &rest),
        end: match crashes {
            true => End::Reset,
            false => End::Close,
        },
    }
}

/// Returns bytes without end at a place of a response.
fn endless_response(request: &str, place: &str) -> Answer {
    let chunked = "Transfer-Encoding: chunked\r\n\r\n";
    let (text, repeated) = match place {
        "garbage" => (String::new(), "what is this"),
        "interim" => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        "fields" => (signed_response(request, "200 OK", ""), "A: b\r\n"),
        "trailers" => {
            let rest = format!("{chunked}f\r\nid: 1\ndata: a\n\n\r\n0\r\n");
            (signed_response(request, "200 OK", &rest), "A: b\r\n")
        }
        _ => (signed_response(request, "200 OK", "\r\n"), "data: x"),
    };
    Answer {
        text,
        end: End::Endless(repeated),
    }
}

/// Number of events of the stand-in's resumable streams.
pub const RESUMABLE_EVENTS: u32 = 5;

/// Targets of requests whose connections were closed by the peer.
static CLOSED: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Time that a stand-in takes to resume a spoilt stream.
const RESUMING_TIME: Duration = Duration::from_millis(500);

/// Returns a stream with bytes that are no chunk, on a connection that stays open. The upstream that resumes
/// it tells whether the first one's connection was closed when it answered.
fn spoilt_response(request: &str, target: &str, earlier: usize) -> Answer {
    let chunked = "Transfer-Encoding: chunked\r\n\r\n";
    if earlier == 0 {
        let rest = format!("{chunked}f\r\nid: 1\ndata: a\n\n\r\nwhat is this\r\n");
        return Answer {
            text: kept_response(request, "200 OK", &rest),
            end: End::AwaitClose(target.to_owned()),
        };
    }
    thread::sleep(RESUMING_TIME);
    let is_closed = CLOSED.lock().unwrap().iter().any(|known| known == target);
    let event = format!("id: 2\ndata: first closed {is_closed}\n\n");
    let body = format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len());
    signed_response(request, "200 OK", &format!("{chunked}{body}")).into()
}

/// Returns a stream that continues after the request's last event. The first request of a target
/// gets only the beginning of the next event.
fn resumable_response(request: &str, earlier: usize) -> Answer {
    let last = field(request, "last-event-id").map_or(0, |id| id.parse().unwrap());
    let target = request.split(' ').nth(1).unwrap();
    let fails = earlier > 0 || target.contains("first-error");
    if let Some((_, size)) = target.split_once("error-").filter(|_| fails) {
        let length = match size.starts_with("large") {
            true => LARGE_ERROR_BYTES,
            false => ERROR_TEXT.len(),
        };
        let body = ERROR_TEXT.repeat(length / ERROR_TEXT.len());
        let rest = format!("Content-Length: {length}\r\n\r\n{body}");
        return signed_response(request, "500 Oops", &rest).into();
    }
    let body = match earlier {
        0 if target.contains("error-") => "id: 1\ndata: x\n\nid: 2\nda".to_owned(),
        0 => format!("id: {}\nda", last + 1),
        _ => (last + 1..=RESUMABLE_EVENTS)
            .map(|id| format!("id: {id}\ndata: x\n\n"))
            .collect(),
    };
    let rest = format!("Content-Type: text/event-stream\r\n\r\n{body}");
    signed_response(request, "200 OK", &rest).into()
}

/// Text of the error with which an upstream answers a resumed stream.
pub const ERROR_TEXT: &str = "oops\n\n";

/// Length of a large error, which is not read in full before it is passed on.
pub const LARGE_ERROR_BYTES: usize = 600 * 1024;

/// Returns a response with a length or in chunks.
fn framed_response(request: &str, target: &str) -> String {
    if field(request, "x-gooseberrylb-expect-instance").as_deref() == Some(BAD) {
        return signed_response(request, "500 Oops", "Content-Length: 4\r\n\r\noops");
    }
    if target.contains("garbage") {
        return "what is this\r\n\r\n".to_owned();
    }
    if target.contains("unsigned") {
        return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".to_owned();
    }
    if target.contains("full") {
        let head = "HTTP/1.1 503 Full\r\nX-Gooseberrylb-Not-Executed: 1\r\n";
        return format!("{head}Content-Length: 0\r\n\r\n");
    }
    if target.contains("failed") {
        return signed_response(request, "500 Oops", "Content-Length: 4\r\n\r\noops");
    }
    if target.contains("cut") {
        return signed_response(request, "200 OK", "Content-Length: 10\r\n\r\nhalf");
    }
    if target.contains("paused") {
        thread::sleep(Duration::from_secs(6));
    }
    if target.contains("slow") {
        thread::sleep(Duration::from_millis(1500));
    }
    if target.contains("stream") {
        let event = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                     f\r\nid: 1\ndata: a\n\n\r\n";
        return match target.contains("broken") {
            true if target.ends_with("ended") => {
                let partial = format!("{event}8\r\nid: 2\nda\r\n0\r\n\r\n");
                signed_response(request, "200 OK", &partial)
            }
            true => signed_response(request, "200 OK", event),
            false => signed_response(request, "200 OK", &format!("{event}0\r\n\r\n")),
        };
    }
    signed_response(
        request,
        "201 Made",
        "X-Odd:  two  spaces \r\nContent-Length: 5\r\n\r\nhello",
    )
}

/// Upstream of a good release, listed beside the first one during a rollout.
pub const GOOD: &str = "i-8";

/// Upstream of a bad release, listed beside the first one during a rollout.
pub const BAD: &str = "i-9";

/// Returns the platform's list with one usable and two unusable upstreams, and with those of the
/// other releases if `releases` is set.
pub fn list_response(network: Network, releases: bool) -> String {
    let upstream = network.address(STAND_INS, UPSTREAM);
    let instance = format!(
        r#""service":"desk","address":"{upstream}","zone":"lodi","version":"v1","slots":4"#
    );
    let other_release = |name: &str, release: &str| {
        let instance = instance.replace("\"v1\"", &format!("\"{release}\""));
        format!(r#"{{{instance},"state":"ready","id":"{name}"}},"#)
    };
    let others = match releases {
        true => other_release(GOOD, "v2") + &other_release(BAD, "v3"),
        false => String::new(),
    };
    let pair = instance.replace("desk", "pair");
    let pair: String = ["i-5", "i-6"]
        .map(|name| format!(r#"{{{pair},"state":"ready","id":"{name}"}},"#))
        .concat();
    let crowd = instance.replace("desk", "crowd");
    let crowd: String = (0..CROWD)
        .map(|number| format!(r#"{{{crowd},"state":"ready","id":"i-crowd-{number}"}},"#))
        .collect();
    let nested = format!("{}{}", "[".repeat(1_000), "]".repeat(1_000));
    let body = format!(
        r#"{{"instances":[{others}{pair}{crowd}{{{instance},"state":"ready","id":"i-1"}},
            {{"service":"desk","address":7,"state":"ready","id":"i-2"}},
            {{"id":"i-4","slots":1e999,"models":{nested}}},
            {{{instance},"state":"resting","id":"i-3"}}],"next":null}}"#
    );
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}
