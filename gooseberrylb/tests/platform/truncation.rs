//! Responses that upstreams break off or never end.

use std::io::ErrorKind;
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, KEY};
use crate::standin::{ERROR_TEXT, LARGE_ERROR_BYTES};

/// Time in which the retry budget earns more than one retry.
const RETRY_REFILL: Duration = Duration::from_secs(1);

/// Whether a chunked response has its last chunk.
fn looks_complete(answer: &str) -> bool {
    answer.ends_with("\r\n0\r\n\r\n")
}

#[test]
fn stream_that_ends_inside_an_event_is_not_delivered_as_complete() {
    let fleet = Fleet::start(6);
    let whole = fleet.call("/stream/unframed-whole", KEY);
    assert!(
        whole.contains("data: b") && looks_complete(&whole),
        "{whole}"
    );
    let spaced = fleet.call("/stream/unframed-spaced", KEY);
    assert!(looks_complete(&spaced), "{spaced}");
    let truncated = ["unframed-inside", "unframed-reset", "broken-ended"];
    for target in truncated.map(|name| format!("/stream/{name}")) {
        let target = target.as_str();
        let broken = fleet.call(target, KEY);
        assert!(broken.contains("data: a"), "{target}: {broken}");
        assert!(!looks_complete(&broken), "{target}: {broken}");
    }
    let empty = fleet.call("/stream/unframed-empty", KEY);
    assert!(!looks_complete(&empty), "{empty}");
}

impl Fleet {
    /// Calls `was_retried` with the number of the attempt until it returns `true`: the retry budget of an
    /// entry is empty at its start.
    fn wait_for_retry(&self, mut was_retried: impl FnMut(u32) -> bool) {
        let mut attempt = 0;
        self.wait(|_| {
            attempt += 1;
            was_retried(attempt)
        });
    }
}

/// Returns the ids of the events in a response.
fn event_ids(answer: &str) -> Vec<u32> {
    let ids = answer.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

#[test]
fn caller_that_resumes_a_stream_gets_no_event_twice_when_the_next_upstream_fails_first() {
    let fleet = Fleet::start(7);
    fleet.wait_for_retry(|attempt| {
        let from_start = fleet.call(&format!("/resumable/{attempt}"), KEY);
        looks_complete(&from_start) && event_ids(&from_start) == [1, 2, 3, 4, 5]
    });
    thread::sleep(RETRY_REFILL);
    let resumed = fleet.call("/resumable/again", &format!("{KEY}Last-Event-Id: 3\r\n"));
    assert_eq!(event_ids(&resumed), [4, 5], "{resumed}");
    assert!(looks_complete(&resumed), "{resumed}");
}

#[test]
fn error_of_the_next_upstream_is_not_relayed_as_a_part_of_a_stream_that_broke_off() {
    let fleet = Fleet::start(37);
    for size in ["small", "large"] {
        fleet.wait_for_retry(|attempt| {
            let target = format!("/resumable/error-{size}-{attempt}/");
            let answer = fleet.call(&target, KEY);
            assert_eq!(event_ids(&answer), [1], "{target}: {answer:.400}");
            assert!(!answer.contains(ERROR_TEXT), "{target}: {answer:.400}");
            assert!(!looks_complete(&answer), "{target}: {answer:.400}");
            let received = fleet.received();
            let resumed = received.iter().filter(|request| request.contains(&target));
            resumed.count() == 2
        });
    }
}

#[test]
fn large_error_of_a_stream_is_delivered_as_it_came_and_not_resumed() {
    let fleet = Fleet::start(38);
    for attempt in 0..3 {
        let answer = fleet.call(&format!("/resumable/first-error-large-{attempt}/"), KEY);
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with("HTTP/1.1 500 Oops"), "{head}");
        assert_eq!(body.len(), LARGE_ERROR_BYTES, "{head}");
        assert!(body.ends_with(ERROR_TEXT) && event_ids(body).is_empty());
        // The second request comes once the retry budget allows to resume a stream.
        thread::sleep(RETRY_REFILL);
    }
}

#[test]
fn caller_without_chunks_sees_a_reset_where_a_stream_is_truncated() {
    let fleet = Fleet::start(8);
    let whole = fleet.call_http_1_0("/stream/unframed-whole").unwrap();
    assert!(whole.ends_with("data: b\n\n"), "{whole}");
    for target in ["/stream/broken", "/stream/unframed-inside"] {
        let error = fleet.call_http_1_0(target).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{target}");
    }
}

#[test]
fn plain_response_without_framing_is_whole_unless_its_connection_is_reset() {
    let fleet = Fleet::start(9);
    let whole = fleet.call("/plain/unframed-text", KEY);
    assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
    assert!(whole.ends_with("Content-Length: 5\r\nConnection: close\r\n\r\nhello"));
    assert_eq!(fleet.status("/plain/unframed-reset"), "502");
}

#[test]
fn response_without_end_is_given_up_and_others_are_served_meanwhile() {
    let fleet = Fleet::start(3);
    for place in ["garbage", "interim", "fields", "trailers", "body"] {
        let plain = format!("/plain/endless-{place}");
        let stream = format!("/stream/endless-{place}");
        thread::scope(|scope| {
            let calls = [&plain, &stream].map(|target| scope.spawn(|| fleet.call(target, KEY)));
            assert_eq!(fleet.status("/plain/other"), "201");
            let [plain, stream] = calls.map(|call| call.join().unwrap());
            assert!(plain.starts_with("HTTP/1.1 502"), "{place}: {plain}");
            assert!(!looks_complete(&stream), "{place}: {stream}");
        });
    }
    // The connections to the upstream have been closed, so that its slots are free again.
    assert_eq!(fleet.status("/plain/after"), "201");
}

/// Guards against a head that breaks off and is answered as a whole response without a body.
#[test]
fn response_cut_within_its_head_is_not_delivered_as_whole() {
    let fleet = Fleet::start(45);
    for percent in [0, 10, 40, 70, 99] {
        for route in ["plain", "stream", "resumable", "pair"] {
            let target = format!("/{route}/head-cut-{percent}");
            let answer = fleet.call(&target, KEY);
            assert!(answer.starts_with("HTTP/1.1 502"), "{target}: {answer}");
        }
    }
}

/// Guards against an upstream that works on with a stream that was spoilt, on a connection that is kept open
/// while another one resumes the stream.
#[test]
fn connection_of_a_spoilt_stream_is_closed_before_another_upstream_resumes_it() {
    let fleet = Fleet::start(46);
    fleet.wait_for_retry(|attempt| {
        let answer = fleet.call(&format!("/resumable/spoilt-{attempt}"), KEY);
        assert!(!answer.contains("first closed false"), "{answer}");
        answer.contains("first closed true")
    });
}
