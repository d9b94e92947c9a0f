//! Where a request would go now, and why. Nothing is sent or reserved for the answer.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id;

/// Why an upstream would not be granted now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// The request must not go there, since it failed there or the upstream is outside its regions.
    Excluded,
    /// The upstream has said that it leaves.
    Leaving,
    /// The rollout's stage allows other releases only.
    Release,
    /// It failed, and is left out.
    Ejected,
    /// It wants no requests, is at its limit, refused connections or reported that it is full.
    Closed {
        /// Time until it may get one, if that is known.
        opens_ms: Option<u64>,
    },
    /// It is cold and has had what it tolerates.
    Cold,
    /// All its slots are taken.
    Busy,
    /// Its memory does not hold the request beside what runs.
    Memory,
}

/// An upstream as a candidate for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: id::Upstream,
    /// Data centre that it is in.
    pub data_centre: Arc<str>,
    /// Version of its software.
    pub release: Arc<str>,
    /// Requests that run there, as far as the dispatcher knows.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that these are expected to hold.
    pub tokens: u64,
    /// Expected time to the first event or the response.
    pub first_ms: u64,
    /// Expected time to the end of the response.
    pub end_ms: u64,
    /// Why it would not be granted; none if it could be.
    pub obstacles: Vec<Obstacle>,
}

/// Decision on a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It would be sent to an upstream at once.
    Granted(id::Upstream),
    /// It would wait behind a number of requests.
    Waits {
        /// Requests that would be granted before it.
        ahead: usize,
    },
    /// It would be refused.
    Refused {
        /// Why.
        reason: Arc<str>,
        /// Time after which its caller would be told to come back.
        retry_after_ms: u64,
    },
    /// The service is not known.
    Unknown,
}

/// Where a request would go now, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Decision that would be made.
    pub verdict: Verdict,
    /// Requests of the service that wait.
    pub waiting: usize,
    /// Upstreams of the service, those that could be granted first, by the expected end.
    pub candidates: Vec<Candidate>,
}

/// Response to `GET /v1/placement`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Instance that answers.
    pub answered_by: id::Instance,
    /// Dispatcher that would decide, if known. The explanation is not the decision if it is another
    /// instance than the one that answers.
    pub decided_by: Option<id::Instance>,
    /// Service that the request is for, if the route and the account are known.
    pub service: Option<id::Service>,
    /// Where the request would go, if the answering instance dispatches.
    pub explanation: Option<Explanation>,
}
