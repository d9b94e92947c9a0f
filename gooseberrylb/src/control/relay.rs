//! Selects the relays that distribute the configuration in a fleet that is too large for all
//! instances to follow the leader directly, and the instances to ask for the leader.

use std::collections::BTreeMap;

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
/// Up to `max_direct` instances all follow the leader. More instances are divided, in order of
/// their names, into groups of about the square root of their number. The first live instance of a
/// group is its relay: it follows the leader, and the rest of the group follows it. The leader
/// follows nobody, since a relay's lease would come from the leader itself.
pub fn relay<'a>(
    max_direct: usize,
    instances: &[&'a id::Instance],
    leader: &id::Instance,
    name: &id::Instance,
    is_alive: impl Fn(&id::Instance) -> bool,
) -> Option<&'a id::Instance> {
    if instances.len() <= max_direct || name == leader {
        return None;
    }
    let group_size = instances.len().isqrt() + 1;
    let position = instances.iter().position(|known| *known == name)?;
    let mut group = instances
        .chunks(group_size)
        .nth(position / group_size)?
        .iter();
    let relay_name = *group.find(|known| is_alive(known))?;
    (relay_name != name).then_some(relay_name)
}
