//! Plays of requests, and of prompts with a part, that crash every upstream that runs them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_policy::crash::{Cause, Ending, Report, SETTLING, Seat, Table};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: Duration = Duration::from_millis(1);

/// Part that all prompts of a route share.
const SHARED: u32 = 0xf0;

/// Part that crashes upstreams.
const CRASHING: u32 = 0xbad;

fn part(number: u32) -> Cause {
    Cause::Part(format!("{number:x}").parse().unwrap())
}

fn parts(numbers: &[u32]) -> Vec<Cause> {
    numbers.iter().copied().map(part).collect()
}

fn upstream(number: u32) -> id::Upstream {
    format!("i-{number}").parse().unwrap()
}

/// Knowledge of one entry and of the dispatcher, with the time of the play.
struct Play {
    entry: Table,
    dispatcher: Table,
    start: Instant,
    now: Instant,
}

impl Play {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            entry: Table::default(),
            dispatcher: Table::default(),
            start: now,
            now,
        }
    }

    /// Records the end of a run at the entry and exchanges what follows.
    fn end(&mut self, ms: u32, number: u32, numbers: &[u32], ending: Ending) {
        self.now = self.start + ms * MS;
        let reports = self.entry.record(
            &upstream(number),
            &parts(numbers),
            ending,
            self.now,
            self.now,
        );
        for report in reports {
            self.dispatcher.adopt(report, self.now);
        }
    }

    fn crash(&mut self, ms: u32, number: u32, numbers: &[u32]) {
        self.end(ms, number, numbers, Ending::Crashed);
    }

    /// Whether the entry refuses a part, once the dispatcher has decided on all crashes.
    fn is_blocked(&mut self, number: u32) -> bool {
        self.now += SETTLING;
        for news in self.dispatcher.judge(self.now) {
            self.entry.adopt(news, self.now);
        }
        self.entry.blocked(&[part(number)], self.now).is_some()
    }
}

#[test]
fn part_of_three_crashes_is_blocked_and_parts_that_are_served_are_not() {
    let mut play = Play::new();
    for number in 0..2 {
        play.crash(500 * number, number, &[SHARED, CRASHING, 100 + number]);
        play.end(500 * number + 200, 9, &[SHARED, 200], Ending::Served);
    }
    assert!(!play.is_blocked(CRASHING));
    play.crash(1000, 2, &[SHARED, CRASHING, 102]);
    assert!(play.is_blocked(CRASHING));
    let request = parts(&[SHARED, CRASHING, 103]);
    let (blocked, left) = play.entry.blocked(&request, play.now).unwrap();
    assert_eq!(blocked, part(CRASHING));
    assert_eq!(left, Duration::from_secs(600));
    assert!(!play.is_blocked(SHARED));
    assert!(!play.is_blocked(100));
}

#[test]
fn of_parts_that_are_always_together_only_the_last_is_blocked() {
    let mut play = Play::new();
    for number in 0..3 {
        play.crash(500 * number, number, &[SHARED, CRASHING]);
    }
    assert!(play.is_blocked(CRASHING));
    assert!(!play.is_blocked(SHARED));
    // Crashes that the blocked part explains count against no other.
    for number in 3..9 {
        play.crash(500 * number, number, &[SHARED, CRASHING]);
    }
    assert!(!play.is_blocked(SHARED));
    // If others go on, it was the first.
    for number in 9..12 {
        play.crash(500 * number, number, &[SHARED, 300 + number]);
    }
    assert!(play.is_blocked(SHARED));
}

#[test]
fn part_of_requests_that_ran_beside_a_crash_is_not_blocked() {
    let mut play = Play::new();
    for number in 0..6 {
        play.crash(500 * number, number, &[SHARED, 400]);
        play.crash(500 * number + 3, number, &[SHARED, CRASHING]);
    }
    assert!(play.is_blocked(CRASHING));
    assert!(!play.is_blocked(400));
    assert!(!play.is_blocked(SHARED));
}

