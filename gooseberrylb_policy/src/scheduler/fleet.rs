//! The upstreams of a scheduler and the choice among them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::{Cell, Directory, Share};
use gooseberrylb_config::id;
use rand::Rng;

use super::rate::Rate;
use super::upstream::{Averages, Upstream, Verdict};
use super::versions::Split;
use super::{CacheChange, Grant, Load};
use crate::request::{Cost, Figures, Request};

/// How much of the weight of earlier observations each new one leaves, over all upstreams.
const RATE_DECAY: f64 = 0.98;

/// How much the time to write an answer counts beside the time to first token.
const DECODE_WEIGHT: f64 = 0.1;

/// A request in search of a place.
struct Query<'a> {
    request: &'a Request,
    seconds_left: f64,
    headroom_percent: u32,
    now: Instant,
}

/// Where a request is to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The version that it runs.
    pub version: id::Version,
}

/// The upstreams of a service in a region.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: BTreeMap<id::Upstream, Upstream>,
    split: Split,
    prefill: Rate,
    decode: Rate,
    quotas: BTreeMap<id::Version, u32>,
}

impl Fleet {
    /// Takes over the configuration in force. An upstream that is gone from it gets nothing new and
    /// is forgotten once it runs nothing more.
    pub fn configure(
        &mut self,
        directory: &Directory,
        cell: &Cell,
        rng: &mut impl Rng,
        now: Instant,
    ) {
        for upstream in self.upstreams.values_mut() {
            upstream.configured = false;
        }
        for description in directory.upstreams.values() {
            if description.service != cell.service
                || !in_region(directory, cell, &description.data_centre)
            {
                continue;
            }
            self.upstreams
                .entry(description.name.clone())
                .and_modify(|upstream| upstream.describe(description))
                .or_insert_with(|| Upstream::new(description.clone(), now));
        }
        self.upstreams
            .retain(|_, upstream| upstream.configured || upstream.in_flight > 0);
        let upstreams = &self.upstreams;
        let usable = |name: &id::Upstream| {
            upstreams
                .get(name)
                .is_some_and(|upstream| upstream.configured)
        };
        self.split.update(directory, &cell.service, usable, rng);
    }

    /// Lowers a version's share; it takes effect when the configuration is next taken over.
    pub fn lower(&mut self, directory: &Directory, version: &id::Version, share: Share) {
        self.split.lower(directory, version, share);
    }

    /// Bounds how many requests run at once on a version.
    pub fn set_quota(&mut self, version: id::Version, limit: Option<u32>) {
        match limit {
            Some(limit) => self.quotas.insert(version, limit),
            None => self.quotas.remove(&version),
        };
    }

    /// Whether one more request may run on a version, by its quota.
    fn has_quota(&self, version: &id::Version, upstreams: &[id::Upstream]) -> bool {
        let Some(limit) = self.quotas.get(version) else {
            return true;
        };
        let known = upstreams.iter().filter_map(|name| self.upstreams.get(name));
        known.map(|upstream| upstream.in_flight).sum::<u32>() < *limit
    }

    /// The most requests that held a slot of an upstream at once in a span of time, where known.
    pub fn peak_in_flight(&self, name: &id::Upstream, from: Instant, to: Instant) -> Option<u32> {
        self.upstreams.get(name)?.occupancy.peak(from, to)
    }

    /// Whether any upstream has a slot for a request that leaves `headroom_percent` of them free.
    pub fn has_slot(&self, headroom_percent: u32, now: Instant) -> bool {
        self.upstreams
            .values()
            .any(|upstream| upstream.has_slot(self.headroom(upstream, headroom_percent), now))
    }

    /// Whether any upstream takes traffic.
    pub fn is_served(&self) -> bool {
        self.split.is_served()
    }

    /// Whether a place may still be used.
    pub fn allows(&self, grant: &Grant) -> bool {
        self.split.allows(&grant.version, &grant.upstream)
    }

    /// Chooses where a request runs that has `left` until its deadline, if a slot suits it.
    pub fn place(
        &mut self,
        request: &Request,
        time_left: Duration,
        headroom_percent: u32,
        now: Instant,
    ) -> Option<Placement> {
        let query = Query {
            request,
            seconds_left: time_left.as_secs_f64(),
            headroom_percent,
            now,
        };
        // An upstream that may still be failing is tried with a request that can be run again.
        let placement = match request.repeatable {
            true => self.choose(&query, true)?,
            false => self
                .choose(&query, false)
                .or_else(|| self.choose(&query, true))?,
        };
        self.split.record_grant(&placement.version);
        Some(placement)
    }

    fn choose(&self, query: &Query<'_>, allow_probe: bool) -> Option<Placement> {
        self.split
            .candidates()
            .into_iter()
            .filter(|(version, upstreams)| self.has_quota(version, upstreams))
            .find_map(|(version, upstreams)| {
                let upstream = self.best_upstream(upstreams, query, allow_probe)?;
                Some(Placement {
                    upstream: upstream.clone(),
                    version: version.clone(),
                })
            })
    }

