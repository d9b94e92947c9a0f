use super::*;

#[test]
fn longest_gap_excludes_time_before_first_part() {
    let sent = Instant::now();
    let at = |ms| sent + Duration::from_millis(ms);
    let mut transfer = Transfer::new(Framing::Chunked);
    for (last, now) in [(0, 700), (700, 750), (750, 1_050), (1_050, 1_100)] {
        transfer.record_part(at(last), at(now));
    }
    assert_eq!(transfer.first, Some(at(700)));
    assert_eq!(transfer.longest_gap, Duration::from_millis(300));
}
