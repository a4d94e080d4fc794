//! Number of requests that started to run, by organisation and window of the wall clock.

use kernel::Name;
use std::collections::BTreeMap;

/// Number of requests by organisation.
pub type Counts = BTreeMap<Name, u64>;

/// Index of a window: the number of whole windows between 1970 and its start.
pub type Window = u64;

/// Request counts of one entry.
#[derive(Clone, Debug, Default)]
pub struct UsageCounter {
    window_ms: u64,
    counts: BTreeMap<Window, Counts>,
}

impl UsageCounter {
    /// Creates a counter with windows of `window_ms` milliseconds; 0 is treated as 1.
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms: window_ms.max(1), counts: BTreeMap::new() }
    }

    /// Returns the window that contains a time, in milliseconds since 1970.
    pub fn window(&self, unix_ms: u64) -> Window {
        unix_ms / self.window_ms
    }

    /// Returns the end of a window, in milliseconds since 1970.
    pub fn end_ms(&self, window: Window) -> u64 {
        (window + 1) * self.window_ms
    }

    /// Counts a request that started to run.
    pub fn record_start(&mut self, organisation: &Name, unix_ms: u64) {
        let window = self.window(unix_ms);
        *self.counts.entry(window).or_default().entry(organisation.clone()).or_default() += 1;
    }

    /// Returns the counts of all windows that were not pruned.
    pub fn recent(&self) -> &BTreeMap<Window, Counts> {
        &self.counts
    }

    /// Removes windows that are more than `RETAINED_WINDOWS` before the window of `unix_ms`.
    pub fn prune(&mut self, unix_ms: u64) {
        let oldest = self.window(unix_ms).saturating_sub(RETAINED_WINDOWS);
        self.counts.retain(|window, _| *window >= oldest);
    }
}

/// Counts reported by the entries, for each of their runs.
#[derive(Clone, Debug, Default)]
pub struct UsageReports {
    runs: BTreeMap<(Name, u64), UsageReport>,
}

#[derive(Clone, Debug, Default)]
struct UsageReport {
    /// Time of the last report, in milliseconds since 1970.
    reported_at_ms: u64,
    windows: BTreeMap<Window, Counts>,
}

impl UsageReports {
    /// Records the counts reported by a run of an entry.
    ///
    /// The counts of a window replace those of an earlier report by the same run, because they only
    /// grow. The counts of runs that have ended are kept.
    pub fn record(
        &mut self,
        entry: &Name,
        incarnation: u64,
        windows: BTreeMap<Window, Counts>,
        unix_ms: u64,
    ) {
        let report = self.runs.entry((entry.clone(), incarnation)).or_default();
        report.reported_at_ms = unix_ms;
        report.windows.extend(windows);
    }

    /// Whether a run of an entry reported its counts after a time, in milliseconds since 1970.
    pub fn reported_after(&self, entry: &Name, incarnation: u64, unix_ms: u64) -> bool {
        let report = self.runs.get(&(entry.clone(), incarnation));
        report.is_some_and(|report| report.reported_at_ms > unix_ms)
    }

    /// Returns the sum of the counts of all runs in a window.
    pub fn total(&self, window: Window) -> Counts {
        total(self.runs.values().filter_map(|report| report.windows.get(&window).cloned()))
    }

    /// Removes runs whose last report was before a time, in milliseconds since 1970.
    pub fn prune(&mut self, unix_ms: u64) {
        self.runs.retain(|_, report| report.reported_at_ms >= unix_ms);
    }
}

/// Number of windows before the current one whose counts an entry still reports.
const RETAINED_WINDOWS: Window = 4;

/// Adds `counts` to `sum`.
fn add(sum: &mut Counts, counts: Counts) {
    for (organisation, count) in counts {
        *sum.entry(organisation).or_default() += count;
    }
}

/// Returns the sum of the counts of several runs.
fn total(all: impl IntoIterator<Item = Counts>) -> Counts {
    let mut sum = Counts::new();
    for counts in all {
        add(&mut sum, counts);
    }
    sum
}
