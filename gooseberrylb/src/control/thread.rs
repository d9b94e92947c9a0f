//! Starts the control thread, runs its tasks, and forwards requests of other threads to the leader.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_channel::Receiver;
use async_std::net::TcpListener;
use async_std::{future, task};
use gooseberrylb_config::dialect::Dialect;
use gooseberrylb_config::settings::timing;
use gooseberrylb_control::consensus::{self, Input, Node};
use gooseberrylb_control::state::Reply;
use gooseberrylb_policy::moves::evidence::Report;
use gooseberrylb_wire::codec;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::core::{Core, Parts};
use super::disk::{self, Completion};
use super::{
    Answer, Failure, Question, Request, Start, dispatch, follow, lead, list, peers, query, rollout,
};
use crate::gateway;
use crate::metrics::METRICS;

/// Interval between two ticks of the consensus node.
const TICK: Duration = Duration::from_millis(50);

/// Lateness of a tick from which on it is logged: a follower waits little longer for an answer.
const REPORTED_LAG: Duration = Duration::from_millis(250);

/// Maximum number of requests of other threads processed at once; further requests wait.
const MAX_CONCURRENT_REQUESTS: usize = 256;

/// Starts the control thread, which runs until the process ends.
pub fn spawn(start: Start) -> io::Result<thread::JoinHandle<()>> {
    thread::Builder::new()
        .name("control".into())
        .spawn(move || task::block_on(run(start)))
}

async fn run(mut start: Start) {
    let (listener, requests) = (start.listener.try_clone(), start.requests.clone());
    let gateway = start.gateway.take();
    let (core, completions) = match build_core(start, gateway.as_ref().map(|g| g.dialect.clone())) {
        Ok(built) => built,
        Err(error) => {
            log::error!("cannot start the journal thread: {error}");
            return;
        }
    };
    match listener {
        Ok(listener) => {
            task::spawn_local(peers::accept(core.clone(), TcpListener::from(listener)));
        }
        Err(error) => log::error!("cannot use the listener for other instances: {error}"),
    }
    task::spawn_local(follow::run(core.clone()));
    task::spawn_local(lead::run(core.clone()));
    task::spawn_local(serve_requests(core.clone(), requests));
    if let Some(completions) = completions {
        task::spawn_local(report_syncs(core.clone(), completions));
    }
    if let Some(gateway) = gateway {
        task::spawn_local(dispatch::run(core.clone()));
        if core.folder.is_some() {
            task::spawn_local(dispatch::report(core.clone()));
        }
        task::spawn_local(list::run(core.clone()));
        task::spawn_local(rollout::run(core.clone()));
        gateway::start(core.clone(), gateway);
    }
    run_ticks(core).await;
}

/// Returns the state of the control thread and, if there is a journal, the journal's completions.
fn build_core(
    start: Start,
    dialect: Option<Arc<dyn Dialect>>,
) -> io::Result<(Rc<Core>, Option<Receiver<Completion>>)> {
    let mut voter = None;
    let mut completions = None;
    if let Some((journal, recovered)) = start.journal {
        let (jobs, receiver) = disk::spawn(journal, start.clock.clone())?;
        let deployment = start.settings.deployment.as_ref();
        let founders = start.settings.peers.iter().filter(|p| p.voter);
        let identity = consensus::Identity {
            instance: start.identity.name.clone(),
            folder: recovered.folder,
            founders: founders.map(|p| p.name.clone()).collect(),
            first_start: deployment.is_some_and(|d| d.first_start),
            seed: rand::random(),
        };
        let now = start.clock.now();
        let node = Node::new(identity, recovered.persisted, now);
        voter = Some((node, recovered.folder.0, jobs));
        completions = Some(receiver);
    }
    let core = Core::new(Parts {
        settings: start.settings,
        identity: start.identity,
        clock: start.clock,
        traffic: start.traffic,
        shared: start.shared,
        published: start.published,
        dialect,
        voter,
    });
    Ok((core, completions))
}

async fn run_ticks(core: Rc<Core>) {
    loop {
        core.step(Input::Tick);
        if core.is_leading() {
            core.listening.observe(core.clock.now());
        }
        let due = core.clock.now() + TICK;
        task::sleep(TICK).await;
        let lag = core.clock.now().saturating_duration_since(due);
        METRICS.control_lag.observe(lag.as_secs_f64());
        if lag >= REPORTED_LAG {
            log::warn!(late_ms = lag.as_millis() as u64; "the control thread is late");
        }
    }
}

/// Passes the journal's completions to the consensus node.
async fn report_syncs(core: Rc<Core>, completions: Receiver<Completion>) {
    while let Ok(completion) = completions.recv().await {
        match completion {
            Completion::Synced(sequence) => core.step(Input::Synced(sequence)),
            Completion::Refused(sequence) => core.step(Input::Refused(sequence)),
        }
    }
}

async fn serve_requests(core: Rc<Core>, requests: Receiver<Request>) {
    let slots = Rc::new(async_std::sync::Condvar::new());
    let in_progress = Rc::new(async_std::sync::Mutex::new(0_usize));
    while let Ok(request) = requests.recv().await {
        let mut count = in_progress.lock().await;
        while *count >= MAX_CONCURRENT_REQUESTS {
            count = slots.wait(count).await;
        }
        *count += 1;
        drop(count);
        let (core, slots, in_progress) = (core.clone(), slots.clone(), in_progress.clone());
        task::spawn_local(async move {
            serve_request(&core, request).await;
            *in_progress.lock().await -= 1;
            slots.notify_one();
        });
    }
}

