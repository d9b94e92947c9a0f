//! A key is never dispatched again unless its earlier dispatch is proved not to have run, whatever
//! the order of messages, entry deaths, false reports of death and view changes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_config::note::Kind;
use gooseberrylb_config::number::View;
use gooseberrylb_policy::request::{Id, Key, Outcome, Request};
use gooseberrylb_policy::scheduler::{
    Backup, Decision, Grant, Input, Output, Record, Running, Scheduler,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fixture::*;

const ENTRIES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const KEYS: u8 = 3;

/// The state of a request at its entry.
#[derive(Debug, Clone)]
enum Progress {
    Waiting,
    Dispatched(Grant),
    Finished,
}

#[derive(Debug)]
struct Entry {
    incarnation: u64,
    number: u64,
    requests: BTreeMap<Id, (Request, Progress)>,
    /// The index of the scheduler that the entry currently sends to.
    scheduler: usize,
    /// The messages in transit to schedulers, each with the index of its scheduler.
    outbox: VecDeque<(usize, Input)>,
    /// The decisions in transit to the entry.
    inbox: VecDeque<(Id, Decision)>,
}

/// A message in transit to a backup.
#[derive(Debug)]
enum Message {
    Sync(usize, View, u64, Vec<Record>),
    Accept(usize, View, u64, Vec<Record>),
}

struct Cluster {
    now: std::time::Instant,
    directory: Directory,
    schedulers: Vec<Scheduler>,
    entries: Vec<Entry>,
    backups: [Backup; 2],
    messages: [VecDeque<Message>; 2],
    /// The highest sequence number acknowledged by each backup, by scheduler.
    acks: Vec<[u64; 2]>,
    /// The keys that are running or may have run at an upstream, with the request that was
    /// dispatched.
    may_have_run: BTreeMap<Key, Id>,
}

impl Cluster {
    fn new(kind: Kind) -> Self {
        let directory = directory(kind, &[("v1", 10_000, &["up-1", "up-2"], 2)]);
        let bench = Bench::new(directory.clone(), view(1, &["backup-1", "backup-2"]));
        let entry = |_| Entry {
            incarnation: 1,
            number: 0,
            requests: BTreeMap::new(),
            scheduler: 0,
            outbox: VecDeque::new(),
            inbox: VecDeque::new(),
        };
        let mut cluster = Self {
            now: bench.now,
            directory,
            schedulers: vec![bench.scheduler],
            entries: ENTRIES.iter().map(entry).collect(),
            backups: [Backup::new(View(1)), Backup::new(View(1))],
            messages: [VecDeque::new(), VecDeque::new()],
            acks: vec![[0, 0]],
            may_have_run: BTreeMap::new(),
        };
        cluster.sync_backups();
        cluster
    }

    fn current(&self) -> usize {
        self.schedulers.len() - 1
    }

    fn sync_backups(&mut self) {
        let current = self.current();
        let scheduler = &self.schedulers[current];
        for queue in &mut self.messages {
            let (view, sequence) = (scheduler.view().number, scheduler.sequence());
            queue.push_back(Message::Sync(current, view, sequence, scheduler.snapshot()));
        }
    }

    fn feed(&mut self, scheduler: usize, input: Input) {
        let outputs = self.schedulers[scheduler].step(self.now, input);
        self.handle_outputs(scheduler, outputs);
    }

    fn handle_outputs(&mut self, scheduler: usize, outputs: Vec<Output>) {
        let view = self.schedulers[scheduler].view().number;
        for output in outputs {
            match output {
                Output::Decide(id, decision) => {
                    let entry = ENTRIES.iter().position(|name| *name == id.entry.as_str());
                    self.entries[entry.expect("the entry is one of ENTRIES")]
                        .inbox
                        .push_back((id, decision));
                }
                Output::Copy { sequence, records } => {
                    for queue in &mut self.messages {
                        queue.push_back(Message::Accept(
                            scheduler,
                            view,
                            sequence,
                            records.clone(),
                        ));
                    }
                }
            }
        }
    }

    fn start_request(&mut self, entry: usize, choice: u8) {
        let state = &mut self.entries[entry];
        state.number += 1;
        let mut request = keyed_request(
            ENTRIES[entry],
            state.number,
            &format!("key-{}", choice % KEYS),
        );
        request.id.incarnation = state.incarnation;
        request.time_left = Duration::from_secs(5 + u64::from(choice));
        state
            .requests
            .insert(request.id.clone(), (request.clone(), Progress::Waiting));
        state
            .outbox
            .push_back((state.scheduler, Input::Enqueue(request)));
    }

    fn enqueue_again(&mut self, entry: usize, choice: u8) {
        let state = &mut self.entries[entry];
        let request = pick_request(state, choice, |progress| {
            matches!(progress, Progress::Waiting)
        });
        if let Some(request) = request {
            state
                .outbox
                .push_back((state.scheduler, Input::Enqueue(request)));
        }
    }

    fn withdraw_one(&mut self, entry: usize, choice: u8) {
        let state = &mut self.entries[entry];
        let request = pick_request(state, choice, |progress| {
            matches!(progress, Progress::Waiting)
        });
        if let Some(request) = request {
            finish(state, &request.id);
            state
                .outbox
                .push_back((state.scheduler, Input::Withdraw(request.id)));
        }
    }

    fn end_one(&mut self, entry: usize, choice: u8) {
        let state = &mut self.entries[entry];
        let request = pick_request(state, choice, |progress| {
            matches!(progress, Progress::Dispatched(_))
        });
        let Some(request) = request else {
            return;
        };
        let Some((_, Progress::Dispatched(grant))) = state.requests.get(&request.id).cloned()
        else {
            return;
        };
        let outcome = [Outcome::Served, Outcome::NotRun, Outcome::Unknown][usize::from(choice) % 3];
        if outcome == Outcome::NotRun {
            self.may_have_run
                .remove(request.key.as_ref().expect("all requests have keys"));
        }
        finish(state, &request.id);
        if outcome == Outcome::NotRun && choice >= 128 {
            // The request is retried under the same id, and that message overtakes the report of
            // the end.
            let waiting = (request.clone(), Progress::Waiting);
            state.requests.insert(request.id.clone(), waiting);
            let again = Input::Enqueue(request.clone());
            state.outbox.push_back((state.scheduler, again));
        }
        state
            .outbox
            .push_back((state.scheduler, end(&request.id, &grant, outcome)));
    }

    fn deliver_to_scheduler(&mut self, entry: usize) {
        if let Some((scheduler, input)) = self.entries[entry].outbox.pop_front() {
            self.feed(scheduler, input);
        }
    }

    /// Delivers the oldest decision to an entry, or the newest if `late`, and checks that no key is
    /// dispatched while it may have run.
    fn deliver_to_entry(&mut self, entry: usize, late: bool) -> Result<(), TestCaseError> {
        let state = &mut self.entries[entry];
        let next = if late {
            state.inbox.pop_back()
        } else {
            state.inbox.pop_front()
        };
        let Some((id, decision)) = next else {
            return Ok(());
        };
        let progress = state
            .requests
            .get(&id)
            .map(|(_, progress)| progress.clone());
        match (decision, progress) {
            (Decision::Grant(grant), Some(Progress::Waiting)) => {
                let (request, progress) = state
                    .requests
                    .get_mut(&id)
                    .expect("the request was just found");
                *progress = Progress::Dispatched(grant);
                let key = request.key.clone().expect("all requests have keys");
                let previous = self.may_have_run.insert(key, id.clone());
                prop_assert!(
                    previous.is_none(),
                    "{id} is dispatched, but {previous:?} may have run"
                );
            }
            (Decision::Grant(_), None | Some(Progress::Finished)) => {
                let withdraw = Input::Withdraw(id);
                state.outbox.push_back((state.scheduler, withdraw));
            }
            (Decision::Refuse { .. }, Some(Progress::Waiting)) => {
                finish(state, &id);
                state
                    .outbox
                    .push_back((state.scheduler, Input::Withdraw(id)));
            }
            (Decision::Join { .. } | Decision::Ended { .. }, Some(Progress::Waiting)) => {
                finish(state, &id);
            }
            (_, Some(Progress::Dispatched(_) | Progress::Finished) | None) => {}
        }
        Ok(())
    }

    fn deliver_to_backup(&mut self, at: usize) {
        let Some(message) = self.messages[at].pop_front() else {
            return;
        };
        let backup = &mut self.backups[at];
        let (scheduler, held) = match message {
            Message::Sync(scheduler, view, sequence, records) => {
                (scheduler, backup.sync(view, sequence, records, self.now))
            }
            Message::Accept(scheduler, view, sequence, records) => {
                (scheduler, backup.accept(view, sequence, records, self.now))
            }
        };
        if let Ok(held) = held {
            let view = self.schedulers[scheduler].view().number;
            if held.view == view {
                self.acks[scheduler][at] = held.sequence;
            }
        }
    }

    fn deliver_acks(&mut self, scheduler: usize) {
        let [first, second] = self.acks[scheduler];
        self.feed(scheduler, Input::Acknowledged(first.min(second)));
    }

    /// Reports an entry as dead to the current scheduler. If `is_dead`, the entry also restarts
    /// without its state; otherwise the report is false.
    fn report_death(&mut self, entry: usize, is_dead: bool) {
        if is_dead {
            let state = &mut self.entries[entry];
            state.incarnation += 1;
            state.requests.clear();
            state.outbox.clear();
            state.inbox.clear();
        }
        self.feed(self.current(), Input::Died(name(ENTRIES[entry])));
    }

    /// Lets a backup take over and replaces it by a fresh one; the old scheduler keeps running.
    fn take_over(&mut self, at: usize) {
        let current = self.current();
        let old = self.schedulers[current].view().number;
        if !self.backups[at].is_synced() || self.backups[at].view() != old {
            return;
        }
        let claims = self.backups[at].claims().clone();
        let next = view(old.0 + 1, &["backup-1", "backup-2"]);
        self.backups[at] = Backup::new(next.number);
        self.backups[1 - at].advance(next.number);
        let bench = Bench::take_over(self.directory.clone(), next, claims, self.now);
        self.schedulers.push(bench.scheduler);
        self.acks.push([0, 0]);
        self.sync_backups();
        for entry in 0..ENTRIES.len() {
            self.switch_scheduler(entry, current + 1);
        }
    }

    /// Makes an entry report to a new scheduler after a view change.
    fn switch_scheduler(&mut self, entry: usize, scheduler: usize) {
        let state = &mut self.entries[entry];
        state.scheduler = scheduler;
        let running = state
            .requests
            .values()
            .filter_map(|(request, progress)| match progress {
                Progress::Dispatched(grant) => Some(Running {
                    request: request.clone(),
                    grant: grant.clone(),
                }),
                Progress::Waiting | Progress::Finished => None,
            });
        let resume = Input::Resume {
            entry: name::<id::Instance>(ENTRIES[entry]),
            running: running.collect(),
        };
        state.outbox.push_back((scheduler, resume));
        let waiting = state
            .requests
            .values()
            .filter(|(_, progress)| matches!(progress, Progress::Waiting));
        let enqueues: Vec<_> = waiting
            .map(|(request, _)| (scheduler, Input::Enqueue(request.clone())))
            .collect();
        state.outbox.extend(enqueues);
    }

    /// Replaces a backup; the scheduler continues in a new view.
    fn replace_backup(&mut self, at: usize) {
        let current = self.current();
        let old = self.schedulers[current].view().number;
        let next = view(old.0 + 1, &["backup-1", "backup-2"]);
        self.backups[at] = Backup::new(next.number);
        self.backups[1 - at].advance(next.number);
        self.acks[current] = [0, 0];
        let outputs = self.schedulers[current].change_view(next, self.now);
        self.sync_backups();
        self.handle_outputs(current, outputs);
    }

    fn perform(&mut self, action: u8, at: u8, choice: u8) -> Result<(), TestCaseError> {
        let entry = usize::from(at) % ENTRIES.len();
        let backup = usize::from(at) % 2;
        let scheduler = usize::from(at) % self.schedulers.len();
        match action {
            0..=5 => self.start_request(entry, choice),
            6..=17 => self.deliver_to_scheduler(entry),
            18..=28 => self.deliver_to_entry(entry, false)?,
            29..=30 => self.deliver_to_entry(entry, true)?,
            31..=40 => self.deliver_to_backup(backup),
            41..=47 => self.deliver_acks(scheduler),
            48..=50 => self.enqueue_again(entry, choice),
            51..=52 => self.withdraw_one(entry, choice),
            53..=56 => self.end_one(entry, choice),
            57 => self.report_death(entry, true),
            58 => self.report_death(entry, false),
            59 => self.take_over(backup),
            60 => self.replace_backup(backup),
            _ => {
                self.now += Duration::from_millis(u64::from(choice) * 4);
                self.feed(scheduler, Input::Tick);
            }
        }
        Ok(())
    }
}

fn finish(entry: &mut Entry, id: &Id) {
    if let Some((_, progress)) = entry.requests.get_mut(id) {
        *progress = Progress::Finished;
    }
}

fn pick_request(entry: &Entry, choice: u8, wanted: impl Fn(&Progress) -> bool) -> Option<Request> {
    let matching: Vec<_> = entry
        .requests
        .values()
        .filter(|(_, progress)| wanted(progress))
        .collect();
    let at = usize::from(choice) % matching.len().max(1);
    matching.get(at).map(|(request, _)| request.clone())
}

fn check(kind: Kind, actions: Vec<(u8, u8, u8)>) -> Result<(), TestCaseError> {
    let mut cluster = Cluster::new(kind);
    for (action, at, choice) in actions {
        cluster.perform(action, at, choice)?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_of_a_plain_service_runs_at_most_once(
        actions in prop::collection::vec((0u8..64, any::<u8>(), any::<u8>()), 50..600),
    ) {
        check(Kind::Plain, actions)?;
    }

    #[test]
    fn a_key_of_an_engine_runs_at_most_once(
        actions in prop::collection::vec((0u8..64, any::<u8>(), any::<u8>()), 50..600),
    ) {
        check(Kind::Engine, actions)?;
    }
}
