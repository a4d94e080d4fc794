//! Reports the usage of all entries, which the leader does for them.

use crate::context::Context;
use crate::duty::LeaderLease;
use crate::sync::LEADER_KEY;
use coord::{Counts, DueWindow, ReportStep, Window, next_report_step};
use infra::{Commit, Committed, Duties, Holder as Leader, Put, Stored};
use kernel::boot_ms;
use kernel::prelude::*;
use std::collections::BTreeSet;

/// Prefix of the keys that hold the final counts of a usage window.
const FINAL_COUNTS_PREFIX: &str = "fennelfold/usage/";
/// Minimum time from the end of a window to its report, in milliseconds. Requests that began just
/// before the end are counted only when their responses begin.
const COUNTS_DELAY_MS: u64 = 1_000;
/// Time reserved before a report is due, for storing the final counts and sending the report, in
/// milliseconds.
const REPORT_RESERVE_MS: u64 = 3_500;
/// Time after which the last counts received from an entry are dropped, in milliseconds.
const COUNTS_RETENTION_MS: u64 = 60_000;
/// Time after the end of a window for which its final counts stay stored, in milliseconds. During
/// this time a new leader can send exactly the same report again.
const FINAL_COUNTS_RETENTION_MS: u64 = 60_000;
/// Span of recent windows that a new leader reports again, in milliseconds.
const REREPORT_MS: u64 = 15_000;
/// Maximum number of changes in one commit.
const MAX_COMMIT_CHANGES: usize = 30;

/// Reports of usage windows by this entry.
#[derive(Debug, Default)]
pub(crate) struct UsageDuty {
    /// Windows that were reported or skipped in this tenure.
    settled: BTreeSet<Window>,
    /// Final counts that this entry stored or found stored, in any tenure.
    remembered: BTreeMap<Window, Counts>,
}

/// What the store holds under [`FINAL_COUNTS_PREFIX`].
#[derive(Default)]
struct StoredUsage {
    final_counts: BTreeMap<Window, Counts>,
    /// Keys of windows that are no longer reported.
    expired: Vec<String>,
}

impl UsageDuty {
    /// Forgets which windows were reported, because another leader may have acted since.
    pub(crate) fn report_again(&mut self) {
        self.settled.clear();
    }

    /// Determines and stores the final counts of the usage windows that are due, and reports them.
    pub(crate) async fn report(&mut self, cx: &Context, duties: &dyn Duties, lease: &LeaderLease) {
        let unix_ms = Clock::unix_ms();
        cx.usage_reports.borrow_mut().prune(unix_ms.saturating_sub(COUNTS_RETENTION_MS));
        let window_ms = cx.settings.promises.usage_window.as_millis() as u64;
        let last = (unix_ms.saturating_sub(COUNTS_DELAY_MS) / window_ms).saturating_sub(1);
        let first = last.saturating_sub(REREPORT_MS / window_ms);
        let end_ms = |window: Window| (window + 1) * window_ms;
        let due: Vec<Window> = (first..=last)
            .filter(|window| !self.settled.contains(window))
            .filter(|window| is_complete(cx, end_ms(*window), unix_ms))
            .collect();
        if due.is_empty() {
            return;
        }
        let sent = boot_ms();
        let listed = cx.store.list(FINAL_COUNTS_PREFIX).await;
        cx.record_store_call("decided", sent, listed.as_ref().err());
        let Ok(listing) = listed else { return };
        let is_expired = |window| end_ms(window) + FINAL_COUNTS_RETENTION_MS < unix_ms;
        let stored = parse_listing(cx, listing.items, is_expired);
        self.remembered.retain(|window, _| !is_expired(*window));
        for (window, counts) in &stored.final_counts {
            self.remembered.entry(*window).or_insert_with(|| counts.clone());
        }
        for window in due {
            let step = next_report_step(
                DueWindow {
                    decidable_at_unix_ms: end_ms(window) + COUNTS_DELAY_MS,
                    stored: stored.final_counts.get(&window),
                    remembered: self.remembered.get(&window),
                },
                cx.restore.get(),
            );
            let (counts, is_stored) = match step {
                ReportStep::Report(counts) => (counts, true),
                ReportStep::StoreAgain(counts) => (counts, false),
                ReportStep::Decide => (sum_counts(cx, window), false),
                ReportStep::Skip => {
                    warn!(cx.log, "usage window skipped"; "window" => window,
                        "cause" => "other counts may have been reported before a restore of the store",
                        "restores" => cx.restores());
                    self.settled.insert(window);
                    continue;
                }
            };
            if !is_stored && !store_final_counts(cx, lease, window, &counts).await {
                return;
            }
            self.remembered.entry(window).or_insert_with(|| counts.clone());
            self.send(cx, duties, lease, window, &counts).await;
        }
        delete_keys(cx, stored.expired).await;
    }

