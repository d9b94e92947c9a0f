//! Passes an upstream's answer on to the caller as it comes.
//!
//! A stream that breaks is resumed behind the last line that was passed on, over a new connection.
//! If that cannot be done, the caller's connection ends without the end of the body, so that half
//! an answer never looks like a whole one.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::io::BufReader;
use async_std::task;
use futures::future::{BoxFuture, Fuse};
use futures::{FutureExt, TryStreamExt};
use gooseberrylb_policy::request::{Figures, Outcome};
use gooseberrylb_policy::scheduler::Grant;
use http_types::{Body, Response, StatusCode};
use serde_json::Value;

use super::account::{self, Ending, Verdict};
use super::attempt::{
    Attempt, Attempted, KEPT_ANSWER_BYTES, keep, mark, set_content_type, stream_name,
};
use super::incoming::Incoming;
use super::{InFlight, SILENCE_TIMEOUT};
use crate::metrics::METRICS;
use crate::upstream::Error;
use crate::upstream::engine::{self, Line, Started, Stream, Summary};
use crate::upstream::plain::Rest;

/// How many pieces of an answer wait for a slow caller.
const PIECES: usize = 32;

/// How often a broken stream is taken up again without a new line in between.
const RESUMES: u32 = 5;

/// The pause between two such attempts.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// How long a stream runs on after its caller hung up.
const GRACE: Duration = Duration::from_millis(500);

/// The same where an idempotency key says that the caller may come back.
const KEYED_GRACE: Duration = Duration::from_secs(30);

/// The type of an engine's streamed answer.
const STREAM_TYPE: &str = "application/x-ndjson";

/// The type of an engine's answer in one piece.
const WHOLE_TYPE: &str = "application/json";

/// A stream whose first line has come.
pub struct Joined {
    stream: Option<Stream>,
    next: Option<Line>,
    lines: u64,
    /// From dispatch to the first line.
    pub first_token: Duration,
}

impl Joined {
    /// Takes a stream and its first line.
    pub fn new(stream: Stream, line: Line) -> Self {
        Self {
            stream: Some(stream),
            next: Some(line),
            lines: 0,
            first_token: Duration::ZERO,
        }
    }
}

/// An engine's answer that is being read.
pub struct Source {
    attempt: Attempt,
    joined: Joined,
    started: std::time::Instant,
    _held: InFlight,
}

/// How reading an answer ended.
enum Ended {
    /// All of it came.
    Whole(Summary),
    /// The engine broke off for good.
    Broken,
    /// The caller hung up and did not come back in time.
    Left,
}

/// What reading on came to.
enum Advance {
    /// A line that is not the last.
    Line(String),
    /// The end, with the last line where there is one.
    Ended(Option<String>, Ended),
}

/// Ends once the caller has hung up and its grace is over.
type Left = Fuse<BoxFuture<'static, ()>>;

impl Source {
    /// Reads on behind the first line of `joined`.
    pub fn new(attempt: Attempt, joined: Joined, held: InFlight) -> Self {
        let started = attempt.entry.clock.now();
        Self {
            attempt,
            joined,
            started,
            _held: held,
        }
    }

    /// The next line, over a new connection where the last one broke.
    async fn next(&mut self) -> Result<Line, Error> {
        if let Some(line) = self.joined.next.take() {
            self.joined.lines += 1;
            return Ok(line);
        }
        let mut misses = 0;
        loop {
            let error = match self.read().await {
                Ok(line) => {
                    self.joined.lines += 1;
                    return Ok(line);
                }
                Err(error) => error,
            };
            self.joined.stream = None;
            misses += 1;
            if misses > RESUMES {
                return Err(error);
            }
            if misses > 1 {
                task::sleep(RESUME_PAUSE).await;
            }
            METRICS
                .resumed
                .with_label_values(&[self.attempt.incoming.service.as_str()])
                .inc();
        }
    }

    async fn read(&mut self) -> Result<Line, Error> {
        if self.joined.stream.is_none() {
            let id = stream_name(&self.attempt.request.id, &self.attempt.grant);
            let resumed = engine::resume(
                self.attempt.address,
                &id,
                self.joined.lines,
                SILENCE_TIMEOUT,
            );
            match resumed.await? {
                Started::Stream(stream) => self.joined.stream = Some(stream),
                Started::Duplicate | Started::Failed { .. } => {
                    return Err(Error::Lost(io::ErrorKind::NotFound.into()));
                }
            }
        }
        match &mut self.joined.stream {
            Some(stream) => stream.next().await,
            None => Err(Error::Lost(io::ErrorKind::NotConnected.into())),
        }
    }

