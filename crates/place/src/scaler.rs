//! Decides how many backend servers to order in each data centre, reclaimable or on demand.
//!
//! Reclaimable servers carry the load, spread so that enough of them remain after the loss of a
//! data centre. On-demand servers replace reclaimable ones that are not available. They are
//! ordered as soon as a reclaim is announced, so that they serve shortly after it.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Data centre and kind of a group of servers.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Placement {
    /// Data centre.
    pub data_centre: Name,
    /// Whether the cloud may reclaim the servers.
    pub reclaimable: bool,
}

/// Limits, prices and boot time of the servers of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Offers {
    /// Minimum and maximum number of servers in a data centre, of both kinds together.
    pub bounds: (u32, u32),
    /// Price of an on-demand server, by data centre.
    pub prices: BTreeMap<Name, f64>,
    /// Time from an order until the server serves, in milliseconds.
    pub boot_ms: Millis,
}

/// Settings of a [`Scaler`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalerSettings {
    /// Target utilisation of a server, as a fraction of its time.
    pub target_load: f64,
    /// Maximum number of servers, as a multiple of the initial number.
    pub max_share: f64,
    /// Minimum number of servers that remain after the loss of the data centre with most reclaimable
    /// ones while these are scarce, as a fraction of the needed number.
    pub reserve: f64,
    /// Time for which reclaimable servers still count as scarce after `refused_ms` has passed, in
    /// milliseconds.
    pub scarcity_ms: Millis,
    /// Minimum number of servers, as a fraction of the initial number.
    pub min_share: f64,
    /// Time constant with which the expected load follows a rise of the load, in milliseconds.
    pub rise_ms: f64,
    /// Time constant with which the expected load follows a fall of the load, in milliseconds.
    pub fall_ms: f64,
    /// Time after a refusal before the order is sent again, in milliseconds.
    pub refused_ms: Millis,
    /// Minimum number of surplus reclaimable servers before any of them are released.
    pub min_excess: u32,
}

impl Default for ScalerSettings {
    fn default() -> Self {
        Self {
            target_load: 0.7,
            max_share: 2.0,
            reserve: 0.9,
            scarcity_ms: 5_000,
            min_share: 0.5,
            rise_ms: 1_500.0,
            fall_ms: 20_000.0,
            refused_ms: 1_500,
            min_excess: 2,
        }
    }
}

/// Observed state of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observed {
    /// Number of servers that accept work.
    pub serving: BTreeMap<Placement, u32>,
    /// Work that callers request from all entries, in milliseconds of server time per second.
    pub work: f64,
}

/// An order that sets the number of servers of one placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScaleOrder {
    /// Data centre and kind of the servers.
    pub placement: Placement,
    /// Wanted number of servers.
    pub count: u32,
}

const MS_PER_S: f64 = 1000.0;
/// Fraction of a server by which the load may exceed a whole number of servers before another one
/// is needed.
const ROUNDING_TOLERANCE: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct SentOrder {
    count: u32,
    at: Millis,
}

/// Scales the backend servers of one service; state of the leader, which sends the orders.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    settings: ScalerSettings,
    /// Number of servers before the first order of any leader.
    initial: u32,
    /// Smoothed load in servers, and the time of its last update.
    load: Option<(f64, Millis)>,
    sent: BTreeMap<Placement, SentOrder>,
    refused_until: BTreeMap<Placement, Millis>,
}

impl Scaler {
    /// Creates a scaler that has sent no order; `initial` is the number of servers that served
    /// before the first order of any leader.
    pub fn new(settings: ScalerSettings, initial: u32) -> Self {
        Self { settings, initial, ..Self::default() }
    }

    /// Returns the next order to send, if any.
    pub fn next(
        &mut self,
        offers: &Offers,
        observed: &Observed,
        now: Millis,
    ) -> Option<ScaleOrder> {
        let needed = self.servers_needed(observed, now);
        let wanted = self.wanted_counts(offers, observed, needed, now);
        let has_excess = self.has_excess(&wanted);
        let order = wanted
            .into_iter()
            .map(|(placement, count)| ScaleOrder { placement, count })
            .find(|order| self.is_due(order, offers, observed, (needed, has_excess), now))?;
        self.sent.insert(order.placement.clone(), SentOrder { count: order.count, at: now });
        Some(order)
    }

