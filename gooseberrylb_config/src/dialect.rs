//! Interface of a platform adapter, which translates between the platform's formats and the types
//! in this module: metadata of requests and responses, API calls, and the platform's list of
//! upstreams. An adapter makes no decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::declaration::Declaration;
use crate::directory::ListedUpstream;
use crate::directory::evacuation::Order;
use crate::directory::rollout::Rollout;
use crate::finding::{Finding, Findings};
use crate::id;
use crate::number::Rate;

/// Name and value of an HTTP header field.
pub type Field<'a> = httparse::Header<'a>;

/// Metadata of a caller's request, beyond HTTP itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestMetadata {
    /// Id of the caller's attempt; each attempt has its own.
    pub attempt: Option<Arc<str>>,
    /// How long the caller is still going to wait.
    pub patience: Option<Duration>,
    /// API key that identifies the client account.
    pub key: Option<Arc<str>>,
    /// Number of tokens in the prompt and maximum number in the output.
    pub tokens: Option<(u64, u64)>,
    /// Caller's estimate of the number of output tokens.
    pub expected_output: Option<u64>,
    /// Number of the last event that the caller received of a stream that it resumes.
    pub last_event: Option<u64>,
    /// Prompt as the caller describes it, whole.
    pub prompt: Option<Arc<str>>,
    /// Parts of the prompt that other requests may share, in order. What belongs to the request or
    /// its session alone is left out.
    pub parts: Vec<id::Part>,
}

/// Metadata of an upstream's response, beyond HTTP itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Whether the response carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream states that the request did not run and never will.
    pub not_run: bool,
    /// Id of the attempt that the response belongs to.
    pub attempt: Option<Arc<str>>,
    /// Whether the body has a content encoding, which means that it was not produced by the
    /// upstream itself.
    pub encoded: bool,
    /// What the upstream says of its own availability.
    pub statement: Statement,
    /// Time for which the upstream says that it stays cold.
    pub cold_for: Option<Duration>,
    /// Value of a header field about the availability that cannot be read and is ignored.
    pub unreadable: Option<Arc<str>>,
}

/// What an upstream says of its own availability in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Whether the upstream leaves and takes no new requests.
    pub leaving: bool,
    /// Time for which the upstream wants no request from this instance.
    pub closed_for: Option<Duration>,
    /// Rate of requests that the upstream takes from all instances together, for as long as it says
    /// so in its responses.
    pub limit: Option<Rate>,
    /// Number of requests that the upstream can turn away in a second without failing, for as long as
    /// it says so in its responses.
    pub tolerance: Option<u32>,
}

/// Header values that the system adds to a request to an upstream.
#[derive(Debug, Clone)]
pub struct Outgoing<'a> {
    /// Intended upstream; any other refuses the request.
    pub upstream: &'a id::Upstream,
    /// Client account of the request's API key.
    pub account: Option<&'a id::Account>,
    /// How long the caller is still going to wait.
    pub patience: Duration,
    /// Number of the last event that the caller received, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// API call from an operator, a caller or the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// An operator submits a declaration.
    Declare,
    /// An operator reads the latest declaration.
    ReadDeclaration,
    /// A caller asks for the addresses of entries; those in its data centre come first.
    Entries {
        /// Data centre of the caller.
        data_centre: Option<Arc<str>>,
        /// Region of the caller.
        region: Option<Arc<str>>,
        /// Host that the caller wants to send requests to.
        host: Option<Arc<str>>,
    },
    /// An operator orders a rollout.
    RollOut,
    /// An operator reads the state of a service's rollout.
    ReadRollout {
        /// Name of the service, not validated.
        service: Arc<str>,
    },
    /// An operator orders the evacuation of a data centre, or withdraws that order.
    Evacuate(Order),
    /// The platform asks whether this entry is ready to serve.
    Ready,
    /// Any other method and target.
    Unknown,
}

/// Operator's order to move a service's traffic to another release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: id::Service,
    /// Release of the upstreams that take over the traffic.
    pub release: Arc<str>,
    /// Maximum duration of the rollout.
    pub window: Duration,
}

/// One page of the platform's list of upstreams.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// Valid upstreams.
    pub entries: Vec<(id::Upstream, ListedUpstream)>,
    /// Upstreams that are cold, with the times for which they stay so.
    pub cold: Vec<(id::Upstream, Duration)>,
    /// Errors of the entries that were skipped as invalid.
    pub unusable: Vec<Finding>,
    /// Token of the next page, if there is one.
    pub next: Option<Arc<str>>,
}

/// Translation between a platform's formats and the product's types.
pub trait Dialect: Send + Sync {
    /// Returns the metadata of a caller's request.
    fn request_metadata(&self, fields: &[Field<'_>]) -> RequestMetadata;

    /// Whether a header field of callers is withheld from upstreams, because it is a secret or
    /// because only the system may set it.
    fn is_withheld(&self, name: &str) -> bool;

    /// Appends the header fields that the system adds to a request to an upstream.
    fn write_outgoing(&self, outgoing: &Outgoing<'_>, head: &mut Vec<u8>);

    /// Returns the metadata of an upstream's response.
    fn response_metadata(&self, status: u16, fields: &[Field<'_>]) -> ResponseMetadata;

    /// Returns the API call that an HTTP method and target stand for.
    fn decode_call(&self, method: &str, target: &str) -> Call;

    /// Decodes a declaration without validating its content.
    fn decode_declaration(&self, text: &str) -> Result<Declaration, Findings>;

    /// Decodes an order for a rollout.
    fn decode_rollout_order(&self, text: &str) -> Result<RolloutOrder, Findings>;

    /// Returns the response body that describes the state of a rollout.
    fn encode_rollout(&self, rollout: &Rollout) -> String;

    /// Returns the response body with the addresses of entries and how long a caller may cache
    /// them.
    fn encode_entries(&self, addresses: &[SocketAddr], keep: Duration) -> String;

    /// Returns the response body that describes an error.
    fn encode_error(&self, message: &str) -> String;

    /// Returns the request target of a page of the platform's list; `None` is the first page.
    fn page_target(&self, page: Option<&str>) -> String;

    /// Decodes a page of the platform's list.
    fn decode_page(&self, body: &[u8]) -> Result<Page, Finding>;
}
