//! Logging through logforth.
//!
//! Log lines report changes of state and are few; counts belong to the [metrics](crate::metrics).

use std::path::Path;

use anyhow::{Context, anyhow};
use gooseberrylb_config::settings;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::append::file::FileBuilder;
use logforth::append::{Stderr, Stdout};
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

/// Maximum number of lines buffered for standard output. Further lines are dropped, so that logging
/// never blocks. At one line per request this covers some seconds of the peak load of one entry.
const BUFFERED_LINES: usize = 2_000;

/// Number of rotated log files kept beside the current one.
const MAX_ROTATED_FILES: usize = 7;

fn to_log_level(level: settings::Level) -> Level {
    match level {
        settings::Level::Error => Level::Error,
        settings::Level::Warn => Level::Warn,
        settings::Level::Info => Level::Info,
        settings::Level::Debug => Level::Debug,
        settings::Level::Trace => Level::Trace,
    }
}

/// Starts logging to the destination in the settings.
pub fn start(log: &settings::Log) -> anyhow::Result<()> {
    let filter = LevelFilter::MoreSevereEqual(to_log_level(log.level));
    match &log.file {
        None if log.stdout => logforth::starter_log::builder()
            .dispatch(|d| {
                let stdout = Stdout::default().with_layout(JsonLayout::default());
                let append = AsyncBuilder::new("log")
                    .buffered_lines_limit(Some(BUFFERED_LINES))
                    .overflow_drop_incoming()
                    .append(stdout)
                    .build();
                d.filter(filter).append(append)
            })
            .try_apply()
            .map_err(|e| anyhow!("cannot start logging: {e}")),
        None => logforth::starter_log::builder()
            .dispatch(|d| d.filter(filter).append(Stderr::default()))
            .try_apply()
            .map_err(|e| anyhow!("cannot start logging: {e}")),
        Some(file) => to_file(file, filter),
    }
}

/// Starts logging to a file that is rotated daily.
fn to_file(file: &Path, filter: LevelFilter) -> anyhow::Result<()> {
    let folder = file.parent().unwrap_or(Path::new("."));
    let name = file
        .file_name()
        .context("setting log.file has no file name")?;
    let max_files = MAX_ROTATED_FILES
        .try_into()
        .context("the number of log files to keep is zero")?;
    let append = FileBuilder::new(folder, name.to_string_lossy())
        .rollover_daily()
        .max_log_files(max_files)
        .build()
        .map_err(|e| anyhow!("cannot write the log file {}: {e}", file.display()))?;
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(append))
        .try_apply()
        .map_err(|e| anyhow!("cannot start logging: {e}"))
}
