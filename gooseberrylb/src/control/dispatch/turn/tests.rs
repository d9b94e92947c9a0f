use std::cell::Cell;
use std::time::{Duration, Instant};

use async_std::task;
use futures::{FutureExt, poll};

use super::{MAX_ANSWERED, MAX_PER_TURN, Turns};

/// Guards against sessions that answer without a pause because the thread waited for a processor
/// between their turns: no other task had a turn in that time.
#[test]
fn thread_that_is_held_up_between_turns_still_pauses() {
    task::block_on(async {
        let turns = Turns::default();
        let time = Cell::new(Instant::now());
        let now = || time.get();
        for answered in (MAX_PER_TURN..=MAX_ANSWERED).step_by(MAX_PER_TURN as usize) {
            let mut turn = turns.next(now).await;
            while !turn.count(now()) {
                time.set(now() + Duration::from_micros(1));
            }
            let mut end = std::pin::pin!(turn.end(now()));
            assert!(poll!(&mut end).is_pending());
            let pauses = turns.next(now).now_or_never().is_none();
            assert_eq!(pauses, answered >= MAX_ANSWERED, "{answered}");
            end.await;
            time.set(now() + Duration::from_millis(50));
        }
    });
}
