//! Measures the cost of a dispatcher's decisions under overload.
//!
//! Run with `cargo run --release -p gooseberrylb_policy --example dispatch`. The arguments are the
//! number of upstreams, and the number of requests that arrive for each that ends.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Rank, Request, Upstream,
};

const SLOTS: u32 = 5;
const ROUNDS: u64 = 100_000;
/// Time that a request runs on its upstream.
const RUN_TIME: Duration = Duration::from_millis(800);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default| {
        let text = arguments.next();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (upstreams, arrivals): (u32, u64) = (number(60), number(2).into());
    let start = Instant::now();
    let mut now = start;
    let mut dispatcher = Dispatcher::new();
    let all = (0..upstreams).map(|i| Upstream {
        name: format!("i-{i:08x}").parse().expect("a name"),
        service: "vernis".parse().expect("a name"),
        release: "v1".into(),
        data_centre: format!("zone-{}", i % 4).into(),
        slots: SLOTS,
        limit_part: 1.0,
    });
    dispatcher.set_upstreams(all, now);
    let mut running: VecDeque<Key> = VecDeque::new();
    let (mut arrived, mut refused, mut granted) = (0, 0, 0);
    let step = RUN_TIME / (upstreams * SLOTS);
    let began = Instant::now();
    for _ in 0..ROUNDS {
        now += step;
        for _ in 0..arrivals {
            arrived += 1;
            match dispatcher.place(request(arrived), now) {
                Decision::Grant(_) => running.push_back(key(arrived)),
                Decision::Refuse(..) => refused += 1,
                Decision::Wait | Decision::Unknown => {}
            }
        }
        if running.len() as u32 >= upstreams * SLOTS
            && let Some(key) = running.pop_front()
        {
            let outcome = Outcome::Served {
                first: Duration::from_millis(60),
                rest: RUN_TIME,
                events: 20,
            };
            let notice = Notice {
                ended: vec![(key, outcome)],
                ..Notice::default()
            };
            dispatcher.apply(notice, now);
        }
        for (key, decision) in dispatcher.poll(now) {
            match decision {
                Decision::Grant(_) => {
                    granted += 1;
                    running.push_back(key);
                }
                Decision::Refuse(..) => refused += 1,
                Decision::Wait | Decision::Unknown => {}
            }
        }
    }
    let (waiting, _) = dispatcher.load();
    println!(
        "{upstreams} upstreams, {arrivals} requests for each that ends: {:.1} µs a request, \
         {granted} granted after a wait, {refused} refused, {waiting} waiting at the end",
        began.elapsed().as_secs_f64() * 1e6 / arrived as f64,
    );
}

fn key(number: u64) -> Key {
    Key {
        entry: "10.1.0.14".parse().expect("a name"),
        incarnation: 1,
        number,
    }
}

fn request(number: u64) -> Request {
    Request {
        key: key(number),
        service: "vernis".parse().expect("a name"),
        route: "plan".into(),
        account: None,
        units: 0.0,
        weight: 1.0,
        rank: Rank::from((number % 3) as u8),
        data_centre: format!("zone-{}", number % 4).into(),
        prompt: 2_000,
        events: 30,
        objective: Duration::from_millis(800 + 300 * (number % 3)),
        hold: Duration::from_millis(2_000),
        patience: Duration::from_secs(10),
        excluded: Vec::new(),
    }
}
