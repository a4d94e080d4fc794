//! Time as the decisions see it.

use std::time::{Duration, Instant};

/// Milliseconds on a monotonic clock that starts with the process.
pub type Millis = u64;

/// A monotonic clock that reads zero when the process starts.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Reads the milliseconds since the start.
    pub fn now(&self) -> Millis {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns wall-clock milliseconds since 1970, for incarnations and logs only.
    pub fn unix_ms() -> u64 {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        u64::try_from(since.unwrap_or(Duration::ZERO).as_millis()).unwrap_or(0)
    }
}

/// Reads the milliseconds since the VM booted, those included in which it was suspended.
///
/// Leases, shares and confirmations age by this clock: the monotonic one stands still while a VM
/// is suspended.
pub fn boot_ms() -> Millis {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds * 1000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}
