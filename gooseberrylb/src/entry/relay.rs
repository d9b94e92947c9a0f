//! Relays an upstream's response to the caller as it arrives.
//!
//! A broken stream is resumed after the last line that was read, on a new connection. If that
//! fails, the caller's connection is closed before the end of the body, so that a partial response
//! never looks like a complete one.

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

use super::account::{self, EndReport, Verdict};
use super::attempt::{
    Attempt, AttemptOutcome, MAX_STORED_ANSWER_BYTES, set_content_type, set_served_headers,
    storable_answer, stream_id,
};
use super::incoming::Incoming;
use super::{InFlight, SILENCE_TIMEOUT};
use crate::metrics::METRICS;
use crate::upstream::Error;
use crate::upstream::engine::{self, Line, Started, Stream, Summary};
use crate::upstream::plain::Rest;

/// Maximum number of response chunks buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 32;

/// Maximum number of consecutive attempts to resume a stream without a new line in between.
const MAX_RESUMES: u32 = 5;

/// Interval between attempts to resume a stream, from the second one on.
const RESUME_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a stream continues after its caller hung up.
const HANG_UP_GRACE: Duration = Duration::from_millis(500);

/// Time for which a stream continues after its caller hung up, if the request has an idempotency
/// key, with which the caller may send it again.
const KEYED_HANG_UP_GRACE: Duration = Duration::from_secs(30);

/// Content type of a streamed response.
const STREAM_TYPE: &str = "application/x-ndjson";

/// Content type of a buffered response.
const JSON_TYPE: &str = "application/json";

/// Reading position in an engine's stream, whose first line has arrived.
pub struct Reader {
    stream: Option<Stream>,
    pending: Option<Line>,
    lines_read: u64,
    /// Time from dispatch to the first line.
    pub first_token: Duration,
}

impl Reader {
    /// Returns a reader of `stream`, whose first line is `line`.
    pub fn new(stream: Stream, line: Line) -> Self {
        Self {
            stream: Some(stream),
            pending: Some(line),
            lines_read: 0,
            first_token: Duration::ZERO,
        }
    }
}

/// An engine's response being relayed; resumes the stream when it breaks.
pub struct Source {
    attempt: Attempt,
    reader: Reader,
    decode_started: std::time::Instant,
    _in_flight: InFlight,
}

/// How a stream ended.
enum StreamEnd {
    /// The stream was read completely.
    Complete(Summary),
    /// The stream broke and could not be resumed.
    Broken,
    /// The caller hung up, and the grace period passed.
    HungUp,
}

/// Result of reading from a stream.
enum Advance {
    /// A line before the last one.
    Line(String),
    /// The end, with the last line if the stream is complete.
    End(Option<String>, StreamEnd),
}

/// Future that completes when the caller has hung up and the grace period has passed.
type HangUp = Fuse<BoxFuture<'static, ()>>;

impl Source {
    /// Returns a source that continues from `reader`.
    pub fn new(attempt: Attempt, reader: Reader, in_flight: InFlight) -> Self {
        let decode_started = attempt.entry.clock.now();
        Self {
            attempt,
            reader,
            decode_started,
            _in_flight: in_flight,
        }
    }

    /// Returns the next line; resumes the stream on a new connection if it breaks.
    async fn next(&mut self) -> Result<Line, Error> {
        if let Some(line) = self.reader.pending.take() {
            self.reader.lines_read += 1;
            return Ok(line);
        }
        let mut failures = 0;
        loop {
            let error = match self.read().await {
                Ok(line) => {
                    self.reader.lines_read += 1;
                    return Ok(line);
                }
                Err(error) => error,
            };
            self.reader.stream = None;
            failures += 1;
            if failures > MAX_RESUMES {
                return Err(error);
            }
            if failures > 1 {
                task::sleep(RESUME_INTERVAL).await;
            }
            METRICS
                .resumed
                .with_label_values(&[self.attempt.incoming.service.as_str()])
                .inc();
        }
    }

    /// Reads a line from the open stream, or from a resumed one if none is open.
    async fn read(&mut self) -> Result<Line, Error> {
        if self.reader.stream.is_none() {
            let id = stream_id(&self.attempt.request.id, &self.attempt.grant);
            let resumed = engine::resume(
                self.attempt.address,
                &id,
                self.reader.lines_read,
                SILENCE_TIMEOUT,
            );
            match resumed.await? {
                Started::Stream(stream) => self.reader.stream = Some(stream),
                Started::Duplicate | Started::Failed { .. } => {
                    return Err(Error::Lost(io::ErrorKind::NotFound.into()));
                }
            }
        }
        match &mut self.reader.stream {
            Some(stream) => stream.next().await,
            None => Err(Error::Lost(io::ErrorKind::NotConnected.into())),
        }
    }

