//! Validation of a release note against the configuration that it applies to.

use std::collections::BTreeMap;
use std::time::SystemTime;

use super::{Directory, Share};
use crate::finding::Findings;
use crate::{id, note};

/// Move of traffic that is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveMove {
    /// Version that takes over the traffic.
    pub version: id::Version,
    /// Version that the traffic is taken from.
    pub replaces: id::Version,
}

impl Directory {
    /// Returns the errors in applying `note` at `now`, while `moves` are under way.
    pub fn check(&self, note: &note::Note, now: SystemTime, moves: &[ActiveMove]) -> Findings {
        let mut findings = note.check();
        let next = self.with_note(note);
        let checker = Checker {
            current: self,
            next: &next,
            note,
            now,
            moves,
        };
        checker.check_names(&mut findings);
        checker.check_changes("added", &note.added, &mut findings);
        checker.check_changes("changed", &note.changed, &mut findings);
        checker.check_added_versions(&mut findings);
        checker.check_changed_versions(&mut findings);
        checker.check_withdrawals(&mut findings);
        findings
    }
}

/// Validation of one note against one configuration.
struct Checker<'a> {
    /// Configuration without the note.
    current: &'a Directory,
    /// Configuration with the note applied.
    next: &'a Directory,
    /// Note that is validated.
    note: &'a note::Note,
    /// Time of the decision.
    now: SystemTime,
    /// Moves that are under way.
    moves: &'a [ActiveMove],
}

/// Adds a finding for each name that is in `known` although it must not exist, or that is missing
/// from `known` although it must exist.
fn check_existence<'n, K: Ord + std::fmt::Display + 'n, V>(
    known: &BTreeMap<K, V>,
    must_exist: bool,
    names: impl Iterator<Item = &'n K>,
    place: impl Fn(usize) -> String,
    findings: &mut Findings,
) {
    for (i, name) in names.enumerate() {
        match (known.contains_key(name), must_exist) {
            (true, false) => findings.add(place(i), format!("{name} is known already")),
            (false, true) => findings.add(place(i), format!("{name} is not known")),
            (true, true) | (false, false) => {}
        }
    }
}

