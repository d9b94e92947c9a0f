//! Commands that submit, show, list and watch release notes.

use std::path::Path;
use std::time::Duration;

use gooseberrylb_config::answer::{self, Accepted, Item, Notes, Progress};
use gooseberrylb_config::note::{Note, time};
use gooseberrylb_config::number;

use crate::cli::Access;
use crate::client::{self, Call};
use crate::failure::Failure;
use crate::output::print_line;
use crate::table;

/// Interval at which a watched note is polled.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Number of consecutive polls without an answer after which watching fails.
const MAX_UNANSWERED_POLLS: u32 = 30;

/// Checks the note in `file` and submits it if it is valid by itself.
pub async fn submit(access: &Access, file: &Path) -> Result<(), Failure> {
    let path = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Failure::Input(format!("{path}: {error}")))?;
    Note::parse(&text).map_err(|findings| Failure::Findings {
        file: path,
        findings,
    })?;
    let call = Call::post("/v1/notes", text);
    if let Some(accepted) = client::fetch::<Accepted>(access, &call).await? {
        print_line!(
            "note {} accepted, revision {}, digest {}",
            accepted.note,
            accepted.revision,
            accepted.digest
        );
    }
    Ok(())
}

/// Returns the query for the progress of a note.
fn note_query(note: number::Note) -> Call {
    Call::get(format!("/v1/notes/{note}"))
}

/// Prints the progress of a note.
pub async fn show(access: &Access, number: number::Note) -> Result<(), Failure> {
    if let Some(note) = client::fetch::<answer::Note>(access, &note_query(number)).await? {
        print_summary(&note);
        print_items(&note.items);
    }
    Ok(())
}

/// Returns the text that tells whether a note is in force on all instances.
fn in_force(in_force: bool) -> &'static str {
    if in_force {
        "in force everywhere"
    } else {
        "not in force everywhere yet"
    }
}

fn print_summary(note: &answer::Note) {
    print_line!(
        "note {} of {}, accepted {}, revision {}: {}, {}",
        note.note,
        note.author,
        time::format(note.at),
        note.revision,
        note.state,
        in_force(note.in_force)
    );
    print_line!("digest {}", note.digest);
}

fn print_items(items: &[Item]) {
    let headers = [
        "item", "name", "state", "share", "phase", "step", "since", "move by", "reason",
    ];
    let text = |value: Option<String>| value.unwrap_or_default();
    let rows: Vec<Vec<String>> = items
        .iter()
        .map(|item| {
            vec![
                item.what.to_string(),
                item.name.to_string(),
                item.state.to_string(),
                text(item.share.map(|share| share.to_string())),
                text(item.phase.as_ref().map(|phase| phase.to_string())),
                text(item.step.map(|step| step.to_string())),
                time::format(item.since),
                text(item.move_by.map(time::format)),
                item.reason.to_string(),
            ]
        })
        .collect();
    table::print(&headers, &rows);
}

/// Prints the accepted notes.
pub async fn list(access: &Access) -> Result<(), Failure> {
    let call = Call::get("/v1/notes");
    let Some(notes) = client::fetch::<Notes>(access, &call).await? else {
        return Ok(());
    };
    let headers = [
        "note", "author", "accepted", "revision", "state", "in force",
    ];
    let rows: Vec<Vec<String>> = notes
        .notes
        .iter()
        .map(|note| {
            vec![
                note.note.to_string(),
                note.author.to_string(),
                time::format(note.at),
                note.revision.to_string(),
                note.state.to_string(),
                if note.in_force { "yes" } else { "no" }.to_owned(),
            ]
        })
        .collect();
    table::print(&headers, &rows);
    Ok(())
}

/// Prints each change of a note until its moves have ended and it is in force on all instances.
pub async fn watch(access: &Access, number: number::Note) -> Result<(), Failure> {
    let mut last: Option<answer::Note> = None;
    let mut unanswered = 0;
    loop {
        match client::send(access, &note_query(number)).await {
            Ok(body) => {
                unanswered = 0;
                let note: answer::Note = client::parse(&body)?;
                if last.as_ref() != Some(&note) {
                    print_change(access, &body, &note, last.as_ref());
                }
                if note.state != Progress::Moving && note.in_force {
                    return Ok(());
                }
                last = Some(note);
            }
            Err(Failure::NoAnswer(_)) if unanswered + 1 < MAX_UNANSWERED_POLLS => unanswered += 1,
            Err(failure) => return Err(failure),
        }
        async_std::task::sleep(WATCH_INTERVAL).await;
    }
}

/// Prints the state of a note and its items that differ from `before`.
fn print_change(access: &Access, body: &str, note: &answer::Note, before: Option<&answer::Note>) {
    if access.json {
        print_line!("{}", body.trim_end());
        return;
    }
    print_line!(
        "note {}: {}, {}",
        note.note,
        note.state,
        in_force(note.in_force)
    );
    let previous = before.map_or(&[][..], |before| &before.items);
    for item in note.items.iter().filter(|item| !previous.contains(item)) {
        let share = item.share.map(|share| format!(", share {share}"));
        print_line!(
            "  {} {} {}: {}{}: {}",
            time::format(item.since),
            item.what,
            item.name,
            item.state,
            share.unwrap_or_default(),
            item.reason
        );
    }
}
