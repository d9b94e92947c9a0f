//! The signals that ask for a planned stop.

use std::io;

use futures::StreamExt;
use signal_hook::consts::signal::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// The signals that end the instance.
pub struct Stop(Signals);

impl Stop {
    /// Starts to listen for the signals.
    pub fn new() -> io::Result<Self> {
        Signals::new([SIGTERM, SIGINT]).map(Self)
    }

    /// Waits for a signal, and gives its name.
    pub async fn wait(&mut self) -> &'static str {
        match self.0.next().await {
            Some(SIGINT) => "SIGINT",
            _ => "SIGTERM",
        }
    }
}
