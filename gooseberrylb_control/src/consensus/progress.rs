//! What a leader knows of each follower, and how much it may send ahead of the answers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gooseberrylb_config::number::Index;

use super::transfer::Outgoing;
use crate::membership::Folder;

/// The most entries in one message.
pub(super) const BATCH_ENTRIES: usize = 128;

/// The size at which a message takes no further entry.
pub(super) const BATCH_BYTES: usize = 256 * 1024;

/// The most messages with entries that wait for an answer.
const WINDOW_MESSAGES: usize = 16;

/// The size of the entries waiting for an answer at which no more are sent.
const WINDOW_BYTES: usize = 2 * 1024 * 1024;

/// How long an answer may take before the entries are sent again.
const RESEND: Duration = Duration::from_millis(300);

/// How entries go to a follower at present.
#[derive(Debug, Clone)]
pub(super) enum Flow {
    /// One message at a time, until it is known where the logs agree.
    Probing,
    /// Several messages ahead of the answers.
    Streaming,
    /// A snapshot, since the entries that the follower lacks are gone.
    Installing(Outgoing),
}

/// Entries sent and not known to be synced.
#[derive(Debug, Clone, Copy)]
struct Sent {
    /// The last entry of the message.
    last: Index,
    /// Its size.
    bytes: usize,
}

/// One follower as its leader knows it.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// The folder that its answers must come from.
    pub folder: Folder,
    /// The last entry that it has synced.
    pub matched: Index,
    /// The last entry that it holds in memory.
    pub received: Index,
    /// The next entry to send.
    pub next: Index,
    /// How entries go to it.
    pub flow: Flow,
    /// When the newest heartbeat that it answered was sent.
    pub last_contact: Option<Instant>,
    /// What was sent and is not known to be synced.
    in_flight: VecDeque<Sent>,
    /// When something was last sent or answered.
    active: Option<Instant>,
}

impl Progress {
    /// A follower of which nothing is known; its log is tried behind `last`.
    pub(super) fn new(folder: Folder, last: Index) -> Self {
        Self {
            folder,
            matched: Index(0),
            received: Index(0),
            next: last.next(),
            flow: Flow::Probing,
            last_contact: None,
            in_flight: VecDeque::new(),
            active: None,
        }
    }

    /// Whether a message with entries may be sent now.
    pub(super) fn may_send(&self) -> bool {
        let bytes: usize = self.in_flight.iter().map(|sent| sent.bytes).sum();
        match self.flow {
            Flow::Probing => self.active.is_none(),
            Flow::Streaming => self.in_flight.len() < WINDOW_MESSAGES && bytes < WINDOW_BYTES,
            Flow::Installing(_) => false,
        }
    }

    /// Whether what was sent last seems lost.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.active.is_some_and(|active| now >= active + RESEND)
    }

    /// Notes that entries up to `last` were sent.
    pub(super) fn sent(&mut self, last: Index, bytes: usize, now: Instant) {
        self.active = Some(now);
        if matches!(self.flow, Flow::Streaming) {
            self.next = last.next();
            self.in_flight.push_back(Sent { last, bytes });
        }
    }

    /// Notes that the follower answered for a heartbeat sent at `sent`.
    pub(super) fn answered(&mut self, sent: Instant) {
        self.last_contact = self.last_contact.max(Some(sent));
    }

    /// Notes how far the follower's log is known to be the leader's.
    pub(super) fn accepted(&mut self, matched: Index, received: Index, now: Instant) {
        if matched > self.matched || received > self.received {
            self.active = Some(now);
        }
        self.matched = self.matched.max(matched);
        // A follower that restarted has lost what it had not synced.
        self.received = received.max(self.matched);
        self.next = self.next.max(self.received.next());
        while self
            .in_flight
            .front()
            .is_some_and(|s| s.last <= self.matched)
        {
            self.in_flight.pop_front();
        }
        if matches!(self.flow, Flow::Probing) {
            self.next = self.received.next();
            self.stream();
        }
    }

    /// Notes that the logs differ behind `agreed` at the least.
    pub(super) fn conflicted(&mut self, agreed: Index) {
        let next = agreed.max(self.matched).next();
        match self.flow {
            // An answer to an earlier probe tells nothing new.
            Flow::Probing if next >= self.next => return,
            Flow::Probing => {}
            // A message was lost or overtaken, and those behind it found a gap.
            Flow::Streaming => self.flow = Flow::Probing,
            Flow::Installing(_) => return,
        }
        self.next = next;
        self.in_flight.clear();
        self.active = None;
    }

    /// Goes back to what the follower is known to hold, since what was sent last seems lost.
    pub(super) fn resend(&mut self) {
        match self.flow {
            Flow::Probing => {}
            Flow::Streaming => {
                self.next = self.received.next();
                self.in_flight.retain(|sent| sent.last <= self.received);
            }
            Flow::Installing(ref mut outgoing) => outgoing.resend(),
        }
        self.active = None;
    }

    /// Whether entries were sent of which the follower is not known to hold the last.
    pub(super) fn is_waiting(&self) -> bool {
        match self.flow {
            Flow::Probing => true,
            Flow::Streaming => self.received.next() < self.next,
            Flow::Installing(_) => true,
        }
    }

    /// Starts to send several messages ahead of the answers.
    fn stream(&mut self) {
        self.flow = Flow::Streaming;
        self.in_flight.clear();
    }

    /// Starts to send a snapshot.
    pub(super) fn install(&mut self, outgoing: Outgoing) {
        self.flow = Flow::Installing(outgoing);
        self.in_flight.clear();
        self.active = None;
    }

    /// Goes on with the entries behind a snapshot that the follower holds now.
    pub(super) fn installed(&mut self, covered: Index, now: Instant) {
        self.received = self.received.max(covered);
        self.next = self.received.next();
        self.active = Some(now);
        self.stream();
    }
}
