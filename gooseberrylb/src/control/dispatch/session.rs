//! The dispatcher's end of a session with an entry, an instance that takes requests from callers.

use std::rc::Rc;

use async_channel::Sender;
use async_std::task;
use futures::{AsyncRead, AsyncReadExt};
use gooseberrylb_config::id;
use gooseberrylb_policy::dispatch::Purpose;
use gooseberrylb_wire::dispatch::{Answer, Question, Reader, write_all};

use crate::control::{Accepted, Core};

/// Maximum number of answers queued for an entry. The session of an entry that does not read is
/// closed when the queue is full.
pub const MAX_ANSWERS: usize = 8_192;

/// Answers an entry until its session ends or this instance stops dispatching.
pub async fn serve(core: Rc<Core>, accepted: Accepted) {
    let entry = accepted.greeting.instance;
    // A bounded channel would reserve memory for all answers of every session.
    let (answers, outgoing) = async_channel::unbounded();
    if !core.dispatch.connect(&core, entry.clone(), answers.clone()) {
        return;
    }
    accepted.stream.set_nodelay(true).ok();
    let (reader, writer) = accepted.stream.split();
    let mut reader = Reader::new(reader);
    let writing = task::spawn_local(write_all(outgoing, writer));
    // The host drops its sender when the session is replaced, and this task has to end then too.
    loop {
        // A session without a question must not hold the turn of the others.
        if !reader.is_ready() && !wait_for_questions(&mut reader, &entry).await {
            break;
        }
        let now = || core.clock.now();
        let mut turn = core.dispatch.turns.next(now).await;
        let is_open = loop {
            let question = match reader.next_buffered() {
                Ok(Some(question)) => question,
                Ok(None) => break true,
                Err(error) => {
                    log::info!(entry:% = entry, error:% = error; "session with an entry failed");
                    break false;
                }
            };
            // Questions left on a replaced session have been withdrawn already.
            if !core.dispatch.is_connected(&entry, &answers) {
                break false;
            }
            if !answer(&core, &entry, &answers, question) {
                log::warn!(entry:% = entry; "closing the session of an entry that does not read its answers");
                break false;
            }
            if turn.count(now()) {
                break true;
            }
        };
        turn.end(now()).await;
        if !is_open {
            break;
        }
    }
    core.dispatch.disconnect(&entry, &answers);
    writing.cancel().await;
}

/// Waits until a question is buffered; returns whether the session goes on.
async fn wait_for_questions<R>(reader: &mut Reader<R>, entry: &id::Instance) -> bool
where
    R: AsyncRead + Unpin,
{
    match reader.fill().await {
        Ok(is_open) => is_open,
        Err(error) => {
            log::info!(entry:% = entry, error:% = error; "session with an entry failed");
            false
        }
    }
}

/// Answers a question; returns whether the entry reads its answers.
fn answer(
    core: &Rc<Core>,
    entry: &id::Instance,
    answers: &Sender<Answer>,
    question: Question,
) -> bool {
    let answer = match question {
        Question::Ask(request, purpose) => {
            let key = request.key.clone();
            let decision = match purpose {
                Purpose::Attempt => core.dispatch.place(core, request),
                Purpose::Copy => core.dispatch.place_copy(core, request),
            };
            core.dispatch.answer(key, decision)
        }
        Question::Tell { number, notice } => {
            // Entries resend only charges, so that no other notice needs an answer.
            let has_charges = !notice.charges.is_empty();
            let applied = core.dispatch.apply(core, notice);
            if !applied || !has_charges {
                return true;
            }
            Answer::Taken(number)
        }
        Question::Offer(request) => {
            let key = request.key.clone();
            let decision = core.dispatch.place_offered(core, request);
            core.dispatch.answer(key, decision)
        }
        Question::Summarize(summary) => {
            core.dispatch.adopt_summary(core, entry, summary);
            return true;
        }
        Question::Announce(announcements) => {
            core.dispatch.announce(core, entry, announcements);
            return true;
        }
    };
    answers.len() < MAX_ANSWERS && answers.try_send(answer).is_ok()
}

#[cfg(test)]
mod tests;
