//! Replication progress of each follower, and the limits on what the leader sends ahead of answers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gooseberrylb_config::number::Index;

use super::transfer::Outgoing;
use crate::membership::Folder;

/// Maximum number of entries in one message.
pub(super) const MAX_BATCH_ENTRIES: usize = 128;

/// Size in bytes at which a message takes no further entry.
pub(super) const BATCH_BYTES: usize = 256 * 1024;

/// Maximum number of unanswered messages with entries per follower.
const WINDOW_MESSAGES: usize = 16;

/// Size in bytes of the unanswered entries at which no more are sent to a follower.
const WINDOW_BYTES: usize = 2 * 1024 * 1024;

/// How long a follower may take to answer before entries are sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(300);

/// How entries are currently sent to a follower.
#[derive(Debug, Clone)]
pub(super) enum Flow {
    /// One message at a time, until the last matching entry is known.
    Probing,
    /// Several messages ahead of the answers.
    Streaming,
    /// A snapshot, because the leader no longer holds the entries that the follower lacks.
    Installing(Outgoing),
}

/// Message with entries that are not yet known to be synced.
#[derive(Debug, Clone, Copy)]
struct Sent {
    /// Index of the last entry in the message.
    last: Index,
    /// Size of the entries in bytes.
    bytes: usize,
}

/// Replication state of one follower, as its leader knows it.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// Data folder that the follower's answers must come from.
    pub folder: Folder,
    /// Index of the last entry that the follower has synced.
    pub matched: Index,
    /// Index of the last entry that the follower holds in memory.
    pub received: Index,
    /// Index of the next entry to send.
    pub next: Index,
    /// Time since which the leader knows the follower as a member.
    pub since: Instant,
    /// How entries are currently sent.
    pub flow: Flow,
    /// Send time of the newest heartbeat that the follower answered.
    pub last_contact: Option<Instant>,
    /// Messages with entries that are not yet known to be synced, oldest first.
    in_flight: VecDeque<Sent>,
    /// Time when something was last sent, or when an answer last showed progress.
    last_activity: Option<Instant>,
}

impl Progress {
    /// Creates the state of a follower whose log is unknown; probing starts after `last`.
    pub(super) fn new(folder: Folder, last: Index, now: Instant) -> Self {
        Self {
            folder,
            since: now,
            matched: Index(0),
            received: Index(0),
            next: last.next(),
            flow: Flow::Probing,
            last_contact: None,
            in_flight: VecDeque::new(),
            last_activity: None,
        }
    }

    /// Whether a message with entries may be sent now.
    pub(super) fn may_send(&self) -> bool {
        let bytes: usize = self.in_flight.iter().map(|sent| sent.bytes).sum();
        match self.flow {
            Flow::Probing => self.last_activity.is_none(),
            Flow::Streaming => self.in_flight.len() < WINDOW_MESSAGES && bytes < WINDOW_BYTES,
            Flow::Installing(_) => false,
        }
    }

    /// Whether the last message sent is probably lost.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.last_activity
            .is_some_and(|last_activity| now >= last_activity + RESEND_TIMEOUT)
    }

    /// Records that entries up to `last` were sent.
    pub(super) fn record_sent(&mut self, last: Index, bytes: usize, now: Instant) {
        self.last_activity = Some(now);
        if matches!(self.flow, Flow::Streaming) {
            self.next = last.next();
            self.in_flight.push_back(Sent { last, bytes });
        }
    }

    /// Records that the follower answered a heartbeat sent at `sent_at`.
    pub(super) fn record_answer(&mut self, sent_at: Instant) {
        self.last_contact = self.last_contact.max(Some(sent_at));
    }

    /// Records how far the follower's log is known to match the leader's.
    pub(super) fn record_match(&mut self, matched: Index, received: Index, now: Instant) {
        if matched > self.matched || received > self.received {
            self.last_activity = Some(now);
        }
        self.matched = self.matched.max(matched);
        // A follower that restarted has lost the entries it had not synced.
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
            self.start_streaming();
        }
    }

    /// Records that the logs agree at most up to `agreed`.
    pub(super) fn record_conflict(&mut self, agreed: Index) {
        let next = agreed.max(self.matched).next();
        match self.flow {
            // An answer to an earlier probe contains nothing new.
            Flow::Probing if next >= self.next => return,
            Flow::Probing => {}
            // A message was lost or overtaken, so that those after it found a gap.
            Flow::Streaming => self.flow = Flow::Probing,
            Flow::Installing(_) => return,
        }
        self.next = next;
        self.in_flight.clear();
        self.last_activity = None;
    }

    /// Returns to the last entry that the follower is known to hold, since later messages are
    /// probably lost.
    pub(super) fn rewind(&mut self) {
        match self.flow {
            Flow::Probing => {}
            Flow::Streaming => {
                self.next = self.received.next();
                self.in_flight.retain(|sent| sent.last <= self.received);
            }
            Flow::Installing(ref mut outgoing) => outgoing.resend(),
        }
        self.last_activity = None;
    }

    /// Whether something was sent that the follower is not yet known to hold.
    pub(super) fn is_awaiting_answer(&self) -> bool {
        match self.flow {
            Flow::Probing => true,
            Flow::Streaming => self.received.next() < self.next,
            Flow::Installing(_) => true,
        }
    }

    /// Starts sending several messages ahead of the answers.
    fn start_streaming(&mut self) {
        self.flow = Flow::Streaming;
        self.in_flight.clear();
    }

    /// Starts sending a snapshot.
    pub(super) fn start_installing(&mut self, outgoing: Outgoing) {
        self.flow = Flow::Installing(outgoing);
        self.in_flight.clear();
        self.last_activity = None;
    }

    /// Continues with the entries after a snapshot that the follower has installed.
    pub(super) fn finish_installing(&mut self, covered: Index, now: Instant) {
        self.received = self.received.max(covered);
        self.next = self.received.next();
        self.last_activity = Some(now);
        self.start_streaming();
    }
}
