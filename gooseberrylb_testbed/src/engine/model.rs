//! Simulates an engine with continuous batching and chunked prefill: each step prefills a chunk of
//! one prompt and decodes one token for every request whose prompt is prefilled. Requests are
//! admitted in order of arrival regardless of tier, as real engines do.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::engine::cache::{BLOCK_TOKENS, Cache, Change};

/// Speed and capacity of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// Prefill rate, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Decode rate of a request that runs alone, in tokens per second.
    pub decode_rate: f64,
    /// Time that each further request of the batch adds to a decode step, as a fraction of the step
    /// of a single request.
    pub batch_cost: f64,
    /// Maximum number of requests running at once.
    pub slots: u32,
    /// Maximum number of prompt tokens prefilled in one step.
    pub chunk_tokens: u64,
    /// Capacity of the prefix cache, in blocks.
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

/// Request to an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id of the request.
    pub id: Arc<str>,
    /// Prompt length, in tokens.
    pub prompt: u64,
    /// Fingerprints of the prompt's prefixes, one per block, shortest first.
    pub prefix: Arc<[u64]>,
    /// Number of tokens to generate.
    pub output: u64,
}

/// Action of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A request got a slot.
    Started {
        /// Id of the request.
        id: Arc<str>,
        /// Prompt tokens found in the prefix cache.
        cached: u64,
    },
    /// A token was generated.
    Token {
        /// Id of the request.
        id: Arc<str>,
        /// Index of the token, from 0.
        n: u64,
    },
    /// The last token of a request was generated.
    Done {
        /// Id of the request.
        id: Arc<str>,
    },
    /// The prefix cache changed.
    Cache(Change),
}

/// Action of an engine with its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Time since the engine's start.
    pub at: Duration,
    /// Action.
    pub action: Action,
}

/// Progress of a request at the time of its cancellation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Prompt tokens prefilled, without cached ones.
    pub prefilled: u64,
    /// Tokens generated.
    pub generated: u64,
}

/// Request that occupies a slot.
#[derive(Debug, Clone)]
struct Sequence {
    job: Job,
    /// Prompt tokens found in the prefix cache.
    cached: u64,
    /// Prompt tokens that are cached or prefilled.
    processed: u64,
    /// Tokens generated.
    generated: u64,
}

impl Sequence {
    fn remaining_prompt(&self) -> u64 {
        self.job.prompt - self.processed
    }
}

/// Step that the engine is running.
#[derive(Debug, Clone, Copy)]
struct Step {
    ends: Duration,
    /// Tokens prefilled for the first sequence whose prompt is not fully prefilled.
    chunk: u64,
}

/// Simulated engine. The caller passes in the time, which must not decrease.
#[derive(Debug, Clone)]
pub struct Model {
    profile: Profile,
    slow_factor: f64,
    cache: Cache,
    /// Requests that wait for a slot, in order of arrival.
    waiting: VecDeque<Job>,
    /// Requests in slots, in order of admission.
    running: Vec<Sequence>,
    /// Current step, or `None` if the engine is idle.
    step: Option<Step>,
    /// Prompt tokens prefilled so far, without cached ones.
    prefilled: u64,
}

impl Model {
    /// Returns an idle engine.
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

    /// Returns the speed and capacity of the engine.
    pub fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of admitted requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the prompt tokens prefilled so far, without cached ones.
    pub fn prefilled(&self) -> u64 {
        self.prefilled
    }

    /// Returns the prefix cache.
    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// Returns the end of the current step, before which nothing happens, or `None` if the engine
    /// is idle.
    pub fn next_step_end(&self) -> Option<Duration> {
        self.step.map(|step| step.ends)
    }

    /// Sets the factor by which the duration of every step from the next one on is multiplied.
    pub fn set_slow_factor(&mut self, factor: f64) {
        self.slow_factor = factor;
    }

    /// Adds blocks exported by another engine to the prefix cache.
    pub fn import(&mut self, at: Duration, blocks: &[u64]) -> Vec<Event> {
        let changes = self.cache.store(blocks);
        cache_events(at, changes).collect()
    }