    async fn send(
        &mut self,
        cx: &Context,
        duties: &dyn Duties,
        lease: &LeaderLease,
        window: Window,
        counts: &Counts,
    ) {
        let Some(number) = lease.fencing_number() else { return };
        let leader = Leader { entry: cx.settings.name.clone(), number };
        match duties.report_usage(&leader, window, counts).await {
            Ok(()) => {
                info!(cx.log, "usage reported"; "window" => window, "number" => number,
                    "requests" => counts.values().sum::<u64>(), "counts" => format!("{counts:?}"));
                self.settled.insert(window);
            }
            Err(failure) => {
                warn!(cx.log, "usage not reported"; "window" => window, "cause" => %failure);
            }
        }
    }
}

fn parse_listing(
    cx: &Context,
    items: Vec<(String, Stored)>,
    is_expired: impl Fn(Window) -> bool,
) -> StoredUsage {
    let mut usage = StoredUsage::default();
    for (key, stored) in items {
        let window = key.strip_prefix(FINAL_COUNTS_PREFIX).and_then(|text| text.parse().ok());
        let (Some(window), Ok(counts)) = (window, serde_json::from_slice(&stored.value)) else {
            warn!(cx.log, "final counts unreadable"; "key" => key);
            continue;
        };
        if is_expired(window) {
            usage.expired.push(key);
        }
        usage.final_counts.insert(window, counts);
    }
    usage
}

/// Returns whether all entries have reported their counts of a window, or the report cannot wait
/// any longer.
fn is_complete(cx: &Context, end_ms: u64, unix_ms: u64) -> bool {
    let due_ms = cx.settings.promises.usage_due.as_millis() as u64;
    if unix_ms + REPORT_RESERVE_MS >= end_ms + due_ms {
        return true;
    }
    let reports = cx.usage_reports.borrow();
    cx.roster.borrow().present().all(|entry| {
        entry.name == cx.settings.name
            || reports.reported_after(&entry.name, entry.incarnation, end_ms + COUNTS_DELAY_MS / 2)
    })
}

fn sum_counts(cx: &Context, window: Window) -> Counts {
    let mut reports = cx.usage_reports.borrow().clone();
    let own = cx.usage.borrow().recent().clone();
    reports.record(&cx.settings.name, cx.incarnation, own, Clock::unix_ms());
    reports.total(window)
}

/// Stores the final counts of a window unless they are stored already. Returns whether the commit
/// succeeded.
async fn store_final_counts(
    cx: &Context,
    lease: &LeaderLease,
    window: Window,
    counts: &Counts,
) -> bool {
    let Some(number) = lease.fencing_number() else { return false };
    let key = format!("{FINAL_COUNTS_PREFIX}{window}");
    let value = serde_json::to_vec(counts).unwrap_or_default();
    let commit = Commit {
        expected: vec![(LEADER_KEY.to_owned(), number), (key.clone(), 0)],
        puts: vec![Put { key, value: value.into(), lease: None }],
        removes: Vec::new(),
    };
    let sent = boot_ms();
    let committed = cx.store.commit(&commit).await;
    cx.record_store_call("decide", sent, committed.as_ref().err());
    info!(cx.log, "usage decided"; "window" => window, "number" => number,
        "restores" => cx.restores(), "counts" => format!("{counts:?}"),
        "result" => format!("{committed:?}"));
    matches!(committed, Ok(Committed::Done(_)))
}

async fn delete_keys(cx: &Context, keys: Vec<String>) {
    for part in keys.chunks(MAX_COMMIT_CHANGES) {
        let commit = Commit { removes: part.to_vec(), ..Commit::default() };
        let sent = boot_ms();
        let cleared = cx.store.commit(&commit).await;
        cx.record_store_call("clear", sent, cleared.as_ref().err());
    }
}
