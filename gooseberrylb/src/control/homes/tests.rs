//! Tests of the regions in which requests may run.

use std::sync::Arc;

use super::Homes;

/// Returns whether a request may run in "north" and in "south", or `None` if it may run anywhere.
fn allowed(of_route: &[&str], of_account: &[&str]) -> Option<(bool, bool)> {
    let list = |names: &[&str]| {
        names
            .iter()
            .map(|name| Arc::from(*name))
            .collect::<Vec<_>>()
    };
    let homes = Homes::common(&list(of_route), &list(of_account))?;
    Some((homes.contains("north"), homes.contains("south")))
}

/// Guards against a request that runs where its route or its account does not allow it.
#[test]
fn region_must_be_allowed_by_route_and_account() {
    assert_eq!(allowed(&[], &[]), None);
    assert_eq!(allowed(&["north"], &[]), Some((true, false)));
    assert_eq!(allowed(&[], &["south"]), Some((false, true)));
    assert_eq!(
        allowed(&["north", "south"], &["south"]),
        Some((false, true))
    );
    // Without a region in both, the request may run nowhere.
    assert_eq!(allowed(&["north"], &["south"]), Some((false, false)));
}
