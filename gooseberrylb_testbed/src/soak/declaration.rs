//! Declarations as the platform encodes them, valid and invalid ones.

use serde_json::{Value, json};

use super::history::ACCOUNT;
use super::platform::{PERMANENT_KEY, REVOCABLE_KEY};

/// Service of all routes of the first declarations but those that probes use.
pub const MAIN_SERVICE: &str = "desk";
/// Services between which a route is moved. No fault affects their upstreams.
pub const PROBED_SERVICES: [&str; 2] = ["ledger", "window"];
/// Service whose upstream never responds within the time limit of a route.
pub const SLOW_SERVICE: &str = "archive";

/// Part of a declaration that differs between versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Content {
    /// Whether the revocable key is accepted.
    pub has_revocable_key: bool,
    /// Number in the path of a route that is added and removed, which never comes back.
    pub added: Option<u64>,
    /// Index in [`PROBED_SERVICES`] of the service of the moved route.
    pub moved_to: usize,
    /// Time limit of the slow route, in milliseconds.
    pub slow_limit_ms: u64,
}

/// Reason for which a declaration is invalid.
#[derive(Debug, Clone, Copy)]
pub enum Defect {
    /// The text ends early.
    CutShort,
    /// A route names a service that is not declared.
    UnknownService,
    /// Two routes have the same host and path prefix.
    SamePrefix,
    /// The weights of a route add up to 0.
    NoWeight,
    /// A route has a time limit of 0.
    NoTimeout,
    /// Two accounts share a key.
    SharedKey,
}

/// All defects.
pub const DEFECTS: [Defect; 6] = [
    Defect::CutShort,
    Defect::UnknownService,
    Defect::SamePrefix,
    Defect::NoWeight,
    Defect::NoTimeout,
    Defect::SharedKey,
];

/// Returns a route of a declaration.
fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> Value {
    json!({
        "name": prefix.trim_matches('/'), "host": "a.example", "path-prefix": prefix, "kind": kind,
        "timeout-ms": timeout_ms, "target-latency-ms": 1_000, "target-gap-ms": 500, "priority": 1,
        "service": service, "max-attempts": 2,
    })
}

/// Returns the path prefix of the added route with a number.
pub fn added_prefix(number: u64) -> String {
    format!("/added-{number}/")
}

/// Returns the path prefix of a route that only declarations contain that must never be in force.
pub fn forged_prefix(number: u64) -> String {
    format!("/forged-{number}/")
}

/// Returns a valid declaration.
fn value(version: u64, content: &Content) -> Value {
    let moved = PROBED_SERVICES[content.moved_to];
    let mut routes = vec![
        route("/once/", "unsafe", MAIN_SERVICE, 4_000),
        route("/safe/", "safe", MAIN_SERVICE, 4_000),
        route("/stream/", "streaming", MAIN_SERVICE, 4_000),
        route("/steady/", "safe", PROBED_SERVICES[0], 4_000),
        route("/moved/", "safe", moved, 4_000),
        route("/slow/", "safe", SLOW_SERVICE, content.slow_limit_ms),
    ];
    // Silence is not unusual before the time limit.
    routes[5]["target-latency-ms"] = 2_000.into();
    let added = content.added.map(added_prefix);
    routes.extend(added.map(|prefix| route(&prefix, "safe", PROBED_SERVICES[0], 4_000)));
    let mut keys = vec![PERMANENT_KEY];
    keys.extend(content.has_revocable_key.then_some(REVOCABLE_KEY));
    let services = [
        MAIN_SERVICE,
        PROBED_SERVICES[0],
        PROBED_SERVICES[1],
        SLOW_SERVICE,
    ];
    let services = services.map(|name| json!({"name": name, "max-connections": 400}));
    json!({
        "version": version, "routes": routes, "services": services,
        "tenants": [{"name": ACCOUNT, "api-keys": keys}],
    })
}

/// Returns the text of a valid declaration.
pub fn valid(version: u64, content: &Content) -> String {
    value(version, content).to_string()
}

/// Returns a valid declaration with a route of its own.
fn forged_value(version: u64, content: &Content, number: u64) -> Value {
    let mut value = value(version, content);
    if let Some(routes) = value["routes"].as_array_mut() {
        let prefix = forged_prefix(number);
        routes.insert(0, route(&prefix, "safe", PROBED_SERVICES[0], 4_000));
    }
    value
}

/// Returns the text of a valid declaration with a route of its own, for a version that is in force
/// already with other content.
pub fn forged(version: u64, content: &Content, number: u64) -> String {
    forged_value(version, content, number).to_string()
}

/// Returns the text of an invalid declaration with a route of its own.
pub fn invalid(version: u64, content: &Content, number: u64, defect: Defect) -> String {
    let mut value = forged_value(version, content, number);
    match defect {
        Defect::CutShort => {
            let text = value.to_string();
            return text[..text.len() * 3 / 4].to_owned();
        }
        Defect::UnknownService => value["routes"][1]["service"] = "nowhere".into(),
        Defect::SamePrefix => value["routes"][1]["path-prefix"] = "/safe/".into(),
        Defect::NoWeight => {
            let split = json!([{"service": MAIN_SERVICE, "weight": 0}]);
            if let Some(route) = value["routes"][1].as_object_mut() {
                route.remove("service");
                route.insert("traffic-split".to_owned(), split);
            }
        }
        Defect::NoTimeout => value["routes"][1]["timeout-ms"] = 0.into(),
        Defect::SharedKey => {
            if let Some(accounts) = value["tenants"].as_array_mut() {
                accounts.push(json!({"name": "other", "api-keys": [PERMANENT_KEY]}));
            }
        }
    }
    value.to_string()
}