#[test]
fn upstreams_that_crash_at_once_or_one_that_breaks_off_many_responses_block_nothing() {
    let mut play = Play::new();
    for number in 0..10 {
        play.crash(4 * number, number, &[SHARED, CRASHING]);
    }
    for number in 0..10 {
        play.crash(2000 * number, 77, &[SHARED, CRASHING]);
    }
    assert!(!play.is_blocked(CRASHING));
    assert!(!play.is_blocked(SHARED));
}

#[test]
fn part_that_is_mostly_served_is_not_reported() {
    let mut play = Play::new();
    for number in 0..40 {
        play.end(number, 9, &[SHARED, 200], Ending::Served);
    }
    for number in 0..4 {
        play.crash(1000 + 500 * number, number, &[SHARED, 500 + number]);
    }
    let now = play.now;
    assert!(!play.is_blocked(SHARED));
    let reports = play.entry.reports(now).into_iter();
    let names_shared = |report: Report| match report {
        Report::Crashed { causes, .. } => causes.contains(&part(SHARED)),
        Report::Blocked { .. } | Report::Served { .. } => false,
    };
    assert_eq!(
        reports
            .filter(|report| names_shared(report.clone()))
            .count(),
        0
    );
}

#[test]
fn served_run_lifts_a_block_and_a_late_report_does_not_bring_it_back() {
    let mut play = Play::new();
    for number in 0..3 {
        play.crash(500 * number, number, &[SHARED, CRASHING]);
    }
    assert!(play.is_blocked(CRASHING));
    let mut cut_off = Table::default();
    for report in play.dispatcher.blocks(play.now) {
        assert_eq!(cut_off.adopt(report, play.now).len(), 1);
    }
    play.end(1500, 9, &[SHARED, CRASHING], Ending::Served);
    assert!(!play.is_blocked(CRASHING));
    play.now += 500 * MS;
    for report in cut_off.reports(play.now) {
        assert_eq!(play.dispatcher.adopt(report, play.now), []);
    }
}

#[test]
fn part_that_crashes_again_after_its_block_is_blocked_at_once_for_twice_the_time() {
    let mut play = Play::new();
    for number in 0..3 {
        play.crash(500 * number, number, &[SHARED, CRASHING]);
    }
    assert!(play.is_blocked(CRASHING));
    play.crash(700_000, 20, &[SHARED, CRASHING]);
    assert!(play.is_blocked(CRASHING));
    let (_, left) = play.entry.blocked(&[part(CRASHING)], play.now).unwrap();
    assert_eq!(left, Duration::from_secs(1200));
}

#[test]
fn new_dispatcher_concludes_from_what_entries_saw_of_crashes_before() {
    let mut entries = [(); 3].map(|()| Play::new());
    let mut dispatcher = Table::default();
    let now = Instant::now();
    for (number, play) in (0..).zip(&mut entries) {
        play.start = now;
        play.crash(300 * number, number, &[SHARED, CRASHING, 600 + number]);
        assert!(!play.is_blocked(CRASHING));
    }
    let now = now + 900 * MS;
    // Each entry tells the same twice, since its session ended in between.
    for play in entries.iter().chain(&entries) {
        for report in play.entry.reports(now) {
            dispatcher.adopt(report, now);
        }
    }
    assert_eq!(dispatcher.reports(now).len(), 3);
    let blocked = dispatcher.judge(now);
    assert_eq!(blocked.len(), 1);
    // The entries learn it, and tell it to the next dispatcher.
    let mut next = Table::default();
    for report in blocked {
        entries[0].entry.adopt(report, now);
    }
    for report in entries[0].entry.reports(now) {
        next.adopt(report, now);
    }
    assert!(next.blocked(&[part(CRASHING)], now).is_some());
}

