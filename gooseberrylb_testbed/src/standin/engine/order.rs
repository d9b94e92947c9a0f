//! Orders to an engine: to load or drop weights, or to change role.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Shared;
use crate::http::Client;

/// How long the loading of weights may take.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// How far an order has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// It is under way.
    #[default]
    Running,
    /// It is carried out.
    Done,
    /// It could not be carried out.
    Failed,
}

/// An order as the engine keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The order's name; a repeat of it is harmless.
    pub order_id: String,
    /// The number of the leader that gave it.
    #[serde(default)]
    pub fencing: u64,
    /// What is to be done; kinds that begin with `load` take weights from the store.
    pub kind: String,
    /// What it is to be done to.
    #[serde(default)]
    pub name: String,
    /// How far it has come.
    #[serde(default)]
    pub state: Progress,
}

/// What an engine says to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is taken.
    Taken(Order),
    /// It was taken before.
    Known(Order),
    /// It carries a lower fencing number than this one, which was seen before.
    Old(u64),
}

/// Carries an order out.
pub async fn carry_out(shared: Arc<Shared>, order: Order) {
    let state = match shared.settings.weight_store {
        Some(store) if order.kind.starts_with("load") => {
            let client = Client::new(store, LOAD_TIMEOUT);
            match client.get(&format!("/v1/weights/{}", order.name)).await {
                Ok(answer) if answer.complete && answer.status == 200 => Progress::Done,
                Ok(_) | Err(_) => Progress::Failed,
            }
        }
        _ => Progress::Done,
    };
    if let Some(order) = shared.lock().find_order(&order.order_id) {
        order.state = state;
    }
}
