//! Requests of an entry that stops.

use crate::context::Context;
use rules::Route;
use tokio::time::Instant;

/// Whether a request that ends at `deadline` may be taken, or sent to a server, although the entry may be stopping.
pub(crate) fn accepts(cx: &Context, route: &Route, deadline: Instant) -> bool {
    let Some((shutdown, began)) = *cx.shutdown.borrow() else { return true };
    let left = deadline.saturating_duration_since(Instant::now());
    shutdown.accepts(route.retry_policy.is_stream(), left, began.elapsed())
}

/// Waits until the entry is about to exit, so that requests without an answer have to be failed.
pub(crate) async fn wait_until_answers_due(cx: &Context) {
    let mut shutdown = cx.shutdown.subscribe();
    let due_at = match shutdown.wait_for(Option::is_some).await.as_deref() {
        Ok(Some((shutdown, began))) => *began + shutdown.answers_due_at(),
        // The sender lives as long as the context.
        Ok(None) | Err(_) => return std::future::pending().await,
    };
    tokio::time::sleep_until(due_at).await;
}
