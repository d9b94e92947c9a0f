//! Entry point of the gooseberrylb daemon, with the dialect of the platform.

use std::process::ExitCode;
use std::sync::Arc;

use gooseberrylb::cli;
use platform::Platform;

fn main() -> ExitCode {
    let options = cli::options().run();
    gooseberrylb::run(options, Arc::new(Platform))
}
