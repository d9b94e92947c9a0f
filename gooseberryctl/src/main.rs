//! Operator's command line tool for gooseberrylb: submits release notes and shows their progress
//! and the state of the system.
//!
//! It sends HTTP requests to any instance. `docs/INTERFACE.md` describes the requests and
//! `docs/NOTES.md` the notes.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

use crate::failure::Failure;

mod cli;
mod client;
mod evacuations;
mod failure;
mod notes;
mod output;
mod placement;
mod queries;
mod table;

/// Width at which usage texts are wrapped, in characters.
const USAGE_WIDTH: usize = 100;

fn main() -> ExitCode {
    let options = match cli::options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return print_usage(&failure),
    };
    match async_std::task::block_on(run(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            failure.exit_code()
        }
    }
}

/// Prints the help, version or usage error and returns the exit code.
fn print_usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(USAGE_WIDTH);
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
        ParseFailure::Stderr(_) => ExitCode::from(failure::EXIT_USAGE),
    }
}

async fn run(options: cli::Options) -> Result<(), Failure> {
    let cli::Options { access, command } = options;
    match command {
        cli::Command::Submit { file } => notes::submit(&access, &file).await,
        cli::Command::Show { note } => notes::show(&access, note).await,
        cli::Command::List => notes::list(&access).await,
        cli::Command::Watch { note } => notes::watch(&access, note).await,
        cli::Command::Status => queries::status(&access).await,
        cli::Command::Declaration => queries::declaration(&access).await,
        cli::Command::Rollouts => queries::rollouts(&access).await,
        cli::Command::Placement(question) => placement::explain(&access, &question).await,
        cli::Command::Evacuations => evacuations::list(&access).await,
        cli::Command::Evacuate {
            data_centre,
            active,
        } => evacuations::order(&access, &data_centre, active).await,
        cli::Command::Upstreams => queries::upstreams(&access).await,
        cli::Command::Addresses { account, callers } => {
            queries::addresses(&access, &account, &callers).await
        }
        cli::Command::Audit { after } => queries::audit(&access, after).await,
        cli::Command::Report(report) => queries::report(&access, &report).await,
    }
}
