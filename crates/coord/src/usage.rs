//! Counts of the requests that began to run, by window of the wall clock.

use kernel::Name;
use std::collections::BTreeMap;

/// Requests by organisation.
pub type Counts = BTreeMap<Name, u64>;

/// Number of a window: its start since 1970, in windows.
pub type Window = u64;

/// The counts of one entry.
#[derive(Clone, Debug, Default)]
pub struct UsageCounter {
    window_ms: u64,
    open: BTreeMap<Window, Counts>,
}

impl UsageCounter {
    /// Creates counts by windows of this length.
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms: window_ms.max(1), open: BTreeMap::new() }
    }

    /// Returns the window of a time since 1970.
    pub fn window(&self, unix_ms: u64) -> Window {
        unix_ms / self.window_ms
    }

    /// Returns when a window ends, since 1970.
    pub fn end_ms(&self, window: Window) -> u64 {
        (window + 1) * self.window_ms
    }

    /// Counts a request that began to run.
    pub fn record_start(&mut self, organisation: &Name, unix_ms: u64) {
        let window = self.window(unix_ms);
        *self.open.entry(window).or_default().entry(organisation.clone()).or_default() += 1;
    }

    /// Returns the counts of the windows that are not older than the kept ones.
    pub fn recent(&self) -> &BTreeMap<Window, Counts> {
        &self.open
    }

    /// Forgets windows that ended long ago.
    pub fn prune(&mut self, unix_ms: u64) {
        let oldest = self.window(unix_ms).saturating_sub(KEPT_WINDOWS);
        self.open.retain(|window, _| *window >= oldest);
    }
}

/// What the entries told of their counts.
#[derive(Clone, Debug, Default)]
pub struct UsageReports {
    runs: BTreeMap<(Name, u64), UsageReport>,
}

#[derive(Clone, Debug, Default)]
struct UsageReport {
    /// When the counts were told, since 1970.
    at_ms: u64,
    windows: BTreeMap<Window, Counts>,
}

impl UsageReports {
    /// Takes in what a run of an entry counted; counts only grow, and those of a run that ended
    /// stay.
    pub fn record(
        &mut self,
        entry: &Name,
        incarnation: u64,
        windows: BTreeMap<Window, Counts>,
        unix_ms: u64,
    ) {
        let report = self.runs.entry((entry.clone(), incarnation)).or_default();
        report.at_ms = unix_ms;
        report.windows.extend(windows);
    }

    /// Tells whether a run of an entry told its counts after a time.
    pub fn reported_after(&self, entry: &Name, incarnation: u64, unix_ms: u64) -> bool {
        let report = self.runs.get(&(entry.clone(), incarnation));
        report.is_some_and(|report| report.at_ms > unix_ms)
    }

    /// Adds up what all runs counted in a window.
    pub fn total(&self, window: Window) -> Counts {
        total(self.runs.values().filter_map(|report| report.windows.get(&window).cloned()))
    }

    /// Forgets runs that told nothing since a time.
    pub fn prune(&mut self, unix_ms: u64) {
        self.runs.retain(|_, report| report.at_ms >= unix_ms);
    }
}

/// Windows that an entry tells its counts of.
const KEPT_WINDOWS: Window = 4;

/// Adds counts to others.
fn add(sum: &mut Counts, counts: Counts) {
    for (organisation, count) in counts {
        *sum.entry(organisation).or_default() += count;
    }
}

/// Adds up the counts of several entries.
fn total(all: impl IntoIterator<Item = Counts>) -> Counts {
    let mut sum = Counts::new();
    for counts in all {
        add(&mut sum, counts);
    }
    sum
}
