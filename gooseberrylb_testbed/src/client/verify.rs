//! Compares the outcomes that callers were told with the upstreams' own logs of executions.

use std::collections::HashMap;

use gooseberrylb_config::note::Note;
use gooseberrylb_policy::request::Outcome;

use super::tally::{Check, Record};
use crate::standin::execution::Execution;

/// Returns a description of each record that contradicts the executions. Every request must have
/// its own prompt or body, since executions are matched to records by digest.
pub fn violations(note: &Note, records: &[Record], executions: &[Execution]) -> Vec<String> {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for execution in executions {
        *runs.entry(&execution.body_digest).or_default() += 1;
    }
    records
        .iter()
        .filter_map(|record| {
            let runs = runs.get(&*record.digest).copied().unwrap_or(0);
            let violation = violation(record, runs, is_repeatable(note, record))?;
            Some(format!(
                "{violation}: {record}, {runs} runs, error {:?}",
                record.error
            ))
        })
        .collect()
}

fn violation(record: &Record, runs: usize, repeatable: bool) -> Option<&'static str> {
    if matches!(record.check, Check::Mismatch(_)) {
        return Some("unexpected response");
    }
    if runs > 1 && !repeatable {
        return Some("run more than once");
    }
    match record.outcome {
        Some(Outcome::NotRun) if runs > 0 => Some("told not-run, but run"),
        Some(Outcome::Served) if runs == 0 => Some("told served, but not run"),
        _ => None,
    }
}

fn is_repeatable(note: &Note, record: &Record) -> bool {
    let services = note.added.services.iter();
    let mut routes = services
        .filter(|service| service.name.as_str() == record.service)
        .flat_map(|service| &service.routes);
    routes.any(|route| route.name.as_str() == record.route && route.repeatable)
}
