//! Usage report: outcomes of requests by client account, tier, service and version.

use std::fmt;
use std::sync::Arc;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::directory::Share;
use crate::{id, note, number};

/// Time range and labels that a report is restricted to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// Start of the time range.
    #[serde(with = "note::time")]
    pub from: SystemTime,
    /// End of the time range, exclusive.
    #[serde(with = "note::time")]
    pub to: SystemTime,
    /// Client account to include; all if not set.
    #[serde(default)]
    pub account: Option<id::Account>,
    /// Tier to include; all if not set.
    #[serde(default)]
    pub tier: Option<number::Tier>,
    /// Service to include; all if not set.
    #[serde(default)]
    pub service: Option<id::Service>,
    /// Version to include; all if not set.
    #[serde(default)]
    pub version: Option<id::Version>,
}

impl Filter {
    /// Creates a filter for all requests from `from` up to, but not including, `to`.
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

    /// Whether rows with these labels pass the filter.
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

/// Counters for one client account, tier, service and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Client account of the requests.
    pub account: id::Account,
    /// Tier of the requests.
    pub tier: number::Tier,
    /// Service of the requests.
    pub service: id::Service,
    /// Version that the requests were dispatched to, or none if they were not dispatched.
    pub version: Option<id::Version>,
    /// Number of requests that were served.
    pub served: u64,
    /// Number of requests that the system refused and that did not run.
    pub refused: u64,
    /// Number of requests that did not run for another reason.
    pub not_run: u64,
    /// Number of requests that may have run.
    pub unknown: u64,
    /// Number of prompt tokens processed, without those served from a cache.
    pub prompt_tokens: u64,
    /// Number of output tokens generated.
    pub output_tokens: u64,
    /// Number of prompt tokens processed for requests that got no complete answer.
    pub wasted_tokens: u64,
}

/// Time range whose counts were lost with an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Instance whose counts were lost.
    pub instance: id::Instance,
    /// Start time of the process whose counts were lost, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Start of the time range.
    #[serde(with = "note::time")]
    pub from: SystemTime,
    /// End of the time range; none while the gap is open.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "note::time::option"
    )]
    pub to: Option<SystemTime>,
    /// Reason for the loss.
    pub cause: Arc<str>,
}

/// Direction in which a version's share of traffic changed.
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

/// Change of the share of traffic that a version takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Time of the change.
    #[serde(with = "note::time")]
    pub at: SystemTime,
    /// Service that the version belongs to.
    pub service: id::Service,
    /// Version whose share changed.
    pub version: id::Version,
    /// Version that the traffic was taken from or given back to, if there is one.
    pub replaces: Option<id::Version>,
    /// Direction of the change.
    pub direction: Direction,
    /// Share of the version after the change.
    pub share: Share,
    /// Reason for the change.
    pub reason: Arc<str>,
}

/// Time up to which the counts of a running instance have been received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Time up to which its counts are complete.
    #[serde(with = "note::time")]
    pub until: SystemTime,
}

/// Response to `GET /v1/report`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the counts: the requested time, or the start of the bucket that contains it.
    #[serde(with = "note::time")]
    pub from: SystemTime,
    /// End of the counts: the requested time, or the end of the bucket that contains it.
    #[serde(with = "note::time")]
    pub to: SystemTime,
    /// Start of the retained counts, once older ones have been dropped by retention.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "note::time::option"
    )]
    pub kept_from: Option<SystemTime>,
    /// Counters by client account, tier, service and version.
    pub rows: Vec<Row>,
    /// Time ranges for which counts are missing.
    pub gaps: Vec<Gap>,
    /// Changes of versions' shares in the time range.
    pub moves: Vec<Change>,
    /// Time up to which each running instance's counts are included.
    pub counted: Vec<Coverage>,
}
