//! Runs the daemon on a platform as real processes: three keepers and an entry, each on its own
//! loopback address, with stand-ins for the platform's list of upstreams and for the upstreams.

mod availability;
mod brittle;
mod copies;
mod crashes;
mod cuts;
mod declarations;
mod evacuations;
mod fleet;
mod keys;
mod limits;
mod memory;
#[path = "../../../gooseberrylb_testbed/src/proxy/owner.rs"]
mod owner;
mod placement;
mod prompts;
mod requests;
mod reuse;
mod rollouts;
mod standin;
mod stops;
mod truncation;
