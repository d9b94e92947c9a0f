//! Who got what: the outcomes of requests by client account, tier, service and version.

use std::fmt;
use std::sync::Arc;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::directory::Share;
use crate::{id, note, number};

/// Which part of the report is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// The beginning.
    #[serde(with = "note::time")]
    pub from: SystemTime,
    /// The end, which itself is not counted.
    #[serde(with = "note::time")]
    pub to: SystemTime,
    /// Only this client account.
    #[serde(default)]
    pub account: Option<id::Account>,
    /// Only this tier.
    #[serde(default)]
    pub tier: Option<number::Tier>,
    /// Only this service.
    #[serde(default)]
    pub service: Option<id::Service>,
    /// Only this version.
    #[serde(default)]
    pub version: Option<id::Version>,
}

impl Filter {
    /// Wants all that happened from `from` to before `to`.
    pub fn new(from: SystemTime, to: SystemTime) -> Self {
        Self {
            from,
            to,
            account: None,
            tier: None,
            service: None,
            version: None,
        }
    }

    /// Whether rows of these labels are wanted.
    pub fn matches(
        &self,
        account: &id::Account,
        tier: number::Tier,
        service: &id::Service,
        version: Option<&id::Version>,
    ) -> bool {
        self.account.as_ref().is_none_or(|wanted| wanted == account)
            && self.tier.is_none_or(|wanted| wanted == tier)
            && self.service.as_ref().is_none_or(|wanted| wanted == service)
            && self
                .version
                .as_ref()
                .is_none_or(|wanted| Some(wanted) == version)
    }
}

/// The counts of one client account, tier, service and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The client account.
    pub account: id::Account,
    /// The tier.
    pub tier: number::Tier,
    /// The service.
    pub service: id::Service,
    /// The version that the requests were dispatched to, where they were.
    pub version: Option<id::Version>,
    /// Requests that were served.
    pub served: u64,
    /// Requests that the system refused; they did not run.
    pub refused: u64,
    /// Requests that did not run for another cause.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Tokens read for them, without those that were cached.
    pub prompt_tokens: u64,
    /// Tokens written for them.
    pub output_tokens: u64,
    /// Tokens read for nothing, since no whole answer came of it.
    pub wasted_tokens: u64,
}

/// A window of time whose counts were lost with an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The instance.
    pub instance: id::Instance,
    /// The start of the process whose counts are lost, as milliseconds since 1970.
    pub incarnation: u64,
    /// Where the window begins.
    #[serde(with = "note::time")]
    pub from: SystemTime,
    /// Where it ends; none while it is open.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "note::time::option"
    )]
    pub to: Option<SystemTime>,
    /// Why the counts are lost.
    pub cause: Arc<str>,
}

/// Which way the traffic of a version went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// The version took traffic.
    Took,
    /// The version gave traffic back.
    GaveBack,
}

impl fmt::Display for Direction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Direction::Took => "took",
            Direction::GaveBack => "gave back",
        })
    }
}

/// One change of the share that a version takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// When.
    #[serde(with = "note::time")]
    pub at: SystemTime,
    /// The service.
    pub service: id::Service,
    /// The version.
    pub version: id::Version,
    /// The version that it took the traffic from or gave it back to, where there is one.
    pub replaces: Option<id::Version>,
    /// Which way the traffic went.
    pub direction: Direction,
    /// The share that the version takes from then on.
    pub share: Share,
    /// Why.
    pub reason: Arc<str>,
}

/// Up to when the counts of a running instance have come in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// The instance.
    pub instance: id::Instance,
    /// Up to when.
    #[serde(with = "note::time")]
    pub until: SystemTime,
}

/// The answer of `GET /v1/report`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Where the counts begin: the time asked for, or the beginning of the bucket that holds it.
    #[serde(with = "note::time")]
    pub from: SystemTime,
    /// Where they end: the time asked for, or the end of the bucket that holds it.
    #[serde(with = "note::time")]
    pub to: SystemTime,
    /// Where kept counts begin, once older ones were dropped by retention.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "note::time::option"
    )]
    pub kept_from: Option<SystemTime>,
    /// The counts.
    pub rows: Vec<Row>,
    /// What is missing from them.
    pub gaps: Vec<Gap>,
    /// The versions that took or gave back traffic.
    pub moves: Vec<Change>,
    /// Up to when running instances are counted.
    pub counted: Vec<Coverage>,
}
