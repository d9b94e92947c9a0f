//! An entry's line to the dispatcher: questions go out and answers come in on one connection.

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
use gooseberrylb_policy::dispatch::{Decision, Key, Notice, Request};
use gooseberrylb_wire::dispatch::{Answer, Question, Reader, write_all};
use gooseberrylb_wire::handshake::{self, Greeting};
use gooseberrylb_wire::plane::Number;

use crate::control::Core;

/// How long opening a line may take: some round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The most questions that wait for a dispatcher that does not read; the line is given up then.
const MAX_QUESTIONS: usize = 8_192;

/// The answers to one question that may wait to be looked at: that it waits, and what was decided.
const ANSWERS: usize = 2;

/// The dispatcher that a line goes to: an instance and the term in which it leads.
pub type Leader = (id::Instance, Term);

/// One line. It ends for good when its connection does.
pub struct Line {
    /// Whom it goes to.
    pub leader: Leader,
    questions: Sender<Question>,
    state: Rc<State>,
    told: Cell<u64>,
}

struct State {
    alive: Cell<bool>,
    /// Since when a question has stood without anything being heard.
    unheard_since: Cell<Option<Instant>>,
    taken: Cell<u64>,
    waiting: RefCell<HashMap<Key, Sender<Decision>>>,
}

impl Line {
    /// Opens a line; what is asked and told meanwhile waits.
    pub fn open(core: &Rc<Core>, address: SocketAddr, leader: Leader) -> Self {
        let (questions, outgoing) = async_channel::bounded(MAX_QUESTIONS);
        let state = Rc::new(State {
            alive: Cell::new(true),
            unheard_since: Cell::new(None),
            taken: Cell::new(0),
            waiting: RefCell::default(),
        });
        let (core, held, name) = (core.clone(), state.clone(), leader.0.clone());
        task::spawn_local(async move {
            if let Err(error) = run(&core, address, &held, outgoing).await {
                log::info!(dispatcher:% = name, error:% = error; "the line to the dispatcher ended");
            }
            held.alive.set(false);
            // Whoever waits for an answer sees that none will come.
            held.waiting.borrow_mut().clear();
        });
        Self {
            leader,
            questions,
            state,
            told: Cell::new(0),
        }
    }

    /// Whether the line can still be used.
    pub fn is_alive(&self) -> bool {
        self.state.alive.get() && !self.questions.is_closed()
    }

    /// How long questions have stood without anything being heard.
    pub fn silence(&self, now: Instant) -> Duration {
        let since = self.state.unheard_since.get();
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// The number of the last notice that was taken in.
    pub fn taken(&self) -> u64 {
        self.state.taken.get()
    }

    /// Gives the line up.
    pub fn close(&self) {
        self.state.alive.set(false);
        self.questions.close();
        self.state.waiting.borrow_mut().clear();
    }

    /// Asks for an upstream; the answers come by the channel, which is closed where none will.
    pub fn ask(&self, ask: Request, now: Instant) -> Receiver<Decision> {
        let since = self.state.unheard_since.get();
        self.state.unheard_since.set(since.or(Some(now)));
        let (waiting, answers) = async_channel::bounded(ANSWERS);
        let key = ask.key.clone();
        self.state.waiting.borrow_mut().insert(key, waiting);
        self.send(Question::Ask(ask));
        answers
    }

    /// Waits no more for answers on a request.
    pub fn forget(&self, key: &Key) {
        self.state.waiting.borrow_mut().remove(key);
    }

    /// The number that the next notice will have.
    pub fn next_number(&self) -> u64 {
        self.told.get() + 1
    }

    /// Tells what happened.
    pub fn tell(&self, notice: Notice) {
        let number = self.next_number();
        self.told.set(number);
        self.send(Question::Tell { number, notice });
    }

    fn send(&self, question: Question) {
        if self.questions.try_send(question).is_err() && self.is_alive() {
            log::warn!(dispatcher:% = self.leader.0; "the dispatcher does not read; the line is given up");
            self.close();
        }
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.close();
    }
}

async fn run(
    core: &Core,
    address: SocketAddr,
    state: &State,
    outgoing: Receiver<Question>,
) -> io::Result<()> {
    let opening = future::timeout(CONNECT_TIMEOUT, open(core, address));
    let stream = opening
        .await
        .unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
    let (reader, writer) = stream.split();
    let reading = std::pin::pin!(read(state, Reader::new(reader)));
    // Ends when the line is closed; dropping the halves closes the connection.
    let writing = std::pin::pin!(write_all(outgoing, writer));
    match futures::future::select(reading, writing).await {
        Either::Left((ended, _)) | Either::Right((ended, _)) => ended,
    }
}

async fn open(core: &Core, address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let own = Greeting {
        instance: core.identity.name.clone(),
        incarnation: core.identity.incarnation,
        plane: Number::Dispatch,
    };
    let greeted = handshake::connect(&mut stream, &core.identity.key, &own).await;
    greeted.map_err(io::Error::other)?;
    Ok(stream)
}

async fn read<R>(state: &State, mut reader: Reader<R>) -> io::Result<()>
where
    R: futures::AsyncRead + Unpin,
{
    while let Some(answer) = reader.next().await? {
        state.unheard_since.set(None);
        match answer {
            Answer::Taken(number) => state.taken.set(number),
            Answer::Decided(key, decision) => {
                let mut waiting = state.waiting.borrow_mut();
                let is_last = decision != Decision::Wait;
                if let Some(answers) = waiting.get(&key) {
                    // One who waits no more has withdrawn the request as well.
                    answers.try_send(decision).ok();
                }
                if is_last {
                    waiting.remove(&key);
                }
            }
        }
    }
    Ok(())
}
