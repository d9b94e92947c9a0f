//! The dispatcher's end of a session with an entry, an instance that takes requests from callers.

use std::io;
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
    if let Err(error) = answer_all(&core, &entry, &answers, &mut reader).await {
        log::info!(entry:% = entry, error:% = error; "session with an entry failed");
    }
    core.dispatch.disconnect(&entry, &answers);
    writing.cancel().await;
}

/// Answers questions, a few in each turn, until the session ends.
async fn answer_all<R>(
    core: &Rc<Core>,
    entry: &id::Instance,
    answers: &Sender<Answer>,
    reader: &mut Reader<R>,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
{
    let now = || core.clock.now();
    // A session without a question does not hold the turn of the others.
    while reader.fill().await? {
        let mut turn = core.dispatch.turns.next(now).await;
        while let Some(question) = reader.next_buffered()? {
            // Questions left on a replaced session have been withdrawn already.
            if !core.dispatch.is_connected(entry, answers) {
                return Ok(());
            }
            if !answer(core, entry, answers, question) {
                log::warn!(entry:% = entry; "closing the session of an entry that does not read its answers");
                return Ok(());
            }
            if turn.count(now()) {
                break;
            }
        }
        turn.end(now()).await;
    }
    Ok(())
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
