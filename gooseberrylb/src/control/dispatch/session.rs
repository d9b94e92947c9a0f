//! The dispatcher's end of a session with an entry, an instance that takes requests from callers.

use std::rc::Rc;

use async_std::task;
use futures::AsyncReadExt;
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
        let question = match reader.next().await {
            Ok(Some(question)) => question,
            Ok(None) => break,
            Err(error) => {
                log::info!(entry:% = entry, error:% = error; "session with an entry failed");
                break;
            }
        };
        // Questions left on a replaced session have been withdrawn already.
        if !core.dispatch.is_connected(&entry, &answers) {
            break;
        }
        let answer = match question {
            Question::Ask(request, purpose) => {
                let key = request.key.clone();
                let decision = match purpose {
                    Purpose::Attempt => core.dispatch.place(&core, request),
                    Purpose::Copy => core.dispatch.place_copy(&core, request),
                };
                Some(core.dispatch.answer(key, decision))
            }
            Question::Tell { number, notice } => {
                // Entries resend only charges, so that no other notice needs an answer.
                let has_charges = !notice.charges.is_empty();
                let applied = core.dispatch.apply(&core, notice);
                (applied && has_charges).then_some(Answer::Taken(number))
            }
            Question::Offer(request) => {
                let key = request.key.clone();
                let decision = core.dispatch.place_offered(&core, request);
                Some(core.dispatch.answer(key, decision))
            }
            Question::Summarize(summary) => {
                core.dispatch.adopt_summary(&core, &entry, summary);
                None
            }
            Question::Announce(announcements) => {
                core.dispatch.announce(&core, &entry, announcements);
                None
            }
        };
        if let Some(answer) = answer
            && (answers.len() >= MAX_ANSWERS || answers.try_send(answer).is_err())
        {
            log::warn!(entry:% = entry; "closing the session of an entry that does not read its answers");
            break;
        }
    }
    core.dispatch.disconnect(&entry, &answers);
    writing.cancel().await;
}
