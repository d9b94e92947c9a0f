//! Records traces in the shapes of the two firms' workloads, drawn from a fixed seed. The files in
//! `traces/` were recorded by this code, and stay as they are when it changes.

use std::time::Duration;

use gooseberrylb_config::id;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::trace::{Account, Engine, Entry, Route, Slowdown, Trace};
use crate::engine::model::Profile;

/// How long requests come.
const DURATION: Duration = Duration::from_secs(120);

/// How far the rate of arrivals rises or falls against its mean over a trace.
const SWELL: f64 = 0.2;

/// The part of the tokens allowed that the shortest answers use.
const SHORTEST_ANSWER: f64 = 0.6;

/// How far a prompt's length lies from its kind's at most.
const PROMPT_SPREAD: f64 = 0.25;

/// What the requests of a route are like.
struct Kind {
    name: &'static str,
    tier: u8,
    repeatable: bool,
    timeout_ms: u64,
    /// The requests a second.
    rate: f64,
    prompt: u64,
    shared: u64,
    max_tokens: u64,
}

/// A generation of engines.
struct Generation {
    count: usize,
    profile: Profile,
}

/// The shape of a firm's workload.
struct Shape {
    name: &'static str,
    service: &'static str,
    region: &'static str,
    data_centres: [&'static str; 3],
    accounts: [(&'static str, u32, f64); 5],
    kinds: Vec<Kind>,
    families: u64,
    generations: Vec<Generation>,
    slowdowns: Vec<Slowdown>,
}

/// Records the burst before dawn at Orsenigo: one-line readings beside plans a hundred times longer.
pub fn orsenigo_dawn(seed: u64) -> Result<Trace, id::Error> {
    record(
        Shape {
            name: "orsenigo-dawn",
            service: "agronomo",
            region: "padana",
            data_centres: ["cremona", "lodi", "mantova"],
            accounts: [
                ("consorzio-cremona", 2, 0.40),
                ("consorzio-lodi", 2, 0.30),
                ("cascina-rossi", 1, 0.15),
                ("cascina-bianchi", 1, 0.10),
                ("tecnici", 1, 0.05),
            ],
            kinds: vec![
                Kind {
                    name: "plan",
                    tier: 1,
                    repeatable: false,
                    timeout_ms: 60_000,
                    rate: 5.6,
                    prompt: 2_400,
                    shared: 512,
                    max_tokens: 400,
                },
                Kind {
                    name: "diagnosis",
                    tier: 2,
                    repeatable: false,
                    timeout_ms: 20_000,
                    rate: 22.4,
                    prompt: 600,
                    shared: 256,
                    max_tokens: 120,
                },
                Kind {
                    name: "summary",
                    tier: 3,
                    repeatable: true,
                    timeout_ms: 15_000,
                    rate: 42.0,
                    prompt: 300,
                    shared: 128,
                    max_tokens: 60,
                },
                Kind {
                    name: "reading",
                    tier: 4,
                    repeatable: true,
                    timeout_ms: 5_000,
                    rate: 70.0,
                    prompt: 24,
                    shared: 0,
                    max_tokens: 6,
                },
            ],
            families: 8,
            generations: vec![
                generation(5, 1_500.0, 22.0, 8),
                generation(4, 2_500.0, 30.0, 8),
                generation(3, 4_000.0, 45.0, 16),
            ],
            slowdowns: vec![Slowdown {
                engine: 10,
                from_ms: 40_000,
                to_ms: 80_000,
                factor: 3.0,
            }],
        },
        seed,
    )
}

/// Records the launch of a collection at Ben Ammar: long dossiers with shared beginnings.
pub fn benammar_launch(seed: u64) -> Result<Trace, id::Error> {
    record(
        Shape {
            name: "benammar-launch",
            service: "vernis-model",
            region: "sfax",
            data_centres: ["sfax-a", "sfax-b", "sfax-c"],
            accounts: [
                ("maison-aurore", 2, 0.35),
                ("atelier-nacre", 2, 0.30),
                ("studio-laque", 1, 0.20),
                ("vernis-sud", 1, 0.10),
                ("comptoir", 1, 0.05),
            ],
            kinds: vec![
                Kind {
                    name: "dossier",
                    tier: 1,
                    repeatable: false,
                    timeout_ms: 90_000,
                    rate: 8.5,
                    prompt: 4_096,
                    shared: 2_560,
                    max_tokens: 320,
                },
                Kind {
                    name: "sheet",
                    tier: 2,
                    repeatable: false,
                    timeout_ms: 45_000,
                    rate: 23.8,
                    prompt: 1_792,
                    shared: 1_280,
                    max_tokens: 160,
                },
                Kind {
                    name: "label",
                    tier: 3,
                    repeatable: true,
                    timeout_ms: 20_000,
                    rate: 57.8,
                    prompt: 384,
                    shared: 256,
                    max_tokens: 48,
                },
                Kind {
                    name: "status",
                    tier: 4,
                    repeatable: true,
                    timeout_ms: 5_000,
                    rate: 51.0,
                    prompt: 32,
                    shared: 0,
                    max_tokens: 8,
                },
            ],
            families: 24,
            generations: vec![
                generation(8, 1_800.0, 22.0, 8),
                generation(6, 2_800.0, 30.0, 8),
                generation(4, 4_500.0, 45.0, 16),
            ],
            slowdowns: vec![Slowdown {
                engine: 15,
                from_ms: 40_000,
                to_ms: 80_000,
                factor: 3.0,
            }],
        },
        seed,
    )
}

fn generation(count: usize, prefill_rate: f64, decode_rate: f64, slots: u32) -> Generation {
    Generation {
        count,
        profile: Profile {
            prefill_rate,
            decode_rate,
            slots,
            cache_blocks: 1_024,
            ..Profile::default()
        },
    }
}

fn record(shape: Shape, seed: u64) -> Result<Trace, id::Error> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let profiles = shape
        .generations
        .iter()
        .flat_map(|g| vec![g.profile; g.count]);
    let engines = profiles.enumerate().map(|(i, profile)| {
        Ok(Engine {
            name: format!("{}-{:02}", shape.service, i + 1).parse()?,
            data_centre: shape.data_centres[i % shape.data_centres.len()].parse()?,
            profile,
        })
    });
    let accounts = shape.accounts.iter().map(|(name, share, _)| {
        Ok(Account {
            name: name.parse()?,
            share: *share,
        })
    });
    let routes = shape.kinds.iter().map(|kind| {
        Ok(Route {
            name: kind.name.parse()?,
            tier: kind.tier,
            repeatable: kind.repeatable,
            timeout_ms: kind.timeout_ms,
        })
    });
    Ok(Trace {
        name: shape.name.into(),
        service: shape.service.parse()?,
        version: format!("{}@1", shape.service).parse()?,
        region: shape.region.parse()?,
        instances: ["entry-1", "entry-2", "entry-3"]
            .iter()
            .map(|name| name.parse())
            .collect::<Result<_, id::Error>>()?,
        accounts: accounts.collect::<Result<_, id::Error>>()?,
        engines: engines.collect::<Result<_, id::Error>>()?,
        routes: routes.collect::<Result<_, id::Error>>()?,
        requests: requests(&shape, &mut rng),
        slowdowns: shape.slowdowns,
    })
}

fn requests(shape: &Shape, rng: &mut ChaCha8Rng) -> Vec<Entry> {
    let rate: f64 = shape.kinds.iter().map(|kind| kind.rate).sum();
    let end = DURATION.as_secs_f64();
    let mut entries = Vec::new();
    let mut now = 0.0;
    loop {
        // The rate swells to the middle of the trace and ebbs again.
        let swell = 1.0 + SWELL * (1.0 - 4.0 * (now / end - 0.5).abs());
        now += -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / (rate * swell);
        if now >= end {
            return entries;
        }
        let route = pick(rng, shape.kinds.iter().map(|kind| kind.rate));
        let account = pick(rng, shape.accounts.iter().map(|(_, _, part)| *part));
        entries.push(entry(shape, rng, now, account, route));
    }
}

fn entry(shape: &Shape, rng: &mut ChaCha8Rng, now: f64, account: usize, route: usize) -> Entry {
    let kind = &shape.kinds[route];
    let spread = 1.0 + PROMPT_SPREAD * (2.0 * rng.random::<f64>() - 1.0);
    let prompt = (kind.prompt as f64 * spread) as u64;
    let used = SHORTEST_ANSWER + (1.0 - SHORTEST_ANSWER) * rng.random::<f64>();
    Entry {
        at_ms: (now * 1000.0) as u64,
        account,
        route,
        prompt,
        // Routes share no beginnings with each other.
        family: rng.random_range(0..shape.families) * shape.kinds.len() as u64 + route as u64,
        shared: kind.shared.min(prompt),
        max_tokens: kind.max_tokens,
        output: ((kind.max_tokens as f64 * used) as u64).max(1),
    }
}

/// Picks a position with the given weights.
fn pick(rng: &mut ChaCha8Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = rng.random::<f64>() * weights.clone().sum::<f64>();
    let mut last = 0;
    for (i, weight) in weights.enumerate() {
        last = i;
        if left < weight {
            break;
        }
        left -= weight;
    }
    last
}
