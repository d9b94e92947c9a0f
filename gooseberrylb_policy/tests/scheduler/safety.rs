//! No key is dispatched again unless its earlier dispatch is proved not to have run, whatever the
//! order of messages, deaths, false reports of death and changes of view.

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

/// What an entry knows of one of its requests.
#[derive(Debug, Clone)]
enum Local {
    Waiting,
    Dispatched(Grant),
    Over,
}

#[derive(Debug)]
struct Entry {
    incarnation: u64,
    number: u64,
    requests: BTreeMap<Id, (Request, Local)>,
    /// The scheduler that it turns to, and what is on its way there.
    scheduler: usize,
    outbox: VecDeque<(usize, Input)>,
    inbox: VecDeque<(Id, Decision)>,
}

/// What is on its way to a backup.
#[derive(Debug)]
enum Mail {
    Sync(usize, View, u64, Vec<Record>),
    Accept(usize, View, u64, Vec<Record>),
}

struct World {
    now: std::time::Instant,
    directory: Directory,
    schedulers: Vec<Scheduler>,
    entries: Vec<Entry>,
    backups: [Backup; 2],
    mail: [VecDeque<Mail>; 2],
    acks: Vec<[u64; 2]>,
    /// The keys that an upstream may have run, or runs.
    ran: BTreeMap<Key, Id>,
}

