//! Bodies and heads as they are really sent, over a raw socket in pieces of any size.

use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use gooseberrylb::gateway::events::Scanner;
use gooseberrylb::gateway::http::{Connection, Error, Framing};

const LIMIT: usize = 10_000;

/// A connection on which `bytes` come in pieces of `size`, and then the end.
async fn connection(bytes: &'static [u8], size: usize) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        for piece in bytes.chunks(size) {
            // A reader that has given up is no fault of the sender.
            if stream.write_all(piece).await.is_err() {
                return;
            }
            task::yield_now().await;
        }
    });
    Connection::new(listener.accept().await.unwrap().0)
}

async fn read(bytes: &'static [u8], size: usize) -> Result<(Framing, Vec<u8>), Error> {
    let mut connection = connection(bytes, size).await;
    let request = connection.read_request(LIMIT).await?.unwrap();
    let body = connection.read_body(request.framing, LIMIT).await?;
    Ok((request.framing, body))
}

fn each_size(check: impl AsyncFn(usize)) {
    task::block_on(async {
        for size in [1, 2, 3, 7, 1_000] {
            check(size).await;
        }
    });
}

#[test]
fn bodies_come_by_length_and_in_chunks() {
    each_size(async |size| {
        let by_length = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
        let (_, body) = read(by_length, size).await.unwrap();
        assert_eq!(body, b"hello");
        let chunked = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
            3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: z\r\n\r\n";
        let (framing, body) = read(chunked, size).await.unwrap();
        assert_eq!((framing, &body[..]), (Framing::Chunked, &b"hello"[..]));
    });
}

#[test]
fn what_is_framed_in_two_ways_or_not_at_all_is_refused() {
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
            let result = read(head, 1_000).await;
            let shown = String::from_utf8_lossy(head);
            assert!(matches!(result, Err(Error::Malformed(_))), "{shown}");
        }
    });
}

#[test]
fn chunks_that_lie_about_their_size_are_refused() {
    let bodies: [&'static [u8]; 3] = [
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nhel\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\n0\r\n\r\n",
    ];
    task::block_on(async {
        for bytes in bodies {
            let result = read(bytes, 1_000).await;
            assert!(matches!(result, Err(Error::Malformed(_))));
        }
    });
}

#[test]
fn an_answer_that_breaks_off_is_not_whole() {
    let answers: [&'static [u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
    ];
    task::block_on(async {
        for bytes in answers {
            let mut connection = connection(bytes, 1_000).await;
            let answer = connection.read_response(false).await.unwrap();
            let result = connection.read_body(answer.framing, LIMIT).await;
            assert!(matches!(result, Err(Error::Ended)));
        }
    });
}

#[test]
fn interim_answers_are_passed_over_and_bodyless_ones_end_at_once() {
    each_size(async |size| {
        let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\n";
        let mut connection = connection(bytes, size).await;
        let answer = connection.read_response(false).await.unwrap();
        assert_eq!((answer.status, answer.framing), (204, Framing::Empty));
        let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
        let mut connection = self::connection(bytes, size).await;
        let to_head = connection.read_response(true).await.unwrap();
        assert_eq!(to_head.framing, Framing::Empty);
    });
}

#[test]
fn a_connection_is_kept_for_half_of_what_the_upstream_states() {
    task::block_on(async {
        let keeps: &'static [u8] =
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=6, max=9\r\n\r\n";
        let answer = connection(keeps, 1_000)
            .await
            .read_response(false)
            .await
            .unwrap();
        assert_eq!(answer.keep_alive, Some(Duration::from_secs(3)));
        let closing: [&'static [u8]; 3] = [
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nuntil the end",
        ];
        for bytes in closing {
            let answer = connection(bytes, 1_000)
                .await
                .read_response(false)
                .await
                .unwrap();
            assert_eq!(answer.keep_alive, None);
        }
    });
}

#[test]
fn bytes_that_come_unasked_are_noticed_before_a_connection_is_used_again() {
    task::block_on(async {
        let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n";
        let mut connection = connection(bytes, 1_000).await;
        connection.read_response(false).await.unwrap();
        assert!(!connection.is_idle().await || !connection.is_reusable());
    });
}

#[test]
fn whole_events_are_told_from_broken_ones_however_they_are_cut() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: br";
    for size in 1..stream.len() {
        let mut events = Scanner::default();
        let mut passed = Vec::new();
        for piece in stream.chunks(size) {
            let held = events.unfinished().to_vec();
            let whole = events.scan(piece);
            if whole > 0 {
                passed.extend(held);
                passed.extend(&piece[..whole]);
            }
        }
        assert_eq!(
            (events.count, events.last_id),
            (2, Some(2)),
            "pieces of {size}"
        );
        assert_eq!(events.unfinished(), b"id: 3\ndata: br");
        assert_eq!(passed, stream[..stream.len() - b"id: 3\ndata: br".len()]);
    }
}
