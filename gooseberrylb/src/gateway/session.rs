//! Session with a dispatcher, of an entry or of the dispatcher of another shard: one connection that
//! carries questions to the dispatcher and its answers back.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::net::TcpStream;
use async_std::{future, task};
use futures::AsyncReadExt;
use futures::future::Either;
use gooseberrylb_config::id;
use gooseberrylb_config::number::Term;
use gooseberrylb_policy::announcement::Announcement;
use gooseberrylb_policy::dispatch::{Decision, Key, Notice, Purpose, Request, Summary};
use gooseberrylb_wire::dispatch::{Answer, Question, Reader, write_all};
use gooseberrylb_wire::handshake::{self, Greeting};
use gooseberrylb_wire::plane::Kind;

use crate::control::Core;

/// Time limit for opening a session, enough for several round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of questions queued for sending. The session is closed when a dispatcher that
/// does not read lets the queue fill up.
const MAX_QUESTIONS: usize = 8_192;

/// Maximum number of answers to one question: [`Decision::Wait`] and the final decision.
const ANSWERS_PER_REQUEST: usize = 2;

/// A dispatcher as known to those that ask it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatcher {
    /// Instance that dispatches.
    pub instance: id::Instance,
    /// Term in which it leads, if it dispatches the whole fleet as the leader. It starts anew in
    /// each term.
    pub term: Option<Term>,
}

/// Answer to a question.
#[derive(Debug, Clone, PartialEq)]
pub struct Verdict {
    /// Decision on the request.
    pub decision: Decision,
    /// Time after which a second copy of the request is due, if one may be sent.
    pub copy_due: Option<Duration>,
}

/// A session with one dispatcher. It cannot be used again after its connection has ended.
pub struct Session {
    /// Dispatcher at the other end.
    pub dispatcher: Dispatcher,
    /// Queue of questions to send.
    questions: Sender<Question>,
    /// State shared with the task that runs the connection.
    state: Rc<State>,
    /// Number of the last notice that was queued.
    last_notice: Cell<u64>,
}

/// State of a session, shared between its user and its connection.
struct State {
    /// Whether the session can still be used.
    alive: Cell<bool>,
    /// Whether the dispatcher has answered anything.
    answered: Cell<bool>,
    /// Time of the first request after the last answer of the dispatcher.
    unanswered_since: Cell<Option<Instant>>,
    /// Number of the last notice that the dispatcher acknowledged.
    acknowledged: Cell<u64>,
    /// Where to send the decisions on pending requests.
    pending: RefCell<HashMap<Key, Sender<Verdict>>>,
    /// Called with what the dispatcher announces.
    on_announced: Box<dyn Fn(Vec<Announcement>)>,
}

impl Session {
    /// Opens a session. Questions are queued until the connection is established. What the dispatcher
    /// announces is passed to `on_announced`.
    pub fn open(
        core: &Rc<Core>,
        address: SocketAddr,
        dispatcher: Dispatcher,
        on_announced: impl Fn(Vec<Announcement>) + 'static,
    ) -> Self {
        // A bounded channel would reserve memory for all questions.
        let (questions, outgoing) = async_channel::unbounded();
        let state = Rc::new(State {
            alive: Cell::new(true),
            answered: Cell::new(false),
            unanswered_since: Cell::new(None),
            acknowledged: Cell::new(0),
            pending: RefCell::default(),
            on_announced: Box::new(on_announced),
        });
        let (core, shared, name) = (core.clone(), state.clone(), dispatcher.instance.clone());
        task::spawn_local(async move {
            if let Err(error) = run(&core, address, &shared, outgoing).await {
                log::info!(dispatcher:% = name, error:% = error; "the session with the dispatcher ended");
            }
            shared.alive.set(false);
            // Closes the channels of pending requests, so that they do not wait any longer.
            shared.pending.borrow_mut().clear();
        });
        Self {
            dispatcher,
            questions,
            state,
            last_notice: Cell::new(0),
        }
    }

    /// Whether the session can still be used.
    pub fn is_alive(&self) -> bool {
        self.state.alive.get() && !self.questions.is_closed()
    }

    /// Whether the dispatcher has answered anything in this session.
    pub fn has_answered(&self) -> bool {
        self.state.answered.get()
    }

    /// Returns the time for which requests have been pending without any answer.
    pub fn silence(&self, now: Instant) -> Duration {
        let since = self.state.unanswered_since.get();
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the number of the last notice that the dispatcher acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.state.acknowledged.get()
    }

