//! The dispatcher's end of an entry's line.

use std::rc::Rc;

use async_std::task;
use futures::AsyncReadExt;
use gooseberrylb_wire::dispatch::{Answer, Question, Reader, write_all};

use crate::control::{Accepted, Core};

/// The most answers that wait for an entry that does not read; its line is closed then.
const MAX_ANSWERS: usize = 8_192;

/// Answers an entry until its line ends or this instance dispatches no more.
pub async fn serve(core: Rc<Core>, accepted: Accepted) {
    let entry = accepted.greeting.instance;
    let (answers, outgoing) = async_channel::bounded(MAX_ANSWERS);
    if !core.dispatch.connect(&core, entry.clone(), answers.clone()) {
        return;
    }
    accepted.stream.set_nodelay(true).ok();
    let (reader, writer) = accepted.stream.split();
    let mut reader = Reader::new(reader);
    let writing = task::spawn_local(write_all(outgoing, writer));
    // The host drops its end of the channel with the line, and this task must end as well.
    loop {
        let question = match reader.next().await {
            Ok(Some(question)) => question,
            Ok(None) => break,
            Err(error) => {
                log::info!(entry:% = entry, error:% = error; "an entry's line to the dispatcher broke off");
                break;
            }
        };
        // What still stands on a line that was replaced is withdrawn already.
        if !core.dispatch.is_connected(&entry, &answers) {
            break;
        }
        let answer = match question {
            Question::Ask(request) => {
                let key = request.key.clone();
                let decision = core.dispatch.place(&core, request);
                Some(Answer::Decided(key, decision))
            }
            Question::Tell { number, notice } => {
                let applied = core.dispatch.apply(&core, notice);
                applied.then_some(Answer::Taken(number))
            }
        };
        if let Some(answer) = answer
            && answers.try_send(answer).is_err()
        {
            log::warn!(entry:% = entry; "an entry does not read the dispatcher's answers; its line is closed");
            break;
        }
    }
    core.dispatch.disconnect(&entry, &answers);
    writing.cancel().await;
}