#[test]
fn endings_tell_only_what_is_certain() {
    assert_eq!(Ending::of_broken(None), Ending::Crashed);
    assert_eq!(Ending::of_broken(Some(40 * MS)), Ending::Crashed);
    assert_eq!(Ending::of_broken(Some(2000 * MS)), Ending::Unclear);
    assert_eq!(Ending::of_complete(true, 10 * MS), Ending::Served);
    assert_eq!(Ending::of_complete(false, 10 * MS), Ending::Unclear);
    assert_eq!(Ending::of_complete(false, 2000 * MS), Ending::Served);
}

/// Number of entries, of upstreams and of seeds of the play under load.
const ENTRIES: usize = 7;
const UPSTREAMS: usize = 18;
const SEEDS: u64 = 50;

/// Interval at which the dispatcher judges, in milliseconds.
const JUDGING_MS: u32 = 100;

/// A run of the play under load.
struct Running {
    entry: usize,
    parts: Vec<Cause>,
    /// Time at which it begins to write, and at which it ends.
    writes: u32,
    ends: u32,
}

/// Plays 20 s of 60 requests a second on 18 upstreams, 4 a second of them with the crashing part
/// from 5 s on, and requests of rare documents among the others. Crashed upstreams are back after
/// 2 s. Messages take 10 ms. Returns the requests that crashed an upstream and the parts blocked.
fn play_load(seed: u64) -> (usize, Vec<Report>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let at = |ms: u32| start + ms * MS;
    let mut entries: Vec<Table> = (0..ENTRIES).map(|_| Table::default()).collect();
    let mut dispatcher = Table::default();
    let mut upstreams: Vec<(u32, Vec<Running>)> = (0..UPSTREAMS).map(|_| (0, Vec::new())).collect();
    let mut lifetimes = 0;
    let mut names: Vec<u32> = (0..UPSTREAMS as u32).collect();
    let mut messages: Vec<(u32, Report)> = Vec::new();
    let mut crashes = 0;
    for now in 0..20_000 {
        let (due, later): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|(time, _)| *time <= now);
        messages = later;
        let due = due.into_iter().map(|(_, report)| report);
        let mut news: Vec<_> = due.flat_map(|r| dispatcher.adopt(r, at(now))).collect();
        if now % JUDGING_MS == 0 {
            news.extend(dispatcher.judge(at(now)));
        }
        news.retain(|report| !matches!(report, Report::Crashed { .. }));
        for entry in &mut entries {
            news.iter()
                .for_each(|report| drop(entry.adopt(report.clone(), at(now))));
        }
        let crashing = now > 5_000 && rng.random_bool(0.004);
        if crashing || rng.random_bool(0.06) {
            let entry = rng.random_range(0..ENTRIES);
            let document = 0x1000 + rng.random_range(0..200);
            let numbers = match crashing {
                true => vec![SHARED, CRASHING, 0x100_0000 + now],
                false => vec![SHARED, document],
            };
            let parts = parts(&numbers);
            let up: Vec<usize> = (0..UPSTREAMS).filter(|i| upstreams[*i].0 <= now).collect();
            if entries[entry].blocked(&parts, at(now)).is_none() && !up.is_empty() {
                let writes = now + rng.random_range(60..400);
                let run = Running {
                    entry,
                    parts,
                    writes,
                    ends: writes + rng.random_range(100..2000),
                };
                upstreams[up[rng.random_range(0..up.len())]].1.push(run);
            }
        }
        for (index, (back, running)) in upstreams.iter_mut().enumerate() {
            let is_crash = |run: &Running| run.writes == now && run.parts.contains(&part(CRASHING));
            let crashed = running.iter().any(is_crash);
            let (ended, rest): (Vec<_>, Vec<_>) = std::mem::take(running)
                .into_iter()
                .partition(|run| crashed || run.ends <= now);
            *running = rest;
            for run in ended {
                let wrote = now.checked_sub(run.writes).map(|ms| ms * MS);
                let ending = match crashed {
                    true => Ending::of_broken(wrote.filter(|wrote| !wrote.is_zero())),
                    false => Ending::Served,
                };
                let name = upstream(names[index]);
                let reports =
                    entries[run.entry].record(&name, &run.parts, ending, at(now), at(now));
                messages.extend(reports.into_iter().map(|report| (now + 10, report)));
            }
            if crashed {
                crashes += 1;
                lifetimes += 1;
                names[index] = UPSTREAMS as u32 + lifetimes;
                *back = now + 2000;
            }
        }
    }
    (crashes, dispatcher.blocks(at(20_000)))
}

