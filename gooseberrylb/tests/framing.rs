//! Parsing of heads, bodies and events that arrive over a socket in pieces of different sizes.

use std::future::Future;
use std::io::Write;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use gooseberrylb::gateway::events::Scanner;
use gooseberrylb::gateway::http::{Connection, Error, Framing};

/// Maximum size in bytes of heads and bodies.
const MAX_BYTES: usize = 10_000;

/// Returns a connection whose peer writes `bytes` in pieces of `size` bytes and then closes it.
async fn connection(bytes: &'static [u8], size: usize) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        for piece in bytes.chunks(size) {
            // The reader may have closed the connection after an error.
            if stream.write_all(piece).await.is_err() {
                return;
            }
            task::yield_now().await;
        }
    });
    Connection::new(listener.accept().await.unwrap().0)
}

/// Returns a connection whose peer writes `head` and then `repeated` again and again until the
/// connection is closed.
async fn endless_connection(head: &'static [u8], repeated: &'static [u8]) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        let bytes = repeated.repeat(64 * 1024 / repeated.len());
        let mut written = stream.write_all(head);
        while written.is_ok() {
            written = stream.write_all(&bytes);
        }
    });
    Connection::new(listener.accept().await.unwrap().0)
}

/// Runs `task` on a thread of its own, so that one that never gives up the thread is noticed.
fn run_with_watchdog(task: impl Future<Output = ()> + Send + 'static) {
    let (done, ended) = mpsc::channel();
    thread::spawn(move || {
        task::block_on(task);
        done.send(()).unwrap();
    });
    ended
        .recv_timeout(Duration::from_secs(30))
        .expect("the task ends");
}

/// Reads a request and returns the framing and content of its body.
async fn read_request_body(bytes: &'static [u8], size: usize) -> Result<(Framing, Vec<u8>), Error> {
    let mut connection = connection(bytes, size).await;
    let request = connection.read_request(MAX_BYTES).await?.unwrap();
    let body = connection.read_body(request.framing, MAX_BYTES).await?;
    Ok((request.framing, body))
}

/// Runs a check with pieces of several sizes, including single bytes.
fn for_each_piece_size(check: impl AsyncFn(usize)) {
    task::block_on(async {
        for size in [1, 2, 3, 7, 1_000] {
            check(size).await;
        }
    });
}

#[test]
fn reads_bodies_with_length_and_chunked_bodies() {
    for_each_piece_size(async |size| {
        let by_length = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
        let (_, body) = read_request_body(by_length, size).await.unwrap();
        assert_eq!(body, b"hello");
        let chunked = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
            3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: z\r\n\r\n";
        let (framing, body) = read_request_body(chunked, size).await.unwrap();
        assert_eq!((framing, &body[..]), (Framing::Chunked, &b"hello"[..]));
    });
}

#[test]
fn rejects_ambiguous_and_invalid_heads() {
    let heads: [&'static [u8]; 10] = [
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nX: a\r\n folded\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"POST / HTTP/1.1\r\n\r\n",
        b"POST http://a/ HTTP/1.1\r\nHost: a\r\n\r\n",
    ];
    task::block_on(async {
        for head in heads {
            let result = read_request_body(head, 1_000).await;
            let text = String::from_utf8_lossy(head);
            assert!(matches!(result, Err(Error::Malformed(_))), "{text}");
        }
    });
}

#[test]
fn rejects_chunks_with_wrong_sizes() {
    let bodies: [&'static [u8]; 3] = [
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nhel\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\n0\r\n\r\n",
    ];
    task::block_on(async {
        for bytes in bodies {
            let result = read_request_body(bytes, 1_000).await;
            assert!(matches!(result, Err(Error::Malformed(_))));
        }
    });
}

#[test]
fn reports_truncated_responses() {
    let responses: [&'static [u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
    ];
    task::block_on(async {
        for bytes in responses {
            let mut connection = connection(bytes, 1_000).await;
            let response = connection.read_response(false).await.unwrap();
            let result = connection.read_body(response.framing, MAX_BYTES).await;
            assert!(matches!(result, Err(Error::Ended)));
        }
    });
}

/// Guards against a head that breaks off and is taken for a whole response.
#[test]
fn head_cut_at_any_byte_is_no_response() {
    const HEAD: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\
        X-Gooseberrylb-Response-Signature: s\r\n\r\n";
    task::block_on(async {
        for length in 0..HEAD.len() {
            let mut connection = connection(&HEAD[..length], 1_000).await;
            let result = connection.read_response(false).await;
            assert!(matches!(result, Err(Error::Ended)), "{length}: {result:?}");
        }
        let response = connection(HEAD, 1_000).await.read_response(false).await;
        assert_eq!(response.unwrap().status, 200);
    });
}

