//! Events of a stream: how many have come as a whole, and the last one's id.

/// Watches a stream's bytes.
#[derive(Debug, Default)]
pub struct Events {
    /// The whole events so far.
    pub count: u64,
    /// The id of the last whole event.
    pub last: Option<u64>,
    partial: Vec<u8>,
}

impl Events {
    /// Takes in bytes as they come; gives the length of the part of `bytes` that ends whole events.
    pub fn watch(&mut self, bytes: &[u8]) -> usize {
        let held = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = event_length(&self.partial[start..]) {
            self.count += 1;
            if let Some(id) = event_id(&self.partial[start..start + length]) {
                self.last = Some(id);
            }
            start += length;
        }
        self.partial.drain(..start);
        start.saturating_sub(held)
    }

    /// The bytes behind the last whole event.
    pub fn unfinished(&self) -> &[u8] {
        &self.partial
    }

    /// Forgets an event that was broken off.
    pub fn drop_unfinished(&mut self) {
        self.partial.clear();
    }
}

/// The length of the event that the bytes begin with, with the empty line behind it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let lone = bytes.windows(2).position(|pair| pair == b"\n\n");
    let paired = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    match (lone, paired) {
        (Some(lone), Some(paired)) if paired < lone => Some(paired + 4),
        (Some(lone), _) => Some(lone + 2),
        (None, Some(paired)) => Some(paired + 4),
        (None, None) => None,
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