#[test]
fn under_load_few_upstreams_crash_and_no_sound_part_is_blocked() {
    for seed in 0..SEEDS {
        let (crashes, blocked) = play_load(seed);
        assert!(crashes <= 8, "seed {seed}: {crashes}");
        let is_crashing = |report: &Report| matches!(report, Report::Blocked { cause: p, .. } if *p == part(CRASHING));
        assert!(
            blocked.len() == 1 && blocked.iter().all(is_crashing),
            "seed {seed}: {blocked:?}"
        );
    }
}

fn request(number: u32) -> Cause {
    let target = format!("/{number}");
    Cause::Request(id::Content::new("GET", &target, None, None, b""))
}

impl Play {
    /// Records crashed runs of requests on an upstream at the same time.
    fn crash_requests(&mut self, ms: u32, number: u32, requests: &[Vec<Cause>]) {
        self.now = self.start + ms * MS;
        for causes in requests {
            let reports = self.entry.record(
                &upstream(number),
                causes,
                Ending::Crashed,
                self.now,
                self.now,
            );
            for report in reports {
                self.dispatcher.adopt(report, self.now);
            }
        }
    }

    /// Whether the entry refuses a cause, once the dispatcher has decided on all crashes.
    fn is_cause_blocked(&mut self, cause: Cause) -> bool {
        self.is_blocked(0);
        self.entry.blocked(&[cause], self.now).is_some()
    }
}

#[test]
fn request_of_three_crashes_is_blocked_and_what_ran_beside_it_is_not() {
    let mut play = Play::new();
    for number in 0..3 {
        assert!(!play.is_cause_blocked(request(1)));
        let beside = vec![request(10 + number)];
        play.crash_requests(500 * number, number, &[vec![request(1)], beside]);
    }
    assert!(play.is_cause_blocked(request(1)));
    for number in 0..3 {
        assert!(!play.is_cause_blocked(request(10 + number)));
    }
}

#[test]
fn request_with_a_prompt_is_blocked_in_place_of_its_parts() {
    let mut play = Play::new();
    let causes = |own| vec![part(SHARED), part(CRASHING), request(own)];
    for number in 0..3 {
        play.crash_requests(500 * number, number, &[causes(1)]);
    }
    assert!(play.is_cause_blocked(request(1)));
    assert!(!play.is_cause_blocked(part(CRASHING)));
    // If other requests with the part crash upstreams too, it was the part; one may be by chance.
    play.crash_requests(2000, 3, &[causes(2)]);
    assert!(!play.is_cause_blocked(part(CRASHING)));
    play.crash_requests(2500, 4, &[causes(3)]);
    assert!(play.is_cause_blocked(part(CRASHING)));
    assert!(!play.is_cause_blocked(part(SHARED)));
}

#[test]
fn part_that_another_entry_serves_is_not_blocked() {
    let mut play = Play::new();
    let mut other = Table::default();
    for number in 0..3 {
        play.crash_requests(500 * number, number, &[vec![part(SHARED), request(number)]]);
        // The dispatcher tells the other entry, which serves the part all the time.
        for report in play.dispatcher.reports(play.now) {
            other.adopt(report, play.now);
        }
        let at = play.now + 50 * MS;
        let causes = [part(SHARED), request(100 + number)];
        for report in other.record(&upstream(9), &causes, Ending::Served, at, at) {
            play.dispatcher.adopt(report, at);
        }
        assert!(!play.is_cause_blocked(part(SHARED)));
    }
}

