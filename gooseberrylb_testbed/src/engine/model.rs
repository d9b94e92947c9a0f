//! Continuous batching: each step reads a chunk of one prompt and writes one token for every
//! request whose prompt has been read. Requests are admitted as they arrive, whatever their
//! importance, as engines do.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::engine::cache::{BLOCK_TOKENS, Cache, Change};

/// What an engine can do.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// The tokens of prompts read a second.
    pub prefill_rate: f64,
    /// The tokens written a second for a request that runs alone.
    pub decode_rate: f64,
    /// What each further request of the batch adds to a step, as a part of a step for one.
    pub batch_cost: f64,
    /// The requests that run at once.
    pub slots: u32,
    /// The tokens of a prompt read in one step.
    pub chunk_tokens: u64,
    /// The blocks that the prefix cache holds.
    pub cache_blocks: usize,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            prefill_rate: 8_000.0,
            decode_rate: 60.0,
            batch_cost: 0.04,
            slots: 16,
            chunk_tokens: 512,
            cache_blocks: 4_096,
        }
    }
}

/// A request as the engine sees it.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its name.
    pub id: Arc<str>,
    /// The tokens of its prompt.
    pub prompt: u64,
    /// The fingerprints of its prompt's beginnings, shortest first, one a block.
    pub prefix: Arc<[u64]>,
    /// The tokens to be written.
    pub output: u64,
}

/// What an engine did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// It began to read a prompt, of which it had this many tokens cached.
    Started {
        /// The request.
        id: Arc<str>,
        /// The tokens cached.
        cached: u64,
    },
    /// It wrote a token.
    Token {
        /// The request.
        id: Arc<str>,
        /// The token's number, counted from 0.
        n: u64,
    },
    /// It wrote the last token of a request.
    Done {
        /// The request.
        id: Arc<str>,
    },
    /// Its prefix cache changed.
    Cache(Change),
}

/// What an engine did, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The time, counted from the engine's start.
    pub at: Duration,
    /// What it did.
    pub action: Action,
}

/// How far a request had come when it was cancelled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// The tokens of its prompt that were read, without the cached ones.
    pub prefilled: u64,
    /// The tokens written.
    pub written: u64,
}

#[derive(Debug, Clone)]
struct Sequence {
    job: Job,
    cached: u64,
    read: u64,
    written: u64,
}

impl Sequence {
    fn unread(&self) -> u64 {
        self.job.prompt - self.read
    }
}

#[derive(Debug, Clone, Copy)]
struct Step {
    ends: Duration,
    /// The tokens read for the first sequence that has some unread.
    chunk: u64,
}

/// One engine. Time is passed in and never goes back.
#[derive(Debug, Clone)]
pub struct Model {
    profile: Profile,
    slow_factor: f64,
    cache: Cache,
    waiting: VecDeque<Job>,
    running: Vec<Sequence>,
    step: Option<Step>,
    prefilled: u64,
}

impl Model {
    /// Makes an idle engine.
    pub fn new(profile: Profile) -> Self {
        Self {
            cache: Cache::new(profile.cache_blocks),
            profile,
            slow_factor: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            step: None,
            prefilled: 0,
        }
    }

    /// What the engine can do.
    pub fn profile(&self) -> &Profile {
        &self.profile
    }

    /// The requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The requests that are admitted and do not run yet.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The tokens of prompts read so far, without the cached ones.
    pub fn prefilled(&self) -> u64 {
        self.prefilled
    }

    /// The prefix cache.
    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// When the current step ends; nothing happens before.
    pub fn wake(&self) -> Option<Duration> {
        self.step.map(|step| step.ends)
    }

    /// Makes every step from the next one on take `factor` times as long.
    pub fn set_slow_factor(&mut self, factor: f64) {
        self.slow_factor = factor;
    }

    /// Holds blocks that another engine exported.
    pub fn import(&mut self, at: Duration, blocks: &[u64]) -> Vec<Event> {
        let changes = self.cache.store(blocks);
        cache_events(at, changes).collect()
    }