async fn serve_request(core: &Rc<Core>, request: Request) {
    match request {
        Request::Propose { command, reply } => {
            let result = call_leader(core, Call::Propose(command.encode())).await;
            reply.send(result).ok();
        }
        Request::Evidence(report) => send_evidence(core, &report).await,
        // The status is answered locally, since each instance reports its own view of the system.
        Request::Query {
            question: question @ Question::Status,
            reply,
        } => {
            reply.send(Ok(query::answer(core, &question))).ok();
        }
        Request::Query { question, reply } => {
            let result = match codec::encode(&question) {
                Ok(bytes) => call_leader(core, Call::Query(question, bytes)).await,
                Err(error) => Err(Failure::Encoding(error.to_string().into())),
            };
            reply.send(result).ok();
        }
    }
}

/// Sends a scheduler's evidence to the leader, once; a later report replaces one that is lost.
async fn send_evidence(core: &Rc<Core>, report: &Report) {
    if core.is_leading() {
        core.move_coordinator.merge(core, report.clone());
        return;
    }
    let (Some(address), Ok(bytes)) = (leader_address(core, 0), codec::encode(report)) else {
        return;
    };
    let link = core.links.to(address);
    let call = async {
        let client = link.client().await.ok()?;
        let mut request = client.evidence_request();
        request.get().set_report(&bytes);
        request.send().promise.await.ok()
    };
    future::timeout(core.timing.attempt, call).await.ok();
}

/// Call to the leader, which may be this instance; the bytes are the encoded command or question.
enum Call {
    Propose(Vec<u8>),
    Query(Question, Vec<u8>),
}

/// Response type of a [`Call`].
trait Response: Sized + Serialize + DeserializeOwned {
    /// Returns the response of this instance, if it leads; `left` remains of the time of the call.
    async fn handle_locally(core: &Rc<Core>, call: &Call, left: Duration) -> Result<Self, Failure>;
}

impl Response for Reply {
    async fn handle_locally(core: &Rc<Core>, call: &Call, left: Duration) -> Result<Self, Failure> {
        match call {
            Call::Propose(bytes) => core.propose_here(bytes.clone().into(), left).await,
            Call::Query(..) => Err(Failure::Unreachable),
        }
    }
}

impl Response for Answer {
    async fn handle_locally(core: &Rc<Core>, call: &Call, _: Duration) -> Result<Self, Failure> {
        match call {
            Call::Query(question, _) => core.query_here(question),
            Call::Propose(_) => Err(Failure::Unreachable),
        }
    }
}

/// Calls the leader, with retries for the time of a call. A command may reach the leader twice, so
/// commands are idempotent.
async fn call_leader<T: Response>(core: &Rc<Core>, call: Call) -> Result<T, Failure> {
    let end = core.clock.now() + core.timing.call;
    let mut attempt = 0;
    loop {
        let left = end.saturating_duration_since(core.clock.now());
        let result = if core.is_leading() {
            T::handle_locally(core, &call, left).await
        } else {
            attempt_remote(core, &call, attempt, left).await
        };
        let failure = match result {
            Ok(answer) => return Ok(answer),
            Err(failure @ (Failure::Full | Failure::Encoding(_))) => return Err(failure),
            Err(failure) => failure,
        };
        attempt += 1;
        if core.clock.now() + timing::ATTEMPT_PAUSE >= end {
            return Err(match failure {
                Failure::NotLeader { .. } => Failure::Unreachable,
                other => other,
            });
        }
        task::sleep(timing::ATTEMPT_PAUSE).await;
    }
}

/// Makes one attempt to call the leader on another instance, of which `left` remains.
async fn attempt_remote<T: Response>(
    core: &Rc<Core>,
    call: &Call,
    attempt: usize,
    left: Duration,
) -> Result<T, Failure> {
    let Some(address) = leader_address(core, attempt) else {
        return Err(Failure::Unreachable);
    };
    let link = core.links.to(address);
    let exchange = async {
        let client = link.client().await?;
        let bytes = match call {
            Call::Propose(bytes) => {
                let mut request = client.propose_request();
                request.get().set_command(bytes);
                let response = request.send().promise.await?;
                response.get()?.get_reply()?.to_vec()
            }
            Call::Query(_, bytes) => {
                let mut request = client.query_request();
                request.get().set_question(bytes);
                let response = request.send().promise.await?;
                response.get()?.get_answer()?.to_vec()
            }
        };
        codec::decode::<Result<T, Failure>>(&bytes)
    };
    let limit = core.timing.attempt.min(left);
    match future::timeout(limit, exchange).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(Failure::Unreachable),
        Err(_) => {
            // A shorter wait says nothing of the link.
            if limit == core.timing.attempt {
                link.reset();
            }
            Err(Failure::Unreachable)
        }
    }
}

/// Returns the address for the given attempt: on even attempts that of the leader, if known, else
/// that of each peer from the settings in turn.
fn leader_address(core: &Core, attempt: usize) -> Option<std::net::SocketAddr> {
    let own = core.identity.instance.peers;
    let named = core
        .known_leader()
        .or_else(|| core.published().leader.clone());
    let known = named
        .and_then(|name| core.address_of(&name))
        .filter(|a| *a != own);
    if let (Some(address), true) = (known, attempt.is_multiple_of(2)) {
        return Some(address);
    }
    let peers: Vec<_> = core
        .settings
        .peers
        .iter()
        .map(|p| p.address)
        .filter(|a| *a != own)
        .collect();
    peers.get(attempt % peers.len().max(1)).copied()
}
