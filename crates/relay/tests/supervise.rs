//! A background task goes on after a panic.

use relay::supervise;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::LocalSet;

#[tokio::test]
async fn a_task_that_panics_starts_again_and_one_that_ends_does_not() {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let starts = Rc::new(Cell::new(0));
    let ended = Rc::new(Notify::new());
    LocalSet::new()
        .run_until(async {
            let (all_starts, end) = (starts.clone(), ended.clone());
            supervise(&log, "test", move || {
                let (starts, ended) = (all_starts.clone(), end.clone());
                async move {
                    starts.set(starts.get() + 1);
                    assert!(starts.get() > 2, "this panic is part of the test");
                    ended.notify_one();
                }
            });
            ended.notified().await;
            tokio::task::yield_now().await;
        })
        .await;
    assert_eq!(starts.get(), 3);
}