    /// Records that an order was refused because no such servers are available.
    pub fn record_refusal(&mut self, placement: &Placement, now: Millis) {
        self.sent.remove(placement);
        self.refused_until.insert(placement.clone(), now + self.settings.refused_ms);
    }

    /// Records that the outcome of an order is unknown; the order is sent again.
    pub fn record_unknown_outcome(&mut self, placement: &Placement) {
        self.sent.remove(placement);
    }

    /// Updates the expected load and returns the number of servers that it needs.
    ///
    /// The load is the work that callers request, not the number of open requests: the latter
    /// grows without bound while servers are missing.
    pub fn servers_needed(&mut self, observed: &Observed, now: Millis) -> u32 {
        let initial = f64::from(self.initial);
        let (load, at) = self.load.unwrap_or((initial, now));
        let requested = observed.work / MS_PER_S / self.settings.target_load;
        if requested == 0.0 && self.load.is_none() {
            // Before the first request, the initial number of servers is the only load estimate.
            return self.initial;
        }
        let time_constant =
            if requested > load { self.settings.rise_ms } else { self.settings.fall_ms };
        let decay = (-(now.saturating_sub(at) as f64) / time_constant).exp();
        let load = requested + (load - requested) * decay;
        self.load = Some((load, now));
        let servers =
            load.clamp(self.settings.min_share * initial, self.settings.max_share * initial);
        (servers - ROUNDING_TOLERANCE).ceil() as u32
    }

    /// Returns the wanted number of servers of each placement, cheapest data centres first.
    fn wanted_counts(
        &self,
        offers: &Offers,
        observed: &Observed,
        needed: u32,
        now: Millis,
    ) -> Vec<(Placement, u32)> {
        let mut centres: Vec<(&Name, f64)> =
            offers.prices.iter().map(|(name, price)| (name, *price)).collect();
        centres.sort_by(|a, b| a.1.total_cmp(&b.1));
        let count = centres.len().max(1) as u32;
        let max = offers.bounds.1;
        // After the loss of the largest data centre, the others still have enough servers.
        let total = (needed * count).div_ceil((count - 1).max(1));
        let (serving, booting) = self.reclaimable_counts(offers, observed, now);
        let missing = needed.saturating_sub(serving + booting);
        let min_sum = missing.max(self.min_on_demand(observed, needed, now));
        let max_sum = needed.saturating_sub(serving).max(min_sum);
        let on_demand = self.on_demand_counts(&centres, observed, max, (min_sum, max_sum));
        let mut wanted = Vec::new();
        for (index, ((data_centre, _), on_demand)) in centres.into_iter().zip(on_demand).enumerate()
        {
            let index = index as u32;
            let even = total / count + u32::from(index < total % count);
            let reclaimable = even.min(max - on_demand);
            let on_demand = on_demand.max(offers.bounds.0.saturating_sub(reclaimable));
            let placement =
                |reclaimable| Placement { data_centre: data_centre.clone(), reclaimable };
            wanted.push((placement(true), reclaimable));
            wanted.push((placement(false), on_demand));
        }
        wanted
    }

    /// Returns the wanted number of on-demand servers in each data centre, whose sum lies between
    /// `min_sum` and `max_sum`.
    ///
    /// Existing servers stay in their data centre: during a move, both the old and the new server
    /// are paid for.
    fn on_demand_counts(
        &self,
        centres: &[(&Name, f64)],
        observed: &Observed,
        max: u32,
        (min_sum, max_sum): (u32, u32),
    ) -> Vec<u32> {
        let current = |(data_centre, _): &(&Name, f64)| {
            let placement = Placement { data_centre: (*data_centre).clone(), reclaimable: false };
            let ordered = self.sent.get(&placement).map(|sent| sent.count);
            ordered.unwrap_or(observed.serving.get(&placement).copied().unwrap_or(0))
        };
        let mut counts: Vec<u32> = centres.iter().map(current).collect();
        // Spread evenly, the cheapest data centres first.
        while counts.iter().sum::<u32>() < min_sum {
            let Some(count) = counts.iter_mut().min_by_key(|count| **count) else { break };
            if *count >= max {
                break;
            }
            *count += 1;
        }
        while counts.iter().sum::<u32>() > max_sum {
            let Some(count) = counts.iter_mut().rev().max_by_key(|count| **count) else { break };
            *count -= 1;
        }
        counts
    }

