use super::*;

/// Returns the violations of one declaration that is sent and confirmed at these times in milliseconds,
/// where the last disk is full from 4 to 10 s.
fn violations(sent_ms: u64, confirmed_ms: Option<u64>) -> Vec<String> {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let change = Change {
        version: 1,
        sent_at: at(sent_ms),
        confirmed_after: confirmed_ms.map(|ms| Duration::from_millis(ms - sent_ms)),
    };
    let period = Period {
        keeper: 1,
        start: at(4_000),
        end: at(10_000),
    };
    check(&[change], &[period])
}

#[test]
fn changes_refused_while_one_disk_is_full_are_found() {
    assert!(violations(4_000, Some(7_900)).is_empty());
    let found = violations(4_000, Some(8_100));
    assert!(
        found[0].contains("at most one disk was full, in turn of [1]"),
        "{found:?}"
    );
}

#[test]
fn changes_refused_when_all_disks_have_room_are_found() {
    for (sent_ms, confirmed_ms) in [
        (9_000, Some(18_100)),
        (15_000, Some(19_100)),
        (15_000, None),
    ] {
        let found = violations(sent_ms, confirmed_ms);
        assert!(found[0].contains("since all disks have room"), "{found:?}");
    }
}
