//! Chooses the VMs to run: the cheapest mix that meets the demand, and that still carries the
//! high-priority requests after the loss of any one data centre.
//!
//! The result is exact. For each data centre, dynamic programming computes the cheapest mix for
//! each capacity. Then, for each limit on the capacity in one data centre, the data centres are
//! combined into the cheapest mix for each total. The run time grows with the square of the total
//! capacity, so choose a coarse unit of capacity.

use kernel::Name;
use std::collections::BTreeMap;

/// VMs of one class that are available in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Data centre.
    pub data_centre: Name,
    /// Machine class.
    pub class: Name,
    /// Whether the cloud may reclaim the VMs.
    pub reclaimable: bool,
    /// Price of one VM per hour.
    pub price_per_hour: f64,
    /// Expected number of reclaims of one VM per hour.
    pub reclaims_per_hour: f64,
    /// Load that one VM carries within the latency target, in units of capacity.
    pub capacity: usize,
    /// Number of available VMs, including those that already run and excluding refused ones.
    pub available: usize,
}

/// Required capacity, in the units of [`Offer::capacity`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Capacity for all requests.
    pub total: usize,
    /// Capacity for high-priority requests, which must remain after the loss of any data centre.
    pub high_priority: usize,
    /// Cost of one reclaim: recomputed tokens, and the start of a replacement VM.
    pub reclaim_cost: f64,
}

/// The VMs to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Number of VMs of each offer, in the order of the offers.
    pub counts: Vec<usize>,
    /// Total price and expected cost of reclaims per hour.
    pub cost_per_hour: f64,
    /// Capacity that the offers lack for all requests, in units of capacity.
    pub shortfall: usize,
    /// Capacity that the offers lack for high-priority requests after the loss of a data centre, in
    /// units of capacity.
    pub shortfall_after_loss: usize,
}

/// The cheapest mix for each capacity; the index is the capacity.
type CostTable = Vec<Option<Mix>>;

#[derive(Clone, Debug)]
struct Mix {
    counts: Vec<usize>,
    cost: f64,
}

/// Returns the cheapest VMs that meet the demand, or come closest to it.
///
/// If the offers cannot meet the demand, a shortfall reduces the capacity for lower priorities
/// first, and then the high-priority capacity that remains after the loss of a data centre.
///
/// # Examples
/// ```
/// use place::{Demand, Offer, plan};
/// let offer = |data_centre: &str, price_per_hour| Offer {
///     data_centre: data_centre.into(),
///     class: "small".into(),
///     reclaimable: true,
///     price_per_hour,
///     reclaims_per_hour: 0.0,
///     capacity: 1,
///     available: 9,
/// };
/// let demand = Demand { total: 4, high_priority: 2, reclaim_cost: 0.0 };
/// let plan = plan(&[offer("north", 1.0), offer("south", 2.0)], demand);
/// assert_eq!(plan.counts, [2, 2]);
/// ```
pub fn plan(offers: &[Offer], demand: Demand) -> Plan {
    let centres = tables_by_data_centre(offers, demand.reclaim_cost);
    let largest = centres.iter().map(Vec::len).max().unwrap_or(1);
    let tables: Vec<CostTable> =
        (0..largest).map(|limit| combine(&centres, limit, offers.len())).collect();
    let available: usize = offers.iter().map(|offer| offer.capacity * offer.available).sum();
    let total = demand.total.min(available);
    for high_priority in (0..=demand.high_priority).rev() {
        if let Some(mix) = cheapest_mix(&tables, total, high_priority) {
            return Plan {
                counts: mix.counts,
                cost_per_hour: mix.cost,
                shortfall: demand.total - total,
                shortfall_after_loss: demand.high_priority - high_priority,
            };
        }
    }
    let counts = vec![0; offers.len()];
    Plan {
        counts,
        cost_per_hour: 0.0,
        shortfall: demand.total,
        shortfall_after_loss: demand.high_priority,
    }
}

/// Returns the cheapest mix that carries `total`, and `high_priority` without its largest data
/// centre. `tables` is indexed by the limit on the capacity in one data centre.
fn cheapest_mix(tables: &[CostTable], total: usize, high_priority: usize) -> Option<Mix> {
    let mixes = tables.iter().enumerate().flat_map(|(limit, table)| {
        // Without high-priority requests, no capacity has to remain after a loss.
        let required = if high_priority == 0 { total } else { total.max(high_priority + limit) };
        table.iter().skip(required).flatten()
    });
    mixes.min_by(|a, b| a.cost.total_cmp(&b.cost)).cloned()
}

fn tables_by_data_centre(offers: &[Offer], reclaim_cost: f64) -> Vec<CostTable> {
    let mut centres: BTreeMap<&Name, CostTable> = BTreeMap::new();
    let empty = || vec![Some(Mix { counts: vec![0; offers.len()], cost: 0.0 })];
    for (index, offer) in offers.iter().enumerate() {
        let table = centres.entry(&offer.data_centre).or_insert_with(empty);
        *table = add_offer(table, index, offer, reclaim_cost);
    }
    centres.into_values().collect()
}

/// Extends the table of a data centre by every possible number of VMs of one offer.
fn add_offer(table: &CostTable, index: usize, offer: &Offer, reclaim_cost: f64) -> CostTable {
    let cost_per_vm = offer.price_per_hour + offer.reclaims_per_hour * reclaim_cost;
    let mut next: CostTable = vec![None; table.len() + offer.capacity * offer.available];
    for (capacity, mix) in table.iter().enumerate() {
        let Some(mix) = mix else { continue };
        for count in 0..=offer.available {
            let cost = mix.cost + cost_per_vm * count as f64;
            keep_cheaper(&mut next[capacity + offer.capacity * count], cost, || {
                let mut counts = mix.counts.clone();
                counts[index] += count;
                counts
            });
        }
    }
    next
}

/// Combines the data centres; each may contribute a capacity of at most `limit`.
fn combine(centres: &[CostTable], limit: usize, offers: usize) -> CostTable {
    let mut total: CostTable = vec![Some(Mix { counts: vec![0; offers], cost: 0.0 })];
    for centre in centres {
        let within = &centre[..centre.len().min(limit + 1)];
        let mut next: CostTable = vec![None; total.len() + within.len() - 1];
        for (others, mix) in total.iter().enumerate() {
            let Some(mix) = mix else { continue };
            for (capacity, local) in within.iter().enumerate() {
                let Some(local) = local else { continue };
                keep_cheaper(&mut next[others + capacity], mix.cost + local.cost, || {
                    mix.counts.iter().zip(&local.counts).map(|(a, b)| a + b).collect()
                });
            }
        }
        total = next;
    }
    total
}

/// Replaces `best` if the new mix is cheaper; `counts` is called only in that case.
fn keep_cheaper(best: &mut Option<Mix>, cost: f64, counts: impl FnOnce() -> Vec<usize>) {
    if best.as_ref().is_none_or(|best| cost < best.cost) {
        *best = Some(Mix { counts: counts(), cost });
    }
}
