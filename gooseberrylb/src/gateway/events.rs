//! Finds the boundaries of server-sent events in a byte stream.

/// Counts the complete events of a stream and keeps the id of the last one.
#[derive(Debug, Default)]
pub struct Scanner {
    /// Number of complete events so far.
    pub count: u64,
    /// Id of the last complete event that has one.
    pub last_id: Option<u64>,
    /// Bytes after the last complete event.
    partial: Vec<u8>,
}

impl Scanner {
    /// Scans the next bytes of the stream. Returns how many of them belong to events that are now
    /// complete; 0 if no event ends in them.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        let pending = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = event_length(&self.partial[start..]) {
            self.count += 1;
            if let Some(id) = event_id(&self.partial[start..start + length]) {
                self.last_id = Some(id);
            }
            start += length;
        }
        self.partial.drain(..start);
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

    /// Drops the bytes of an incomplete event.
    pub fn drop_unfinished(&mut self) {
        self.partial.clear();
    }
}

/// Returns the length of the first event in `bytes`, including the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).position(|four| four == b"\r\n\r\n");
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
