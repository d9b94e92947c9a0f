//! Core of a voter without a network, for tests: its time is set, and its journal writes nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant, SystemTime};

use gooseberrylb_config::clock::Clock;
use gooseberrylb_config::directory::Instance;
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use gooseberrylb_config::settings::Settings;
use gooseberrylb_control::consensus::{self, Body, Input, Message, Node, Persisted};
use gooseberrylb_control::entry::{Entry, Payload};
use gooseberrylb_control::membership::{Cluster, Folder, Membership};
use gooseberrylb_wire::handshake::Key;

use super::core::{Core, Parts};
use super::disk::Job;
use super::{Identity, Shared};
use crate::published::Published;

const SETTINGS: &str = r#"{ "name": "a", "data_centre": "lodi", "region": "padana", "callers": "127.0.0.1:9",
    "operators": "127.0.0.1:10", "peers_listen": "127.0.0.1:11", "cluster_key_file": "key",
    "operator_token_file": "token" }"#;

/// Time that the test sets.
pub struct SetTime(Mutex<Instant>);

impl Clock for SetTime {
    fn now(&self) -> Instant {
        *self.0.lock().unwrap()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

pub fn name(text: &str) -> id::Instance {
    id::Instance::new(text).unwrap()
}

fn instance() -> Instance {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Instance {
        data_centre: id::DataCentre::new("lodi").unwrap(),
        region: id::Region::new("padana").unwrap(),
        callers: address,
        operators: address,
        peers: address,
        leaving: false,
        entry: true,
    }
}

/// Voter `a`, with its journal.
pub struct Voter {
    pub core: Rc<Core>,
    pub clock: Arc<SetTime>,
    jobs: mpsc::Receiver<Job>,
}

impl Voter {
    /// Creates voter `a` of a cluster with the given voters.
    pub fn new(voters: &[&str]) -> Self {
        let names: Vec<_> = voters.iter().map(|voter| name(voter)).collect();
        let membership = Membership {
            voters: names.iter().cloned().zip((1..).map(Folder)).collect(),
            learners: BTreeMap::new(),
        };
        let founding = Entry {
            index: Index(1),
            term: Term(1),
            payload: Payload::Membership(membership),
        };
        let persisted = Persisted {
            cluster: Some(Cluster(77)),
            term: Term(1),
            entries: vec![founding],
            ..Persisted::default()
        };
        let identity = consensus::Identity {
            instance: name("a"),
            folder: Folder(1),
            founders: names,
            first_start: false,
            seed: 1,
        };
        let clock = Arc::new(SetTime(Mutex::new(Instant::now())));
        let node = Node::new(identity, persisted, clock.now());
        let (jobs, written) = mpsc::channel();
        let core = Core::new(Parts {
            settings: Arc::new(Settings::parse(SETTINGS).unwrap()),
            identity: Identity {
                name: name("a"),
                incarnation: 1,
                instance: instance(),
                key: Key::new(b"secret"),
            },
            clock: clock.clone(),
            traffic: async_channel::unbounded().0,
            shared: Arc::new(Shared::default()),
            published: Published::new(),
            dialect: None,
            voter: Some((node, 1, jobs)),
        });
        Self {
            core,
            clock,
            jobs: written,
        }
    }

    /// Lets time pass.
    pub fn wait(&self, time: Duration) {
        *self.clock.0.lock().unwrap() += time;
        self.core.step(Input::Tick);
        self.sync();
    }

    /// Reports all batches as synced.
    fn sync(&self) {
        while let Ok(job) = self.jobs.try_recv() {
            self.core.step(Input::Synced(job.sequence));
        }
    }

    /// Receives an answer of voter `b`.
    fn receive(&self, body: Body) {
        let message = Message {
            cluster: Some(Cluster(77)),
            folder: Folder(2),
            addressee: None,
            term: Term(2),
            body,
        };
        let from = name("b");
        self.core.step(Input::Receive { from, message });
        self.sync();
    }

    /// Makes the voter the leader, with the vote of `b` if there is one.
    pub fn lead(&self) {
        self.wait(Duration::from_secs(2));
        self.receive(Body::PreVoteAnswer { granted: true });
        self.receive(Body::VoteAnswer { granted: true });
        self.receive(Body::AppendAnswer {
            round: 1,
            matched: Index(2),
            received: Index(2),
            conflict: None,
        });
        assert!(self.core.is_leading());
    }
}
