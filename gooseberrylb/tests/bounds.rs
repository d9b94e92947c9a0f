//! Every duration that is a constant of the control plane or the gateway is named in `docs/BOUNDS.md`.

use std::fs;
use std::path::{Path, PathBuf};

/// Folders of sources that are checked, from the workspace's root, each with the files beside it.
const SOURCES: [&str; 4] = [
    "gooseberrylb/src/control",
    "gooseberrylb/src/gateway",
    "gooseberrylb_control/src",
    "gooseberrylb_config/src/settings",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns the sources in a folder and those beside it, without tests.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let beside = folder.with_extension("rs");
    let mut files: Vec<PathBuf> = beside.is_file().then_some(beside).into_iter().collect();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(sources(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files.retain(|path| path.file_name().is_some_and(|name| name != "tests.rs"));
    files.sort_unstable();
    files.dedup();
    files
}

/// Returns the name of the constant that a line defines, if it is a duration.
fn constant(line: &str) -> Option<&str> {
    let (before, after) = line.split_once("const ")?;
    let (name, definition) = after.split_once(':')?;
    let (kind, _) = definition.split_once('=')?;
    let is_definition = before.trim().is_empty() || before.trim().starts_with("pub");
    (is_definition && kind.trim().ends_with("Duration")).then_some(name)
}

#[test]
fn constants_that_a_promise_may_rest_on_are_named_in_the_page_on_bounds() {
    let page = fs::read_to_string(root().join("docs/BOUNDS.md")).unwrap();
    let mut found = 0;
    let mut missing = Vec::new();
    for folder in SOURCES {
        for path in sources(&root().join(folder)) {
            let text = fs::read_to_string(&path).unwrap();
            let path = path.with_extension("");
            let path = path.to_str().unwrap();
            let (_, module) = path.rsplit_once("/src/").unwrap();
            for name in text.lines().filter_map(constant) {
                let name = format!("`{module}::{name}`");
                found += 1;
                if !page.contains(&name) {
                    missing.push(name);
                }
            }
        }
    }
    assert!(found > 50, "only {found} constants were found");
    assert!(
        missing.is_empty(),
        "docs/BOUNDS.md does not name {missing:?}. Derive a duration that a promise of the platform rests \
         on in gooseberrylb_config/src/settings/timing.rs, and name it in the page's table; name one that \
         rests on no promise in the list below it."
    );
}
