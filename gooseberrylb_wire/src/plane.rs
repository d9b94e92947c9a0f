//! The kinds of link: one for control state and one for traffic, so that neither waits for the other's
//! thread, and one for the questions of a platform's entries to the dispatcher.

use std::future::Future;
use std::time::Duration;

use capnp::capability::FromClientHook;
use serde::{Deserialize, Serialize};

use crate::peer_capnp::{control, traffic};

/// Tells the kinds of link apart in the handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Calls about the control state.
    Control,
    /// Calls about requests.
    Traffic,
    /// An entry's [line to the dispatcher](crate::dispatch).
    Dispatch,
}

/// A kind of link.
pub trait Plane: 'static {
    /// What calls are made on.
    type Client: FromClientHook + Clone + 'static;

    /// The kind's number in the handshake.
    const KIND: Kind;

    /// How long a link stays open that nobody makes calls on; without one, for good.
    const IDLE_LIMIT: Option<Duration>;

    /// Asks the other end for a sign of life.
    fn ping(client: &Self::Client) -> impl Future<Output = Result<(), capnp::Error>> + 'static;
}

/// The link for control state.
pub struct Control;

impl Plane for Control {
    type Client = control::Client;

    const KIND: Kind = Kind::Control;

    // Calls about the control state end within seconds, so none is cut off by this.
    const IDLE_LIMIT: Option<Duration> = Some(Duration::from_secs(10));

    fn ping(client: &control::Client) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let answer = client.ping_request().send().promise;
        async move { answer.await.map(drop) }
    }
}

/// The link for traffic.
pub struct Traffic;

impl Plane for Traffic {
    type Client = traffic::Client;

    const KIND: Kind = Kind::Traffic;

    // A request may wait long for its decision, and the link with it.
    const IDLE_LIMIT: Option<Duration> = None;

    fn ping(client: &traffic::Client) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let answer = client.ping_request().send().promise;
        async move { answer.await.map(drop) }
    }
}
