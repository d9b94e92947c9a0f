//! Validation of a note on its own, without the configuration that it applies to.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use super::{Changes, Note, Service, Upstream, Version};
use crate::finding::Findings;
use crate::number::{Slots, Tier};

/// Name of each list in a part of a note, with the names of its items in order.
type NamesByList<'a> = [(&'static str, Vec<&'a str>); 6];

/// Returns the names of the items in each list of `changes`.
fn names_by_list(changes: &Changes) -> NamesByList<'_> {
    [
        (
            "services",
            changes.services.iter().map(|s| s.name.as_str()).collect(),
        ),
        (
            "client_accounts",
            changes
                .client_accounts
                .iter()
                .map(|a| a.name.as_str())
                .collect(),
        ),
        (
            "models",
            changes.models.iter().map(|m| m.name.as_str()).collect(),
        ),
        (
            "adapters",
            changes.adapters.iter().map(|a| a.name.as_str()).collect(),
        ),
        (
            "upstreams",
            changes.upstreams.iter().map(|u| u.name.as_str()).collect(),
        ),
        (
            "versions",
            changes.versions.iter().map(|v| v.name.as_str()).collect(),
        ),
    ]
}

impl Note {
    /// Returns the errors in the note that do not depend on the configuration.
    pub fn check(&self) -> Findings {
        let mut findings = Findings::new();
        self.check_names(&mut findings);
        for (list, changes) in [("added", &self.added), ("changed", &self.changed)] {
            changes.check(list, &mut findings);
        }
        findings
    }

    /// Adds a finding for each name that occurs more than once in the note.
    fn check_names(&self, findings: &mut Findings) {
        let withdrawn = &self.withdrawn;
        let withdrawn: NamesByList<'_> = [
            (
                "services",
                withdrawn.services.iter().map(|n| n.as_str()).collect(),
            ),
            (
                "client_accounts",
                withdrawn
                    .client_accounts
                    .iter()
                    .map(|n| n.as_str())
                    .collect(),
            ),
            (
                "models",
                withdrawn.models.iter().map(|n| n.as_str()).collect(),
            ),
            (
                "adapters",
                withdrawn.adapters.iter().map(|n| n.as_str()).collect(),
            ),
            (
                "upstreams",
                withdrawn.upstreams.iter().map(|n| n.as_str()).collect(),
            ),
            (
                "versions",
                withdrawn.versions.iter().map(|n| n.as_str()).collect(),
            ),
        ];
        let lists = [
            ("added", ".name", names_by_list(&self.added)),
            ("changed", ".name", names_by_list(&self.changed)),
            ("withdrawn", "", withdrawn),
        ];
        let mut places = BTreeMap::new();
        for (part, field, kinds) in lists {
            for (kind, names) in kinds {
                for (i, name) in names.into_iter().enumerate() {
                    let place = format!("{part}.{kind}[{i}]");
                    if let Some(earlier) = places.get(&(kind, name)) {
                        let message = format!("{name} stands at {earlier} already");
                        findings.add(format!("{place}{field}"), message);
                    } else {
                        places.insert((kind, name), place);
                    }
                }
            }
        }
    }
}

impl Changes {
    fn check(&self, part: &str, findings: &mut Findings) {
        for (i, service) in self.services.iter().enumerate() {
            service.check(&format!("{part}.services[{i}]"), findings);
        }
        for (i, account) in self.client_accounts.iter().enumerate() {
            if account.share == 0 {
                let place = format!("{part}.client_accounts[{i}].share");
                findings.add(place, "a share of zero would never be served");
            }
        }
        for (i, upstream) in self.upstreams.iter().enumerate() {
            upstream.check(&format!("{part}.upstreams[{i}]"), findings);
        }
        for (i, version) in self.versions.iter().enumerate() {
            version.check(&format!("{part}.versions[{i}]"), findings);
        }
    }
}

/// Adds a finding for each item that occurs more than once in a list.
fn check_duplicates<T: Ord + Display>(
    items: impl Iterator<Item = T>,
    place: impl Fn(usize) -> String,
    findings: &mut Findings,
) {
    let mut seen = BTreeSet::new();
    for (i, item) in items.enumerate() {
        if seen.contains(&item) {
            findings.add(place(i), format!("{item} stands twice"));
        }
        seen.insert(item);
    }
}

impl Service {
    fn check(&self, place: &str, findings: &mut Findings) {
        if self.routes.is_empty() {
            findings.add(format!("{place}.routes"), "a service needs a route");
        }
        for (i, route) in self.routes.iter().enumerate() {
            if route.tier == Tier(0) {
                let place = format!("{place}.routes[{i}].tier");
                findings.add(place, "tiers begin at 1, which is the highest");
            }
        }
        let routes = self.routes.iter().map(|route| &route.name);
        check_duplicates(routes, |i| format!("{place}.routes[{i}].name"), findings);
    }
}

impl Upstream {
    fn check(&self, place: &str, findings: &mut Findings) {
        if self.slots == Slots(0) {
            findings.add(format!("{place}.slots"), "an upstream needs a slot");
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            let message = "an upstream needs a definite address and port";
            findings.add(format!("{place}.address"), message);
        }
    }
}

impl Version {
    fn check(&self, place: &str, findings: &mut Findings) {
        if self.upstreams.is_empty() {
            findings.add(format!("{place}.upstreams"), "a version needs an upstream");
        }
        let upstreams = self.upstreams.iter();
        check_duplicates(upstreams, |i| format!("{place}.upstreams[{i}]"), findings);
        match (&self.replaces, self.move_by) {
            (Some(_), None) => {
                let message = "a version that replaces another needs the time to move by";
                findings.add(format!("{place}.move_by"), message);
            }
            (None, Some(_)) => {
                let message = "a version with a time to move by needs the version that it replaces";
                findings.add(format!("{place}.replaces"), message);
            }
            (Some(_), Some(_)) | (None, None) => {}
        }
        if self.replaces.as_ref() == Some(&self.name) {
            findings.add(
                format!("{place}.replaces"),
                "a version cannot replace itself",
            );
        }
        if self.adapter.is_some() && self.model.is_none() {
            findings.add(format!("{place}.model"), "an adapter needs its model");
        }
    }
}
