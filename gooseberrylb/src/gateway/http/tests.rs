//! Tests of the decoders with bytes that no proper peer sends.

use proptest::prelude::*;

use super::body::Body;
use super::*;

/// Heads and bodies from which others are made by exchanging bytes.
const SAMPLES: [&str; 4] = [
    "POST /v1/run?a=b HTTP/1.1\r\nHost: a.example:80\r\nContent-Length: 12\r\nExpect: 100-continue\r\n\r\n",
    "GET / HTTP/1.0\r\nHost: a.example\r\nConnection: keep-alive, close\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5, max=99\r\n\r\n",
    "5;a=b\r\nhello\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nDigest: 1\r\n\r\n",
];

/// Returns one of the samples with some bytes replaced.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let replaced = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6);
    (prop::sample::select(&SAMPLES[..]), replaced).prop_map(|(sample, replaced)| {
        let mut bytes = sample.as_bytes().to_vec();
        for (index, byte) in replaced {
            let at = index.index(bytes.len());
            bytes[at] = byte;
        }
        bytes
    })
}

/// Returns the content of a chunked body, or `None` if it is malformed, from parts of a given size.
fn decode(bytes: &[u8], part: usize) -> Option<Vec<u8>> {
    let mut body = Body::new(Framing::Chunked);
    let (mut used, mut content) = (0, Vec::new());
    for end in (part..bytes.len()).step_by(part).chain([bytes.len()]) {
        used += body.decode(&bytes[used..end], &mut content).ok()?.0;
    }
    Some(content)
}

proptest! {
    /// Guards against a message that ends the task that reads it, and a body that depends on how it
    /// is cut into packets.
    #[test]
    fn malformed_messages_are_errors(bytes in bytes(), part in 1_usize..9) {
        if let Ok(Some((_, length))) = Request::parse(&bytes) {
            prop_assert!(length <= bytes.len());
        }
        if let Ok(Some((response, length))) = Response::parse(&bytes, false) {
            prop_assert!(length <= bytes.len());
            prop_assert!(response.keep_alive.is_none_or(|time| time <= MAX_KEEP_ALIVE));
        }
        if let Some(whole) = decode(&bytes, bytes.len()) {
            prop_assert_eq!(decode(&bytes, part), Some(whole));
        }
    }
}

/// Guards against a stated keep-alive timeout that ends beyond the clock's range.
#[test]
fn keep_alive_timeouts_are_bounded() {
    for stated in [7200, u64::MAX] {
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout={stated}\r\n\r\n");
        let (response, _) = Response::parse(head.as_bytes(), false).unwrap().unwrap();
        let until = std::time::Instant::now().checked_add(response.keep_alive.unwrap());
        assert!(until.is_some(), "timeout={stated}");
    }
}
