//! Selects the relays that distribute the configuration in a fleet that is too large for all
//! instances to follow the leader directly, and the instances to ask for the leader.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use gooseberrylb_config::directory::Instance;
use gooseberrylb_config::id;

#[cfg(test)]
mod tests;

/// Maximum number of instances that all follow the leader directly. In larger fleets, relays
/// distribute the configuration.
pub const MAX_DIRECT_FOLLOWERS: usize = 24;

/// Maximum number of instances that all follow the leader directly on a platform. A change must be
/// in force everywhere within about two seconds there, and replacing a lost relay takes longer.
/// Each follower costs the leader about 100 µs twice a second.
pub const MAX_DIRECT_FOLLOWERS_ON_PLATFORM: usize = 128;

/// Returns the leader that a non-leader names to others: `known` to its consensus node, else
/// `published` by a leader whose lease is still valid. It never names itself: a former leader that
/// was isolated would otherwise redirect all instances, including itself, to itself forever.
pub fn leader_hint(
    own: &id::Instance,
    known: Option<id::Instance>,
    published: Option<id::Instance>,
) -> Option<id::Instance> {
    known.or(published).filter(|leader| leader != own)
}

/// Returns the instances to ask when no leader is known: those that take no callers, since the
/// leader is among them and they learn first of a new one; all instances only if there are none of
/// these. In a large fleet, most instances know no more than the one that asks.
pub fn discovery_targets(instances: &BTreeMap<id::Instance, Instance>) -> Vec<&id::Instance> {
    let non_entries = instances.iter().filter(|(_, instance)| !instance.entry);
    let non_entries: Vec<_> = non_entries.map(|(name, _)| name).collect();
    match non_entries.is_empty() {
        true => instances.keys().collect(),
        false => non_entries,
    }
}

/// Returns the relay that `name` should follow, or `None` if it should follow the leader.
///
/// Up to `max_direct` instances all follow the leader. In a larger fleet, relays stand between, at
/// most one on each way: the live instances that take no callers, since they are few, steady and
/// have processor time left, or entries if there are no others. The leader follows nobody, since a
/// relay's lease would come from the leader itself.
pub fn relay<'a>(
    max_direct: usize,
    instances: &'a BTreeMap<id::Instance, Instance>,
    leader: &id::Instance,
    name: &id::Instance,
    is_alive: impl Fn(&id::Instance) -> bool,
) -> Option<&'a id::Instance> {
    if instances.len() <= max_direct || name == leader {
        return None;
    }
    if instances.values().any(|instance| !instance.entry) {
        return steady_relay(instances, leader, name, is_alive);
    }
    entry_relay(instances, leader, name, is_alive)
}

/// Returns the relay of an entry among the instances that take no callers, preferably in its data
/// centre. Rendezvous hashing spreads the entries, and moves only those of a relay that is lost.
fn steady_relay<'a>(
    instances: &'a BTreeMap<id::Instance, Instance>,
    leader: &id::Instance,
    name: &id::Instance,
    is_alive: impl Fn(&id::Instance) -> bool,
) -> Option<&'a id::Instance> {
    let own = instances.get(name);
    if own.is_some_and(|own| !own.entry) {
        return None;
    }
    let data_centre = own.map(|own| &own.data_centre);
    let relays = instances.iter().filter(|(relay, instance)| {
        !instance.entry && !instance.leaving && *relay != leader && is_alive(relay)
    });
    let rank = |(relay, instance): &(&id::Instance, &Instance)| {
        let mut hasher = DefaultHasher::new();
        (name, relay).hash(&mut hasher);
        (data_centre == Some(&instance.data_centre), hasher.finish())
    };
    relays.max_by_key(rank).map(|(relay, _)| relay)
}

/// Returns the relay of an instance in a fleet of entries only: in the order of names, these are
/// divided into groups of about the square root of their number, and the first live one of each
/// group is its relay.
fn entry_relay<'a>(
    instances: &'a BTreeMap<id::Instance, Instance>,
    leader: &id::Instance,
    name: &id::Instance,
    is_alive: impl Fn(&id::Instance) -> bool,
) -> Option<&'a id::Instance> {
    let names: Vec<_> = instances.keys().filter(|known| *known != leader).collect();
    let group_size = names.len().isqrt() + 1;
    let position = names.iter().position(|known| *known == name)?;
    let mut group = names.chunks(group_size).nth(position / group_size)?.iter();
    let relay_name = *group.find(|known| is_alive(known))?;
    (relay_name != name).then_some(relay_name)
}
