use std::rc::Rc;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use gooseberrylb_config::id;
use gooseberrylb_policy::dispatch::{Key, Purpose, Rank, Request};
use gooseberrylb_wire::dispatch::{Question, append};
use gooseberrylb_wire::handshake::Greeting;
use gooseberrylb_wire::plane::Kind;

use super::serve;
use crate::control::core::Core;
use crate::control::fixture::{Voter, name};
use crate::control::peers::Accepted;
use crate::metrics::METRICS;

/// Number of entries, and of the questions that each of them has sent at once.
const ENTRIES: usize = 4;
const QUESTIONS: u64 = 1_000;

/// Maximum number of questions that are answered between two pauses, and between two turns of another
/// task that is always ready.
const MAX_ANSWERED_AT_ONCE: u64 = 300;

fn request(entry: &id::Instance, number: u64) -> Request {
    Request {
        key: Key {
            entry: entry.clone(),
            incarnation: 1,
            number,
        },
        service: id::Service::new("desk").unwrap(),
        route: "plain".into(),
        account: None,
        weight: 1.0,
        units: 0.0,
        rank: Rank::default(),
        data_centre: "lodi".into(),
        prompt: 0,
        events: 0,
        objective: Duration::from_secs(1),
        hold: Duration::from_secs(1),
        patience: Duration::from_secs(1),
        excluded: Vec::new(),
    }
}

/// Opens a session of an entry whose questions have all been sent.
async fn open(core: &Rc<Core>, entry: &str) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut client = TcpStream::connect(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let entry = name(entry);
    let mut bytes = Vec::new();
    for number in 0..QUESTIONS {
        let question = Question::Ask(request(&entry, number), Purpose::Attempt);
        append(&question, &mut bytes).unwrap();
    }
    client.write_all(&bytes).await.unwrap();
    let greeting = Greeting {
        instance: entry,
        incarnation: 1,
        plane: Kind::Dispatch,
    };
    let accepted = Accepted { stream, greeting };
    task::spawn_local(serve(core.clone(), accepted));
    client
}

#[test]
fn backlog_of_questions_does_not_hold_up_other_tasks_of_the_leader() {
    let voter = Voter::new(&["a"]);
    voter.lead();
    let answered = || METRICS.decisions.with_label_values(&["refused"]).get();
    let pauses = || METRICS.session_pauses.get();
    task::block_on(async {
        let mut clients = Vec::new();
        for entry in 0..ENTRIES {
            clients.push(open(&voter.core, &format!("entry-{entry}")).await);
        }
        let all = QUESTIONS * ENTRIES as u64;
        // A task like those of the leader: the executor runs the main future by other rules.
        let other = task::spawn_local(async move {
            let (mut last, mut most) = (answered(), 0);
            let (mut paused, mut paused_at, mut most_unpaused) = (pauses(), last, 0);
            while answered() < all {
                task::yield_now().await;
                most = most.max(answered() - last);
                last = answered();
                most_unpaused = most_unpaused.max(last - paused_at);
                if pauses() != paused {
                    (paused, paused_at) = (pauses(), last);
                }
            }
            (most, most_unpaused)
        });
        let (most, most_unpaused) = other.await;
        assert!(most <= MAX_ANSWERED_AT_ONCE, "{most} at once");
        assert!(
            most_unpaused <= MAX_ANSWERED_AT_ONCE,
            "{most_unpaused} without a pause"
        );
    });
}
