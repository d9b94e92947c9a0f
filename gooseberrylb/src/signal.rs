//! The signals that the daemon listens for.

use std::io;

use futures::StreamExt;
use signal_hook::consts::signal::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// A planned stop, by the signal of this name.
    Stop(&'static str),
    /// To read the settings again.
    Reload,
}

/// The signals as they come.
pub struct Orders(Signals);

impl Orders {
    /// Starts to listen.
    pub fn new() -> io::Result<Self> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(Self)
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Order {
        match self.0.next().await {
            Some(SIGHUP) => Order::Reload,
            Some(SIGINT) => Order::Stop("SIGINT"),
            _ => Order::Stop("SIGTERM"),
        }
    }
}
