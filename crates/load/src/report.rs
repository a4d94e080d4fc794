//! The table of a comparison.

use crate::outcome::Summary;
use serde::Serialize;
use std::fmt::Write;

/// The figures of one workload, fault schedule and policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Workload.
    pub workload: String,
    /// Fault schedule.
    pub faults: String,
    /// Policy.
    pub policy: String,
    /// Figures.
    #[serde(flatten)]
    pub summary: Summary,
    /// Requests on time and arrivals in each second.
    pub by_second: Vec<(u64, u64)>,
}

/// Renders a table, one line for each row.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<13}{:<7}{:<20}{:>8}{:>8}{:>8}{:>10}{:>8}{:>10}{:>11}{:>10}{:>8}{:>8} {:<19}{:<12}\n",
        "workload",
        "faults",
        "policy",
        "requests",
        "model%",
        "plain%",
        "cost/1000",
        "/bound",
        "plain/1000",
        "recomputed",
        "read",
        "refused",
        "retries",
        "first p50/95/99 ms",
        "between ms"
    );
    for row in rows {
        let _ = writeln!(text, "{}", line(row));
    }
    text
}

fn line(row: &Row) -> String {
    let s = &row.summary;
    let times = |ms: [f64; 3]| format!("{:.0}/{:.0}/{:.0}", ms[0], ms[1], ms[2]);
    format!(
        "{:<13}{:<7}{:<20}{:>8}{:>8.2}{:>8.2}{:>10.4}{:>8.2}{:>10.4}{:>11}{:>10}{:>8}{:>8} {:<19}{:<12}",
        row.workload,
        row.faults,
        row.policy,
        s.requests,
        s.model_on_time_percent,
        s.plain_on_time_percent,
        s.cost_per_thousand,
        s.cost_to_bound,
        s.plain_cost_per_thousand,
        s.recomputed,
        s.read,
        s.refused,
        s.retries,
        times(s.first_ms),
        times(s.between_ms)
    )
}
