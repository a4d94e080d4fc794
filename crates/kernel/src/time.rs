//! Clocks and time units.

use std::time::{Duration, Instant};

/// Time in milliseconds, as a duration or as a reading of [`Clock`] or [`boot_ms`].
pub type Millis = u64;

/// A monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the milliseconds since the start of the clock.
    pub fn now(&self) -> Millis {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch. Only for incarnations and
    /// logs, since the wall clock can be set.
    pub fn unix_ms() -> u64 {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        u64::try_from(since_epoch.unwrap_or(Duration::ZERO).as_millis()).unwrap_or(0)
    }
}

/// Returns the milliseconds since the VM booted, including the time in which it was suspended.
///
/// The ages of leases, shares and confirmations are measured with this clock, because the monotonic
/// clock does not advance while a VM is suspended.
pub fn boot_ms() -> Millis {
    let since_boot = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(since_boot.tv_sec).unwrap_or(0);
    seconds * 1000 + u64::try_from(since_boot.tv_nsec).unwrap_or(0) / 1_000_000
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}
