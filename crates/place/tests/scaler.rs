//! How many servers are ordered; each test names the load or loss that it replays.

use kernel::{Millis, Name};
use place::{Observed, Offers, Placement, ScaleOrder, Scaler, ScalerSettings};
use std::collections::BTreeMap;

const CENTRES: [&str; 4] = ["a", "b", "c", "d"];
const FOUND: u32 = 16;

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

/// A cloud that serves orders after the boot time, unless a data centre has none to give.
struct Cloud {
    scaler: Scaler,
    serving: BTreeMap<Placement, u32>,
    booting: Vec<(Millis, ScaleOrder)>,
    dry_until: Millis,
    work: f64,
    orders: u32,
}

impl Cloud {
    fn new(work: f64) -> Self {
        let serving = CENTRES.iter().map(|name| (placement(name, false), FOUND / 4)).collect();
        let scaler = Scaler::new(ScalerSettings::default(), FOUND);
        Self { scaler, serving, booting: Vec::new(), dry_until: 0, work, orders: 0 }
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
                if order.placement.reclaimable && now < self.dry_until {
                    self.scaler.record_refusal(&order.placement, now);
                } else if self.serving.get(&order.placement).is_some_and(|have| *have > order.count)
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

/// Work of a load that needs so many servers.
fn work(servers: f64) -> f64 {
    servers * 1000.0 * ScalerSettings::default().target_load
}

#[test]
fn a_steady_load_ends_on_reclaimable_servers_spread_over_data_centres() {
    let mut cloud = Cloud::new(work(12.0));
    cloud.run(0, 120_000);
    assert_eq!(cloud.count(false), 0, "reclaimable ones can be had");
    let excess = ScalerSettings::default().min_excess;
    assert!((16..16 + excess).contains(&cloud.count(true)), "{}", cloud.count(true));
    assert!(CENTRES.iter().all(|name| (4..=5).contains(&cloud.serving[&placement(name, true)])));
}

#[test]
fn there_are_never_fewer_servers_than_needed_while_kinds_change() {
    let mut cloud = Cloud::new(work(12.0));
    for start in (0..60_000).step_by(500) {
        cloud.run(start, start + 500);
        assert!(cloud.count(true) + cloud.count(false) >= 12, "at {start} ms");
    }
}

#[test]
fn a_steady_fleet_gets_no_orders() {
    let mut cloud = Cloud::new(work(12.0));
    cloud.run(0, 120_000);
    let orders = cloud.orders;
    cloud.run(120_000, 240_000);
    assert_eq!(cloud.orders, orders);
}

#[test]
fn lasting_servers_stand_in_when_every_data_centre_is_reclaimed_and_none_can_be_had() {
    let mut cloud = Cloud::new(work(12.0));
    cloud.run(0, 120_000);
    cloud.dry_until = 150_000;
    CENTRES.iter().for_each(|name| cloud.reclaim(name));
    cloud.run(120_000, 126_500);
    assert!(cloud.count(false) >= 12, "{} on_demand", cloud.count(false));
    cloud.run(126_500, 250_000);
    assert_eq!(cloud.count(false), 0, "they are given back");
    assert!(cloud.count(true) >= 16, "{} reclaimable", cloud.count(true));
}

#[test]
fn while_reclaimable_servers_are_scarce_some_lasting_ones_are_held() {
    let mut cloud = Cloud::new(work(12.0));
    cloud.run(0, 120_000);
    cloud.dry_until = 140_000;
    cloud.reclaim("b");
    cloud.run(120_000, 126_000);
    assert_eq!(cloud.count(false), ScalerSettings::default().on_demand);
    cloud.run(126_000, 200_000);
    assert_eq!(cloud.count(false), 0, "they are given back");
}

#[test]
fn orders_do_not_run_away_while_servers_are_missing() {
    let mut cloud = Cloud::new(work(1_000.0));
    cloud.dry_until = 30_000;
    cloud.run(0, 30_000);
    let most = (ScalerSettings::default().max_share * f64::from(FOUND)) as u32;
    assert!(cloud.count(false) <= most, "{}", cloud.count(false));
}

#[test]
fn a_burst_is_followed_at_once_and_forgotten_slowly() {
    let mut scaler = Scaler::new(ScalerSettings::default(), FOUND);
    let mut needed =
        |work, now| scaler.servers_needed(&Observed { work, ..Observed::default() }, now);
    needed(work(12.0), 0);
    let burst = (1..=10).map(|i| needed(work(24.0), i * 500)).last().unwrap_or(0);
    assert!(burst >= 22, "{burst}");
    assert!(needed(work(12.0), 10_000) > 16);
    assert!(needed(work(12.0), 120_000) <= 13);
}