#[test]
fn of_two_requests_that_ended_together_each_time_the_next_crash_decides() {
    let mut play = Play::new();
    let both = [vec![request(1)], vec![request(2)]];
    for number in 0..3 {
        play.crash_requests(500 * number, number, &both);
    }
    assert!(!play.is_cause_blocked(request(1)));
    assert!(!play.is_cause_blocked(request(2)));
    play.crash_requests(2000, 3, &both[1..]);
    assert!(play.is_cause_blocked(request(2)));
    assert!(!play.is_cause_blocked(request(1)));
}

#[test]
fn upstream_that_breaks_off_a_request_by_itself_blocks_nothing() {
    let mut play = Play::new();
    for number in 0..6 {
        play.crash_requests(2000 * number, 77, &[vec![request(1)]]);
    }
    assert!(!play.is_cause_blocked(request(1)));
    // One that starts again under its name counts once another has crashed too.
    play.crash_requests(14_000, 78, &[vec![request(1)]]);
    assert!(play.is_cause_blocked(request(1)));
}

/// Plays 20 s of a service with 3 upstreams: 12 sound requests a second, some of them often the same,
/// and 3 a second that crash their upstream after 80 ms, all with the same content. Returns the number
/// of crashes and the causes blocked.
fn play_requests(seed: u64) -> (usize, Vec<Report>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut play = Play::new();
    let mut running: Vec<(u32, u32, u32)> = Vec::new();
    let mut names = [0, 1, 2];
    let mut back = [0; 3];
    let mut crashes = 0;
    for now in 0..20_000 {
        let crashing = rng.random_bool(0.003);
        if crashing || rng.random_bool(0.012) {
            let number = match crashing {
                true => 1,
                false if rng.random_bool(0.3) => 100 + rng.random_range(0..5),
                false => 1000 + now,
            };
            let up: Vec<usize> = (0..3).filter(|i| back[*i] <= now).collect();
            play.now = play.start + now * MS;
            let is_blocked = play.entry.blocked(&[request(number)], play.now).is_some();
            if !up.is_empty() && !is_blocked {
                let index = up[rng.random_range(0..up.len())];
                running.push((index as u32, now + 80, number));
            }
        }
        let ended = |run: &(u32, u32, u32)| run.1 <= now;
        for (index, _, number) in running.extract_if(.., |run| ended(run)).collect::<Vec<_>>() {
            let index = index as usize;
            if back[index] > now {
                continue;
            }
            if number != 1 {
                play.now = play.start + now * MS;
                let name = upstream(names[index]);
                let reports = play.entry.record(
                    &name,
                    &[request(number)],
                    Ending::Served,
                    play.now,
                    play.now,
                );
                for report in reports {
                    play.dispatcher.adopt(report, play.now);
                }
                continue;
            }
            let beside = running.extract_if(.., |run| run.0 as usize == index);
            let mut ended: Vec<_> = beside.map(|run| vec![request(run.2)]).collect();
            ended.push(vec![request(1)]);
            play.crash_requests(now, names[index], &ended);
            names[index] += 3;
            back[index] = now + 3000;
            crashes += 1;
        }
        if now % JUDGING_MS == 0 {
            play.now = play.start + now * MS;
            for news in play.dispatcher.judge(play.now) {
                play.entry.adopt(news, play.now);
            }
        }
    }
    (crashes, play.dispatcher.blocks(play.now))
}

#[test]
fn under_load_a_request_crashes_few_upstreams_and_sound_ones_are_served() {
    for seed in 0..SEEDS {
        let (crashes, blocked) = play_requests(seed);
        assert!(crashes <= 6, "seed {seed}: {crashes}");
        let is_crashing = |report: &Report| matches!(report, Report::Blocked { cause, .. } if *cause == request(1));
        assert!(
            blocked.len() == 1 && blocked.iter().all(is_crashing),
            "seed {seed}: {blocked:?}"
        );
    }
}

