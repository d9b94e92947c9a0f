//! Development and test tools of gooseberrylb: stand-ins for upstreams and other services around
//! it, a fault-injecting proxy, fleets of real processes, and the replay of recorded traces.
//! Nothing here is part of a release.

pub mod client;
pub mod demo;
pub mod engine;
pub mod fixture;
pub mod fleet;
pub mod http;
pub mod proxy;
pub mod replay;
pub mod slopes;
pub mod soak;
pub mod standin;
pub mod upstreams;
