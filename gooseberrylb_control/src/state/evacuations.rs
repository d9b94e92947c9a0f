//! Orders to evacuate data centres.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::directory::evacuation::{Evacuation, Order};

use super::State;
use super::audit::Kind;

impl State {
    /// Returns the evacuated data centres, by name.
    pub fn evacuations(&self) -> &BTreeMap<Arc<str>, Evacuation> {
        &self.evacuations
    }

    /// Applies operators' orders. A repeated one changes nothing.
    pub(super) fn apply_evacuations(&mut self, orders: &[Order], at: SystemTime) {
        for order in orders {
            let is_evacuated = self.evacuations.contains_key(&order.data_centre);
            if is_evacuated == order.active {
                continue;
            }
            let name = order.data_centre.clone();
            let cause = match order.active {
                true => {
                    self.evacuations.insert(name, Evacuation { since: at });
                    "ordered"
                }
                false => {
                    self.evacuations.remove(&name);
                    "withdrawn"
                }
            };
            let subject = format!("evacuation of {}", order.data_centre);
            // A kind of its own could not be read by the release before this one.
            let kind = Kind::Declaration;
            self.audit
                .add(at, "operator", kind, subject, cause.to_owned());
        }
    }
}