    /// Admits a request at `now`. [`Model::advance`] must have been called for that time.
    pub fn admit(&mut self, now: Duration, job: Job) -> Vec<Event> {
        self.waiting.push_back(job);
        let mut events = Vec::new();
        if self.step.is_none() {
            self.begin_step(now, &mut events);
        }
        events
    }

    /// Cancels a request. Returns its progress, or `None` if it neither waits nor runs.
    pub fn cancel(&mut self, id: &str) -> Option<Progress> {
        if let Some(i) = self.waiting.iter().position(|job| &*job.id == id) {
            self.waiting.remove(i);
            return Some(Progress::default());
        }
        let i = self.running.iter().position(|s| &*s.job.id == id)?;
        let sequence = self.running.remove(i);
        // The chunk of the current step belongs to the first sequence that is not fully prefilled,
        // and is dropped with it.
        if sequence.remaining_prompt() > 0 && self.is_first_in_prefill(i) {
            self.step = self.step.map(|step| Step { chunk: 0, ..step });
        }
        Some(Progress {
            prefilled: sequence.processed - sequence.cached,
            generated: sequence.generated,
        })
    }

    /// Completes all steps that end by `now`. Returns their events in order of time.
    pub fn advance(&mut self, now: Duration) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(step) = self.step.filter(|step| step.ends <= now) {
            self.end_step(step, &mut events);
            self.begin_step(step.ends, &mut events);
        }
        events
    }

    /// Whether all sequences before index `i` are fully prefilled.
    fn is_first_in_prefill(&self, i: usize) -> bool {
        self.running[..i].iter().all(|s| s.remaining_prompt() == 0)
    }

    /// Fills the free slots and begins the next step, or becomes idle.
    fn begin_step(&mut self, now: Duration, events: &mut Vec<Event>) {
        self.fill_slots(now, events);
        if self.running.is_empty() {
            self.step = None;
            return;
        }
        let unprefilled = self
            .running
            .iter()
            .map(Sequence::remaining_prompt)
            .find(|u| *u > 0);
        let chunk = unprefilled.unwrap_or(0).min(self.profile.chunk_tokens);
        let decoding = self
            .running
            .iter()
            .filter(|s| s.remaining_prompt() == 0)
            .count();
        self.step = Some(Step {
            ends: now + self.step_time(chunk, decoding),
            chunk,
        });
    }

    /// Moves waiting requests to free slots in order of arrival.
    fn fill_slots(&mut self, now: Duration, events: &mut Vec<Event>) {
        while self.running.len() < self.profile.slots as usize {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            let hits = self.cache.hits(&job.prefix) as u64;
            // The last prompt token is always prefilled, since the first output token is computed
            // from it.
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
                processed: cached,
                generated: 0,
            });
        }
    }

    /// Returns the duration of a step that prefills `chunk` tokens and decodes `decoding`
    /// sequences.
    fn step_time(&self, chunk: u64, decoding: usize) -> Duration {
        let prefill_time = chunk as f64 / self.profile.prefill_rate;
        let decode_time = match decoding {
            0 => 0.0,
            n => (1.0 + self.profile.batch_cost * (n - 1) as f64) / self.profile.decode_rate,
        };
        Duration::from_secs_f64((prefill_time + decode_time) * self.slow_factor)
    }

    fn end_step(&mut self, step: Step, events: &mut Vec<Event>) {
        let at = step.ends;
        let mut chunk = step.chunk;
        for sequence in &mut self.running {
            if sequence.remaining_prompt() > 0 {
                let prefilled = chunk.min(sequence.remaining_prompt());
                chunk = 0;
                sequence.processed += prefilled;
                self.prefilled += prefilled;
                if prefilled == 0 || sequence.remaining_prompt() > 0 {
                    continue;
                }
                events.extend(cache_events(at, self.cache.store(&sequence.job.prefix)));
            }
            generate_token(at, sequence, events);
        }
        self.running.retain(|s| s.generated < s.job.output.max(1));
    }
}

fn generate_token(at: Duration, sequence: &mut Sequence, events: &mut Vec<Event>) {
    let id = &sequence.job.id;
    let token = Action::Token {
        id: id.clone(),
        n: sequence.generated,
    };
    events.push(Event { at, action: token });
    sequence.generated += 1;
    if sequence.generated >= sequence.job.output.max(1) {
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
