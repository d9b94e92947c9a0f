//! Command line of the daemon.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

/// Parsed command-line options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// Returns the parser of the command line.
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
        .descr("Runs one instance of gooseberrylb, a request scheduler for heterogeneous engines.")
        .version(env!("CARGO_PKG_VERSION"))
}
