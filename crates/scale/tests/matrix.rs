//! Network and process faults at every step of the membership protocol, in the simulated network.

use kernel::Millis;
use member::{Change, Settings};
use scale::{Effect, Fault, Net, NetOptions, Phase, Violation, disagreements};

/// One second, in milliseconds.
const SECOND: Millis = 1000;
/// Time in which all tables must be correct again after the faults end, in milliseconds.
const RECOVERY_TIME: Millis = 30 * SECOND;
/// Index of the entry subject to the fault.
const VICTIM: usize = 4;

fn net(entries: usize, seed: u64) -> Net {
    Net::converged(NetOptions { entries, seed, ..NetOptions::default() })
}

fn assert_converges_within(net: &mut Net, timeout: Millis) {
    let elapsed = net.run_until(timeout, |net| disagreements(net).is_empty());
    assert!(elapsed.is_some(), "tables still differ: {:?}", disagreements(net));
    assert_eq!(net.violated_invariants(), []);
}

/// Returns whether an effect at a step makes an entry unreachable.
fn is_unreachable(phase: Phase, effect: Effect) -> bool {
    matches!(phase, Phase::Probe | Phase::Ack) && effect != Effect::Twice
}

#[test]
fn membership_recovers_from_every_effect_at_every_step() {
    for (i, phase) in Phase::ALL.into_iter().enumerate() {
        for (j, effect) in Effect::ALL.into_iter().enumerate() {
            let mut net = net(21, (10 * i + j) as u64);
            net.add_fault(Fault::Step(VICTIM, phase, effect));
            net.kill(9);
            net.run(10 * SECOND);
            net.start(9);
            net.run(5 * SECOND);
            let expected_deaths =
                if is_unreachable(phase, effect) { vec![9, VICTIM] } else { vec![9] };
            let is_by_others =
                |v: &Violation| !matches!(v, Violation::FalseDeath { by: VICTIM, .. });
            let mut deaths = net.false_deaths(0, &expected_deaths);
            deaths.retain(|v| is_by_others(v) || !is_unreachable(phase, effect));
            assert_eq!(deaths, [], "{phase:?} {effect:?}");
            net.clear_faults();
            assert_converges_within(&mut net, RECOVERY_TIME);
        }
    }
}

#[test]
fn one_way_loss_between_two_entries_causes_no_suspicion() {
    let mut net = net(21, 1);
    net.add_fault(Fault::OneWay(0, VICTIM));
    net.run(60 * SECOND);
    assert_eq!(suspicion_count(&net), 0);
    assert_converges_within(&mut net, 0);
}

#[test]
fn an_entry_paused_past_the_suspicion_timeout_recovers_and_declares_nobody_dead() {
    let mut net = net(21, 2);
    net.pause(VICTIM);
    net.run(20 * SECOND);
    let deaths = net.false_deaths(0, &[]);
    let is_victim =
        |v: &Violation| matches!(v, Violation::FalseDeath { node, .. } if node == net.node(VICTIM));
    assert_eq!(deaths.len(), 20, "all other entries declare the paused entry dead");
    assert!(deaths.iter().all(is_victim));
    net.resume(VICTIM);
    let resumed_at = net.now();
    assert_converges_within(&mut net, 5 * SECOND);
    assert_eq!(net.false_deaths(resumed_at, &[]), []);
}

#[test]
fn a_restart_at_the_same_address_replaces_the_previous_incarnation() {
    let mut net = net(21, 3);
    net.kill(VICTIM);
    net.start(VICTIM);
    assert_converges_within(&mut net, 5 * SECOND);
}

#[test]
fn an_entry_with_a_lower_incarnation_than_before_detects_that_it_is_superseded() {
    let mut net = net(21, 4);
    let previous = net.node(VICTIM).incarnation;
    net.kill(VICTIM);
    net.start_as(VICTIM, previous - 1000);
    let detected = net.run_until(5 * SECOND, |net| net.superseded() == [(VICTIM, previous)]);
    assert!(detected.is_some(), "{:?}", net.superseded());
    net.start_as(VICTIM, previous + 1);
    assert_converges_within(&mut net, 5 * SECOND);
}

