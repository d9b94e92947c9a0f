//! Number of voters that the tolerance of a deployment lets be lost at once.

use gooseberrylb_config::id;
use gooseberrylb_config::settings::Tolerance;

/// Returns the losses of voters, each written as the letter of its data centre. Two data centres are in
/// each region: `a` and `b`, `c` and `d`, `e` and `f`.
fn losses(machines: usize, zones: usize, regions: usize, voters: &str) -> usize {
    let places: Vec<(id::DataCentre, id::Region)> = voters
        .chars()
        .map(|letter| {
            let region = match letter {
                'a' | 'b' => "west",
                'c' | 'd' => "east",
                _ => "north",
            };
            (letter.to_string().parse().unwrap(), region.parse().unwrap())
        })
        .collect();
    let tolerance = Tolerance {
        machines,
        zones,
        regions,
    };
    tolerance.losses(
        places
            .iter()
            .map(|(data_centre, region)| (data_centre, region)),
    )
}

#[test]
fn voters_of_the_fullest_data_centres_are_lost_together() {
    for (machines, zones, regions, voters, expected) in [
        (1, 0, 0, "aabbc", 1),
        (2, 0, 0, "abc", 2),
        (1, 1, 0, "abc", 1),
        (1, 1, 0, "aabbc", 2),
        (1, 1, 0, "aabbccd", 2),
        (1, 2, 0, "aabbccdd", 3),
        (1, 0, 1, "abcdef", 2),
        (1, 0, 1, "abcdefe", 3),
        (3, 1, 0, "aabbc", 3),
        (0, 1, 0, "", 0),
    ] {
        let found = losses(machines, zones, regions, voters);
        assert_eq!(found, expected, "{machines} {zones} {regions} {voters}");
    }
}

#[test]
fn data_centre_with_most_voters_leaves_a_majority_in_the_count() {
    assert_eq!(losses(1, 1, 0, "aaaaa"), 2);
    assert_eq!(losses(1, 1, 0, "aaab"), 1);
    assert_eq!(losses(1, 0, 1, "aabbc"), 2);
}