#[test]
fn skips_interim_responses_and_ends_bodyless_ones_at_head() {
    for_each_piece_size(async |size| {
        let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\n";
        let mut connection = connection(bytes, size).await;
        let response = connection.read_response(false).await.unwrap();
        assert_eq!((response.status, response.framing), (204, Framing::Empty));
        let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
        let mut connection = self::connection(bytes, size).await;
        let response = connection.read_response(true).await.unwrap();
        assert_eq!(response.framing, Framing::Empty);
    });
}

#[test]
fn keep_alive_is_half_of_stated_timeout() {
    task::block_on(async {
        let keeps: &'static [u8] =
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=6, max=9\r\n\r\n";
        let response = connection(keeps, 1_000)
            .await
            .read_response(false)
            .await
            .unwrap();
        assert_eq!(response.keep_alive, Some(Duration::from_secs(3)));
        let closing: [&'static [u8]; 3] = [
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nuntil the end",
        ];
        for bytes in closing {
            let response = connection(bytes, 1_000)
                .await
                .read_response(false)
                .await
                .unwrap();
            assert_eq!(response.keep_alive, None);
        }
    });
}

#[test]
fn connection_with_unexpected_bytes_is_not_reused() {
    task::block_on(async {
        let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n";
        let mut connection = connection(bytes, 1_000).await;
        connection.read_response(false).await.unwrap();
        assert!(!connection.is_idle().await || !connection.is_reusable());
    });
}

#[test]
fn event_boundaries_do_not_depend_on_piece_size() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: br";
    for size in 1..stream.len() {
        let mut scanner = Scanner::default();
        let mut relayed = Vec::new();
        for piece in stream.chunks(size) {
            let pending = scanner.unfinished().to_vec();
            let complete = scanner.scan(piece);
            if complete > 0 {
                relayed.extend(pending);
                relayed.extend(&piece[..complete]);
            }
        }
        assert_eq!(
            (scanner.count, scanner.last_id),
            (2, Some(2)),
            "pieces of {size}"
        );
        assert_eq!(scanner.unfinished(), b"id: 3\ndata: br");
        assert_eq!(relayed, stream[..stream.len() - b"id: 3\ndata: br".len()]);
    }
}

#[test]
fn heads_and_trailers_without_end_are_rejected() {
    run_with_watchdog(async {
        let heads: [(&'static [u8], &'static [u8]); 4] = [
            (b"", b"what is this"),
            (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
            (b"HTTP/1.1 200 OK\r\nA: ", b"b"),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        ];
        for (head, repeated) in heads {
            let mut connection = endless_connection(head, repeated).await;
            let result = connection.read_response(false).await;
            assert!(
                matches!(result, Err(Error::Malformed(_) | Error::HeadTooLarge(_))),
                "{result:?}"
            );
        }
        let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
        let mut connection = endless_connection(chunked, b"A: b\r\n").await;
        let response = connection.read_response(false).await.unwrap();
        let result = connection.read_body(response.framing, MAX_BYTES).await;
        assert!(matches!(result, Err(Error::Malformed(_))), "{result:?}");
    });
}

#[test]
fn body_without_end_is_rejected_at_its_size_limit() {
    run_with_watchdog(async {
        let heads: [(&'static [u8], &'static [u8]); 2] = [
            (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"1\r\nx\r\n",
            ),
        ];
        for (head, repeated) in heads {
            let mut connection = endless_connection(head, repeated).await;
            let response = connection.read_response(false).await.unwrap();
            let result = connection.read_body(response.framing, MAX_BYTES).await;
            assert!(matches!(result, Err(Error::BodyTooLarge(_))), "{result:?}");
        }
    });
}

#[test]
fn reader_of_bytes_without_end_yields_to_other_tasks() {
    const AVAILABLE_BYTES: usize = 512 * 1024;
    run_with_watchdog(async {
        let mut connection = endless_connection(b"", b"x").await;
        // The peer fills the buffers of the connection meanwhile.
        task::sleep(Duration::from_millis(300)).await;
        let mut total = 0;
        let reading = async {
            while total < AVAILABLE_BYTES {
                let count = connection.fill().await.unwrap();
                connection.consume(count);
                total += count;
            }
        };
        let polled = futures::poll!(std::pin::pin!(reading));
        assert!(polled.is_pending());
        assert!((1..=128 * 1024).contains(&total), "{total}");
    });
}

#[test]
fn event_without_end_exceeds_its_size_limit() {
    let mut scanner = Scanner::default();
    let part = [b'x'; 4096];
    let parts = (0..1_000).take_while(|_| {
        scanner.scan(&part);
        !scanner.is_event_too_large()
    });
    let parts = parts.count();
    assert!((1..100).contains(&parts), "{parts}");
}
