use std::rc::Rc;

use async_std::task;

use super::*;

/// Guards against a connection whose panic ends the thread that serves all others.
#[test]
fn panic_ends_only_what_is_guarded() {
    let before = METRICS.panics.get();
    let went_on = Rc::new(Cell::new(false));
    let flag = went_on.clone();
    task::block_on(async move {
        let failing = task::spawn_local(run("a test", async {
            task::yield_now().await;
            assert!(is_guarded());
            panic!("malformed");
        }));
        let other = task::spawn_local(run("a test", async move {
            for _ in 0..3 {
                task::yield_now().await;
            }
            flag.set(true);
        }));
        failing.await;
        other.await;
    });
    assert!(went_on.get());
    assert!(!is_guarded());
    assert_eq!(METRICS.panics.get(), before + 1);
}
