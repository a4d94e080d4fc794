//! Closes connections of clients that take too long, and tells when clients are turned away.

use crate::context::Context;
use kernel::prelude::*;
use tokio::time::Instant;
use web::ClientCounts;

/// Pause between two sweeps after which the process may have stood still, with bytes of clients unread.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// What the last sweep saw.
#[derive(Default)]
pub(crate) struct ClientSweep {
    swept_at: Option<Instant>,
    counts: ClientCounts,
}

impl ClientSweep {
    /// Closes expired connections, and logs how many clients were turned away since the last sweep.
    pub(crate) fn sweep(&mut self, cx: &Context) {
        let now = Instant::now();
        let paused = self.swept_at.replace(now).is_none_or(|at| now - at > MAX_PAUSE);
        if !paused {
            let limits = cx.rules.borrow().limits;
            let head = Duration::from_millis(limits.header_timeout_ms);
            cx.clients.expire(head, Duration::from_millis(limits.idle_timeout_ms));
        }
        let counts = cx.clients.counts();
        let before = std::mem::replace(&mut self.counts, counts);
        if counts.turned_away() != before.turned_away() {
            let usage = cx.clients.usage();
            warn!(cx.log, "clients turned away"; "connections" => usage.connections,
                "memory" => usage.memory,
                "connections_refused" => counts.refused_connections - before.refused_connections,
                "requests_refused" => counts.refused_requests - before.refused_requests,
                "connections_dismissed" => counts.dismissed - before.dismissed);
        }
    }
}
