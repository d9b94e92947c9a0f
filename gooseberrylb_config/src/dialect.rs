//! What an adapter to a platform translates to and from: the product's own words for what requests,
//! upstreams, operators and the platform's list say. An adapter decides nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::declaration::Declaration;
use crate::directory::ListedUpstream;
use crate::directory::rollout::Rollout;
use crate::finding::{Finding, Findings};
use crate::id;

/// One field of an HTTP head: its name and its value.
pub type Field<'a> = httparse::Header<'a>;

/// What a request says of itself beside HTTP.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestMetadata {
    /// The id of this attempt of the caller; each attempt has its own.
    pub attempt: Option<Arc<str>>,
    /// How long the caller still waits.
    pub patience: Option<Duration>,
    /// The key that names the client account.
    pub key: Option<Arc<str>>,
    /// The tokens of the prompt, and the most that the output may have.
    pub tokens: Option<(u64, u64)>,
    /// The caller's guess at the output's tokens.
    pub expected_output: Option<u64>,
    /// The last event that the caller has of a stream that it takes up again.
    pub last_event: Option<u64>,
}

/// What an upstream's answer says of itself beside HTTP.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Whether it carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream states that the request did not run and never will.
    pub not_run: bool,
    /// The attempt that it answers.
    pub attempt: Option<Arc<str>>,
    /// Whether its body is encoded, so that it is not the upstream's own.
    pub encoded: bool,
}

/// What the system adds to a request that it sends to an upstream.
#[derive(Debug, Clone)]
pub struct Outgoing<'a> {
    /// The upstream that is meant; any other refuses the request.
    pub upstream: &'a id::Upstream,
    /// The account whose key the request showed.
    pub account: Option<&'a id::Account>,
    /// How long the caller still waits.
    pub patience: Duration,
    /// The last event that the caller has, where a stream is taken up again.
    pub last_event: Option<u64>,
}

/// A call from operators, callers or the platform to the system's own interfaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// An operator sends a declaration.
    Declare,
    /// An operator reads the newest declaration.
    ReadDeclaration,
    /// A caller asks for entries; those of its data centre come first.
    Entries {
        /// The caller's data centre.
        data_centre: Option<Arc<str>>,
    },
    /// An operator orders a rollout.
    RollOut,
    /// An operator asks how far a service's rollout has come.
    ReadRollout {
        /// The service's name, as it was sent.
        service: Arc<str>,
    },
    /// The platform asks whether this entry can serve.
    Ready,
    /// Anything else.
    Unknown,
}

/// An order to move a service's traffic to another release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: id::Service,
    /// The release of the upstreams that take the traffic.
    pub release: Arc<str>,
    /// How long the rollout may take.
    pub window: Duration,
}

/// One page of the platform's list of upstreams.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// The entries that can be used.
    pub entries: Vec<(id::Upstream, ListedUpstream)>,
    /// The entries that cannot, and why.
    pub unusable: Vec<Finding>,
    /// Names the following page.
    pub next: Option<Arc<str>>,
}

/// Translates between a platform and the product.
pub trait Dialect: Send + Sync {
    /// What a caller's request says of itself.
    fn request_metadata(&self, fields: &[Field<'_>]) -> RequestMetadata;

    /// Whether a caller's field is not passed on, since the system sets it itself or it is a secret.
    fn is_withheld(&self, name: &str) -> bool;

    /// Writes the fields that the system adds to a request.
    fn write_outgoing(&self, outgoing: &Outgoing<'_>, head: &mut Vec<u8>);

    /// What an upstream's answer says of itself.
    fn response_metadata(&self, status: u16, fields: &[Field<'_>]) -> ResponseMetadata;

    /// Which call a method and target are.
    fn decode_call(&self, method: &str, target: &str) -> Call;

    /// Decodes a declaration, without checking what it means.
    fn decode_declaration(&self, text: &str) -> Result<Declaration, Findings>;

    /// Decodes an order of a rollout.
    fn decode_rollout_order(&self, text: &str) -> Result<RolloutOrder, Findings>;

    /// The body that tells how far a rollout has come.
    fn encode_rollout(&self, rollout: &Rollout) -> String;

    /// The body that tells a caller of entries, and how long it may keep them.
    fn encode_entries(&self, addresses: &[SocketAddr], keep: Duration) -> String;

    /// The body that tells what is wrong.
    fn encode_error(&self, message: &str) -> String;

    /// The target by which a page of the platform's list is read.
    fn page_target(&self, page: Option<&str>) -> String;

    /// Decodes a page of the platform's list.
    fn decode_page(&self, body: &[u8]) -> Result<Page, Finding>;
}
