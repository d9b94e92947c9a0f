//! Declared properties of a service that decide how much its upstreams are sent.

use gooseberrylb_config::declaration::{Service, WarmUp};

/// Properties of the upstreams of one service. Those that are not declared bind nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Profile {
    /// How upstreams start.
    pub warm_up: Option<WarmUp>,
    /// Number of tokens that one engine holds for its requests.
    pub memory: Option<u64>,
}

impl From<&Service> for Profile {
    fn from(service: &Service) -> Self {
        Self {
            warm_up: service.warm_up,
            memory: service.memory,
        }
    }
}
