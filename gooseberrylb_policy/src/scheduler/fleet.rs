//! The upstreams of a service and the placement of requests on them.

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

/// Factor by which the weight of earlier observations decays with each new one, across all
/// upstreams.
const RATE_DECAY: f64 = 0.98;

/// Weight of the decode time relative to the time to first token when upstreams are compared.
const DECODE_WEIGHT: f64 = 0.1;

/// A request to place and its constraints.
struct Query<'a> {
    request: &'a Request,
    seconds_left: f64,
    headroom_percent: u32,
    now: Instant,
}

/// The upstream chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The version that the upstream runs.
    pub version: id::Version,
}

/// The upstreams of a service in one region.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: BTreeMap<id::Upstream, Upstream>,
    /// The split of the traffic over versions.
    split: Split,
    /// The average prefill rate of the upstreams.
    prefill: Rate,
    /// The average decode rate of the upstreams, per request.
    decode: Rate,
    /// The maximum number of running requests of versions with a quota.
    quotas: BTreeMap<id::Version, u32>,
}

impl Fleet {
    /// Applies the configuration in force. An upstream that was removed from it gets no new
    /// requests and is forgotten once none of its requests is running.
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

    /// Lowers a version's share with effect from the next call of [`Fleet::configure`].
    pub fn lower_share(&mut self, directory: &Directory, version: &id::Version, share: Share) {
        self.split.lower_share(directory, version, share);
    }

    /// Limits the number of requests running at once on a version; `None` lifts the limit.
    pub fn set_quota(&mut self, version: id::Version, limit: Option<u32>) {
        match limit {
            Some(limit) => self.quotas.insert(version, limit),
            None => self.quotas.remove(&version),
        };
    }

    /// Whether the quota of a version allows one more running request.
    fn has_quota(&self, version: &id::Version, upstreams: &[id::Upstream]) -> bool {
        let Some(limit) = self.quotas.get(version) else {
            return true;
        };
        let known = upstreams.iter().filter_map(|name| self.upstreams.get(name));
        known.map(|upstream| upstream.in_flight).sum::<u32>() < *limit
    }

    /// Returns the maximum number of requests that held a slot of an upstream at once between two
    /// times, if known.
    pub fn peak_in_flight(&self, name: &id::Upstream, from: Instant, to: Instant) -> Option<u32> {
        self.upstreams.get(name)?.occupancy.peak(from, to)
    }

    /// Whether any upstream has a slot for a request that must leave `headroom_percent` of the
    /// slots free.
    pub fn has_slot(&self, headroom_percent: u32, now: Instant) -> bool {
        self.upstreams
            .values()
            .any(|upstream| upstream.has_slot(self.headroom(upstream, headroom_percent), now))
    }

    /// Whether any upstream takes traffic.
    pub fn is_served(&self) -> bool {
        self.split.is_served()
    }

    /// Whether a grant may still be used under the configuration in force.
    pub fn allows(&self, grant: &Grant) -> bool {
        self.split.allows(&grant.version, &grant.upstream)
    }

    /// Chooses an upstream for a request that has `time_left` until its deadline; returns `None` if
    /// no slot is suitable.
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
        // A probe of an upstream that may still be failing preferably uses a repeatable request,
        // which can be run again if the probe fails.
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

    /// Returns the upstream with a free slot that finishes the request in time at the lowest score.
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

    /// Returns the headroom to keep on an upstream. Only fast upstreams keep any: requests of a
    /// higher tier are placed on them, and on the others the free slots would be wasted.
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

    /// Takes a slot for a request and returns the number of its prefix blocks expected to be
    /// cached.
    pub fn take(&mut self, upstream: &id::Upstream, request: &Request, now: Instant) -> usize {
        let averages = self.averages();
        self.upstreams
            .get_mut(upstream)
            .map_or(0, |upstream| upstream.take(request, averages, now))
    }

    /// Counts a slot that was taken under an earlier scheduler.
    pub fn adopt(&mut self, upstream: &id::Upstream, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.adopt(now);
        }
    }

    /// Frees a slot and updates rates and health from the verdict on its request.
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

    /// Corrects the estimate of an upstream's prefix cache by the figures of a request.
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

    /// Stores a load report.
    pub fn set_load(&mut self, upstream: &id::Upstream, load: Load, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.set_load(load, now);
        }
    }

    /// Applies cache events from an engine.
    pub fn apply_cache_changes(&mut self, upstream: &id::Upstream, changes: Vec<CacheChange>) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else {
            return;
        };
        for change in changes {
            upstream.cache.apply(change);
        }
    }

    /// Returns the number of requests that the upstreams that are not ejected may run at once.
    pub fn capacity(&self, now: Instant) -> u32 {
        self.upstreams
            .values()
            .filter(|upstream| upstream.configured && !upstream.is_ejected(now))
            .map(Upstream::limit)
            .sum()
    }

    /// Returns the seconds for which an average upstream is busy with `cost`; `None` before the
    /// first observation.
    pub fn seconds_for(&self, cost: Cost) -> Option<f64> {
        let prefill_seconds = self.prefill.seconds_for(cost.prompt.0)?;
        Some(prefill_seconds + self.decode.seconds_for(cost.output.0).unwrap_or(0.0))
    }

    /// Returns the earliest end of a back-off if all upstreams have failed.
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

    /// Returns all upstreams by name.
    pub fn upstreams(&self) -> impl Iterator<Item = (&id::Upstream, &Upstream)> {
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

/// Whether a data centre belongs to the cell's region. A data centre without instances belongs to
/// every region, so that an upstream stays in use when the last instance next to it is lost.
fn in_region(directory: &Directory, cell: &Cell, data_centre: &id::DataCentre) -> bool {
    let regions: BTreeSet<&id::Region> = directory
        .instances
        .values()
        .filter(|instance| instance.data_centre == *data_centre)
        .map(|instance| &instance.region)
        .collect();
    regions.is_empty() || regions.contains(&cell.region)
}