#[test]
fn a_region_partitioned_for_an_hour_rejoins_without_a_false_death() {
    let mut net = net(21, 5);
    net.add_fault(Fault::RegionCut(1));
    net.run(3600 * SECOND);
    let region = net.in_region(1);
    let across_partition = |v: &Violation| match v {
        Violation::FalseDeath { by, node } => {
            region.contains(by) != region.iter().any(|i| net.node(*i) == node)
        }
        _ => false,
    };
    assert!(net.false_deaths(0, &[]).iter().all(across_partition), "no deaths within a partition");
    net.clear_faults();
    let healed_at = net.now();
    assert_converges_within(&mut net, RECOVERY_TIME);
    assert_eq!(net.false_deaths(healed_at, &[]), []);
}

#[test]
fn a_failed_data_centre_is_declared_dead_and_no_other_entry_is() {
    let mut net = net(50, 6);
    let data_centre = net.in_data_centre(2);
    data_centre.iter().for_each(|i| net.kill(*i));
    assert_converges_within(&mut net, 15 * SECOND);
    assert_eq!(net.false_deaths(0, &data_centre), []);
    data_centre.iter().for_each(|i| net.start(*i));
    assert_converges_within(&mut net, 5 * SECOND);
}

#[test]
fn all_entries_know_each_other_within_ten_seconds_of_a_simultaneous_restart() {
    for entries in [8, 50, 400] {
        let mut net = Net::new(NetOptions { entries, seed: 7, ..NetOptions::default() });
        (0..entries).for_each(|i| net.start(i));
        assert_converges_within(&mut net, 10 * SECOND);
    }
}

#[test]
fn a_slow_entry_refutes_suspicions_and_is_never_declared_dead() {
    let mut net = net(21, 8);
    net.add_fault(Fault::Slow(VICTIM, 150));
    net.run(60 * SECOND);
    assert!(suspicion_count(&net) > 0, "the entry is too slow for a probe");
    assert_eq!(net.false_deaths(0, &[]), []);
    net.clear_faults();
    assert_converges_within(&mut net, RECOVERY_TIME);
}

#[test]
fn ten_per_cent_loss_causes_no_death() {
    let mut net = net(50, 9);
    net.add_fault(Fault::Loss(0.1));
    net.run(60 * SECOND);
    assert_eq!(net.false_deaths(0, &[]), []);
    net.clear_faults();
    assert_converges_within(&mut net, RECOVERY_TIME);
}

#[test]
fn a_dead_entry_is_removed_after_the_retention_time() {
    let mut net = net(8, 10);
    let retention = Settings::default().dead_retention;
    net.kill(VICTIM);
    let name = net.node(VICTIM).name.clone();
    net.run(retention - 10 * SECOND);
    assert!(net.all_tables(|table| table.get(&name).is_some()));
    net.run(60 * SECOND);
    assert!(net.all_tables(|table| table.get(&name).is_none()));
}

#[test]
fn without_indirect_probes_one_way_loss_causes_a_suspicion() {
    let settings = Settings { indirect_probes: 0, ..Settings::default() };
    let mut net =
        Net::converged(NetOptions { entries: 21, seed: 1, settings, ..NetOptions::default() });
    net.add_fault(Fault::OneWay(0, VICTIM));
    net.run(60 * SECOND);
    assert!(suspicion_count(&net) > 0);
}

#[test]
fn without_refutation_a_paused_entry_stays_dead() {
    let mut net = net(21, 2);
    net.add_fault(Fault::NoRefutation);
    net.pause(VICTIM);
    net.run(20 * SECOND);
    net.resume(VICTIM);
    net.run(RECOVERY_TIME);
    assert_ne!(disagreements(&net), []);
}

#[test]
fn without_reconnects_a_partitioned_region_does_not_rejoin() {
    let settings = Settings { reconnect_interval: 3600 * 24 * SECOND, ..Settings::default() };
    let mut net =
        Net::converged(NetOptions { entries: 21, seed: 5, settings, ..NetOptions::default() });
    net.add_fault(Fault::RegionCut(1));
    net.run(60 * SECOND);
    net.clear_faults();
    net.run(RECOVERY_TIME);
    assert_ne!(disagreements(&net), []);
}

fn suspicion_count(net: &Net) -> usize {
    net.history().iter().filter(|(_, _, change)| matches!(change, Change::Suspected(_))).count()
}