    /// Reads the next line, unless the caller leaves meanwhile.
    async fn advance(&mut self, mut left: &mut Left) -> Advance {
        let line = futures::select! {
            line = self.next().fuse() => line,
            () = left => return Advance::Ended(None, Ended::Left),
        };
        match line {
            Ok(Line::Token(text)) => Advance::Line(text),
            Ok(Line::End(text, summary)) => {
                self.finish_stream();
                Advance::Ended(Some(text), Ended::Whole(summary))
            }
            Err(_) => Advance::Ended(None, Ended::Broken),
        }
    }

    fn finish_stream(&mut self) {
        if let Some(stream) = self.joined.stream.take() {
            task::spawn(stream.finish());
        }
    }

    fn figures(&self, summary: Summary) -> Figures {
        let mut figures = Figures {
            first_token: self.joined.first_token,
            decode: self.attempt.entry.clock.now() - self.started,
            ..Figures::default()
        };
        summary.fill(&mut figures);
        figures
    }

    /// Accounts for the end; `answer` is kept for a resent key.
    fn conclude(self, ended: &Ended, answer: Option<gooseberrylb_policy::request::Answer>) {
        let attempt = &self.attempt;
        let mut ending = attempt.ending();
        let version = Some(attempt.grant.version.clone());
        let verdict = match ended {
            Ended::Whole(summary) => {
                let figures = self.figures(*summary);
                *ending.figures() = figures;
                ending
                    .with_answer(answer)
                    .finish(&attempt.entry, Outcome::Served);
                Verdict::served(version, figures)
            }
            Ended::Broken => {
                ending
                    .with_failure()
                    .finish(&attempt.entry, Outcome::Unknown);
                Verdict::unknown(version)
            }
            Ended::Left => {
                ending
                    .with_cancellation()
                    .finish(&attempt.entry, Outcome::Unknown);
                Verdict::unknown(version)
            }
        };
        if !matches!(ended, Ended::Whole(_)) {
            self.cancel();
            let version = &attempt.grant.version;
            account::count_wasted(&attempt.entry, &attempt.incoming, &attempt.request, version);
        }
        account::count(&attempt.entry, &attempt.incoming, &verdict);
    }

    fn cancel(&self) {
        let address = self.attempt.address;
        let id = stream_name(&self.attempt.request.id, &self.attempt.grant);
        task::spawn(async move { engine::cancel(address, &id).await });
    }
}

/// Waits until the caller has hung up and its grace is over.
async fn left(incoming: Arc<Incoming>) {
    let Some(peer) = &incoming.peer else {
        return futures::future::pending().await;
    };
    peer.hung_up().await;
    task::sleep(if incoming.key.is_some() {
        KEYED_GRACE
    } else {
        GRACE
    })
    .await;
}

/// Answers with an engine's stream, as it comes or in one piece.
pub async fn engine(source: Source, streams: bool) -> Attempted {
    if streams {
        Attempted::Answered(stream(source))
    } else {
        whole(source).await
    }
}

fn stream(source: Source) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    mark(&mut response, &source.attempt.grant);
    let (pieces, body) = pipe();
    response.set_body(body);
    set_content_type(&mut response, Some(STREAM_TYPE));
    task::spawn(pump(source, pieces));
    response
}

async fn pump(mut source: Source, pieces: Sender<io::Result<Vec<u8>>>) {
    let mut left: Left = left(source.attempt.incoming.clone()).boxed().fuse();
    let mut kept = Vec::new();
    let ended = loop {
        let (line, ended) = match source.advance(&mut left).await {
            Advance::Line(line) => (Some(line), None),
            Advance::Ended(line, ended) => (line, Some(ended)),
        };
        if let Some(line) = line {
            if kept.len() <= KEPT_ANSWER_BYTES {
                kept.extend_from_slice(line.as_bytes());
            }
            // A caller that hung up is noticed by its connection; within its grace, the stream is
            // read on for the caller's next attempt.
            pieces.send(Ok(line.into_bytes())).await.ok();
        }
        if let Some(ended) = ended {
            break ended;
        }
    };
    if matches!(ended, Ended::Broken) {
        let error = io::Error::new(
            io::ErrorKind::ConnectionAborted,
            "the stream was broken off",
        );
        pieces.send(Err(error)).await.ok();
    }
    let answer = keep(StatusCode::Ok, Some(STREAM_TYPE.into()), &kept);
    source.conclude(&ended, answer);
}

