//! The part of the upstreams that one entry may fill by itself while the dispatcher is silent.
//!
//! If every entry took all slots to be its own, a silent dispatcher would mean upstreams with several
//! times the requests that they can run, all of them late.

use std::collections::BTreeMap;

use super::Upstream;

/// The slots that entry `index` of `count` may use, so that all entries together use each slot once.
/// Each entry gets a place at least, also where there are more entries than slots.
pub fn for_entry(
    upstreams: impl IntoIterator<Item = Upstream>,
    index: usize,
    count: usize,
) -> Vec<Upstream> {
    let mut by_service: BTreeMap<_, Vec<Upstream>> = BTreeMap::new();
    for upstream in upstreams {
        let service = upstream.service.clone();
        by_service.entry(service).or_default().push(upstream);
    }
    let services = by_service.into_values();
    services.flat_map(|all| part(all, index, count)).collect()
}

fn part(mut upstreams: Vec<Upstream>, index: usize, count: usize) -> Vec<Upstream> {
    upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    let (count, mut first) = (count.max(1), 0);
    for upstream in &mut upstreams {
        let slots = first..first + upstream.slots as usize;
        first = slots.end;
        let own = slots.filter(|slot| slot % count == index).count();
        upstream.slots = u32::try_from(own).unwrap_or(u32::MAX);
    }
    if upstreams.iter().all(|upstream| upstream.slots == 0) && !upstreams.is_empty() {
        let only = index % upstreams.len();
        upstreams[only].slots = 1;
    }
    upstreams.retain(|upstream| upstream.slots > 0);
    upstreams
}
