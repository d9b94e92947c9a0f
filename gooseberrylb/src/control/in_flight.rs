//! Limits on the consensus messages that a peer has not answered yet.
//!
//! A peer that does not answer is sent the same entries again and again, and each copy stays in
//! memory until the connection to it fails. See `docs/design/bounded-state.md`.

use std::cell::Cell;

use gooseberrylb_config::number::Bytes;

/// Maximum number of unanswered messages per peer. Further messages are dropped, since the
/// consensus resends what is lost.
const MAX_MESSAGES: u32 = 512;

/// Total size of the unanswered messages per peer from which on further ones are dropped. A single
/// message may be larger.
const MAX_SIZE: Bytes = Bytes(4 * 1024 * 1024);

/// Unanswered messages to one peer.
#[derive(Debug, Default)]
pub struct Messages {
    count: Cell<u32>,
    size: Cell<Bytes>,
}

impl Messages {
    /// Whether another message may be sent.
    pub fn has_room(&self) -> bool {
        self.count.get() < MAX_MESSAGES && self.size.get() < MAX_SIZE
    }

    /// Records that a message of `size` is sent.
    pub fn begin(&self, size: Bytes) {
        self.count.set(self.count.get() + 1);
        self.size.set(Bytes(self.size.get().0 + size.0));
    }

    /// Records that a message of `size` was answered or has failed.
    pub fn end(&self, size: Bytes) {
        self.count.set(self.count.get() - 1);
        self.size.set(Bytes(self.size.get().0 - size.0));
    }
}

#[cfg(test)]
mod tests;
