//! The daemon's command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The settings file.
    pub settings: PathBuf,
    /// Whether to check the settings and stop.
    pub check: bool,
}

/// The command line's grammar.
pub fn options() -> OptionParser<Options> {
    let settings = long("settings")
        .short('s')
        .help("The instance's settings: a file of JSON with comments")
        .argument::<PathBuf>("FILE");
    let check = long("check")
        .help("Check the settings, report all findings and stop")
        .switch();
    construct!(Options { settings, check })
        .to_options()
        .descr("Runs one instance of gooseberrylb, a request scheduler for unlike engines.")
        .version(env!("CARGO_PKG_VERSION"))
}