    fn best_upstream<'a>(
        &self,
        names: &'a [id::Upstream],
        query: &Query<'_>,
        allow_probe: bool,
    ) -> Option<&'a id::Upstream> {
        let averages = self.averages();
        let mut best: Option<(f64, &id::Upstream)> = None;
        for name in names {
            let Some(upstream) = self.upstreams.get(name) else {
                continue;
            };
            let headroom = self.headroom(upstream, query.headroom_percent);
            let available = upstream.has_slot(headroom, query.now);
            if !available || upstream.needs_probe() && !allow_probe {
                continue;
            }
            let first_token = upstream.first_token(query.request, averages, query.now);
            let decode = upstream.decode_time(query.request, averages);
            if first_token + decode > query.seconds_left {
                continue;
            }
            let score = first_token + decode * DECODE_WEIGHT;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, name));
            }
        }
        best.map(|(_, name)| name)
    }

    /// Only the faster upstreams keep headroom: a higher tier is placed there, and on the others
    /// free slots would only be lost.
    fn headroom(&self, upstream: &Upstream, percent: u32) -> u32 {
        if upstream.is_fast(self.averages()) {
            percent
        } else {
            0
        }
    }

    fn averages(&self) -> Averages {
        Averages {
            prefill: self.prefill.per_second(),
            decode: self.decode.per_second(),
        }
    }

    /// Takes the slot of a place for a request, and returns the blocks believed to be cached there.
    pub fn take(&mut self, upstream: &id::Upstream, request: &Request, now: Instant) -> usize {
        let averages = self.averages();
        self.upstreams
            .get_mut(upstream)
            .map_or(0, |upstream| upstream.take(request, averages, now))
    }

    /// Counts a slot that was taken under an earlier view.
    pub fn adopt(&mut self, upstream: &id::Upstream, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.adopt(now);
        }
    }

    /// Gives a slot back.
    pub fn free(&mut self, name: &id::Upstream, verdict: Verdict, now: Instant) {
        if let Verdict::Answered(figures) = verdict {
            self.learn(&figures);
        }
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        upstream.free(verdict, now);
        if !upstream.configured && upstream.in_flight == 0 {
            self.upstreams.remove(name);
        }
    }

    /// Corrects what is believed of an upstream's prefix cache.
    pub fn correct_cache(
        &mut self,
        upstream: &id::Upstream,
        request: &Request,
        expected_cached: usize,
        figures: &Figures,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.correct_cache(request, expected_cached, figures);
        }
    }

    /// Takes a load report in.
    pub fn set_load(&mut self, upstream: &id::Upstream, load: Load, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.set_load(load, now);
        }
    }

    /// Takes cache events in.
    pub fn apply_cache_changes(&mut self, upstream: &id::Upstream, changes: Vec<CacheChange>) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else {
            return;
        };
        for change in changes {
            upstream.cache.apply(change);
        }
    }

    /// How many requests the upstreams that answer may run at once.
    pub fn capacity(&self, now: Instant) -> u32 {
        self.upstreams
            .values()
            .filter(|upstream| upstream.configured && !upstream.is_ejected(now))
            .map(Upstream::limit)
            .sum()
    }

    /// The seconds that a typical upstream is busy with a cost, once something is known of it.
    pub fn seconds_for(&self, cost: Cost) -> Option<f64> {
        let prefill_seconds = self.prefill.seconds_for(cost.prompt.0)?;
        Some(prefill_seconds + self.decode.seconds_for(cost.output.0).unwrap_or(0.0))
    }

    /// When the first upstream that failed may be tried again, where all of them have failed.
    pub fn all_ejected_until(&self, now: Instant) -> Option<Instant> {
        let mut earliest = None;
        for upstream in self
            .upstreams
            .values()
            .filter(|upstream| upstream.configured)
        {
            if !upstream.is_ejected(now) {
                return None;
            }
            let until = upstream.ejected_until()?;
            earliest = Some(earliest.map_or(until, |at: Instant| at.min(until)));
        }
        earliest
    }

    /// The upstreams and what runs on each.
    pub fn in_flight(&self) -> impl Iterator<Item = (&id::Upstream, &Upstream)> {
        self.upstreams.iter()
    }

    fn learn(&mut self, figures: &Figures) {
        let uncached = figures.prompt.0.saturating_sub(figures.cached.0).max(1);
        self.prefill
            .observe(uncached, figures.first_token, RATE_DECAY);
        self.decode
            .observe(figures.output.0, figures.decode, RATE_DECAY);
    }
}

/// Whether a data centre belongs to the cell's region. One that no instance is in belongs to all,
/// so that losing the last instance beside an upstream does not lose the upstream.
fn in_region(directory: &Directory, cell: &Cell, data_centre: &id::DataCentre) -> bool {
    let regions: BTreeSet<&id::Region> = directory
        .instances
        .values()
        .filter(|instance| instance.data_centre == *data_centre)
        .map(|instance| &instance.region)
        .collect();
    regions.is_empty() || regions.contains(&cell.region)
}