/// Number of entries of a [`Crew`].
const CREW: usize = 6;

/// The entries of a fleet and their dispatcher, which tell each other at once.
struct Crew {
    entries: Vec<Table>,
    /// Whether each has a session with the dispatcher.
    in_touch: Vec<bool>,
    dispatcher: Table,
    start: Instant,
    now: Instant,
}

impl Crew {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            entries: vec![Table::default(); CREW],
            in_touch: vec![true; CREW],
            dispatcher: Table::default(),
            start: now,
            now,
        }
    }

    fn at(&mut self, ms: u32) {
        self.now = self.start + ms * MS;
    }

    /// Tells the dispatcher, and the entries what is new to it, until nobody has anything to say.
    fn tell(&mut self, from: usize, reports: Vec<Report>) {
        let mut queue: VecDeque<_> = reports.into_iter().map(|r| (from, r)).collect();
        while let Some((from, report)) = queue.pop_front() {
            if !self.in_touch[from] {
                continue;
            }
            let news = self.dispatcher.adopt(report.clone(), self.now);
            for reply in self.dispatcher.replies(&report, self.now) {
                self.entries[from].adopt(reply, self.now);
            }
            for entry in (0..CREW).filter(|entry| *entry != from) {
                queue.extend(self.hear(entry, &news));
            }
        }
    }

    /// Returns what an entry says to news of the dispatcher.
    fn hear(&mut self, entry: usize, news: &[Report]) -> Vec<(usize, Report)> {
        let mut replies = Vec::new();
        for report in news.iter().filter(|_| self.in_touch[entry]) {
            self.entries[entry].adopt(report.clone(), self.now);
            replies.extend(self.entries[entry].replies(report, self.now));
        }
        replies.into_iter().map(|reply| (entry, reply)).collect()
    }

    fn end(&mut self, entry: usize, number: u32, causes: &[Cause], ending: Ending) {
        let name = upstream(number);
        let reports = self.entries[entry].record(&name, causes, ending, self.now, self.now);
        self.tell(entry, reports);
    }

    fn judge(&mut self) {
        let news = self.dispatcher.judge(self.now);
        for entry in 0..CREW {
            for (entry, reply) in self.hear(entry, &news) {
                self.tell(entry, vec![reply]);
            }
        }
    }

    /// An entry opens a session: the dispatcher tells it what is known, and it tells the dispatcher.
    fn connect(&mut self, entry: usize) {
        self.in_touch[entry] = true;
        let known = self.dispatcher.reports(self.now);
        let replies = self.hear(entry, &known);
        let reports = self.entries[entry].reports(self.now);
        self.tell(entry, reports);
        let replies = replies.into_iter().map(|(_, reply)| reply).collect();
        self.tell(entry, replies);
    }

    /// A new dispatcher takes over, and some entries find it.
    fn take_over(&mut self, entries: &[usize]) {
        self.dispatcher = Table::default();
        self.in_touch = vec![false; CREW];
        entries.iter().for_each(|entry| self.connect(*entry));
    }

    /// Returns the number of entries that refuse a cause.
    fn refusing(&self, cause: Cause) -> usize {
        let is_refusing = |entry: &&Table| entry.blocked(&[cause], self.now).is_some();
        self.entries.iter().filter(is_refusing).count()
    }

    /// Whether an entry lets a request run.
    fn admits(&mut self, entry: usize, causes: &[Cause]) -> bool {
        let seat = Seat {
            number: entry,
            count: CREW,
        };
        let seat = self.in_touch[entry].then_some(seat);
        self.entries[entry].refuse(causes, seat, self.now).is_none()
    }
}

