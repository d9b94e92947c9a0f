//! Test harness that applies commands to a state, and the notes that the tests submit.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gooseberrylb_config::answer::report::Filter;
use gooseberrylb_config::directory::{Cell, Instance, Share, View};
use gooseberrylb_config::note::Note;
use gooseberrylb_config::number::{self, Index};
use gooseberrylb_control::state::{Command, Counts, Label, Reply, State, Tally};
use gooseberrylb_policy::moves::{Phase, Step};
use gooseberrylb_policy::request::Outcome;

/// Note that adds a service with one upstream and version `v1`.
pub const BASE: &str = r#"{ "note": 1, "author": "rossi", "added": {
    "services": [{ "name": "s", "kind": "engine", "routes": [
        { "name": "r", "tier": 1, "repeatable": true }] }],
    "upstreams": [{ "name": "u1", "service": "s", "kind": "engine", "address": "127.0.0.1:1",
        "data_centre": "d", "slots": 1 }],
    "versions": [{ "name": "v1", "service": "s", "upstreams": ["u1"] }] } }"#;

/// Note that adds version `v2`, which replaces `v1`.
pub const MOVE: &str = r#"{ "note": 2, "author": "rossi", "added": { "versions": [
    { "name": "v2", "service": "s", "upstreams": ["u1"], "replaces": "v1",
      "move_by": "2030-01-01T00:00:00Z" }] } }"#;

/// Length of a minute in seconds.
pub const MINUTE: u64 = 60;

/// Returns the time that is `seconds` after the start of the test, a whole minute.
pub fn at(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_790_000_000 / MINUTE * MINUTE + seconds)
}

/// State with the index of its last applied entry.
#[derive(Default, Clone)]
pub struct Harness {
    pub state: State,
    pub index: Index,
}

impl Harness {
    /// Applies a command as the next entry, after encoding and decoding it.
    pub fn apply(&mut self, command: Command) -> Reply {
        self.index = self.index.next();
        let command = Command::decode(&command.encode()).unwrap();
        self.state.apply(self.index, &command)
    }

    pub fn submit(&mut self, text: &str) -> Reply {
        let note = Box::new(Note::parse(text).unwrap_or_else(|f| panic!("{f}")));
        let via = "i1".parse().unwrap();
        let at = at(self.index.0);
        self.apply(Command::Submit { note, via, at })
    }

    /// Takes a step of the move to `v2`.
    pub fn step(&mut self, number: u32, phase: Phase, share: u16) -> Reply {
        self.apply(Command::Step(Step {
            version: "v2".parse().unwrap(),
            number,
            phase,
            share: Share(share),
            reason: Arc::from("because"),
            at: at(self.index.0),
        }))
    }

    pub fn join(&mut self, incarnation: u64, seconds: u64) -> Reply {
        let address = "127.0.0.1:7001".parse().unwrap();
        let instance = Instance {
            data_centre: "d".parse().unwrap(),
            region: "r".parse().unwrap(),
            callers: address,
            operators: address,
            peers: address,
            leaving: false,
            entry: true,
        };
        self.apply(Command::Join {
            name: "i1".parse().unwrap(),
            instance,
            incarnation,
            at: at(seconds),
        })
    }

    pub fn leave(&mut self, incarnation: u64, draining: bool, seconds: u64) -> Reply {
        self.apply(Command::Leave {
            name: "i1".parse().unwrap(),
            incarnation,
            draining,
            cause: Arc::from("silent"),
            at: at(seconds),
        })
    }

    /// Merges a tally with one served request over `window`, in seconds.
    pub fn tally(
        &mut self,
        incarnation: u64,
        number: u64,
        window: (u64, u64),
        last: bool,
    ) -> Reply {
        let label = Label {
            account: "a".parse().unwrap(),
            tier: number::Tier(1),
            service: "s".parse().unwrap(),
            version: None,
            outcome: Outcome::Served,
            refused: false,
        };
        let counts = Counts {
            requests: 1,
            ..Counts::default()
        };
        self.apply(Command::Tally(Tally {
            instance: "i1".parse().unwrap(),
            incarnation,
            number,
            from: at(window.0),
            to: at(window.1),
            last,
            rows: vec![(label, counts)],
        }))
    }

    /// Installs a view of [`cell`].
    pub fn view(&mut self, number: u64) -> Reply {
        let view = View::new(number::View(number), "i1".parse().unwrap(), Vec::new());
        let cause = Arc::from("because");
        let at = at(self.index.0);
        let cell = cell();
        self.apply(Command::View {
            cell,
            view,
            cause,
            at,
        })
    }

    pub fn share(&self, version: &str) -> Share {
        self.state.directory().share(&version.parse().unwrap())
    }

    /// Returns the number of served requests in the report.
    pub fn served(&self) -> u64 {
        let report = self.state.report(&Filter::new(at(0), at(100_000)));
        report.rows.iter().map(|row| row.served).sum()
    }

    /// Returns the bounds of the gaps in the report, in seconds since the start of the test.
    pub fn gaps(&self) -> Vec<(u64, Option<u64>)> {
        let since = |time: SystemTime| time.duration_since(at(0)).unwrap().as_secs();
        let report = self.state.report(&Filter::new(at(0), at(100_000)));
        let bounds =
            |gap: &gooseberrylb_config::answer::report::Gap| (since(gap.from), gap.to.map(since));
        report.gaps.iter().map(bounds).collect()
    }
}

pub fn cell() -> Cell {
    Cell {
        service: "s".parse().unwrap(),
        region: "r".parse().unwrap(),
    }
}

/// Returns a harness whose state has accepted [`BASE`] and [`MOVE`].
pub fn with_move() -> Harness {
    let mut harness = Harness::default();
    assert!(matches!(harness.submit(BASE), Reply::Accepted(_)));
    assert!(matches!(harness.submit(MOVE), Reply::Accepted(_)));
    harness
}
