//! Release notes, by which operators add, change and withdraw services, accounts, models, adapters,
//! upstreams and versions. See `docs/NOTES.md` for the format.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::finding::Findings;
use crate::id;
use crate::number;
use crate::reader::{self, read_object};

mod check;
mod digest;
pub mod time;

pub use digest::Digest;

/// Protocol of an upstream or a service: the engine protocol, or plain HTTP passed through
/// unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engine with continuous batching.
    Engine,
    /// Ordinary service.
    Plain,
}

/// Route of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route, the last segment of the path that callers post to.
    pub name: id::Route,
    /// Priority class of the route's requests; 1 is the highest.
    pub tier: number::Tier,
    /// Whether requests are idempotent, which decides when a retry is allowed.
    pub repeatable: bool,
}

/// Service that callers address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service in the path that callers post to.
    pub name: id::Service,
    /// Protocol of the service's upstreams.
    pub kind: Kind,
    /// Routes of the service.
    pub routes: Vec<Route>,
}

/// Client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account in the `Client-Account` header.
    pub name: id::Account,
    /// Weight relative to the other accounts of a tier; 1 by default.
    #[serde(default = "default_share")]
    pub share: u32,
}

/// Default of [`Account::share`].
fn default_share() -> u32 {
    1
}

/// Model whose weights are in the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: id::Model,
    /// Size of the weights, from which their loading time is estimated.
    pub bytes: number::Bytes,
}

/// Adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name of the adapter.
    pub name: id::Adapter,
    /// Model that the adapter belongs to.
    pub model: id::Model,
    /// Size of the adapter's weights.
    pub bytes: number::Bytes,
}

/// Back end that runs requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: id::Upstream,
    /// Service that the upstream runs.
    pub service: id::Service,
    /// Protocol that the upstream speaks.
    pub kind: Kind,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Data centre that the upstream is in.
    pub data_centre: id::DataCentre,
    /// Maximum number of concurrent requests.
    pub slots: number::Slots,
    /// Whether the upstream refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Version of a service, run by some of the service's upstreams.
///
/// No field may be skipped when serialized, because the type is also sent in an encoding without
/// field names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name of the version.
    pub name: id::Version,
    /// Service that the version belongs to.
    pub service: id::Service,
    /// Upstreams that run the version.
    pub upstreams: Vec<id::Upstream>,
    /// Version whose traffic this version takes over.
    #[serde(default)]
    pub replaces: Option<id::Version>,
    /// Model that the version runs, loaded before traffic moves.
    #[serde(default)]
    pub model: Option<id::Model>,
    /// Adapter that the version runs.
    #[serde(default)]
    pub adapter: Option<id::Adapter>,
    /// Deadline by which the traffic of `replaces` is moved or given back.
    #[serde(default, with = "crate::note::time::option")]
    pub move_by: Option<SystemTime>,
}

/// Items that a note adds or changes. A changed item is replaced as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// Services to add or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
    /// Client accounts to add or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub client_accounts: Vec<Account>,
    /// Models to add or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Model>,
    /// Adapters to add or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<Adapter>,
    /// Upstreams to add or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<Upstream>,
    /// Versions to add or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<Version>,
}

/// Names of the items that a note withdraws.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Withdrawals {
    /// Services to withdraw.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<id::Service>,
    /// Client accounts to withdraw.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub client_accounts: Vec<id::Account>,
    /// Models to withdraw.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<id::Model>,
    /// Adapters to withdraw.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<id::Adapter>,
    /// Upstreams to withdraw.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<id::Upstream>,
    /// Versions to withdraw.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<id::Version>,
}

/// Release note as submitted by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Number that the operator chose; makes a resend idempotent.
    pub note: number::Note,
    /// Operator who submits the note.
    pub author: id::Author,
    /// Items to add.
    #[serde(default)]
    pub added: Changes,
    /// Items to replace.
    #[serde(default)]
    pub changed: Changes,
    /// Items to withdraw.
    #[serde(default)]
    pub withdrawn: Withdrawals,
}

/// Error for a text that is not the name of a [`Kind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the kinds are engine and plain")]
pub struct UnknownKind;

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        match text {
            "engine" => Ok(Kind::Engine),
            "plain" => Ok(Kind::Plain),
            _ => Err(UnknownKind),
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Engine => "engine",
            Kind::Plain => "plain",
        })
    }
}

read_object!(Route {
    name,
    tier,
    repeatable
});
read_object!(Service { name, kind, routes });
read_object!(Account { name, share = default_share() });
read_object!(Model { name, bytes });
read_object!(Adapter { name, model, bytes });
read_object!(Upstream {
    name,
    service,
    kind,
    address,
    data_centre,
    slots,
    checks_fencing = false,
});
read_object!(Version {
    name,
    service,
    upstreams,
    replaces = None,
    model = None,
    adapter = None,
    move_by = None,
});
read_object!(Changes {
    services = Vec::new(),
    client_accounts = Vec::new(),
    models = Vec::new(),
    adapters = Vec::new(),
    upstreams = Vec::new(),
    versions = Vec::new(),
});
read_object!(Withdrawals {
    services = Vec::new(),
    client_accounts = Vec::new(),
    models = Vec::new(),
    adapters = Vec::new(),
    upstreams = Vec::new(),
    versions = Vec::new(),
});
read_object!(Note {
    note,
    author,
    added = Changes::default(),
    changed = Changes::default(),
    withdrawn = Withdrawals::default(),
});

impl Note {
    /// Parses a note from JSON with comments and validates it as far as is possible without the
    /// configuration that it applies to.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        reader::parse(text, Self::check)
    }
}
