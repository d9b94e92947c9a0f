//! Checks that the notes and settings in `examples/` and the notes in `docs/NOTES.md` are accepted.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gooseberrylb_config::note::Note;
use gooseberrylb_config::number::Index;
use gooseberrylb_config::settings::Settings;
use gooseberrylb_control::state::{Command, Reply, State};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn at() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_790_000_000)
}

/// Submits the named texts in order to one state, each of which must be accepted.
fn submit(texts: &[(String, String)]) {
    let mut state = State::new();
    for (i, (name, text)) in texts.iter().enumerate() {
        let note = Note::parse(text).unwrap_or_else(|findings| panic!("{name}:\n{findings}"));
        let command = Command::Submit {
            note: Box::new(note),
            via: "i1".parse().unwrap(),
            at: at(),
        };
        let reply = state.apply(Index(i as u64 + 1), &command);
        assert!(matches!(reply, Reply::Accepted(_)), "{name}: {reply:?}");
    }
}

/// Returns the texts of the JSON files in `examples/` by file name.
fn examples() -> BTreeMap<String, String> {
    let files = std::fs::read_dir(root().join("examples")).unwrap();
    let paths = files.map(|file| file.unwrap().path());
    paths
        .filter(|path| path.extension().is_some_and(|end| end == "json"))
        .map(|path| {
            let name = path.file_name().unwrap().to_str().unwrap().to_owned();
            (name, std::fs::read_to_string(path).unwrap())
        })
        .collect()
}

#[test]
fn example_notes_of_each_set_are_accepted_in_name_order() {
    let mut sets: BTreeMap<String, Vec<(String, String)>> = BTreeMap::new();
    for (name, text) in examples() {
        let set = name.split(['-', '.']).next().unwrap().to_owned();
        if set != "settings" {
            sets.entry(set).or_default().push((name, text));
        }
    }
    assert!(sets.contains_key("orsenigo") && sets.contains_key("benammar"));
    sets.values().for_each(|texts| submit(texts));
}

#[test]
fn example_settings_have_no_findings() {
    let settings = examples();
    let settings: Vec<_> = settings
        .iter()
        .filter(|(name, _)| name.starts_with("settings-"))
        .collect();
    assert!(!settings.is_empty());
    for (name, text) in settings {
        Settings::parse(text).unwrap_or_else(|findings| panic!("{name}:\n{findings}"));
    }
}

#[test]
fn the_notes_on_the_page_are_accepted_in_their_order() {
    let page = std::fs::read_to_string(root().join("docs/NOTES.md")).unwrap();
    let blocks = page.split("```json\n").skip(1);
    let texts: Vec<(String, String)> = blocks
        .map(|block| block.split("```").next().unwrap().to_owned())
        .enumerate()
        .map(|(i, text)| (format!("docs/NOTES.md, note {}", i + 1), text))
        .collect();
    assert_eq!(texts.len(), 4);
    submit(&texts);
}