#[test]
fn takeover_keeps_what_was_served_after_crashes() {
    let mut crew = Crew::new();
    crew.in_touch = vec![false; CREW];
    // The entries place alone while the dispatcher is gone.
    for number in 0..3 {
        crew.at(1000 + 500 * number);
        let causes = [part(SHARED), request(number)];
        crew.end(0, number, &causes, Ending::Crashed);
        crew.at(1200 + 500 * number);
        crew.end(1, 9, &[part(SHARED), request(100)], Ending::Served);
    }
    crew.at(2500);
    crew.take_over(&[0, 1, 2, 3, 4, 5]);
    crew.judge();
    assert_eq!(crew.refusing(part(SHARED)), 0);
}

#[test]
fn entry_that_knows_a_blocked_part_as_sound_tells_the_others() {
    let mut crew = Crew::new();
    for number in 0..3 {
        crew.at(500 * number);
        crew.end(0, number, &[part(SHARED), request(number)], Ending::Crashed);
    }
    // One entry serves the part while it has no dispatcher, which blocks the part.
    crew.in_touch[1] = false;
    crew.at(1100);
    crew.judge();
    crew.at(1300);
    crew.end(1, 9, &[part(SHARED), request(100)], Ending::Served);
    crew.at(1400);
    crew.connect(1);
    assert_eq!(crew.refusing(part(SHARED)), 0, "after its session began");
    // A new dispatcher is told of the block by an entry that heard of nothing else.
    let mut crew = Crew::new();
    crew.at(1000);
    for number in 0..40 {
        crew.end(1, 9, &[part(SHARED), request(100 + number)], Ending::Served);
    }
    let block = Report::Blocked {
        cause: part(SHARED),
        age: 500 * MS,
        left: Duration::from_secs(500),
        times: 1,
    };
    crew.entries[0].adopt(block, crew.now);
    crew.take_over(&[1, 0, 2, 3, 4, 5]);
    assert_eq!(crew.refusing(part(SHARED)), 0, "after the takeover");
}

#[test]
fn wrong_block_is_over_within_seconds_also_if_all_entries_started_anew() {
    let mut crew = Crew::new();
    for number in 0..3 {
        crew.at(500 * number);
        crew.end(0, number, &[part(SHARED), request(number)], Ending::Crashed);
    }
    crew.at(1100);
    crew.judge();
    crew.entries = vec![Table::default(); CREW];
    (0..CREW).for_each(|entry| crew.connect(entry));
    assert_eq!(crew.refusing(part(SHARED)), CREW);
    let mut over = None;
    for ms in (1200..61_200).step_by(20) {
        crew.at(ms);
        let entry = ms as usize / 20 % CREW;
        let causes = [part(SHARED), request(ms)];
        if crew.admits(entry, &causes) {
            crew.end(entry, 9, &causes, Ending::Served);
        }
        if crew.refusing(part(SHARED)) == 0 && over.is_none() {
            over = Some(ms - 1100);
        }
    }
    assert!(over.is_some_and(|ms| ms <= 8_000), "{over:?}");
}

#[test]
fn crashes_that_hit_a_part_of_many_requests_by_chance_do_not_block_it() {
    let mut crew = Crew::new();
    for ms in (0..2000).step_by(20) {
        crew.at(ms);
        crew.end(1, 9, &[part(SHARED), request(1000 + ms)], Ending::Served);
    }
    // Three upstreams are killed, within the time in which nothing ends.
    for number in 0..3 {
        crew.at(2000 + 60 * number);
        crew.end(0, number, &[part(SHARED), request(number)], Ending::Crashed);
    }
    crew.at(2300);
    crew.judge();
    assert_eq!(crew.refusing(part(SHARED)), 0);
}