    /// Returns the minimum number of on-demand servers.
    ///
    /// It is zero while reclaimable servers are available: their even spread covers the loss of a
    /// data centre. Reclaims often hit one data centre after the other, faster than servers boot.
    /// While lost servers cannot be replaced by reclaimable ones, the on-demand servers therefore
    /// have to be enough without the data centre that would be the largest loss.
    fn min_on_demand(&self, observed: &Observed, needed: u32, now: Millis) -> u32 {
        let is_scarce = |until: &Millis| now < until + self.settings.scarcity_ms;
        if !self.refused_until.values().any(is_scarce) {
            return 0;
        }
        let reclaimable = || observed.serving.iter().filter(|(placement, _)| placement.reclaimable);
        let total: u32 = reclaimable().map(|(_, count)| count).sum();
        let largest = reclaimable().map(|(_, count)| *count).max().unwrap_or(0);
        let reserve = (f64::from(needed) * self.settings.reserve).ceil() as u32;
        reserve.saturating_sub(total - largest)
    }

    /// Returns the number of reclaimable servers that serve, and of ordered ones that still boot.
    fn reclaimable_counts(&self, offers: &Offers, observed: &Observed, now: Millis) -> (u32, u32) {
        let serving = observed.serving.iter().filter(|(placement, _)| placement.reclaimable);
        let serving = serving.map(|(_, count)| count).sum();
        let recent = self.sent.iter().filter(|(placement, sent)| {
            placement.reclaimable && now < sent.at + offers.boot_ms + self.settings.refused_ms
        });
        let booting = recent.map(|(placement, sent)| {
            sent.count.saturating_sub(observed.serving.get(placement).copied().unwrap_or(0))
        });
        (serving, booting.sum())
    }

    /// Whether the ordered reclaimable servers exceed the wanted ones by so many that some are
    /// released.
    fn has_excess(&self, wanted: &[(Placement, u32)]) -> bool {
        let reclaimable = || wanted.iter().filter(|(placement, _)| placement.reclaimable);
        let sent = |placement| self.sent.get(placement).map_or(0, |sent: &SentOrder| sent.count);
        let ordered: u32 = reclaimable().map(|(placement, _)| sent(placement)).sum();
        let wanted: u32 = reclaimable().map(|(_, count)| *count).sum();
        ordered >= wanted + self.settings.min_excess
    }

    /// Whether an order is to be sent now: it changes the ordered count, or the last order for the
    /// placement has not reached the count in time.
    fn is_due(
        &self,
        order: &ScaleOrder,
        offers: &Offers,
        observed: &Observed,
        (needed, has_excess): (u32, bool),
        now: Millis,
    ) -> bool {
        let ScaleOrder { placement, count } = order;
        if self.refused_until.get(placement).is_some_and(|until| now < *until) {
            return false;
        }
        let serving = observed.serving.get(placement).copied().unwrap_or(0);
        let sent = self.sent.get(placement).copied();
        let ordered = sent.map_or(serving, |sent| sent.count);
        let is_lacking = serving < *count
            && sent.is_none_or(|sent| now >= sent.at + offers.boot_ms + self.settings.refused_ms);
        if *count < ordered && !is_lacking {
            // Servers are released only while the remaining ones meet the need.
            let total: u32 = observed.serving.values().sum();
            let is_enough = total.saturating_sub(serving.saturating_sub(*count)) >= needed;
            return is_enough && (!placement.reclaimable || has_excess);
        }
        *count > ordered || is_lacking
    }
}
