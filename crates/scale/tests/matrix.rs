//! Faults at every step of membership, on an in-memory network with virtual time.

use kernel::Millis;
use member::{Change, Settings};
use scale::{Effect, Fault, Net, Phase, Shape, Violation, disagreements};

const SECOND: Millis = 1000;
/// Time within which all agree again once faults are over.
const AGREE: Millis = 30 * SECOND;
const VICTIM: usize = 4;

fn net(entries: usize, seed: u64) -> Net {
    Net::settled(Shape { entries, seed, ..Shape::default() })
}

fn agrees_within(net: &mut Net, limit: Millis) {
    let took = net.run_until(limit, |net| disagreements(net).is_empty());
    assert!(took.is_some(), "still wrong: {:?}", disagreements(net));
    assert_eq!(net.broken(), []);
}

/// Whether an effect at a step leaves an entry without any way to be reached.
fn cuts_off(phase: Phase, effect: Effect) -> bool {
    matches!(phase, Phase::Probe | Phase::Ack) && effect != Effect::Twice
}

#[test]
fn every_effect_at_every_step_leaves_no_lasting_harm() {
    for (i, phase) in Phase::ALL.into_iter().enumerate() {
        for (j, effect) in Effect::ALL.into_iter().enumerate() {
            let mut net = net(21, (10 * i + j) as u64);
            net.fault(Fault::Step(VICTIM, phase, effect));
            net.kill(9);
            net.run(10 * SECOND);
            net.start(9);
            net.run(5 * SECOND);
            let excused = if cuts_off(phase, effect) { vec![9, VICTIM] } else { vec![9] };
            let by_others = |v: &Violation| !matches!(v, Violation::FalseDeath { by: VICTIM, .. });
            let mut deaths = net.false_deaths(0, &excused);
            deaths.retain(|v| by_others(v) || !cuts_off(phase, effect));
            assert_eq!(deaths, [], "{phase:?} {effect:?}");
            net.heal();
            agrees_within(&mut net, AGREE);
        }
    }
}

#[test]
fn a_one_way_cut_between_two_entries_raises_no_suspicion() {
    let mut net = net(21, 1);
    net.fault(Fault::OneWay(0, VICTIM));
    net.run(60 * SECOND);
    assert_eq!(suspicions(&net), 0);
    agrees_within(&mut net, 0);
}

#[test]
fn an_entry_that_pauses_past_the_suspicion_comes_back_and_blames_nobody() {
    let mut net = net(21, 2);
    net.pause(VICTIM);
    net.run(20 * SECOND);
    let deaths = net.false_deaths(0, &[]);
    let blamed =
        |v: &Violation| matches!(v, Violation::FalseDeath { run, .. } if run == net.node(VICTIM));
    assert_eq!(deaths.len(), 20, "all declare the paused entry dead");
    assert!(deaths.iter().all(blamed));
    net.wake(VICTIM);
    let woke = net.now();
    agrees_within(&mut net, 5 * SECOND);
    assert_eq!(net.false_deaths(woke, &[]), []);
}

#[test]
fn a_restart_at_the_same_address_replaces_the_former_run() {
    let mut net = net(21, 3);
    net.kill(VICTIM);
    net.start(VICTIM);
    agrees_within(&mut net, 5 * SECOND);
}

#[test]
fn a_run_whose_clock_is_below_the_former_run_learns_that_it_is_superseded() {
    let mut net = net(21, 4);
    let former = net.node(VICTIM).incarnation;
    net.kill(VICTIM);
    net.start_as(VICTIM, former - 1000);
    let told = net.run_until(5 * SECOND, |net| net.superseded() == [(VICTIM, former)]);
    assert!(told.is_some(), "{:?}", net.superseded());
    net.start_as(VICTIM, former + 1);
    agrees_within(&mut net, 5 * SECOND);
}