    /// Reads the next line, unless `hang_up` completes first.
    async fn advance(&mut self, mut hang_up: &mut HangUp) -> Advance {
        let line = futures::select! {
            line = self.next().fuse() => line,
            () = hang_up => return Advance::End(None, StreamEnd::HungUp),
        };
        match line {
            Ok(Line::Token(text)) => Advance::Line(text),
            Ok(Line::End(text, summary)) => {
                self.finish_stream();
                Advance::End(Some(text), StreamEnd::Complete(summary))
            }
            Err(_) => Advance::End(None, StreamEnd::Broken),
        }
    }

    /// Returns the stream's connection to the pool, in the background.
    fn finish_stream(&mut self) {
        if let Some(stream) = self.reader.stream.take() {
            task::spawn(stream.finish());
        }
    }

    fn figures(&self, summary: Summary) -> Figures {
        let mut figures = Figures {
            first_token: self.reader.first_token,
            decode: self.attempt.entry.clock.now() - self.decode_started,
            ..Figures::default()
        };
        summary.fill(&mut figures);
        figures
    }

    /// Records the end of the stream; `answer` is stored for a resent idempotency key.
    fn record_end(self, end: &StreamEnd, answer: Option<gooseberrylb_policy::request::Answer>) {
        let attempt = &self.attempt;
        let mut report = attempt.end_report();
        let version = Some(attempt.grant.version.clone());
        let verdict = match end {
            StreamEnd::Complete(summary) => {
                let figures = self.figures(*summary);
                *report.figures() = figures;
                report
                    .with_answer(answer)
                    .send(&attempt.entry, Outcome::Served);
                Verdict::served(version, figures)
            }
            StreamEnd::Broken => {
                report.with_failure().send(&attempt.entry, Outcome::Unknown);
                Verdict::unknown(version)
            }
            StreamEnd::HungUp => {
                report
                    .with_cancellation()
                    .send(&attempt.entry, Outcome::Unknown);
                Verdict::unknown(version)
            }
        };
        if !matches!(end, StreamEnd::Complete(_)) {
            self.cancel();
            let version = &attempt.grant.version;
            account::count_wasted(&attempt.entry, &attempt.incoming, &attempt.request, version);
        }
        account::count(&attempt.entry, &attempt.incoming, &verdict);
    }

    /// Cancels the stream at the engine, in the background.
    fn cancel(&self) {
        let address = self.attempt.address;
        let id = stream_id(&self.attempt.request.id, &self.attempt.grant);
        task::spawn(async move { engine::cancel(address, &id).await });
    }
}

/// Waits until the caller has hung up and the grace period has passed.
async fn hang_up_after_grace(incoming: Arc<Incoming>) {
    let Some(peer) = &incoming.peer else {
        return futures::future::pending().await;
    };
    peer.hung_up().await;
    task::sleep(if incoming.key.is_some() {
        KEYED_HANG_UP_GRACE
    } else {
        HANG_UP_GRACE
    })
    .await;
}

/// Responds with an engine's stream: line by line if `streams`, else buffered in one JSON object.
pub async fn engine(source: Source, streams: bool) -> AttemptOutcome {
    if streams {
        AttemptOutcome::Answered(stream(source))
    } else {
        buffered(source).await
    }
}

fn stream(source: Source) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    set_served_headers(&mut response, &source.attempt.grant);
    let (chunks, body) = pipe();
    response.set_body(body);
    set_content_type(&mut response, Some(STREAM_TYPE));
    task::spawn(pump(source, chunks));
    response
}

/// Sends the lines of `source` to the caller, and records how the stream ended.
async fn pump(mut source: Source, chunks: Sender<io::Result<Vec<u8>>>) {
    let mut hang_up: HangUp = hang_up_after_grace(source.attempt.incoming.clone())
        .boxed()
        .fuse();
    let mut stored = Vec::new();
    let end = loop {
        let (line, end) = match source.advance(&mut hang_up).await {
            Advance::Line(line) => (Some(line), None),
            Advance::End(line, end) => (line, Some(end)),
        };
        if let Some(line) = line {
            if stored.len() <= MAX_STORED_ANSWER_BYTES {
                stored.extend_from_slice(line.as_bytes());
            }
            // A failed send is ignored: `hang_up` watches the caller's connection, and during the
            // grace period the stream is read on for the caller's next attempt.
            chunks.send(Ok(line.into_bytes())).await.ok();
        }
        if let Some(end) = end {
            break end;
        }
    };
    if matches!(end, StreamEnd::Broken) {
        let error = io::Error::new(
            io::ErrorKind::ConnectionAborted,
            "the stream was broken off",
        );
        chunks.send(Err(error)).await.ok();
    }
    let answer = storable_answer(StatusCode::Ok, Some(STREAM_TYPE.into()), &stored);
    source.record_end(&end, answer);
}

