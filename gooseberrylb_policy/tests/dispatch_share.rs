//! Slots that each entry uses while the dispatcher is silent.

use gooseberrylb_policy::dispatch::{Upstream, share};

fn upstreams(service: &str, count: usize, slots: u32) -> Vec<Upstream> {
    let make = |i| Upstream {
        name: format!("{service}-{i}").parse().unwrap(),
        service: service.parse().unwrap(),
        release: "v1".into(),
        data_centre: "lodi".into(),
        slots,
        limit_part: 1.0,
    };
    (0..count).map(make).collect()
}

#[test]
fn all_entries_together_use_each_slot_once() {
    let all: Vec<_> = [upstreams("agronomo", 12, 5), upstreams("comando", 3, 6)].concat();
    for count in [1, 2, 5, 6, 7, 18] {
        for upstream in &all {
            let parts = (0..count).map(|index| share::for_entry(all.clone(), index, count));
            let own = parts.flatten().filter(|part| part.name == upstream.name);
            let used: u32 = own.map(|part| part.slots).sum();
            assert_eq!(used, upstream.slots, "{} among {count}", upstream.name);
        }
    }
}

#[test]
fn each_entry_gets_a_slot_when_entries_outnumber_slots() {
    let all = upstreams("comando", 3, 2);
    for index in 0..40 {
        let own = share::for_entry(all.clone(), index, 40);
        assert!(own.iter().map(|part| part.slots).sum::<u32>() >= 1);
    }
}

/// Guards against an entry that counts slots for minutes because an upstream is listed with too many.
#[test]
fn any_number_of_slots_is_divided_at_once() {
    let all = upstreams("agronomo", 3, u32::MAX);
    for count in [1, 7, 23] {
        let parts = (0..count).map(|index| share::for_entry(all.clone(), index, count));
        let slots = parts.flatten().map(|part| u64::from(part.slots));
        assert_eq!(slots.sum::<u64>(), 3 * u64::from(u32::MAX));
    }
}
