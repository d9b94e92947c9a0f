//! Partition of the upstreams' slots among the entries, for use while the dispatcher is silent.
//!
//! If every entry used all slots as its own, the upstreams would get several times the requests
//! that they can run during an outage of the dispatcher, all of them late.

use std::collections::BTreeMap;

use super::Upstream;

/// Part of the limit of an upstream that the entry with its first slot uses while it places alone. All
/// others use none: parts for each would add up to a burst. The dispatcher may still grant the whole
/// limit to entries that it reaches.
const ALONE_LIMIT_PART: f64 = 0.5;

/// Returns the slots that entry `index` of `count` may use, so that all entries together use each
/// slot once. Each entry gets at least one slot, also where there are more entries than slots.
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
    services
        .flat_map(|all| partition(all, index, count))
        .collect()
}

fn partition(mut upstreams: Vec<Upstream>, index: usize, count: usize) -> Vec<Upstream> {
    upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    let (count, mut first) = (count.max(1), 0);
    // Number of slots before one that belong to this entry.
    let own_before = |slot: usize| (slot + count - 1).saturating_sub(index) / count;
    for upstream in &mut upstreams {
        let slots = first..first + upstream.slots as usize;
        first = slots.end;
        upstream.limit_part = match slots.start % count == index {
            true => ALONE_LIMIT_PART,
            false => 0.0,
        };
        let own = own_before(slots.end) - own_before(slots.start);
        upstream.slots = u32::try_from(own).unwrap_or(u32::MAX);
    }
    if upstreams.iter().all(|upstream| upstream.slots == 0) && !upstreams.is_empty() {
        let only = index % upstreams.len();
        upstreams[only].slots = 1;
    }
    upstreams.retain(|upstream| upstream.slots > 0);
    upstreams
}