impl World {
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
        let mut world = Self {
            now: bench.now,
            directory,
            schedulers: vec![bench.scheduler],
            entries: ENTRIES.iter().map(entry).collect(),
            backups: [Backup::new(View(1)), Backup::new(View(1))],
            mail: [VecDeque::new(), VecDeque::new()],
            acks: vec![[0, 0]],
            ran: BTreeMap::new(),
        };
        world.sync_backups();
        world
    }

    fn current(&self) -> usize {
        self.schedulers.len() - 1
    }

    fn sync_backups(&mut self) {
        let current = self.current();
        let scheduler = &self.schedulers[current];
        for mail in &mut self.mail {
            let (view, sequence) = (scheduler.view().number, scheduler.sequence());
            mail.push_back(Mail::Sync(current, view, sequence, scheduler.snapshot()));
        }
    }

    fn feed(&mut self, scheduler: usize, input: Input) {
        let outputs = self.schedulers[scheduler].step(self.now, input);
        self.carry_out(scheduler, outputs);
    }

    fn carry_out(&mut self, scheduler: usize, outputs: Vec<Output>) {
        let view = self.schedulers[scheduler].view().number;
        for output in outputs {
            match output {
                Output::Decide(id, decision) => {
                    let entry = ENTRIES.iter().position(|name| *name == id.entry.as_str());
                    self.entries[entry.expect("entries are fixed")]
                        .inbox
                        .push_back((id, decision));
                }
                Output::Copy { sequence, records } => {
                    for mail in &mut self.mail {
                        mail.push_back(Mail::Accept(scheduler, view, sequence, records.clone()));
                    }
                }
            }
        }
    }

    fn start_request(&mut self, entry: usize, choice: u8) {
        let state = &mut self.entries[entry];
        state.number += 1;
        let mut request = once(
            ENTRIES[entry],
            state.number,
            &format!("key-{}", choice % KEYS),
        );
        request.id.incarnation = state.incarnation;
        request.time_left = Duration::from_secs(5 + u64::from(choice));
        state
            .requests
            .insert(request.id.clone(), (request.clone(), Local::Waiting));
        state
            .outbox
            .push_back((state.scheduler, Input::Enqueue(request)));
    }

    fn ask_again(&mut self, entry: usize, choice: u8) {
        let state = &mut self.entries[entry];
        let request = pick(state, choice, |local| matches!(local, Local::Waiting));
        if let Some(request) = request {
            state
                .outbox
                .push_back((state.scheduler, Input::Enqueue(request)));
        }
    }

    fn give_up(&mut self, entry: usize, choice: u8) {
        let state = &mut self.entries[entry];
        let request = pick(state, choice, |local| matches!(local, Local::Waiting));
        if let Some(request) = request {
            finish(state, &request.id);
            state
                .outbox
                .push_back((state.scheduler, Input::Withdraw(request.id)));
        }
    }

    fn end_one(&mut self, entry: usize, choice: u8) {
        let state = &mut self.entries[entry];
        let request = pick(state, choice, |local| matches!(local, Local::Dispatched(_)));
        let Some(request) = request else {
            return;
        };
        let Some((_, Local::Dispatched(grant))) = state.requests.get(&request.id).cloned() else {
            return;
        };
        let outcome = [Outcome::Served, Outcome::NotRun, Outcome::Unknown][usize::from(choice) % 3];
        if outcome == Outcome::NotRun {
            self.ran
                .remove(request.key.as_ref().expect("all are keyed"));
        }
        finish(state, &request.id);
        if outcome == Outcome::NotRun && choice >= 128 {
            // It is tried elsewhere under the same id, and the message overtakes the end.
            let waiting = (request.clone(), Local::Waiting);
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
        let local = state.requests.get(&id).map(|(_, local)| local.clone());
        match (decision, local) {
            (Decision::Grant(grant), Some(Local::Waiting)) => {
                let (request, local) = state.requests.get_mut(&id).expect("it was just found");
                *local = Local::Dispatched(grant);
                let key = request.key.clone().expect("all are keyed");
                let before = self.ran.insert(key, id.clone());
                prop_assert!(
                    before.is_none(),
                    "{id} is dispatched, but {before:?} may have run"
                );
            }
            (Decision::Grant(_), None | Some(Local::Over)) => {
                let withdraw = Input::Withdraw(id);
                state.outbox.push_back((state.scheduler, withdraw));
            }
            (Decision::Refuse { .. }, Some(Local::Waiting)) => {
                finish(state, &id);
                state
                    .outbox
                    .push_back((state.scheduler, Input::Withdraw(id)));
            }
            (Decision::Join { .. } | Decision::Ended { .. }, Some(Local::Waiting)) => {
                finish(state, &id);
            }
            (_, Some(Local::Dispatched(_) | Local::Over) | None) => {}
        }
        Ok(())
    }

    fn deliver_to_backup(&mut self, at: usize) {
        let Some(mail) = self.mail[at].pop_front() else {
            return;
        };
        let backup = &mut self.backups[at];
        let (scheduler, held) = match mail {
            Mail::Sync(scheduler, view, sequence, records) => {
                (scheduler, backup.sync(view, sequence, records, self.now))
            }
            Mail::Accept(scheduler, view, sequence, records) => {
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

    fn die(&mut self, entry: usize, really: bool) {
        if really {
            let state = &mut self.entries[entry];
            state.incarnation += 1;
            state.requests.clear();
            state.outbox.clear();
            state.inbox.clear();
        }
        self.feed(self.current(), Input::Died(name(ENTRIES[entry])));
    }

    /// A backup takes over, and a fresh one takes its place; the old scheduler runs on.
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
            self.turn_to(entry, current + 1);
        }
    }

    fn turn_to(&mut self, entry: usize, scheduler: usize) {
        let state = &mut self.entries[entry];
        state.scheduler = scheduler;
        let running = state
            .requests
            .values()
            .filter_map(|(request, local)| match local {
                Local::Dispatched(grant) => Some(Running {
                    request: request.clone(),
                    grant: grant.clone(),
                }),
                Local::Waiting | Local::Over => None,
            });
        let resume = Input::Resume {
            entry: name::<id::Instance>(ENTRIES[entry]),
            running: running.collect(),
        };
        state.outbox.push_back((scheduler, resume));
        let waiting = state
            .requests
            .values()
            .filter(|(_, local)| matches!(local, Local::Waiting));
        let enqueues: Vec<_> = waiting
            .map(|(request, _)| (scheduler, Input::Enqueue(request.clone())))
            .collect();
        state.outbox.extend(enqueues);
    }

    /// The scheduler goes on with a fresh backup.
    fn replace_backup(&mut self, at: usize) {
        let current = self.current();
        let old = self.schedulers[current].view().number;
        let next = view(old.0 + 1, &["backup-1", "backup-2"]);
        self.backups[at] = Backup::new(next.number);
        self.backups[1 - at].advance(next.number);
        self.acks[current] = [0, 0];
        let outputs = self.schedulers[current].change_view(next, self.now);
        self.sync_backups();
        self.carry_out(current, outputs);
    }

    fn act(&mut self, action: u8, at: u8, choice: u8) -> Result<(), TestCaseError> {
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
            48..=50 => self.ask_again(entry, choice),
            51..=52 => self.give_up(entry, choice),
            53..=56 => self.end_one(entry, choice),
            57 => self.die(entry, true),
            58 => self.die(entry, false),
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
    if let Some((_, local)) = entry.requests.get_mut(id) {
        *local = Local::Over;
    }
}

fn pick(entry: &Entry, choice: u8, wanted: impl Fn(&Local) -> bool) -> Option<Request> {
    let matching: Vec<_> = entry
        .requests
        .values()
        .filter(|(_, local)| wanted(local))
        .collect();
    let at = usize::from(choice) % matching.len().max(1);
    matching.get(at).map(|(request, _)| request.clone())
}

fn check(kind: Kind, actions: Vec<(u8, u8, u8)>) -> Result<(), TestCaseError> {
    let mut world = World::new(kind);
    for (action, at, choice) in actions {
        world.act(action, at, choice)?;
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
