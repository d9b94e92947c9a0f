//! Messages between instances that are cut short, changed or made up: a reader returns an error or a
//! message, and a dispatcher that applies the message goes on.

use std::time::{Duration, Instant};

use async_std::task;
use gooseberrylb_policy::announcement::Announcement;
use gooseberrylb_policy::availability::{Report, Said};
use gooseberrylb_policy::dispatch::{
    Dispatcher, Key, Notice, Outcome, Purpose, Request, Running, Upstream,
};
use gooseberrylb_policy::warm_up::Cold;
use gooseberrylb_wire::codec;
use gooseberrylb_wire::dispatch::{Answer, Question, Reader, append};
use gooseberrylb_wire::message;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRng, TestRunner};

const MS: Duration = Duration::from_millis(1);

fn check<S: Strategy>(cases: u32, strategy: S, property: impl Fn(S::Value)) {
    let config = Config::with_cases(cases);
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&strategy, |value| {
        property(value);
        Ok(())
    });
    result.unwrap_or_else(|failure| panic!("{failure}"));
}

fn key(number: u64) -> Key {
    Key {
        entry: "entry-1".parse().unwrap(),
        incarnation: 1,
        number,
    }
}

fn request(number: u64, times: [Duration; 3]) -> Request {
    Request {
        key: key(number),
        service: "desk".parse().unwrap(),
        route: "r".into(),
        account: None,
        units: 0.0,
        weight: 1.0,
        rank: 0.into(),
        data_centre: "lodi".into(),
        prompt: 100,
        events: 10,
        objective: times[0],
        hold: times[1],
        patience: times[2],
        excluded: Vec::new(),
    }
}

/// Times of any length, such as a peer may send.
fn time() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::MAX),
        any::<u64>().prop_map(Duration::from_secs),
        (0_u64..10_000).prop_map(Duration::from_millis),
    ]
}

fn question() -> impl Strategy<Value = Question> {
    let ask = (any::<u64>(), [time(), time(), time()])
        .prop_map(|(number, times)| Question::Ask(request(number, times), Purpose::Attempt));
    let tell = (any::<u64>(), time(), any::<u64>()).prop_map(|(number, time, prompt)| {
        let run = Running {
            key: key(number),
            service: "desk".parse().unwrap(),
            upstream: "i-1".parse().unwrap(),
            prompt,
            patience: time,
        };
        let served = Outcome::Served {
            first: time,
            rest: time,
            events: prompt,
        };
        let notice = Notice {
            started: vec![run],
            ended: vec![(key(number), served)],
            ..Notice::default()
        };
        Question::Tell { number, notice }
    });
    let announce = (time(), any::<bool>()).prop_map(|(time, leaving)| {
        let report = Report {
            service: "desk".parse().unwrap(),
            upstream: "i-1".parse().unwrap(),
            leaving,
            closed_for: Some(time),
            limit: None,
            tolerance: Some(Said {
                value: Some(3),
                age: time,
            }),
        };
        let cold = Cold {
            service: "desk".parse().unwrap(),
            upstream: "i-1".parse().unwrap(),
            left: time,
        };
        Question::Announce(vec![
            Announcement::Upstream(report),
            Announcement::Cold(cold),
        ])
    });
    prop_oneof![ask, tell, announce]
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Vec<T> {
    let mut reader = Reader::new(bytes);
    let next = || task::block_on(reader.next()).ok().flatten();
    std::iter::from_fn(next).collect()
}

/// Found by this test: a time of a peer that exceeds the clock's range ended the dispatcher's process.
#[test]
fn dispatcher_goes_on_after_any_message_that_can_be_read() {
    let changes = vec((any::<prop::sample::Index>(), any::<u8>()), 0..3);
    let cases = (vec(question(), 1..6), changes);
    check(2_000, cases, |(questions, changes)| {
        let mut bytes = Vec::new();
        for question in &questions {
            append(question, &mut bytes).unwrap();
        }
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new();
        let upstream = Upstream {
            name: "i-1".parse().unwrap(),
            service: "desk".parse().unwrap(),
            release: "v1".into(),
            data_centre: "lodi".into(),
            slots: 1,
            limit_part: 1.0,
        };
        dispatcher.set_upstreams([upstream], now);
        for (step, question) in decode::<Question>(&bytes).into_iter().enumerate() {
            let now = now + step as u32 * 100 * MS;
            match question {
                Question::Ask(request, Purpose::Attempt) => {
                    dispatcher.place(request, now);
                }
                Question::Ask(request, Purpose::Copy) => {
                    dispatcher.place_copy(request, now);
                }
                Question::Offer(request) => {
                    dispatcher.place_offered(request, now);
                }
                Question::Tell { notice, .. } => dispatcher.apply(notice, now),
                Question::Summarize(summary) => {
                    dispatcher.adopt_summary(&"keeper-1".parse().unwrap(), summary, now);
                }
                Question::Announce(news) => {
                    dispatcher.announce(news, now);
                }
            }
            dispatcher.poll(now);
            dispatcher.announcements(now);
        }
    });
}

#[test]
fn made_up_bytes_are_errors_or_messages() {
    check(3_000, vec(any::<u8>(), 0..200), |bytes| {
        decode::<Question>(&bytes);
        decode::<Answer>(&bytes);
        codec::decode::<message::Report>(&bytes).ok();
        codec::decode::<message::Update>(&bytes).ok();
        codec::decode::<message::Batch>(&bytes).ok();
        let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
        framed.extend(bytes);
        decode::<Question>(&framed);
        decode::<Answer>(&framed);
    });
}