/// Reads the stream to its end and returns the text as one JSON object.
async fn buffered(mut source: Source) -> AttemptOutcome {
    let mut hang_up: HangUp = hang_up_after_grace(source.attempt.incoming.clone())
        .boxed()
        .fuse();
    let mut text = String::new();
    let end = loop {
        match source.advance(&mut hang_up).await {
            Advance::Line(line) => text.push_str(&token_text(&line)),
            Advance::End(_, end) => break end,
        }
    };
    let StreamEnd::Complete(summary) = end else {
        source.record_end(&end, None);
        return AttemptOutcome::UnknownCounted;
    };
    let body = serde_json::json!({
        "text": text,
        "prompt_tokens": summary.prompt_tokens,
        "cached_tokens": summary.cached_tokens,
        "output_tokens": summary.output_tokens,
    })
    .to_string();
    let mut response = Response::new(StatusCode::Ok);
    set_served_headers(&mut response, &source.attempt.grant);
    let answer = storable_answer(StatusCode::Ok, Some(JSON_TYPE.into()), body.as_bytes());
    source.record_end(&end, answer);
    response.set_body(body);
    set_content_type(&mut response, Some(JSON_TYPE));
    AttemptOutcome::Answered(response)
}

/// Returns the text of a token line, or nothing if the line has none.
fn token_text(line: &str) -> String {
    let parsed: Option<Value> = serde_json::from_str(line).ok();
    let text = parsed
        .as_ref()
        .and_then(|line| line.get("text"))
        .and_then(Value::as_str);
    text.unwrap_or_default().to_owned()
}

/// Returns the body of a response and the sender of its chunks; the body ends when the sender is
/// dropped.
fn pipe() -> (Sender<io::Result<Vec<u8>>>, Body) {
    let (chunks, receiver): (_, Receiver<io::Result<Vec<u8>>>) =
        async_channel::bounded(MAX_BUFFERED_CHUNKS);
    let reader = BufReader::new(Box::pin(receiver).into_async_read());
    (chunks, Body::from_reader(reader, None))
}

/// Returns a body that relays a plain service's large response: `received`, then `rest`.
pub fn plain(
    attempt: Attempt,
    report: EndReport,
    received: Vec<u8>,
    rest: Rest,
    in_flight: InFlight,
) -> Body {
    let (chunks, body) = pipe();
    task::spawn(pump_plain(
        attempt, report, received, rest, in_flight, chunks,
    ));
    body
}

/// Sends the chunks of a plain service's response to the caller, and records how it ended.
async fn pump_plain(
    attempt: Attempt,
    mut report: EndReport,
    received: Vec<u8>,
    mut rest: Rest,
    _in_flight: InFlight,
    chunks: Sender<io::Result<Vec<u8>>>,
) {
    chunks.send(Ok(received)).await.ok();
    let version = Some(attempt.grant.version.clone());
    // A response without end must not outlive its caller.
    let mut hang_up: HangUp = hang_up_after_grace(attempt.incoming.clone()).boxed().fuse();
    loop {
        let next = futures::select! {
            next = rest.next().fuse() => next,
            () = hang_up => {
                report.with_cancellation().send(&attempt.entry, Outcome::Unknown);
                let verdict = Verdict::unknown(version);
                return account::count(&attempt.entry, &attempt.incoming, &verdict);
            }
        };
        match next {
            Ok(chunk) if chunk.is_empty() => {
                let figures = *report.figures();
                report.send(&attempt.entry, Outcome::Served);
                let verdict = Verdict::served(version, figures);
                return account::count(&attempt.entry, &attempt.incoming, &verdict);
            }
            // A failed send is ignored: the service runs the call even if the caller hung up.
            Ok(chunk) => {
                chunks.send(Ok(chunk)).await.ok();
            }
            Err(error) => {
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, error.to_string());
                chunks.send(Err(error)).await.ok();
                report.with_failure().send(&attempt.entry, Outcome::Unknown);
                let verdict = Verdict::unknown(version);
                return account::count(&attempt.entry, &attempt.incoming, &verdict);
            }
        }
    }
}

/// Responds to a resent idempotency key with the stream of the first request.
pub fn joined(stream: Stream, grant: &Grant, in_flight: InFlight) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    set_served_headers(&mut response, grant);
    let (chunks, body) = pipe();
    response.set_body(body);
    set_content_type(&mut response, Some(STREAM_TYPE));
    task::spawn(pump_joined(stream, chunks, in_flight));
    response
}

/// Sends the lines of a joined stream to the caller, until the stream ends or the caller hangs up.
async fn pump_joined(
    mut stream: Stream,
    chunks: Sender<io::Result<Vec<u8>>>,
    _in_flight: InFlight,
) {
    loop {
        let (chunk, last) = match stream.next().await {
            Ok(Line::Token(text)) => (Ok(text.into_bytes()), false),
            Ok(Line::End(text, _)) => (Ok(text.into_bytes()), true),
            Err(error) => {
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, error.to_string());
                (Err(error), true)
            }
        };
        if chunks.send(chunk).await.is_err() || last {
            return;
        }
    }
}
