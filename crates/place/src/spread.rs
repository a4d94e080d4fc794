//! How many backend servers to order in each data centre, and of which kind.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Servers of one kind in one data centre.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
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

/// What is wanted beyond the least.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadSettings {
    /// Part of the servers found at the start that is kept, reclaimable and spread evenly.
    pub kept: f64,
    /// Servers that are not reclaimable, in the cheapest data centres.
    pub lasting: u32,
    /// Time after a refused order before it is given again, in milliseconds.
    pub refused_ms: Millis,
    /// Part of the kept servers below which lasting ones replace those that cannot be had.
    pub floor: f64,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self { kept: 0.9, lasting: 2, refused_ms: 1_500, floor: 0.55 }
    }
}

/// An order to give.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpreadOrder {
    /// Where and which kind.
    pub place: Place,
    /// How many there shall be.
    pub count: u32,
}

/// What the holder of the duty knows of its orders.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    settings: SpreadSettings,
    found: u32,
    given: BTreeMap<Place, (u32, Millis)>,
    refused_until: BTreeMap<Place, Millis>,
}

impl Spread {
    /// Creates the state of a holder that has given no order; `found` servers served before the
    /// first order of any holder.
    pub fn new(settings: SpreadSettings, found: u32) -> Self {
        Self { settings, found, ..Self::default() }
    }

    /// Returns the next order to give; `serving` counts the servers that take work.
    pub fn next(
        &mut self,
        offers: &Offers,
        serving: &BTreeMap<Place, u32>,
        now: Millis,
    ) -> Option<SpreadOrder> {
        let total: u32 = serving.values().sum();
        let wanted = self.wanted(offers, serving);
        // Servers are given back only once their replacements serve.
        let planned: u32 = wanted.values().sum();
        let can_shrink = total >= planned;
        let differing = wanted.into_iter().find_map(|(place, count)| {
            let have = serving.get(&place).copied().unwrap_or(0);
            let given = self.given.get(&place).copied();
            let is_new = given.map_or(have, |(count, _)| count) != count;
            let is_lacking = have < count
                && given.is_some_and(|(_, at)| now >= at + offers.boot_ms + self.settings.refused_ms);
            let is_refused = self.refused_until.get(&place).is_some_and(|until| now < *until);
            let may = !is_refused && (count >= have || can_shrink);
            (may && (is_new || is_lacking)).then_some(SpreadOrder { place, count })
        })?;
        self.given.insert(differing.place.clone(), (differing.count, now));
        Some(differing)
    }

    /// Notes that there are no such servers to be had.
    pub fn refused(&mut self, place: &Place, now: Millis) {
        self.given.remove(place);
        self.refused_until.insert(place.clone(), now + self.settings.refused_ms);
    }

    /// Notes that the outcome of an order is not known; it is given again.
    pub fn unsettled(&mut self, place: &Place) {
        self.given.remove(place);
    }

    fn wanted(
        &self,
        offers: &Offers,
        serving: &BTreeMap<Place, u32>,
    ) -> BTreeMap<Place, u32> {
        let mut centres: Vec<(&Name, f64)> =
            offers.prices.iter().map(|(name, price)| (name, *price)).collect();
        centres.sort_by(|a, b| a.1.total_cmp(&b.1));
        let (least, most) = offers.bounds;
        let kept = (self.settings.kept * f64::from(self.found)).ceil() as u32;
        let count = centres.len().max(1) as u32;
        let floor = self.settings.floor * f64::from(self.found);
        let total: u32 = serving.values().sum();
        // Below the floor lasting servers fill up what cannot be had.
        let lacking = (floor - f64::from(total)).max(0.0).ceil() as u32;
        let mut lasting_left = self.settings.lasting + lacking;
        let mut wanted = BTreeMap::new();
        for (index, (data_centre, _)) in centres.into_iter().enumerate() {
            let index = index as u32;
            let even = kept / count + u32::from(index < kept % count);
            let share = lasting_left.div_ceil(count - index).min(most);
            let lasting = share.min(lasting_left);
            lasting_left -= lasting;
            let reclaimable = even.min(most - lasting);
            let lasting = lasting.max(least.saturating_sub(reclaimable));
            let place = |reclaimable| Place { data_centre: data_centre.clone(), reclaimable };
            wanted.insert(place(true), reclaimable);
            wanted.insert(place(false), lasting);
        }
        wanted
    }
}