async fn whole(mut source: Source) -> Attempted {
    let mut left: Left = left(source.attempt.incoming.clone()).boxed().fuse();
    let mut text = String::new();
    let ended = loop {
        match source.advance(&mut left).await {
            Advance::Line(line) => text.push_str(&token_text(&line)),
            Advance::Ended(_, ended) => break ended,
        }
    };
    let Ended::Whole(summary) = ended else {
        source.conclude(&ended, None);
        return Attempted::Concluded;
    };
    let body = serde_json::json!({
        "text": text,
        "prompt_tokens": summary.prompt_tokens,
        "cached_tokens": summary.cached_tokens,
        "output_tokens": summary.output_tokens,
    })
    .to_string();
    let mut response = Response::new(StatusCode::Ok);
    mark(&mut response, &source.attempt.grant);
    let answer = keep(StatusCode::Ok, Some(WHOLE_TYPE.into()), body.as_bytes());
    source.conclude(&ended, answer);
    response.set_body(body);
    set_content_type(&mut response, Some(WHOLE_TYPE));
    Attempted::Answered(response)
}

fn token_text(line: &str) -> String {
    let parsed: Option<Value> = serde_json::from_str(line).ok();
    let text = parsed
        .as_ref()
        .and_then(|line| line.get("text"))
        .and_then(Value::as_str);
    text.unwrap_or_default().to_owned()
}

/// The body of an answer whose pieces are sent to it; it ends when the sender is dropped.
fn pipe() -> (Sender<io::Result<Vec<u8>>>, Body) {
    let (pieces, receiver): (_, Receiver<io::Result<Vec<u8>>>) = async_channel::bounded(PIECES);
    let reader = BufReader::new(Box::pin(receiver).into_async_read());
    (pieces, Body::from_reader(reader, None))
}

/// The body of a plain service's large answer.
pub fn plain(attempt: Attempt, ending: Ending, begun: Vec<u8>, rest: Rest, held: InFlight) -> Body {
    let (pieces, body) = pipe();
    task::spawn(pump_plain(attempt, ending, begun, rest, held, pieces));
    body
}

async fn pump_plain(
    attempt: Attempt,
    mut ending: Ending,
    begun: Vec<u8>,
    mut rest: Rest,
    _held: InFlight,
    pieces: Sender<io::Result<Vec<u8>>>,
) {
    pieces.send(Ok(begun)).await.ok();
    let version = Some(attempt.grant.version.clone());
    loop {
        match rest.next().await {
            Ok(piece) if piece.is_empty() => {
                let figures = *ending.figures();
                ending.finish(&attempt.entry, Outcome::Served);
                let verdict = Verdict::served(version, figures);
                return account::count(&attempt.entry, &attempt.incoming, &verdict);
            }
            // A caller that hung up changes nothing for the service, which runs the call anyway.
            Ok(piece) => {
                pieces.send(Ok(piece)).await.ok();
            }
            Err(error) => {
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, error.to_string());
                pieces.send(Err(error)).await.ok();
                ending
                    .with_failure()
                    .finish(&attempt.entry, Outcome::Unknown);
                let verdict = Verdict::unknown(version);
                return account::count(&attempt.entry, &attempt.incoming, &verdict);
            }
        }
    }
}

/// Answers a resent key with the stream of the request that came first.
pub fn joined(stream: Stream, grant: &Grant, held: InFlight) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    mark(&mut response, grant);
    let (pieces, body) = pipe();
    response.set_body(body);
    set_content_type(&mut response, Some(STREAM_TYPE));
    task::spawn(pump_joined(stream, pieces, held));
    response
}

async fn pump_joined(mut stream: Stream, pieces: Sender<io::Result<Vec<u8>>>, _held: InFlight) {
    loop {
        let (piece, last) = match stream.next().await {
            Ok(Line::Token(text)) => (Ok(text.into_bytes()), false),
            Ok(Line::End(text, _)) => (Ok(text.into_bytes()), true),
            Err(error) => {
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, error.to_string());
                (Err(error), true)
            }
        };
        if pieces.send(piece).await.is_err() || last {
            return;
        }
    }
}