#[test]
fn a_region_cut_off_for_an_hour_is_found_again_without_a_death() {
    let mut net = net(21, 5);
    net.fault(Fault::RegionCut(1));
    net.run(3600 * SECOND);
    let region = net.in_region(1);
    let apart = |v: &Violation| match v {
        Violation::FalseDeath { by, run } => {
            region.contains(by) != region.iter().any(|i| net.node(*i) == run)
        }
        _ => false,
    };
    assert!(net.false_deaths(0, &[]).iter().all(apart), "within a side nobody dies");
    net.heal();
    let healed = net.now();
    agrees_within(&mut net, AGREE);
    assert_eq!(net.false_deaths(healed, &[]), []);
}

#[test]
fn a_data_centre_that_dies_at_once_is_dead_to_all_and_nobody_else_is() {
    let mut net = net(50, 6);
    let centre = net.in_data_centre(2);
    centre.iter().for_each(|i| net.kill(*i));
    agrees_within(&mut net, 15 * SECOND);
    assert_eq!(net.false_deaths(0, &centre), []);
    centre.iter().for_each(|i| net.start(*i));
    agrees_within(&mut net, 5 * SECOND);
}

#[test]
fn all_restarting_at_once_know_each_other_within_ten_seconds() {
    for entries in [8, 50, 400] {
        let mut net = Net::new(Shape { entries, seed: 7, ..Shape::default() });
        (0..entries).for_each(|i| net.start(i));
        agrees_within(&mut net, 10 * SECOND);
    }
}

#[test]
fn a_slow_entry_refutes_and_is_never_declared_dead() {
    let mut net = net(21, 8);
    net.fault(Fault::Slow(VICTIM, 150));
    net.run(60 * SECOND);
    assert!(suspicions(&net) > 0, "the entry is too slow for a probe");
    assert_eq!(net.false_deaths(0, &[]), []);
    net.heal();
    agrees_within(&mut net, AGREE);
}

#[test]
fn ten_per_cent_loss_kills_nobody() {
    let mut net = net(50, 9);
    net.fault(Fault::Loss(0.1));
    net.run(60 * SECOND);
    assert_eq!(net.false_deaths(0, &[]), []);
    net.heal();
    agrees_within(&mut net, AGREE);
}

#[test]
fn a_dead_entry_is_forgotten_by_all_after_a_while() {
    let mut net = net(8, 10);
    let remember = Settings::default().dead_retention;
    net.kill(VICTIM);
    let name = net.node(VICTIM).name.clone();
    net.run(remember - 10 * SECOND);
    assert!(net.all_see(|table| table.get(&name).is_some()));
    net.run(60 * SECOND);
    assert!(net.all_see(|table| table.get(&name).is_none()));
}

#[test]
fn without_indirect_probes_a_one_way_cut_is_reported() {
    let settings = Settings { indirect_probes: 0, ..Settings::default() };
    let mut net = Net::settled(Shape { entries: 21, seed: 1, settings, ..Shape::default() });
    net.fault(Fault::OneWay(0, VICTIM));
    net.run(60 * SECOND);
    assert!(suspicions(&net) > 0);
}

#[test]
fn without_refutation_a_paused_entry_stays_dead() {
    let mut net = net(21, 2);
    net.fault(Fault::NoRefutation);
    net.pause(VICTIM);
    net.run(20 * SECOND);
    net.wake(VICTIM);
    net.run(AGREE);
    assert_ne!(disagreements(&net), []);
}

#[test]
fn without_reconnecting_a_healed_region_stays_lost() {
    let settings = Settings { reconnect_interval: 3600 * 24 * SECOND, ..Settings::default() };
    let mut net = Net::settled(Shape { entries: 21, seed: 5, settings, ..Shape::default() });
    net.fault(Fault::RegionCut(1));
    net.run(60 * SECOND);
    net.heal();
    net.run(AGREE);
    assert_ne!(disagreements(&net), []);
}

fn suspicions(net: &Net) -> usize {
    net.history().iter().filter(|(_, _, change)| matches!(change, Change::Suspected(_))).count()
}
