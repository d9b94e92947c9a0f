//! Kinds of link. Control state and traffic have links of their own, so that neither waits for the
//! other's thread; two more kinds connect the entries of a platform to the dispatcher and to each
//! other.

use std::future::Future;
use std::time::Duration;

use capnp::capability::FromClientHook;
use serde::{Deserialize, Serialize};

use crate::peer_capnp::{control, traffic};

/// Kind of link, as announced in the handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Link for calls about the control state.
    Control,
    /// Link for calls about requests.
    Traffic,
    /// An entry's [session with the dispatcher](crate::dispatch).
    Dispatch,
    /// Connection on which an entry sends callers' requests, in HTTP, for another entry to forward.
    Delegate,
}

/// Kind of link that carries Cap'n Proto calls.
pub trait Plane: 'static {
    /// Client on which calls are made.
    type Client: FromClientHook + Clone + 'static;

    /// Kind to announce in the handshake.
    const KIND: Kind;

    /// Time without calls after which the link is closed, if any.
    const IDLE_TIMEOUT: Option<Duration>;

    /// Sends a ping, to which the other end responds at once.
    fn ping(client: &Self::Client) -> impl Future<Output = Result<(), capnp::Error>> + 'static;
}

/// Link for calls about the control state.
pub struct Control;

impl Plane for Control {
    type Client = control::Client;

    const KIND: Kind = Kind::Control;

    // Longer than any call about the control state, so none is cut off.
    const IDLE_TIMEOUT: Option<Duration> = Some(Duration::from_secs(10));

    fn ping(client: &control::Client) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let response = client.ping_request().send().promise;
        async move { response.await.map(drop) }
    }
}

/// Link for calls about requests.
pub struct Traffic;

impl Plane for Traffic {
    type Client = traffic::Client;

    const KIND: Kind = Kind::Traffic;

    // A call stays pending for as long as its request waits for a decision.
    const IDLE_TIMEOUT: Option<Duration> = None;

    fn ping(client: &traffic::Client) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let response = client.ping_request().send().promise;
        async move { response.await.map(drop) }
    }
}
