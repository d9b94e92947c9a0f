//! Benchmark of the control state as the number of notes, instances and counted labels grows.
//!
//! Prints one line of comma-separated values per size; the results are in `docs/CAPACITY.md`.
//!
//! Run with `cargo run --release -p gooseberrylb_control --example state_slopes`.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gooseberrylb_config::note::Note;
use gooseberrylb_config::number::{Index, Tier};
use gooseberrylb_config::{directory, id};
use gooseberrylb_control::state::{Command, Counts, Label, Reply, State, Tally};
use gooseberrylb_policy::request::Outcome;

/// Number of client accounts.
const ACCOUNTS: usize = 460;
/// Number of rows per tally.
const ROWS: usize = 50;
/// Number of tallies merged per measurement.
const TALLIES: usize = 2_000;

/// State with the index of its last applied entry.
struct Harness {
    state: State,
    index: Index,
}

impl Harness {
    fn apply(&mut self, command: &Command) -> Reply {
        self.index = self.index.next();
        self.state.apply(self.index, command)
    }
}

fn at(seconds: usize) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_790_000_000 + seconds as u64)
}

fn name<T: std::str::FromStr<Err = id::Error>>(text: String) -> T {
    text.parse().expect("the text is a name")
}

/// Returns a note that adds one service with one upstream and one version.
fn note(n: usize) -> Command {
    let (high, low) = (n / 250, n % 250 + 1);
    let text = format!(
        r#"{{ "note": {n}, "author": "a", "added": {{
        "services": [{{ "name": "s{n}", "kind": "plain",
            "routes": [{{ "name": "r", "tier": 1, "repeatable": true }}] }}],
        "upstreams": [{{ "name": "u{n}", "service": "s{n}", "kind": "plain",
            "address": "127.1.{high}.{low}:9000", "data_centre": "d", "slots": 4 }}],
        "versions": [{{ "name": "v{n}", "service": "s{n}", "upstreams": ["u{n}"] }}] }} }}"#
    );
    let note = Note::parse(&text).unwrap_or_else(|findings| panic!("{findings}"));
    Command::Submit {
        note: Box::new(note),
        via: name("i1".to_owned()),
        at: at(n),
    }
}

fn join(n: usize) -> Command {
    let address = "127.0.0.1:7000".parse().expect("the text is an address");
    let instance = directory::Instance {
        data_centre: name("d".to_owned()),
        region: name("r".to_owned()),
        callers: address,
        operators: address,
        peers: address,
        leaving: false,
        entry: true,
    };
    Command::Join {
        name: name(format!("i{n}")),
        instance,
        incarnation: 1,
        at: at(0),
    }
}

fn tally(n: usize, instances: usize) -> Command {
    let rows = (0..ROWS).map(|row| {
        let label = Label {
            account: name(format!("a{}", (n * ROWS + row) % ACCOUNTS)),
            tier: Tier((row % 4) as u8 + 1),
            service: name(format!("s{}", row % 6)),
            version: Some(name(format!("v{}", row % 6))),
            outcome: Outcome::Served,
            refused: false,
        };
        let counts = Counts {
            requests: 3,
            prompt_tokens: 3_000,
            output_tokens: 900,
            wasted_tokens: 0,
        };
        (label, counts)
    });
    let round = n / instances;
    Command::Tally(Tally {
        instance: name(format!("i{}", n % instances)),
        incarnation: 1,
        number: round as u64 + 1,
        from: at(round * 2),
        to: at(round * 2 + 2),
        last: false,
        rows: rows.collect(),
    })
}

/// Applies the commands and returns the mean time per command in microseconds.
fn apply(harness: &mut Harness, commands: &[Command]) -> f64 {
    let started = Instant::now();
    for command in commands {
        let reply = harness.apply(command);
        assert!(
            !matches!(reply, Reply::Invalid(_) | Reply::Stale),
            "{reply:?}"
        );
    }
    started.elapsed().as_secs_f64() * 1e6 / commands.len() as f64
}

/// Measures one size and prints its line.
fn measure(notes: usize, instances: usize) {
    let mut harness = Harness {
        state: State::new(),
        index: Index(0),
    };
    let joins: Vec<Command> = (0..instances).map(join).collect();
    apply(&mut harness, &joins);
    let submits: Vec<Command> = (1..=notes).map(note).collect();
    let note_us = apply(&mut harness, &submits);
    let tallies: Vec<Command> = (0..TALLIES).map(|n| tally(n, instances)).collect();
    let tally_us = apply(&mut harness, &tallies);
    let tally_bytes = tallies[0].encode().len();
    let started = Instant::now();
    let bytes: Arc<[u8]> = Arc::from(harness.state.encode());
    let encode_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    let decoded = State::decode(&bytes).expect("the state was just encoded");
    let decode_ms = started.elapsed().as_secs_f64() * 1e3;
    assert_eq!(decoded, harness.state);
    println!(
        "{notes},{instances},{},{note_us:.1},{tally_us:.1},{tally_bytes},{encode_ms:.1},{decode_ms:.1}",
        bytes.len()
    );
}

fn main() {
    println!("notes,instances,snapshot_bytes,note_us,tally_us,tally_bytes,encode_ms,decode_ms");
    for notes in [10, 100, 500, 1_000, 2_000] {
        measure(notes, 7);
    }
    for instances in [7, 40, 340] {
        measure(100, instances);
    }
}
