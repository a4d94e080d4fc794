//! How many backend servers to order in each data centre, and of which kind.
//!
//! Reclaimable servers carry the load, spread so that the loss of a data centre leaves enough.
//! Lasting ones stand in for those that cannot be had, ordered with the notice of a reclaim, so
//! that they serve soon after it.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Servers of one kind in one data centre.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Placement {
    /// The data centre.
    pub data_centre: Name,
    /// Whether they may be reclaimed.
    pub reclaimable: bool,
}

/// How servers may be ordered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Offers {
    /// Least and most servers in a data centre, of both kinds together.
    pub bounds: (u32, u32),
    /// Price of a server by data centre.
    pub prices: BTreeMap<Name, f64>,
    /// Time from an order until a server serves, in milliseconds.
    pub boot_ms: Millis,
}

/// Settings of the orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalerSettings {
    /// Part of a server's time that is to be used.
    pub target_load: f64,
    /// Most servers that are held, as a part of those found at the start.
    pub max_share: f64,
    /// Least number of servers that are not reclaimable while no more reclaimable ones can be had.
    pub on_demand: u32,
    /// Time after a refused order for which reclaimable servers count as not to be had, in
    /// milliseconds.
    pub scarcity_ms: Millis,
    /// Least part of the servers found at the start that is held.
    pub min_share: f64,
    /// Time in which the expected load follows a rise of the load, in milliseconds.
    pub rise_ms: f64,
    /// Time in which the expected load follows a fall of the load, in milliseconds.
    pub fall_ms: f64,
    /// Time after a refused order before it is given again, in milliseconds.
    pub refused_ms: Millis,
    /// Reclaimable servers too many that are worth orders to give some back.
    pub min_excess: u32,
}

impl Default for ScalerSettings {
    fn default() -> Self {
        Self {
            target_load: 0.7,
            max_share: 2.0,
            on_demand: 1,
            scarcity_ms: 5_000,
            min_share: 0.5,
            rise_ms: 1_500.0,
            fall_ms: 20_000.0,
            refused_ms: 1_500,
            min_excess: 2,
        }
    }
}

/// What there is of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observed {
    /// Servers that take work.
    pub serving: BTreeMap<Placement, u32>,
    /// Work that callers ask of all entries, in milliseconds of one server a second.
    pub work: f64,
}

/// An order to give.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScaleOrder {
    /// Where and which kind.
    pub placement: Placement,
    /// How many there shall be.
    pub count: u32,
}

const MS_PER_S: f64 = 1000.0;
/// Part of a server that is not worth another one.
const ROUNDING: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Given {
    count: u32,
    at: Millis,
}

/// What the holder of the duty knows of its orders.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    settings: ScalerSettings,
    found: u32,
    load: Option<(f64, Millis)>,
    given: BTreeMap<Placement, Given>,
    refused_until: BTreeMap<Placement, Millis>,
}

impl Scaler {
    /// Creates the state of a holder that has given no order; `found` servers served before the
    /// first order of any holder.
    pub fn new(settings: ScalerSettings, found: u32) -> Self {
        Self { settings, found, ..Self::default() }
    }

    /// Returns the next order to give.
    pub fn next(
        &mut self,
        offers: &Offers,
        observed: &Observed,
        now: Millis,
    ) -> Option<ScaleOrder> {
        let needed = self.servers_needed(observed, now);
        let wanted = self.wanted(offers, observed, needed, now);
        let is_excess = self.is_excess(&wanted);
        let order = wanted
            .into_iter()
            .map(|(placement, count)| ScaleOrder { placement, count })
            .find(|order| self.is_due(order, offers, observed, (needed, is_excess), now))?;
        self.given.insert(order.placement.clone(), Given { count: order.count, at: now });
        Some(order)
    }

    /// Notes that there are no such servers to be had.
    pub fn record_refusal(&mut self, placement: &Placement, now: Millis) {
        self.given.remove(placement);
        self.refused_until.insert(placement.clone(), now + self.settings.refused_ms);
    }

    /// Notes that the outcome of an order is not known; it is given again.
    pub fn record_unknown_outcome(&mut self, placement: &Placement) {
        self.given.remove(placement);
    }

    /// Returns how many servers the expected load needs.
    ///
    /// The load is what callers ask for and not what is open: the latter grows without bound
    /// while servers are missing.
    pub fn servers_needed(&mut self, observed: &Observed, now: Millis) -> u32 {
        let found = f64::from(self.found);
        let (load, at) = self.load.unwrap_or((found, now));
        let asked = observed.work / MS_PER_S / self.settings.target_load;
        if asked == 0.0 && self.load.is_none() {
            // Before the first request the servers that were found are what is known of the load.
            return self.found;
        }
        let time = if asked > load { self.settings.rise_ms } else { self.settings.fall_ms };
        let kept = (-(now.saturating_sub(at) as f64) / time).exp();
        let load = asked + (load - asked) * kept;
        self.load = Some((load, now));
        let servers = load.clamp(self.settings.min_share * found, self.settings.max_share * found);
        (servers - ROUNDING).ceil() as u32
    }

