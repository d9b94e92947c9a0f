//! Declared properties of a service that decide how much its upstreams are sent.

use gooseberrylb_config::declaration::{Service, WarmUp};

use super::Request;

/// Properties of the upstreams of one service. Those that are not declared bind nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Profile {
    /// How upstreams start.
    pub warm_up: Option<WarmUp>,
    /// Number of tokens that one engine holds for its requests.
    pub memory: Option<u64>,
    /// Number of tokens in an event of a stream.
    pub stride: u32,
}

impl Profile {
    /// Returns the number of tokens that a request is expected to hold at its end.
    pub(super) fn tokens(&self, request: &Request) -> u64 {
        let output = request.events.saturating_mul(self.stride.max(1).into());
        request.prompt.saturating_add(output)
    }
}

impl From<&Service> for Profile {
    fn from(service: &Service) -> Self {
        Self {
            warm_up: service.warm_up,
            memory: service.memory,
            stride: service.stride.unwrap_or(1),
        }
    }
}
