//! Counts of the requests that began to run, by window of the wall clock.

use kernel::Name;
use std::collections::BTreeMap;

/// Requests by organisation.
pub type Counts = BTreeMap<Name, u64>;

/// Number of a window: its start since 1970, in windows.
pub type Window = u64;

/// The counts of one entry.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    window_ms: u64,
    open: BTreeMap<Window, Counts>,
}

impl Usage {
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
    pub fn began(&mut self, organisation: &Name, unix_ms: u64) {
        let window = self.window(unix_ms);
        *self.open.entry(window).or_default().entry(organisation.clone()).or_default() += 1;
    }

    /// Takes out the counts of a window.
    pub fn take(&mut self, window: Window) -> Counts {
        self.open.remove(&window).unwrap_or_default()
    }

    /// Puts counts back that could not be passed on.
    pub fn put_back(&mut self, window: Window, counts: Counts) {
        add(self.open.entry(window).or_default(), counts);
    }

    /// Lists the windows that ended before a time and have counts.
    pub fn ended(&self, unix_ms: u64) -> Vec<Window> {
        let now = self.window(unix_ms);
        self.open.keys().copied().filter(|window| *window < now).collect()
    }
}

/// Adds counts to others.
pub(crate) fn add(sum: &mut Counts, counts: Counts) {
    for (organisation, count) in counts {
        *sum.entry(organisation).or_default() += count;
    }
}

/// Adds the counts of several entries up.
pub fn total(all: impl IntoIterator<Item = Counts>) -> Counts {
    let mut sum = Counts::new();
    for counts in all {
        add(&mut sum, counts);
    }
    sum
}
