//! Who carries the configuration to whom in a fleet that is too large to follow the leader.

use std::collections::BTreeMap;

use gooseberrylb_config::directory::Instance;
use gooseberrylb_config::id;

#[cfg(test)]
mod tests;

/// How many instances follow the leader itself; beyond that, relays carry the configuration.
pub const MAX_DIRECT_FOLLOWERS: usize = 24;

/// The same on a platform, where a change must be in force everywhere within about two seconds: a relay
/// that is lost takes longer to replace than that. A report costs the leader about 100 µs twice a second.
pub const MAX_DIRECT_FOLLOWERS_ON_PLATFORM: usize = 128;

/// Whom an instance that does not lead names as the leader: what its consensus node knows goes before
/// what a leader told it while that was fresh. It never names itself: one that led and was cut off
/// would send everybody, and itself, back to itself for good.
pub fn leader_hint(
    own: &id::Instance,
    known: Option<id::Instance>,
    published: Option<id::Instance>,
) -> Option<id::Instance> {
    known.or(published).filter(|leader| leader != own)
}

/// Whom an instance asks that knows no leader: those that take no callers, since the leader is among
/// them and they hear first of a new one; all others only where there are none. In a large fleet most
/// instances know no more than the one that asks.
pub fn discovery_targets(instances: &BTreeMap<id::Instance, Instance>) -> Vec<&id::Instance> {
    let non_entries = instances.iter().filter(|(_, instance)| !instance.entry);
    let non_entries: Vec<_> = non_entries.map(|(name, _)| name).collect();
    match non_entries.is_empty() {
        true => instances.keys().collect(),
        false => non_entries,
    }
}

/// The relay that `name` is to follow, or none where it follows the leader.
///
/// Up to `direct` instances all follow the leader. Of more, in order of their names, groups are made
/// of about the square root of their number; the first of each group that lives follows the leader,
/// and the group follows it. The leader follows nobody: whoever it followed would have its lease from
/// the leader itself.
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