impl Checker<'_> {
    /// Checks that added names are new, and that changed and withdrawn names exist.
    fn check_names(&self, findings: &mut Findings) {
        let parts = [
            ("added", &self.note.added, false),
            ("changed", &self.note.changed, true),
        ];
        let known = self.current;
        for (part, list, must_exist) in parts {
            let place = |kind: &'static str| move |i| format!("{part}.{kind}[{i}].name");
            let names = list.services.iter().map(|s| &s.name);
            check_existence(
                &known.services,
                must_exist,
                names,
                place("services"),
                findings,
            );
            let names = list.client_accounts.iter().map(|a| &a.name);
            let accounts = place("client_accounts");
            check_existence(&known.accounts, must_exist, names, accounts, findings);
            let names = list.models.iter().map(|m| &m.name);
            check_existence(&known.models, must_exist, names, place("models"), findings);
            let names = list.adapters.iter().map(|a| &a.name);
            check_existence(
                &known.adapters,
                must_exist,
                names,
                place("adapters"),
                findings,
            );
            let names = list.upstreams.iter().map(|u| &u.name);
            let upstreams = place("upstreams");
            check_existence(&known.upstreams, must_exist, names, upstreams, findings);
            let names = list.versions.iter().map(|v| &v.name);
            check_existence(
                &known.versions,
                must_exist,
                names,
                place("versions"),
                findings,
            );
        }
        let list = &self.note.withdrawn;
        let place = |kind: &'static str| move |i| format!("withdrawn.{kind}[{i}]");
        let names = list.services.iter();
        check_existence(&known.services, true, names, place("services"), findings);
        let names = list.client_accounts.iter();
        let accounts = place("client_accounts");
        check_existence(&known.accounts, true, names, accounts, findings);
        let names = list.models.iter();
        check_existence(&known.models, true, names, place("models"), findings);
        let names = list.adapters.iter();
        check_existence(&known.adapters, true, names, place("adapters"), findings);
        let names = list.upstreams.iter();
        check_existence(&known.upstreams, true, names, place("upstreams"), findings);
        let names = list.versions.iter();
        check_existence(&known.versions, true, names, place("versions"), findings);
    }

    /// Checks the references of added or changed items.
    fn check_changes(&self, part: &str, list: &note::Changes, findings: &mut Findings) {
        for (i, service) in list.services.iter().enumerate() {
            self.check_service(service, &format!("{part}.services[{i}]"), findings);
        }
        for (i, adapter) in list.adapters.iter().enumerate() {
            if !self.next.models.contains_key(&adapter.model) {
                let message = format!("there is no model {}", adapter.model);
                findings.add(format!("{part}.adapters[{i}].model"), message);
            }
        }
        for (i, upstream) in list.upstreams.iter().enumerate() {
            self.check_upstream(upstream, &format!("{part}.upstreams[{i}]"), findings);
        }
        for (i, version) in list.versions.iter().enumerate() {
            self.check_version(version, &format!("{part}.versions[{i}]"), findings);
        }
    }

    fn check_service(&self, service: &note::Service, place: &str, findings: &mut Findings) {
        let mut upstreams = self.next.upstreams.values();
        let mismatched = upstreams.find(|u| u.service == service.name && u.kind != service.kind);
        if let Some(upstream) = mismatched {
            let message = format!(
                "its upstream {} is of kind {}",
                upstream.name, upstream.kind
            );
            findings.add(format!("{place}.kind"), message);
        }
    }

    fn check_upstream(&self, upstream: &note::Upstream, place: &str, findings: &mut Findings) {
        match self.next.service(&upstream.service) {
            None => {
                let message = format!("there is no service {}", upstream.service);
                findings.add(format!("{place}.service"), message);
            }
            Some(service) if service.kind != upstream.kind => {
                let message = format!("the service {} is of kind {}", service.name, service.kind);
                findings.add(format!("{place}.kind"), message);
            }
            Some(_) => {}
        }
        let mut others = self.next.upstreams.values();
        let duplicate = others.find(|u| u.name != upstream.name && u.address == upstream.address);
        if let Some(other) = duplicate {
            let message = format!("{} is the address of {} too", upstream.address, other.name);
            findings.add(format!("{place}.address"), message);
        }
        let mut versions = self.next.versions.values();
        let listed = |v: &&note::Version| v.upstreams.contains(&upstream.name);
        let foreign = versions.find(|v| listed(v) && v.service != upstream.service);
        if let Some(version) = foreign {
            let message = format!(
                "the version {} of service {} lists this upstream",
                version.name, version.service
            );
            findings.add(format!("{place}.service"), message);
        }
    }

    fn check_version(&self, version: &note::Version, place: &str, findings: &mut Findings) {
        if !self.next.services.contains_key(&version.service) {
            let message = format!("there is no service {}", version.service);
            findings.add(format!("{place}.service"), message);
        }
        for (i, name) in version.upstreams.iter().enumerate() {
            let place = format!("{place}.upstreams[{i}]");
            match self.next.upstreams.get(name) {
                None => findings.add(place, format!("there is no upstream {name}")),
                Some(upstream) if upstream.service != version.service => {
                    let message = format!("{name} is an upstream of service {}", upstream.service);
                    findings.add(place, message);
                }
                Some(_) => {}
            }
        }
        if let Some(model) = &version.model
            && !self.next.models.contains_key(model)
        {
            let message = format!("there is no model {model}");
            findings.add(format!("{place}.model"), message);
        }
        if let Some(adapter) = &version.adapter {
            let place = format!("{place}.adapter");
            match self.next.adapters.get(adapter) {
                None => findings.add(place, format!("there is no adapter {adapter}")),
                Some(known) if Some(&known.model) != version.model.as_ref() => {
                    let message = format!("{adapter} is an adapter of model {}", known.model);
                    findings.add(place, message);
                }
                Some(_) => {}
            }
        }
    }

    /// Returns the moves under way that the note does not cancel by withdrawing their new version.
    fn remaining_moves(&self) -> impl Iterator<Item = &ActiveMove> {
        let withdrawn = &self.note.withdrawn.versions;
        let is_remaining = |m: &&ActiveMove| !withdrawn.contains(&m.version);
        self.moves.iter().filter(is_remaining)
    }

    /// Checks the moves of traffic that added versions start.
    fn check_added_versions(&self, findings: &mut Findings) {
        let mut replaced: BTreeMap<&id::Version, usize> = BTreeMap::new();
        for (i, version) in self.note.added.versions.iter().enumerate() {
            let place = format!("added.versions[{i}].replaces");
            if version.move_by.is_some_and(|time| time <= self.now) {
                let place = format!("added.versions[{i}].move_by");
                findings.add(place, "the time to move by is past");
            }
            let Some(replaces) = &version.replaces else {
                continue;
            };
            if let Some(first) = replaced.insert(replaces, i) {
                let message = format!("added.versions[{first}] replaces {replaces} too");
                findings.add(place.as_str(), message);
            }
            self.check_replacement(version, replaces, &place, findings);
        }
    }

    /// Checks that `version` can take over the traffic of the version `replaces`.
    fn check_replacement(
        &self,
        version: &note::Version,
        replaces: &id::Version,
        place: &str,
        findings: &mut Findings,
    ) {
        let Some(old) = self.next.versions.get(replaces) else {
            findings.add(place, format!("there is no version {replaces}"));
            return;
        };
        if old.service != version.service {
            let message = format!("{replaces} is a version of service {}", old.service);
            findings.add(place, message);
            return;
        }
        let involves = |m: &&ActiveMove| m.version == *replaces || m.replaces == *replaces;
        if let Some(active) = self.remaining_moves().find(involves) {
            let message = format!(
                "traffic moves from {} to {} already; withdraw {} or wait for the move's end",
                active.replaces, active.version, active.version
            );
            findings.add(place, message);
        } else if self.next.share(replaces) == Share::NONE {
            findings.add(place, format!("{replaces} takes no traffic"));
        }
    }

    /// Checks that changed versions differ only in their upstreams and in the deadline of a move
    /// under way.
    fn check_changed_versions(&self, findings: &mut Findings) {
        for (i, version) in self.note.changed.versions.iter().enumerate() {
            let Some(known) = self.current.versions.get(&version.name) else {
                continue;
            };
            let place = format!("changed.versions[{i}]");
            let fixed = [
                ("service", version.service == known.service),
                ("replaces", version.replaces == known.replaces),
                ("model", version.model == known.model),
                ("adapter", version.adapter == known.adapter),
            ];
            for (field, same) in fixed {
                if !same {
                    let message = "this makes another version; add it under a name of its own";
                    findings.add(format!("{place}.{field}"), message);
                }
            }
            if version.move_by == known.move_by {
                continue;
            }
            let place = format!("{place}.move_by");
            if !self.moves.iter().any(|m| m.version == version.name) {
                findings.add(place, "no move of this version is under way");
            } else if version.move_by.is_some_and(|time| time <= self.now) {
                findings.add(place, "the time to move by is past");
            }
        }
    }

    /// Checks that no remaining item refers to a withdrawn one, and that no service loses its
    /// traffic.
    fn check_withdrawals(&self, findings: &mut Findings) {
        let list = &self.note.withdrawn;
        for (i, service) in list.services.iter().enumerate() {
            let upstreams = self.next.upstreams.values();
            let upstream = upstreams
                .filter(|u| u.service == *service)
                .map(|u| u.name.as_str());
            let versions = self.next.versions.values();
            let version = versions
                .filter(|v| v.service == *service)
                .map(|v| v.name.as_str());
            if let Some(referrer) = upstream.chain(version).next() {
                let message = format!("{referrer} still refers to the service {service}");
                findings.add(format!("withdrawn.services[{i}]"), message);
            }
        }
        for (i, model) in list.models.iter().enumerate() {
            let adapters = self.next.adapters.values();
            let adapter = adapters
                .filter(|a| a.model == *model)
                .map(|a| a.name.as_str());
            let versions = self.next.versions.values();
            let version = versions.filter(|v| v.model.as_ref() == Some(model));
            let version = version.map(|v| v.name.as_str());
            if let Some(referrer) = adapter.chain(version).next() {
                let message = format!("{referrer} still refers to the model {model}");
                findings.add(format!("withdrawn.models[{i}]"), message);
            }
        }
        for (i, adapter) in list.adapters.iter().enumerate() {
            let mut versions = self.next.versions.values();
            if let Some(referrer) = versions.find(|v| v.adapter.as_ref() == Some(adapter)) {
                let message = format!("{} still refers to the adapter {adapter}", referrer.name);
                findings.add(format!("withdrawn.adapters[{i}]"), message);
            }
        }
        self.check_withdrawn_upstreams(findings);
        self.check_withdrawn_versions(findings);
    }

    /// Checks that no version loses all of its upstreams.
    fn check_withdrawn_upstreams(&self, findings: &mut Findings) {
        let withdrawn = &self.note.withdrawn.upstreams;
        let changed = &self.note.changed.versions;
        for version in self.current.versions.values() {
            let is_changed = changed.iter().any(|v| v.name == version.name);
            let loses_all_upstreams = version.upstreams.iter().all(|u| withdrawn.contains(u));
            let remains = self.next.versions.contains_key(&version.name);
            if !remains || !loses_all_upstreams || is_changed {
                continue;
            }
            let first = withdrawn.iter().position(|u| version.upstreams.contains(u));
            if let Some(i) = first {
                let message = format!("the version {} would have no upstream left", version.name);
                findings.add(format!("withdrawn.upstreams[{i}]"), message);
            }
        }
    }

    /// Checks that no move loses its old version, and no service its last version with traffic.
    fn check_withdrawn_versions(&self, findings: &mut Findings) {
        for (i, name) in self.note.withdrawn.versions.iter().enumerate() {
            let place = format!("withdrawn.versions[{i}]");
            if let Some(active) = self.remaining_moves().find(|m| m.replaces == *name) {
                let message = format!(
                    "its traffic moves to {}; withdraw that one or wait for the move's end",
                    active.version
                );
                findings.add(place, message);
                continue;
            }
            let Some(version) = self.current.versions.get(name) else {
                continue;
            };
            let service = &version.service;
            let remains = self.next.services.contains_key(service);
            if remains && self.current.is_served(service) && !self.next.is_served(service) {
                let message = format!("the service {service} would have no version with traffic");
                findings.add(place, message);
            }
        }
    }
}
