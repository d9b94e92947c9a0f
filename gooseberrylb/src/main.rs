//! The gooseberrylb daemon.

use std::process::ExitCode;

use gooseberrylb::cli;

fn main() -> ExitCode {
    let options = cli::options().run();
    gooseberrylb::run(options)
}
