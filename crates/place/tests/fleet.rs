//! Fleet plans: compared with an exhaustive search on random offers, and in single cases.

use kernel::Name;
use place::{Demand, Offer, Plan, plan};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Number of random cases.
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

/// Returns the capacity of a mix, in total and after the loss of its largest data centre.
fn carried(offers: &[Offer], counts: &[usize]) -> (usize, usize) {
    let capacity = |centre: Option<&str>| -> usize {
        let pairs = offers.iter().zip(counts);
        let selected =
            pairs.filter(|(offer, _)| centre.is_none_or(|name| offer.data_centre == name));
        selected.map(|(offer, count)| offer.capacity * count).sum()
    };
    let total = capacity(None);
    let largest = CENTRES.iter().map(|name| capacity(Some(name))).max().unwrap_or(0);
    (total, total - largest)
}

fn cost(offers: &[Offer], counts: &[usize], demand: Demand) -> f64 {
    let cost_per_vm =
        |offer: &Offer| offer.price_per_hour + offer.reclaims_per_hour * demand.reclaim_cost;
    offers.iter().zip(counts).map(|(offer, count)| cost_per_vm(offer) * *count as f64).sum()
}

/// Returns the lowest cost of all mixes that meet the demand, by trying each of them.
fn lowest_cost(offers: &[Offer], demand: Demand) -> Option<f64> {
    let mut counts = vec![0; offers.len()];
    let mut best: Option<f64> = None;
    loop {
        let (total, after_loss) = carried(offers, &counts);
        if total >= demand.total && after_loss >= demand.high_priority {
            let cost = cost(offers, &counts, demand);
            best = Some(best.map_or(cost, |known| known.min(cost)));
        }
        let Some(index) = (0..counts.len()).find(|index| counts[*index] < offers[*index].available)
        else {
            return best;
        };
        counts[..index].fill(0);
        counts[index] += 1;
    }
}

fn random_case(rng: &mut SmallRng) -> (Vec<Offer>, Demand) {
    let mut offers = Vec::new();
    for data_centre in CENTRES {
        for reclaimable in [true, false] {
            let price = f64::from(rng.random_range(1..40_u32)) / 4.0;
            let base = offer(data_centre, price, rng.random_range(1..4), rng.random_range(0..4));
            let reclaims_per_hour = if reclaimable { rng.random::<f64>() } else { 0.0 };
            offers.push(Offer { reclaimable, reclaims_per_hour, ..base });
        }
    }
    let (total, high_priority) = (rng.random_range(0..16), rng.random_range(0..8));
    (offers, Demand { total, high_priority, reclaim_cost: 2.0 })
}

/// Returns a description of the first error in a plan; `best` is the cost of the cheapest mix, if
/// any meets the demand.
fn check(offers: &[Offer], demand: Demand, plan: &Plan, best: Option<f64>) -> Option<String> {
    let (total, after_loss) = carried(offers, &plan.counts);
    let meets = total >= demand.total && after_loss >= demand.high_priority;
    let claimed = plan.shortfall == 0 && plan.shortfall_after_loss == 0;
    let actual = cost(offers, &plan.counts, demand);
    if meets != claimed || claimed != best.is_some() {
        return Some(format!(
            "plan meets the demand: {meets}, claims to: {claimed}, lowest possible cost: {best:?}"
        ));
    }
    let too_expensive = best.is_some_and(|best| (actual - best).abs() > 1e-9);
    (too_expensive || (actual - plan.cost_per_hour).abs() > 1e-9).then(|| {
        format!("plan costs {actual}, claims {}, lowest possible {best:?}", plan.cost_per_hour)
    })
}

#[test]
fn plan_is_the_cheapest_mix_that_meets_the_demand_even_after_losing_a_data_centre() {
    let mut rng = SmallRng::seed_from_u64(5);
    let (mut possible, mut failed) = (0, Vec::new());
    for _ in 0..CASES {
        let (offers, demand) = random_case(&mut rng);
        let best = lowest_cost(&offers, demand);
        possible += usize::from(best.is_some());
        failed.extend(check(&offers, demand, &plan(&offers, demand), best));
    }
    println!("fleet: cells {CASES}, passed {}, failed {}", CASES - failed.len(), failed.len());
    println!("fleet: {possible} of {CASES} demands can be met");
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn checker_reports_a_plan_that_ignores_the_loss_of_a_data_centre() {
    let mut rng = SmallRng::seed_from_u64(5);
    let reported = (0..CASES).filter(|_| {
        let (offers, demand) = random_case(&mut rng);
        let unsafe_plan = plan(&offers, Demand { high_priority: 0, ..demand });
        check(&offers, demand, &unsafe_plan, lowest_cost(&offers, demand)).is_some()
    });
    assert!(reported.count() > 0);
}

#[test]
fn reclaimable_vms_are_chosen_unless_their_reclaims_make_them_dearer_than_on_demand_vms() {
    let on_demand = offer("a", 3.0, 1, 9);
    let reclaimable = Offer {
        reclaimable: true,
        price_per_hour: 1.0,
        reclaims_per_hour: 0.5,
        ..on_demand.clone()
    };
    let offers = [on_demand, reclaimable];
    let counts =
        |reclaim_cost| plan(&offers, Demand { total: 4, high_priority: 0, reclaim_cost }).counts;
    assert_eq!(counts(3.0), [0, 4]);
    assert_eq!(counts(5.0), [4, 0]);
}

#[test]
fn unavailable_class_is_replaced_by_the_next_cheapest() {
    let offers = [offer("a", 1.0, 1, 0), offer("a", 3.0, 1, 9), offer("b", 2.0, 1, 3)];
    let plan = plan(&offers, Demand { total: 4, high_priority: 0, reclaim_cost: 0.0 });
    assert_eq!(plan.counts, [0, 1, 3]);
}

#[test]
fn plan_reports_the_shortfall_when_offers_are_too_small() {
    let offers = [offer("a", 1.0, 1, 3), offer("b", 1.0, 1, 1)];
    let plan = plan(&offers, Demand { total: 6, high_priority: 2, reclaim_cost: 0.0 });
    assert_eq!((plan.shortfall, plan.shortfall_after_loss), (2, 1));
    assert_eq!(plan.counts, [3, 1]);
}

#[test]
fn deployment_of_600_capacity_units_is_planned() {
    let centres = ["a", "b", "c", "d", "e", "f", "g"];
    let offers: Vec<Offer> = centres
        .into_iter()
        .enumerate()
        .flat_map(|(index, name)| {
            let price = 1.0 + index as f64 / 10.0;
            [offer(name, price, 1, 60), offer(name, 3.0 * price, 1, 60)]
        })
        .collect();
    let plan = plan(&offers, Demand { total: 600, high_priority: 400, reclaim_cost: 0.0 });
    assert_eq!((plan.shortfall, plan.shortfall_after_loss), (0, 0));
    assert_eq!(plan.counts.iter().sum::<usize>(), 600);
}
