//! Which VMs to hold: the cheapest mix that meets the demand, also after the loss of a data centre.
//!
//! The mix is exact. For each data centre the cheapest way to hold each capacity is computed, and
//! then, for each bound on what one data centre may hold, the cheapest way to reach each total.
//! The work grows with the square of the total capacity: count it in coarse units.

use kernel::Name;
use std::collections::BTreeMap;

/// VMs of one class that can be had in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Data centre.
    pub data_centre: Name,
    /// Machine class.
    pub class: Name,
    /// Whether the VMs can be reclaimed.
    pub reclaimable: bool,
    /// Price of one VM for an hour.
    pub price_per_hour: f64,
    /// Reclaims of one VM to expect in an hour.
    pub reclaims_per_hour: f64,
    /// What one VM carries within the latency target, in units of capacity.
    pub capacity: usize,
    /// VMs that can be had; those that run count, and refused ones do not.
    pub available: usize,
}

/// What has to be carried, in units of capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// All requests.
    pub all: usize,
    /// Requests of high priority, which must be carried after the loss of any data centre.
    pub high: usize,
    /// Cost of one reclaim: tokens computed again, and the start of another VM.
    pub cost_of_reclaim: f64,
}

/// The VMs to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Number of VMs of each offer, in the order of the offers.
    pub counts: Vec<usize>,
    /// Price and expected reclaims of all of them for an hour.
    pub cost_per_hour: f64,
    /// What the offers cannot carry of all requests, in units of capacity.
    pub lacking: usize,
    /// What they cannot carry of high priority after the loss of a data centre.
    pub lacking_after_loss: usize,
}

/// The cheapest way to hold each capacity; its place is the capacity.
type Cheapest = Vec<Option<Mix>>;

#[derive(Clone, Debug)]
struct Mix {
    counts: Vec<usize>,
    cost: f64,
}

/// Returns the cheapest VMs that meet the demand, or come closest to it.
///
/// What is short is taken first from the lower priorities, and then from what survives the loss of
/// a data centre.
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
/// let demand = Demand { all: 4, high: 2, cost_of_reclaim: 0.0 };
/// let plan = plan(&[offer("north", 1.0), offer("south", 2.0)], demand);
/// assert_eq!(plan.counts, [2, 2]);
/// ```
pub fn plan(offers: &[Offer], demand: Demand) -> Plan {
    let centres = by_data_centre(offers, demand.cost_of_reclaim);
    let largest = centres.iter().map(Vec::len).max().unwrap_or(1);
    let tables: Vec<Cheapest> =
        (0..largest).map(|bound| across(&centres, bound, offers.len())).collect();
    let available: usize = offers.iter().map(|offer| offer.capacity * offer.available).sum();
    let all = demand.all.min(available);
    for high in (0..=demand.high).rev() {
        if let Some(mix) = cheapest(&tables, all, high) {
            return Plan {
                counts: mix.counts,
                cost_per_hour: mix.cost,
                lacking: demand.all - all,
                lacking_after_loss: demand.high - high,
            };
        }
    }
    let counts = vec![0; offers.len()];
    Plan { counts, cost_per_hour: 0.0, lacking: demand.all, lacking_after_loss: demand.high }
}

/// Returns the cheapest mix that carries `all`, and `high` without its largest data centre.
fn cheapest(tables: &[Cheapest], all: usize, high: usize) -> Option<Mix> {
    let mixes = tables.iter().enumerate().flat_map(|(bound, table)| {
        // Without high priority there is nothing to carry after a loss.
        let total = if high == 0 { all } else { all.max(high + bound) };
        table.iter().skip(total).flatten()
    });
    mixes.min_by(|a, b| a.cost.total_cmp(&b.cost)).cloned()
}

fn by_data_centre(offers: &[Offer], cost_of_reclaim: f64) -> Vec<Cheapest> {
    let mut centres: BTreeMap<&Name, Cheapest> = BTreeMap::new();
    let nothing = || vec![Some(Mix { counts: vec![0; offers.len()], cost: 0.0 })];
    for (place, offer) in offers.iter().enumerate() {
        let held = centres.entry(&offer.data_centre).or_insert_with(nothing);
        *held = with_offer(held, place, offer, cost_of_reclaim);
    }
    centres.into_values().collect()
}

fn with_offer(held: &Cheapest, place: usize, offer: &Offer, cost_of_reclaim: f64) -> Cheapest {
    let each = offer.price_per_hour + offer.reclaims_per_hour * cost_of_reclaim;
    let mut next: Cheapest = vec![None; held.len() + offer.capacity * offer.available];
    for (capacity, mix) in held.iter().enumerate() {
        let Some(mix) = mix else { continue };
        for count in 0..=offer.available {
            let cost = mix.cost + each * count as f64;
            improve(&mut next[capacity + offer.capacity * count], cost, || {
                let mut counts = mix.counts.clone();
                counts[place] += count;
                counts
            });
        }
    }
    next
}

/// Combines the data centres, none of which may hold more than `bound`.
fn across(centres: &[Cheapest], bound: usize, offers: usize) -> Cheapest {
    let mut total: Cheapest = vec![Some(Mix { counts: vec![0; offers], cost: 0.0 })];
    for centre in centres {
        let held = &centre[..centre.len().min(bound + 1)];
        let mut next: Cheapest = vec![None; total.len() + held.len() - 1];
        for (before, mix) in total.iter().enumerate() {
            let Some(mix) = mix else { continue };
            for (capacity, here) in held.iter().enumerate() {
                let Some(here) = here else { continue };
                improve(&mut next[before + capacity], mix.cost + here.cost, || {
                    mix.counts.iter().zip(&here.counts).map(|(a, b)| a + b).collect()
                });
            }
        }
        total = next;
    }
    total
}

fn improve(known: &mut Option<Mix>, cost: f64, counts: impl FnOnce() -> Vec<usize>) {
    if known.as_ref().is_none_or(|known| cost < known.cost) {
        *known = Some(Mix { counts: counts(), cost });
    }
}
