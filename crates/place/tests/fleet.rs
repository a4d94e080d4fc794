//! The mix of VMs: against every possible one, and in single cases.

use kernel::Name;
use place::{Demand, Offer, Plan, plan};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const CASES: usize = 300;
const CENTRES: [&str; 3] = ["a", "b", "c"];

fn offer(data_centre: &str, price_per_hour: f64, capacity: usize, available: usize) -> Offer {
    Offer {
        data_centre: data_centre.into(),
        class: Name::from(format!("of-{capacity}")),
        reclaimable: false,
        price_per_hour,
        reclaims_per_hour: 0.0,
        capacity,
        available,
    }
}

/// What a mix carries in all, and after the loss of its largest data centre.
fn carries(offers: &[Offer], counts: &[usize]) -> (usize, usize) {
    let held = |centre: Option<&str>| -> usize {
        let pairs = offers.iter().zip(counts);
        let here = pairs.filter(|(offer, _)| centre.is_none_or(|name| offer.data_centre == name));
        here.map(|(offer, count)| offer.capacity * count).sum()
    };
    let all = held(None);
    let largest = CENTRES.iter().map(|name| held(Some(name))).max().unwrap_or(0);
    (all, all - largest)
}

fn cost(offers: &[Offer], counts: &[usize], demand: Demand) -> f64 {
    let each =
        |offer: &Offer| offer.price_per_hour + offer.reclaims_per_hour * demand.cost_of_reclaim;
    offers.iter().zip(counts).map(|(offer, count)| each(offer) * *count as f64).sum()
}

/// The cheapest cost of every possible mix that meets the demand.
fn cheapest(offers: &[Offer], demand: Demand) -> Option<f64> {
    let mut counts = vec![0; offers.len()];
    let mut best: Option<f64> = None;
    loop {
        let (all, after_loss) = carries(offers, &counts);
        if all >= demand.all && after_loss >= demand.high {
            let cost = cost(offers, &counts, demand);
            best = Some(best.map_or(cost, |known| known.min(cost)));
        }
        let Some(place) = (0..counts.len()).find(|place| counts[*place] < offers[*place].available)
        else {
            return best;
        };
        counts[..place].fill(0);
        counts[place] += 1;
    }
}

fn draw(rng: &mut SmallRng) -> (Vec<Offer>, Demand) {
    let mut offers = Vec::new();
    for data_centre in CENTRES {
        for reclaimable in [true, false] {
            let price = f64::from(rng.random_range(1..40_u32)) / 4.0;
            let drawn = offer(data_centre, price, rng.random_range(1..4), rng.random_range(0..4));
            let reclaims_per_hour = if reclaimable { rng.random::<f64>() } else { 0.0 };
            offers.push(Offer { reclaimable, reclaims_per_hour, ..drawn });
        }
    }
    let (all, high) = (rng.random_range(0..16), rng.random_range(0..8));
    (offers, Demand { all, high, cost_of_reclaim: 2.0 })
}

/// Tells what a plan breaks; `best` is the cost of the cheapest mix, if one meets the demand.
fn check(offers: &[Offer], demand: Demand, plan: &Plan, best: Option<f64>) -> Option<String> {
    let (all, after_loss) = carries(offers, &plan.counts);
    let meets = all >= demand.all && after_loss >= demand.high;
    let said = plan.lacking == 0 && plan.lacking_after_loss == 0;
    let spent = cost(offers, &plan.counts, demand);
    if meets != said || said != best.is_some() {
        return Some(format!("meets {meets}, said {said}, possible {best:?}"));
    }
    let too_dear = best.is_some_and(|best| (spent - best).abs() > 1e-9);
    (too_dear || (spent - plan.cost_per_hour).abs() > 1e-9)
        .then(|| format!("costs {spent}, said {}, cheapest {best:?}", plan.cost_per_hour))
}

#[test]
fn the_mix_is_the_cheapest_that_meets_the_demand_also_after_a_loss() {
    let mut rng = SmallRng::seed_from_u64(5);
    let (mut possible, mut failed) = (0, Vec::new());
    for _ in 0..CASES {
        let (offers, demand) = draw(&mut rng);
        let best = cheapest(&offers, demand);
        possible += usize::from(best.is_some());
        failed.extend(check(&offers, demand, &plan(&offers, demand), best));
    }
    println!("fleet: cells {CASES}, passed {}, failed {}", CASES - failed.len(), failed.len());
    println!("fleet: {possible} of {CASES} demands can be met");
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn the_checker_reports_a_mix_that_a_lost_data_centre_breaks() {
    let mut rng = SmallRng::seed_from_u64(5);
    let reported = (0..CASES).filter(|_| {
        let (offers, demand) = draw(&mut rng);
        let careless = plan(&offers, Demand { high: 0, ..demand });
        check(&offers, demand, &careless, cheapest(&offers, demand)).is_some()
    });
    assert!(reported.count() > 0);
}

#[test]
fn reclaimable_vms_are_held_until_their_reclaims_cost_more_than_on_demand_ones() {
    let on_demand = offer("a", 3.0, 1, 9);
    let reclaimable = Offer {
        reclaimable: true,
        price_per_hour: 1.0,
        reclaims_per_hour: 0.5,
        ..on_demand.clone()
    };
    let offers = [on_demand, reclaimable];
    let counts =
        |cost_of_reclaim| plan(&offers, Demand { all: 4, high: 0, cost_of_reclaim }).counts;
    assert_eq!(counts(3.0), [0, 4]);
    assert_eq!(counts(5.0), [4, 0]);
}

#[test]
fn a_refused_class_is_replaced_by_the_next_cheapest() {
    let offers = [offer("a", 1.0, 1, 0), offer("a", 3.0, 1, 9), offer("b", 2.0, 1, 3)];
    let plan = plan(&offers, Demand { all: 4, high: 0, cost_of_reclaim: 0.0 });
    assert_eq!(plan.counts, [0, 1, 3]);
}

#[test]
fn what_is_short_is_said() {
    let offers = [offer("a", 1.0, 1, 3), offer("b", 1.0, 1, 1)];
    let plan = plan(&offers, Demand { all: 6, high: 2, cost_of_reclaim: 0.0 });
    assert_eq!((plan.lacking, plan.lacking_after_loss), (2, 1));
    assert_eq!(plan.counts, [3, 1]);
}

#[test]
fn a_deployment_of_the_stated_size_is_planned_in_coarse_units() {
    let centres = ["a", "b", "c", "d", "e", "f", "g"];
    let offers: Vec<Offer> = centres
        .into_iter()
        .enumerate()
        .flat_map(|(place, name)| {
            let price = 1.0 + place as f64 / 10.0;
            [offer(name, price, 1, 60), offer(name, 3.0 * price, 1, 60)]
        })
        .collect();
    let plan = plan(&offers, Demand { all: 600, high: 400, cost_of_reclaim: 0.0 });
    assert_eq!((plan.lacking, plan.lacking_after_loss), (0, 0));
    assert_eq!(plan.counts.iter().sum::<usize>(), 600);
}
