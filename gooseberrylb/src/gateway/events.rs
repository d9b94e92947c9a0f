//! Finds the boundaries of server-sent events in a byte stream.

/// Maximum size in bytes of an event.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Counts the complete events of a stream and keeps the id of the last one.
#[derive(Debug, Default)]
pub struct Scanner {
    /// Number of complete events so far.
    pub count: u64,
    /// Id of the last complete event that has one.
    pub last_id: Option<u64>,
    /// Bytes after the last complete event.
    partial: Vec<u8>,
    /// Number of bytes at the start of `partial` that have been searched for the end of the event.
    searched: usize,
}

impl Scanner {
    /// Scans the next bytes of the stream. Returns how many of them belong to events that are now
    /// complete; 0 if no event ends in them.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        let pending = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        let mut searched = std::mem::take(&mut self.searched);
        while let Some(length) = event_length(&self.partial[start..], searched) {
            searched = 0;
            self.count += 1;
            if let Some(id) = event_id(&self.partial[start..start + length]) {
                self.last_id = Some(id);
            }
            start += length;
        }
        self.partial.drain(..start);
        self.searched = self.partial.len();
        start.saturating_sub(pending)
    }

    /// Returns the bytes after the last complete event.
    pub fn unfinished(&self) -> &[u8] {
        &self.partial
    }

    /// Whether an event has begun and is not complete. Empty lines after an event are none.
    pub fn is_inside_event(&self) -> bool {
        self.partial.iter().any(|b| !matches!(b, b'\r' | b'\n'))
    }

    /// Whether the event that has begun is larger than any event may be.
    pub fn is_event_too_large(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Drops the bytes of an incomplete event.
    pub fn drop_unfinished(&mut self) {
        self.searched = 0;
        self.partial.clear();
    }
}

/// Returns the length of the first event in `bytes`, including the empty line that ends it. The
/// empty line does not end within the first `searched` bytes.
fn event_length(bytes: &[u8], searched: usize) -> Option<usize> {
    const LONGEST_END: usize = 4;
    let from = searched.saturating_sub(LONGEST_END - 1);
    let rest = &bytes[from..];
    let lf = rest.windows(2).position(|pair| pair == b"\n\n");
    let crlf = rest
        .windows(LONGEST_END)
        .position(|four| four == b"\r\n\r\n");
    let (lf, crlf) = (lf.map(|at| at + from), crlf.map(|at| at + from));
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some(crlf + 4),
        (Some(lf), _) => Some(lf + 2),
        (None, Some(crlf)) => Some(crlf + 4),
        (None, None) => None,
    }
}

/// Returns the numeric id of an event, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
