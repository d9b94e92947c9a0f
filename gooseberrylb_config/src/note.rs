//! Release notes: what operators add, change and withdraw. The format is told in `docs/NOTES.md`.

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

/// Whether an upstream or a service speaks the engines' protocol or is passed requests as they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine that batches continuously.
    Engine,
    /// A plain service.
    Plain,
}

/// One route of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The last part of the path that callers post to.
    pub name: id::Route,
    /// The importance of the route's requests; 1 is the highest.
    pub tier: number::Tier,
    /// Whether running a request twice does no harm; it decides when a retry is allowed.
    pub repeatable: bool,
}

/// A service that callers address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name in the path that callers post to.
    pub name: id::Service,
    /// What its upstreams speak.
    pub kind: Kind,
    /// Its routes.
    pub routes: Vec<Route>,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The account's name in the `Client-Account` header.
    pub name: id::Account,
    /// Its weight against the other accounts of a tier; 1 where none is given.
    #[serde(default = "one_share")]
    pub share: u32,
}

fn one_share() -> u32 {
    1
}

/// A model whose weights the weight store holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The model's name.
    pub name: id::Model,
    /// The size of its weights, by which loading is paced.
    pub bytes: number::Bytes,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The adapter's name.
    pub name: id::Adapter,
    /// The model that it adapts.
    pub model: id::Model,
    /// The size of its weights.
    pub bytes: number::Bytes,
}

/// A back end that runs requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The upstream's name.
    pub name: id::Upstream,
    /// The service that it runs.
    pub service: id::Service,
    /// What it speaks.
    pub kind: Kind,
    /// Where it listens, as an IP number and a port.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: id::DataCentre,
    /// How many requests it may run at once.
    pub slots: number::Slots,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A version of a service, run by some of its upstreams.
///
/// Its fields are always written, since it also travels in an encoding without field names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The version's name.
    pub name: id::Version,
    /// The service that it is a version of.
    pub service: id::Service,
    /// The upstreams that run it.
    pub upstreams: Vec<id::Upstream>,
    /// The version whose traffic it takes over.
    #[serde(default)]
    pub replaces: Option<id::Version>,
    /// The model that it runs, to be loaded before traffic moves.
    #[serde(default)]
    pub model: Option<id::Model>,
    /// The adapter that it runs.
    #[serde(default)]
    pub adapter: Option<id::Adapter>,
    /// The time by which the traffic of `replaces` is moved or given back.
    #[serde(default, with = "crate::note::time::option")]
    pub move_by: Option<SystemTime>,
}

/// What a note adds, or what it changes: whole new descriptions under known names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// Services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
    /// Client accounts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub client_accounts: Vec<Account>,
    /// Models.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Model>,
    /// Adapters.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<Adapter>,
    /// Upstreams.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<Upstream>,
    /// Versions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<Version>,
}

/// What a note withdraws, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Withdrawals {
    /// Services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<id::Service>,
    /// Client accounts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub client_accounts: Vec<id::Account>,
    /// Models.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<id::Model>,
    /// Adapters.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<id::Adapter>,
    /// Upstreams.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<id::Upstream>,
    /// Versions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<id::Version>,
}

/// A release note as an operator wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// The number that the operator chose; it makes a resend idempotent.
    pub note: number::Note,
    /// Who submits it.
    pub author: id::Author,
    /// What becomes known.
    #[serde(default)]
    pub added: Changes,
    /// What is described anew.
    #[serde(default)]
    pub changed: Changes,
    /// What goes.
    #[serde(default)]
    pub withdrawn: Withdrawals,
}

/// The text names no kind of service.
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
read_object!(Account { name, share = one_share() });
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
    /// Reads a note from JSON with comments and checks what can be checked without knowing the
    /// configuration that it applies to.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        reader::parse(text, Self::check)
    }
}
