//! Commands about release notes.

use std::path::Path;
use std::time::Duration;

use gooseberrylb_config::answer::{self, Accepted, Item, Notes, Progress};
use gooseberrylb_config::note::{Note, time};
use gooseberrylb_config::number;

use crate::cli::Access;
use crate::client::{self, Call};
use crate::failure::Failure;
use crate::output::say;
use crate::table;

/// How often a note that is followed is asked for.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// How many times in a row a note that is followed may go unanswered.
const WATCH_ATTEMPTS: u32 = 30;

/// Submits the note in `file`, if nothing is wrong with it as it stands.
pub async fn submit(access: &Access, file: &Path) -> Result<(), Failure> {
    let shown = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Failure::Input(format!("{shown}: {error}")))?;
    Note::parse(&text).map_err(|findings| Failure::Findings {
        file: shown,
        findings,
    })?;
    let call = Call::post("/v1/notes", text);
    if let Some(accepted) = client::ask_for::<Accepted>(access, &call).await? {
        say!(
            "note {} accepted, revision {}, digest {}",
            accepted.note,
            accepted.revision,
            accepted.digest
        );
    }
    Ok(())
}

fn path_of(note: number::Note) -> Call {
    Call::get(format!("/v1/notes/{note}"))
}

/// Shows what became of a note.
pub async fn show(access: &Access, number: number::Note) -> Result<(), Failure> {
    if let Some(note) = client::ask_for::<answer::Note>(access, &path_of(number)).await? {
        print_head(&note);
        print_items(&note.items);
    }
    Ok(())
}

fn in_force(in_force: bool) -> &'static str {
    if in_force {
        "in force everywhere"
    } else {
        "not in force everywhere yet"
    }
}

fn print_head(note: &answer::Note) {
    say!(
        "note {} of {}, accepted {}, revision {}: {}, {}",
        note.note,
        note.author,
        time::format(note.at),
        note.revision,
        note.state,
        in_force(note.in_force)
    );
    say!("digest {}", note.digest);
}

fn print_items(items: &[Item]) {
    let heads = [
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
    table::print(&heads, &rows);
}

/// Lists the accepted notes.
pub async fn list(access: &Access) -> Result<(), Failure> {
    let call = Call::get("/v1/notes");
    let Some(notes) = client::ask_for::<Notes>(access, &call).await? else {
        return Ok(());
    };
    let heads = [
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
    table::print(&heads, &rows);
    Ok(())
}

/// Prints each change of a note until nothing in it moves and it is in force.
pub async fn watch(access: &Access, number: number::Note) -> Result<(), Failure> {
    let mut shown: Option<answer::Note> = None;
    let mut unanswered = 0;
    loop {
        match client::ask(access, &path_of(number)).await {
            Ok(body) => {
                unanswered = 0;
                let note: answer::Note = client::parse(&body)?;
                if shown.as_ref() != Some(&note) {
                    print_change(access, &body, &note, shown.as_ref());
                }
                if note.state != Progress::Moving && note.in_force {
                    return Ok(());
                }
                shown = Some(note);
            }
            Err(Failure::NoAnswer(_)) if unanswered + 1 < WATCH_ATTEMPTS => unanswered += 1,
            Err(failure) => return Err(failure),
        }
        async_std::task::sleep(WATCH_INTERVAL).await;
    }
}

fn print_change(access: &Access, body: &str, note: &answer::Note, before: Option<&answer::Note>) {
    if access.json {
        say!("{}", body.trim_end());
        return;
    }
    say!(
        "note {}: {}, {}",
        note.note,
        note.state,
        in_force(note.in_force)
    );
    let known = before.map_or(&[][..], |before| &before.items);
    for item in note.items.iter().filter(|item| !known.contains(item)) {
        let share = item.share.map(|share| format!(", share {share}"));
        say!(
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
