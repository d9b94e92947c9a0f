//! Signals that the daemon handles: SIGTERM and SIGINT stop it, SIGHUP checks the settings again.

use std::io;

use futures::StreamExt;
use signal_hook::consts::signal::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// Action requested by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Stop gracefully, on the signal of this name.
    Stop(&'static str),
    /// Read the settings again.
    Reload,
}

/// Receives the signals sent to the process.
pub struct Receiver(Signals);

impl Receiver {
    /// Installs the signal handlers.
    pub fn new() -> io::Result<Self> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(Self)
    }

    /// Waits for the next signal and returns its action.
    pub async fn next(&mut self) -> Action {
        match self.0.next().await {
            Some(SIGHUP) => Action::Reload,
            Some(SIGINT) => Action::Stop("SIGINT"),
            _ => Action::Stop("SIGTERM"),
        }
    }
}