    /// Closes the session.
    pub fn close(&self) {
        self.state.alive.set(false);
        self.questions.close();
        self.state.pending.borrow_mut().clear();
    }

    /// Asks for an upstream and returns the channel of the answers. The channel is closed if no
    /// answer will arrive.
    pub fn ask(&self, request: Request, purpose: Purpose, now: Instant) -> Receiver<Verdict> {
        let answers = self.expect_answer(&request.key, now);
        self.send(Question::Ask(request, purpose));
        answers
    }

    /// Offers a request of another shard and returns the channel of the answer, like
    /// [`Session::ask`].
    pub fn offer(&self, request: Request, now: Instant) -> Receiver<Verdict> {
        let answers = self.expect_answer(&request.key, now);
        self.send(Question::Offer(request));
        answers
    }

    /// Reports to the dispatcher of another shard.
    pub fn summarize(&self, summary: Summary) {
        self.send(Question::Summarize(summary));
    }

    /// Tells what is known of upstreams and crashes.
    pub fn announce(&self, announcements: Vec<Announcement>) {
        if !announcements.is_empty() {
            self.send(Question::Announce(announcements));
        }
    }

    /// Returns the channel of the answers on a request that is about to be sent.
    fn expect_answer(&self, key: &Key, now: Instant) -> Receiver<Verdict> {
        let since = self.state.unanswered_since.get();
        self.state.unanswered_since.set(since.or(Some(now)));
        let (pending, answers) = async_channel::bounded(ANSWERS_PER_REQUEST);
        self.state.pending.borrow_mut().insert(key.clone(), pending);
        answers
    }

    /// Stops waiting for answers on a request.
    pub fn forget(&self, key: &Key) {
        self.state.pending.borrow_mut().remove(key);
    }

    /// Returns the number of the next notice.
    pub fn next_notice(&self) -> u64 {
        self.last_notice.get() + 1
    }

    /// Sends a notice of changes.
    pub fn send_notice(&self, notice: Notice) {
        let number = self.next_notice();
        self.last_notice.set(number);
        self.send(Question::Tell { number, notice });
    }

    /// Queues a question. Closes the session if the queue is full.
    fn send(&self, question: Question) {
        let is_full = self.questions.len() >= MAX_QUESTIONS;
        if (is_full || self.questions.try_send(question).is_err()) && self.is_alive() {
            log::warn!(dispatcher:% = self.dispatcher.instance; "the dispatcher does not read its questions; closing the session");
            self.close();
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.close();
    }
}

/// Runs the connection of a session until it ends or the session is closed.
async fn run(
    core: &Core,
    address: SocketAddr,
    state: &State,
    outgoing: Receiver<Question>,
) -> io::Result<()> {
    let opening = future::timeout(CONNECT_TIMEOUT, open(core, address, Kind::Dispatch));
    let stream = opening
        .await
        .unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
    let (reader, writer) = stream.split();
    let reading = std::pin::pin!(read(state, Reader::new(reader)));
    // Ends when the session is closed. Dropping both halves closes the connection.
    let writing = std::pin::pin!(write_all(outgoing, writer));
    match futures::future::select(reading, writing).await {
        Either::Left((ended, _)) | Either::Right((ended, _)) => ended,
    }
}

/// Opens a connection of a kind to another instance.
pub async fn open(core: &Core, address: SocketAddr, plane: Kind) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let own = Greeting {
        instance: core.identity.name.clone(),
        incarnation: core.identity.incarnation,
        plane,
    };
    let greeted = handshake::connect(&mut stream, &core.identity.key, &own).await;
    greeted.map_err(io::Error::other)?;
    Ok(stream)
}

/// Delivers the dispatcher's answers until the connection ends.
async fn read<R>(state: &State, mut reader: Reader<R>) -> io::Result<()>
where
    R: futures::AsyncRead + Unpin,
{
    while let Some(answer) = reader.next().await? {
        state.answered.set(true);
        state.unanswered_since.set(None);
        match answer {
            Answer::Taken(number) => state.acknowledged.set(number),
            Answer::Announced(announcements) => (state.on_announced)(announcements),
            Answer::Decided(key, decision, copy_due) => {
                let mut pending = state.pending.borrow_mut();
                let is_last = decision != Decision::Wait;
                if let Some(answers) = pending.get(&key) {
                    // A receiver that is gone has withdrawn its request.
                    answers.try_send(Verdict { decision, copy_due }).ok();
                }
                if is_last {
                    pending.remove(&key);
                }
            }
        }
    }
    Ok(())
}