/// Plays ten minutes of requests with a crashing cause, two a second at each entry, of which two place
/// alone for a while; dispatchers and entries change. An upstream
/// crashes 1.5 s after a request began. Returns the crashes after the block. Upstreams start again under
/// `names` names in turn.
fn play_known(seed: u64, names: u32, causes: impl Fn(u32) -> Vec<Cause>) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut crew = Crew::new();
    for number in 0..3 {
        crew.at(500 * number);
        crew.end(0, number, &causes(number), Ending::Crashed);
    }
    crew.at(1100);
    crew.judge();
    let mut crashes = 0;
    let mut running: VecDeque<(u32, usize, Vec<Cause>)> = VecDeque::new();
    for ms in (1200..590_000).step_by(25) {
        crew.at(ms);
        while let Some((_, entry, causes)) = running.pop_front_if(|run| run.0 <= ms) {
            crew.end(entry, ms % names, &causes, Ending::Crashed);
        }
        if ms % 30_000 == 0 {
            crew.take_over(&[0, 1, 2, 3]);
        }
        if ms % 30_000 == 15_000 {
            (0..CREW).for_each(|entry| crew.connect(entry));
            let entry = rng.random_range(0..CREW);
            crew.entries[entry] = Table::default();
            crew.connect(entry);
        }
        if ms % 100 == 0 {
            crew.judge();
        }
        if rng.random_bool(0.3) {
            let entry = rng.random_range(0..CREW);
            if crew.admits(entry, &causes(ms)) {
                crashes += 1;
                running.push_back((ms + 1500, entry, causes(ms)));
            }
        }
    }
    crashes
}

#[test]
fn known_cause_crashes_at_most_three_more_at_any_entry_after_takeovers_and_alone() {
    let mut tried = 0;
    for seed in 0..SEEDS {
        let crashes = play_known(seed, u32::MAX, |ms| vec![part(CRASHING), request(ms)]);
        assert!(crashes <= 3, "seed {seed}: {crashes} with the part");
        let crashes = play_known(seed, u32::MAX, |_| vec![request(1)]);
        assert!(crashes <= 3, "seed {seed}: {crashes} of the request");
        tried += crashes;
    }
    assert!(tried > 0);
}

/// Guards against trials that count no crash of an upstream that starts again under its name.
#[test]
fn known_cause_crashes_an_upstream_that_keeps_its_name_at_most_three_more_times() {
    for seed in 0..SEEDS {
        let crashes = play_known(seed, 1, |ms| vec![part(CRASHING), request(ms)]);
        assert!(crashes <= 3, "seed {seed}: {crashes}");
    }
}

/// Guards against a block that is never tried, because upstreams crashed under what ran when it came.
#[test]
fn wrong_block_is_over_within_seconds_also_if_more_upstreams_crash_as_it_begins() {
    let mut crew = Crew::new();
    for number in 0..3 {
        crew.at(500 * number);
        crew.end(0, number, &[part(SHARED), request(number)], Ending::Crashed);
    }
    crew.at(1100);
    crew.judge();
    for number in 3..6 {
        crew.at(600 * number);
        crew.end(1, number, &[part(SHARED), request(number)], Ending::Crashed);
    }
    let mut over = None;
    for ms in (3020..61_200).step_by(20) {
        crew.at(ms);
        let entry = ms as usize / 20 % CREW;
        let causes = [part(SHARED), request(ms)];
        if crew.admits(entry, &causes) {
            crew.end(entry, 9, &causes, Ending::Served);
        }
        if crew.refusing(part(SHARED)) == 0 && over.is_none() {
            over = Some(ms - 1100);
        }
    }
    assert!(over.is_some_and(|ms| ms <= 12_000), "{over:?}");
}

/// Guards against a part that begins to crash upstreams without an end where there are few of them.
#[test]
fn part_that_was_served_is_blocked_after_six_crashes_of_few_upstreams() {
    let mut crew = Crew::new();
    for number in 0..20 {
        let causes = [part(CRASHING), request(1000 + number)];
        crew.end(1, 9, &causes, Ending::Served);
    }
    for number in 0..6 {
        assert_eq!(crew.refusing(part(CRASHING)), 0, "{number}");
        crew.at(1000 + 1500 * number);
        let causes = [part(CRASHING), request(number)];
        crew.end(0, number % 3, &causes, Ending::Crashed);
        crew.at(1200 + 1500 * number);
        crew.judge();
    }
    assert_eq!(crew.refusing(part(CRASHING)), CREW);
}
