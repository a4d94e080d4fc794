//! Orders of the scaler, replayed against a simulated cloud under a given load or loss.

use kernel::{Millis, Name};
use place::{Observed, Offers, Placement, ScaleOrder, Scaler, ScalerSettings};
use std::collections::BTreeMap;

const CENTRES: [&str; 4] = ["a", "b", "c", "d"];
/// Number of servers before the first order.
const INITIAL: u32 = 16;

fn offers() -> Offers {
    let prices = CENTRES.iter().zip([1.0, 0.8, 1.25, 0.9]);
    Offers {
        bounds: (1, 10),
        prices: prices.map(|(name, price)| (Name::from(*name), price)).collect(),
        boot_ms: 4_000,
    }
}

fn placement(data_centre: &str, reclaimable: bool) -> Placement {
    Placement { data_centre: data_centre.into(), reclaimable }
}

/// A cloud in which ordered servers serve after the boot time. Until `scarce_until`, it refuses
/// orders of reclaimable servers.
struct Cloud {
    scaler: Scaler,
    serving: BTreeMap<Placement, u32>,
    booting: Vec<(Millis, ScaleOrder)>,
    scarce_until: Millis,
    work: f64,
    orders: u32,
}

impl Cloud {
    fn new(work: f64) -> Self {
        let serving = CENTRES.iter().map(|name| (placement(name, false), INITIAL / 4)).collect();
        let scaler = Scaler::new(ScalerSettings::default(), INITIAL);
        Self { scaler, serving, booting: Vec::new(), scarce_until: 0, work, orders: 0 }
    }

    fn run(&mut self, from: Millis, to: Millis) {
        for now in (from..to).step_by(500) {
            let ready = self.booting.iter().filter(|(at, _)| *at <= now);
            for (_, order) in ready.cloned().collect::<Vec<_>>() {
                self.serving.insert(order.placement, order.count);
            }
            self.booting.retain(|(at, _)| *at > now);
            for _ in 0..8 {
                let observed = Observed { serving: self.serving.clone(), work: self.work };
                let Some(order) = self.scaler.next(&offers(), &observed, now) else { break };
                self.orders += 1;
                if order.placement.reclaimable && now < self.scarce_until {
                    self.scaler.record_refusal(&order.placement, now);
                } else if self
                    .serving
                    .get(&order.placement)
                    .is_some_and(|count| *count > order.count)
                {
                    self.serving.insert(order.placement, order.count);
                } else {
                    self.booting.push((now + offers().boot_ms, order));
                }
            }
        }
    }

    fn count(&self, reclaimable: bool) -> u32 {
        let of_kind =
            self.serving.iter().filter(|(placement, _)| placement.reclaimable == reclaimable);
        of_kind.map(|(_, count)| count).sum()
    }

    fn reclaim(&mut self, data_centre: &str) {
        self.serving.insert(placement(data_centre, true), 0);
    }
}

/// Returns the work that needs this number of servers at the target utilisation.
fn work(servers: f64) -> f64 {
    servers * 1000.0 * ScalerSettings::default().target_load
}

#[test]
fn steady_load_ends_on_reclaimable_servers_spread_over_data_centres() {
    let mut cloud = Cloud::new(work(12.0));
    cloud.run(0, 120_000);
    assert_eq!(cloud.count(false), 0, "no on-demand servers while reclaimable ones are available");
    let excess = ScalerSettings::default().min_excess;
    assert!(
        (16..16 + excess).contains(&cloud.count(true)),
        "{} reclaimable servers",
        cloud.count(true)
    );
    assert!(CENTRES.iter().all(|name| (4..=5).contains(&cloud.serving[&placement(name, true)])));
}

#[test]
fn replacing_on_demand_servers_never_leaves_fewer_than_needed() {
    let mut cloud = Cloud::new(work(12.0));
    for start in (0..60_000).step_by(500) {
        cloud.run(start, start + 500);
        assert!(cloud.count(true) + cloud.count(false) >= 12, "at {start} ms");
    }
}

#[test]
fn steady_load_causes_no_further_orders() {
    let mut cloud = Cloud::new(work(12.0));
    cloud.run(0, 120_000);
    let orders = cloud.orders;
    cloud.run(120_000, 240_000);
    assert_eq!(cloud.orders, orders);
}

#[test]
fn on_demand_servers_replace_reclaimable_ones_after_a_reclaim_in_every_data_centre() {
    let mut cloud = Cloud::new(work(12.0));
    cloud.run(0, 120_000);
    cloud.scarce_until = 150_000;
    CENTRES.iter().for_each(|name| cloud.reclaim(name));
    cloud.run(120_000, 126_500);
    assert!(cloud.count(false) >= 12, "{} on-demand servers", cloud.count(false));
    cloud.run(126_500, 250_000);
    assert_eq!(cloud.count(false), 0, "on-demand servers are released");
    assert!(cloud.count(true) >= 16, "{} reclaimable servers", cloud.count(true));
}

#[test]
fn on_demand_servers_cover_the_next_loss_while_reclaimable_ones_are_scarce() {
    let mut cloud = Cloud::new(work(12.0));
    cloud.run(0, 120_000);
    cloud.scarce_until = 140_000;
    cloud.reclaim("b");
    cloud.run(120_000, 126_000);
    let reserve = (ScalerSettings::default().reserve * 12.0).ceil() as u32;
    let largest = cloud.serving.iter().filter(|(placement, _)| placement.reclaimable);
    let largest = largest.map(|(_, count)| *count).max().unwrap_or(0);
    assert_eq!(cloud.count(false), reserve - (cloud.count(true) - largest));
    cloud.run(126_000, 200_000);
    assert_eq!(cloud.count(false), 0, "on-demand servers are released");
}

/// Replays reclaims that hit one data centre after the other, six seconds apart, while no
/// reclaimable servers are to be had: the next loss comes sooner than servers that are ordered
/// after the one before can boot and be of use.
#[test]
fn servers_remain_when_one_data_centre_after_the_other_is_reclaimed() {
    let mut cloud = Cloud::new(work(12.0));
    cloud.run(0, 120_000);
    cloud.scarce_until = 150_000;
    for (index, name) in CENTRES.into_iter().enumerate() {
        let at = 120_000 + 6_000 * index as Millis;
        cloud.reclaim(name);
        assert!(
            cloud.count(true) + cloud.count(false) >= 6,
            "{} servers after the loss of {name}",
            cloud.count(true) + cloud.count(false)
        );
        cloud.run(at, at + 6_000);
    }
}

#[test]
fn orders_do_not_exceed_the_maximum_while_servers_are_missing() {
    let mut cloud = Cloud::new(work(1_000.0));
    cloud.scarce_until = 30_000;
    cloud.run(0, 30_000);
    let max = (ScalerSettings::default().max_share * f64::from(INITIAL)) as u32;
    assert!(cloud.count(false) <= max, "{} on-demand servers", cloud.count(false));
}

#[test]
fn expected_load_rises_quickly_and_falls_slowly() {
    let mut scaler = Scaler::new(ScalerSettings::default(), INITIAL);
    let mut needed =
        |work, now| scaler.servers_needed(&Observed { work, ..Observed::default() }, now);
    needed(work(12.0), 0);
    let burst = (1..=10).map(|i| needed(work(24.0), i * 500)).last().unwrap_or(0);
    assert!(burst >= 22, "{burst} servers in the burst");
    assert!(needed(work(12.0), 10_000) > 16);
    assert!(needed(work(12.0), 120_000) <= 13);
}
