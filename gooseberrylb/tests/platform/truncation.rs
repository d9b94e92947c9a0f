//! Responses that upstreams break off.

use crate::fleet::{Fleet, KEY};

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
