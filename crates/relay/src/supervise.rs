//! Background tasks that start again after a panic.

use kernel::prelude::*;
use std::time::Duration;
use tokio::task::spawn_local;

/// Delay before a task that panicked starts again.
const RESTART_DELAY: Duration = Duration::from_millis(250);

/// Runs a background task; must run inside a `LocalSet`.
///
/// A panic ends only the task that it is in. An entry without one of its background tasks would go on
/// with a picture that nobody keeps up to date, so that the task starts again.
pub fn supervise<F>(log: &Logger, name: &'static str, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let log = log.clone();
    spawn_local(async move {
        while let Err(e) = spawn_local(start()).await {
            if !e.is_panic() {
                return;
            }
            error!(log, "task panicked"; "task" => name, "cause" => panic_text(e));
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}

/// Returns the message of a panic.
fn panic_text(e: tokio::task::JoinError) -> String {
    let payload = e.into_panic();
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or(payload.downcast_ref::<&str>().copied()).unwrap_or("unknown").to_owned()
}