    /// Admits a request at `now`; [`Model::advance`] must have been called for that time.
    pub fn admit(&mut self, now: Duration, job: Job) -> Vec<Event> {
        self.waiting.push_back(job);
        let mut events = Vec::new();
        if self.step.is_none() {
            self.begin_step(now, &mut events);
        }
        events
    }

    /// Cancels a request, and tells how far it had come.
    pub fn cancel(&mut self, id: &str) -> Option<Progress> {
        if let Some(i) = self.waiting.iter().position(|job| &*job.id == id) {
            self.waiting.remove(i);
            return Some(Progress::default());
        }
        let i = self.running.iter().position(|s| &*s.job.id == id)?;
        let sequence = self.running.remove(i);
        // The chunk under way belongs to the first unread sequence, and goes with it.
        if sequence.unread() > 0 && self.first_unread_is(i) {
            self.step = self.step.map(|step| Step { chunk: 0, ..step });
        }
        Some(Progress {
            prefilled: sequence.read - sequence.cached,
            written: sequence.written,
        })
    }

    /// Ends all steps that are due at `now`, and tells what they did in order of time.
    pub fn advance(&mut self, now: Duration) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(step) = self.step.filter(|step| step.ends <= now) {
            self.end_step(step, &mut events);
            self.begin_step(step.ends, &mut events);
        }
        events
    }

    /// Whether no sequence before position `i` has a part of its prompt unread.
    fn first_unread_is(&self, i: usize) -> bool {
        self.running[..i].iter().all(|s| s.unread() == 0)
    }

    fn begin_step(&mut self, now: Duration, events: &mut Vec<Event>) {
        self.fill_slots(now, events);
        if self.running.is_empty() {
            self.step = None;
            return;
        }
        let unread = self.running.iter().map(Sequence::unread).find(|u| *u > 0);
        let chunk = unread.unwrap_or(0).min(self.profile.chunk_tokens);
        let decoding = self.running.iter().filter(|s| s.unread() == 0).count();
        self.step = Some(Step {
            ends: now + self.step_time(chunk, decoding),
            chunk,
        });
    }

    fn fill_slots(&mut self, now: Duration, events: &mut Vec<Event>) {
        while self.running.len() < self.profile.slots as usize {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            let hits = self.cache.hits(&job.prefix) as u64;
            // The last token is always read, since the first one written follows from it.
            let cached = (hits * BLOCK_TOKENS).min(job.prompt - 1);
            events.push(Event {
                at: now,
                action: Action::Started {
                    id: job.id.clone(),
                    cached,
                },
            });
            self.running.push(Sequence {
                job,
                cached,
                read: cached,
                written: 0,
            });
        }
    }

    fn step_time(&self, chunk: u64, decoding: usize) -> Duration {
        let reading = chunk as f64 / self.profile.prefill_rate;
        let writing = match decoding {
            0 => 0.0,
            n => (1.0 + self.profile.batch_cost * (n - 1) as f64) / self.profile.decode_rate,
        };
        Duration::from_secs_f64((reading + writing) * self.slow_factor)
    }

    fn end_step(&mut self, step: Step, events: &mut Vec<Event>) {
        let at = step.ends;
        let mut chunk = step.chunk;
        for sequence in &mut self.running {
            if sequence.unread() > 0 {
                let read = chunk.min(sequence.unread());
                chunk = 0;
                sequence.read += read;
                self.prefilled += read;
                if read == 0 || sequence.unread() > 0 {
                    continue;
                }
                events.extend(cache_events(at, self.cache.store(&sequence.job.prefix)));
            }
            write_token(at, sequence, events);
        }
        self.running.retain(|s| s.written < s.job.output.max(1));
    }
}

fn write_token(at: Duration, sequence: &mut Sequence, events: &mut Vec<Event>) {
    let id = &sequence.job.id;
    let token = Action::Token {
        id: id.clone(),
        n: sequence.written,
    };
    events.push(Event { at, action: token });
    sequence.written += 1;
    if sequence.written >= sequence.job.output.max(1) {
        let done = Action::Done { id: id.clone() };
        events.push(Event { at, action: done });
    }
}

fn cache_events(at: Duration, changes: Vec<Change>) -> impl Iterator<Item = Event> {
    changes.into_iter().map(move |change| Event {
        at,
        action: Action::Cache(change),
    })
}
