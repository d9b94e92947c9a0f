use async_std::task;
use futures::FutureExt;

use super::*;

const MIB: u64 = 1024 * 1024;

/// Longer than a test runs.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Guards against bodies that each keep to their limit and fill the memory together.
#[test]
fn bodies_share_a_budget_and_wait_in_order_of_arrival() {
    task::block_on(async {
        let budget = Budget::new(Bytes(10 * MIB));
        let mut rooms: Vec<Room> = (0..5).map(|_| budget.room(MAX_WAIT)).collect();
        let (running, waiting) = rooms.split_at_mut(2);
        for room in running.iter_mut() {
            assert!(room.grow(Bytes(4 * MIB)).now_or_never().is_some());
        }
        let [first, second, third] = waiting else {
            unreachable!();
        };
        let mut first = Box::pin(first.grow(Bytes(4 * MIB)));
        let mut second = Box::pin(second.grow(Bytes(MIB)));
        assert!((&mut first).now_or_never().is_none());
        assert!((&mut second).now_or_never().is_none(), "overtakes another");
        // A small body needs no room.
        assert!(third.grow(MIN_SIZE).now_or_never().is_some());
        running[0] = budget.room(MAX_WAIT);
        assert!((&mut first).now_or_never().is_some());
        assert!((&mut second).now_or_never().is_some());
        assert_eq!(budget.used.get(), Bytes(9 * MIB));
    });
}

#[test]
fn body_that_is_given_up_lets_the_next_one_in() {
    task::block_on(async {
        let budget = Budget::new(Bytes(4 * MIB));
        let (mut running, mut first, mut second) = (
            budget.room(MAX_WAIT),
            budget.room(MAX_WAIT),
            budget.room(MAX_WAIT),
        );
        running.grow(Bytes(3 * MIB)).await.unwrap();
        let mut given_up = Box::pin(first.grow(Bytes(4 * MIB)));
        assert!((&mut given_up).now_or_never().is_none());
        let mut next = Box::pin(second.grow(Bytes(MIB)));
        assert!((&mut next).now_or_never().is_none());
        drop(given_up);
        assert!((&mut next).now_or_never().is_some());
    });
}

#[test]
fn body_waits_for_room_no_longer_than_its_time() {
    task::block_on(async {
        let budget = Budget::new(Bytes(MIB));
        let (mut running, mut late) =
            (budget.room(MAX_WAIT), budget.room(Duration::from_millis(5)));
        running.grow(Bytes(MIB)).await.unwrap();
        assert_eq!(late.grow(Bytes(MIB)).await, Err(Exhausted));
        drop(running);
        assert_eq!(late.grow(Bytes(MIB)).await, Ok(()));
    });
}

#[test]
fn body_of_any_size_is_held_when_it_is_alone() {
    let budget = Budget::new(Bytes(MIB));
    let mut room = budget.room(MAX_WAIT);
    assert!(room.grow(Bytes(8 * MIB)).now_or_never().is_some());
    drop(room);
    assert_eq!(budget.used.get(), Bytes(0));
}
