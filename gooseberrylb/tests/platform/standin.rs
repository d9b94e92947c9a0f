//! Stand-ins for the platform's list of upstreams and for the upstreams.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{Network, STAND_INS, UPSTREAM, field};

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
    let length = field(&text, "content-length").map_or(0, |value| value.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    text.push_str(&String::from_utf8(body).unwrap());
    Some(text)
}

/// Serves requests with the responses that `answer` returns. Closes each connection after one
/// response.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(&str) -> String + Send + Sync + 'static,
) -> TcpListener {
    let listener = TcpListener::bind(address).unwrap();
    let accepted = listener.try_clone().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in accepted.incoming() {
            let (mut stream, answer) = (stream.unwrap(), answer.clone());
            thread::spawn(move || {
                if let Some(request) = read_message(&mut stream) {
                    // The caller may have closed its connection.
                    stream.write_all(answer(&request).as_bytes()).ok();
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

/// Returns the response of the upstream stand-in, which depends on words in the request's target.
pub fn upstream_response(request: &str) -> String {
    if field(request, "x-gooseberrylb-expect-instance").as_deref() == Some(BAD) {
        return signed_response(request, "500 Oops", "Content-Length: 4\r\n\r\noops");
    }
    let target = request.split(' ').nth(1).unwrap();
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
    let body = format!(
        r#"{{"instances":[{others}{{{instance},"state":"ready","id":"i-1"}},
            {{"service":"desk","address":7,"state":"ready","id":"i-2"}},
            {{{instance},"state":"resting","id":"i-3"}}],"next":null}}"#
    );
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}
