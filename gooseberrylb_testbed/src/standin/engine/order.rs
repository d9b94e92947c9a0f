//! Orders to an engine, such as to load or unload weights or to activate a version.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Shared;
use crate::http::Client;

/// Maximum time to load weights from the store.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// Progress of an order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The order is being executed.
    #[default]
    Running,
    /// The order was executed.
    Done,
    /// The order could not be executed.
    Failed,
}

/// Order with its progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Id of the order. An order with a known id is not executed again.
    pub order_id: String,
    /// Fencing number of the leader that issued the order.
    #[serde(default)]
    pub fencing: u64,
    /// Action. Kinds that begin with `load` load weights from the store.
    pub kind: String,
    /// Name of the weights or version to act on.
    #[serde(default)]
    pub name: String,
    /// Progress.
    #[serde(default)]
    pub state: Progress,
}

/// Decision of an engine on a received order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The order is accepted.
    Accepted(Order),
    /// The order was accepted before.
    Known(Order),
    /// The order is refused, because an order with this higher fencing number was accepted before.
    Outdated(u64),
}

/// Executes an order and records its result.
pub async fn execute(shared: Arc<Shared>, order: Order) {
    let state = match shared.settings.weight_store {
        Some(store) if order.kind.starts_with("load") => {
            let client = Client::new(store, LOAD_TIMEOUT);
            match client.get(&format!("/v1/weights/{}", order.name)).await {
                Ok(response) if response.complete && response.status == 200 => Progress::Done,
                Ok(_) | Err(_) => Progress::Failed,
            }
        }
        _ => Progress::Done,
    };
    if let Some(order) = shared.lock().find_order(&order.order_id) {
        order.state = state;
    }
}