    fn wanted(
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
        let most = offers.bounds.1;
        // Without its largest data centre the rest still holds what is needed.
        let spread = (needed * count).div_ceil((count - 1).max(1));
        let (serving, coming) = self.reclaimable(offers, observed, now);
        let missing = needed.saturating_sub(serving + coming);
        let growing = missing.max(self.least_lasting(now));
        let shrinking = needed.saturating_sub(serving).max(growing);
        let on_demand = self.on_demand(&centres, observed, most, (growing, shrinking));
        let mut wanted = Vec::new();
        for (index, ((data_centre, _), on_demand)) in centres.into_iter().zip(on_demand).enumerate()
        {
            let index = index as u32;
            let even = spread / count + u32::from(index < spread % count);
            let reclaimable = even.min(most - on_demand);
            let on_demand = on_demand.max(offers.bounds.0.saturating_sub(reclaimable));
            let placement =
                |reclaimable| Placement { data_centre: data_centre.clone(), reclaimable };
            wanted.push((placement(true), reclaimable));
            wanted.push((placement(false), on_demand));
        }
        wanted
    }

    /// Returns how many lasting servers each data centre is to have, between two sums.
    ///
    /// Those that are there stay where they are: moving one pays for both.
    fn on_demand(
        &self,
        centres: &[(&Name, f64)],
        observed: &Observed,
        most: u32,
        (least_sum, most_sum): (u32, u32),
    ) -> Vec<u32> {
        let now = |(data_centre, _): &(&Name, f64)| {
            let placement = Placement { data_centre: (*data_centre).clone(), reclaimable: false };
            let given = self.given.get(&placement).map(|given| given.count);
            given.unwrap_or(observed.serving.get(&placement).copied().unwrap_or(0))
        };
        let mut counts: Vec<u32> = centres.iter().map(now).collect();
        // Spread evenly, the cheapest data centres first.
        while counts.iter().sum::<u32>() < least_sum {
            let Some(count) = counts.iter_mut().min_by_key(|count| **count) else { break };
            if *count >= most {
                break;
            }
            *count += 1;
        }
        while counts.iter().sum::<u32>() > most_sum {
            let Some(count) = counts.iter_mut().rev().max_by_key(|count| **count) else { break };
            *count -= 1;
        }
        counts
    }

    /// Returns the least number of lasting servers.
    ///
    /// While reclaimable servers can be had, their even spread covers the loss of a data centre.
    fn least_lasting(&self, now: Millis) -> u32 {
        let is_scarce = |until: &Millis| now < until + self.settings.scarcity_ms;
        if self.refused_until.values().any(is_scarce) { self.settings.on_demand } else { 0 }
    }

    /// Counts the reclaimable servers that serve, and those that were ordered and will soon.
    fn reclaimable(&self, offers: &Offers, observed: &Observed, now: Millis) -> (u32, u32) {
        let serving = observed.serving.iter().filter(|(placement, _)| placement.reclaimable);
        let serving = serving.map(|(_, count)| count).sum();
        let coming = self.given.iter().filter(|(placement, given)| {
            placement.reclaimable && now < given.at + offers.boot_ms + self.settings.refused_ms
        });
        let missing = coming.map(|(placement, given)| {
            given.count.saturating_sub(observed.serving.get(placement).copied().unwrap_or(0))
        });
        (serving, missing.sum())
    }

    /// Tells whether so many more reclaimable servers were ordered than are wanted that some are
    /// given back.
    fn is_excess(&self, wanted: &[(Placement, u32)]) -> bool {
        let reclaimable = || wanted.iter().filter(|(placement, _)| placement.reclaimable);
        let given = |placement| self.given.get(placement).map_or(0, |given: &Given| given.count);
        let ordered: u32 = reclaimable().map(|(placement, _)| given(placement)).sum();
        let wanted: u32 = reclaimable().map(|(_, count)| *count).sum();
        ordered >= wanted + self.settings.min_excess
    }

    fn is_due(
        &self,
        order: &ScaleOrder,
        offers: &Offers,
        observed: &Observed,
        (needed, is_excess): (u32, bool),
        now: Millis,
    ) -> bool {
        let ScaleOrder { placement, count } = order;
        if self.refused_until.get(placement).is_some_and(|until| now < *until) {
            return false;
        }
        let have = observed.serving.get(placement).copied().unwrap_or(0);
        let given = self.given.get(placement).copied();
        let before = given.map_or(have, |given| given.count);
        let is_lacking = have < *count
            && given
                .is_none_or(|given| now >= given.at + offers.boot_ms + self.settings.refused_ms);
        if *count < before && !is_lacking {
            // Servers are given back only while the rest holds what is needed.
            let total: u32 = observed.serving.values().sum();
            let is_enough = total.saturating_sub(have.saturating_sub(*count)) >= needed;
            return is_enough && (!placement.reclaimable || is_excess);
        }
        *count > before || is_lacking
    }
}
