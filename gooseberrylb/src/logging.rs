//! Log lines by logforth: few of them, for changes of state; counts are [metrics](crate::metrics).

use std::path::Path;

use anyhow::{Context, anyhow};
use gooseberrylb_config::settings;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::append::file::FileBuilder;
use logforth::append::{Stderr, Stdout};
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

/// The most lines that wait for a reader of standard output; more are dropped, so that none is ever
/// waited for. At a line a request this is some seconds of the heaviest load of one entry.
const BUFFERED_LINES: usize = 2_000;

/// How many rotated log files are kept beside the one being written.
const KEPT_FILES: usize = 7;

fn least_severe(level: settings::Level) -> Level {
    match level {
        settings::Level::Error => Level::Error,
        settings::Level::Warn => Level::Warn,
        settings::Level::Info => Level::Info,
        settings::Level::Debug => Level::Debug,
        settings::Level::Trace => Level::Trace,
    }
}

/// Starts logging as the settings say.
pub fn start(log: &settings::Log) -> anyhow::Result<()> {
    let filter = LevelFilter::MoreSevereEqual(least_severe(log.level));
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

fn to_file(file: &Path, filter: LevelFilter) -> anyhow::Result<()> {
    let folder = file.parent().unwrap_or(Path::new("."));
    let name = file.file_name().context("log.file names no file")?;
    let keep = KEPT_FILES
        .try_into()
        .context("no log files would be kept")?;
    let append = FileBuilder::new(folder, name.to_string_lossy())
        .rollover_daily()
        .max_log_files(keep)
        .build()
        .map_err(|e| anyhow!("cannot write the log file {}: {e}", file.display()))?;
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(append))
        .try_apply()
        .map_err(|e| anyhow!("cannot start logging: {e}"))
}
