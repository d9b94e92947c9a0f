//! Evacuations: data centres to whose upstreams operators want nothing more to be sent.
//! See `docs/design/evacuation.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::note;

/// Order of an operator about one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Data centre, named as in the platform's list.
    pub data_centre: Arc<str>,
    /// Whether the data centre is evacuated, or an earlier order is withdrawn.
    pub active: bool,
}

/// Evacuation in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Time at which the first order was received.
    #[serde(with = "note::time")]
    pub since: SystemTime,
}

/// What the leader knows of data centres.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// Data centres of instances and listed upstreams.
    pub known: BTreeSet<Arc<str>>,
    /// Evacuated data centres.
    pub evacuated: BTreeMap<Arc<str>, Evacuation>,
}
