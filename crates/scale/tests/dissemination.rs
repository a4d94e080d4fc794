//! Time in which updates reach all entries, and bounds on the number of updates.

use kernel::Millis;
use member::{MemberState, Settings};
use scale::{Fault, Net, NetOptions, disagreements};

/// One second, in milliseconds.
const SECOND: Millis = 1000;
/// Time in which an update must reach all entries, in milliseconds.
const DISSEMINATION_TIME: Millis = 5 * SECOND;
/// Cluster sizes, in entries.
const CLUSTER_SIZES: [usize; 4] = [8, 50, 200, 400];
/// Probabilities of message loss.
const LOSS_RATES: [f64; 2] = [0.0, 0.1];

/// Checks for each cluster size and loss rate that `run` does not time out.
fn for_each_size_and_loss_rate(run: impl Fn(&mut Net) -> Option<Millis>) {
    for entries in CLUSTER_SIZES {
        for loss_rate in LOSS_RATES {
            let mut net = Net::converged(NetOptions { entries, seed: 3, ..NetOptions::default() });
            net.run(2 * SECOND);
            net.add_fault(Fault::Loss(loss_rate));
            let elapsed = run(&mut net);
            assert!(
                elapsed.is_some(),
                "timed out with {entries} entries and a loss rate of {loss_rate}"
            );
        }
    }
}

fn all_know_leaving_server(net: &Net, server: &str) -> bool {
    net.running().into_iter().all(|i| net.leaving_servers(i).iter().any(|name| name == server))
}

#[test]
fn all_entries_learn_of_a_leaving_entry_in_time() {
    for_each_size_and_loss_rate(|net| {
        net.leave(5);
        let name = net.node(5).name.clone();
        net.run_until(DISSEMINATION_TIME, |net| {
            net.all_tables(|t| t.get(&name).is_some_and(|m| m.state == MemberState::Leaving))
        })
    });
}

#[test]
fn all_entries_learn_of_a_leaving_server_in_time() {
    for_each_size_and_loss_rate(|net| {
        net.announce_leaving_server(2, "engine-7");
        net.run_until(DISSEMINATION_TIME, |net| all_know_leaving_server(net, "engine-7"))
    });
}

#[test]
fn all_entries_learn_of_all_servers_of_a_data_centre_leaving_at_once_in_time() {
    for_each_size_and_loss_rate(|net| {
        let servers: Vec<String> = (0..86).map(|i| format!("engine-{i}")).collect();
        for (i, server) in servers.iter().enumerate() {
            net.announce_leaving_server(i % 8, server);
        }
        net.run_until(DISSEMINATION_TIME, |net| {
            net.running().into_iter().all(|i| net.leaving_servers(i).len() == servers.len())
        })
    });
}

#[test]
fn all_entries_learn_of_a_new_generation_in_time() {
    for_each_size_and_loss_rate(|net| {
        net.set_generation(3, 9);
        net.run_until(DISSEMINATION_TIME, |net| {
            net.running().into_iter().all(|i| net.generation(i) == 9)
        })
    });
}

#[test]
fn all_entries_learn_of_a_restarted_entry_in_time() {
    for_each_size_and_loss_rate(|net| {
        net.kill(7);
        net.start(7);
        let node = net.node(7).clone();
        net.run_until(DISSEMINATION_TIME, |net| {
            net.all_tables(|t| t.get(&node.name).is_some_and(|member| member.node == node))
        })
    });
}

#[test]
fn leaving_servers_expire() {
    assert!(max_leaving_servers(Settings::default()) <= 32);
}

#[test]
fn without_expiry_leaving_servers_accumulate() {
    let settings = Settings { leaving_retention: Millis::MAX / 4, ..Settings::default() };
    assert!(max_leaving_servers(settings) > 32);
}

#[test]
fn with_too_few_sends_not_all_entries_learn_of_a_leaving_server_in_time() {
    let settings = Settings { sends_per_doubling: 0, ..Settings::default() };
    let mut net =
        Net::converged(NetOptions { entries: 200, seed: 3, settings, ..NetOptions::default() });
    net.add_fault(Fault::Loss(0.1));
    net.announce_leaving_server(2, "engine-7");
    net.run(DISSEMINATION_TIME);
    assert!(!all_know_leaving_server(&net, "engine-7"));
}

#[test]
fn the_number_of_updates_in_a_message_is_bounded() {
    let mut net = Net::converged(NetOptions { entries: 50, seed: 4, ..NetOptions::default() });
    for i in 0..500 {
        net.announce_leaving_server(i % 50, &format!("engine-{i}"));
    }
    net.run(60 * SECOND);
    let limit = Settings::default().max_sync_rows + 3 * Settings::default().max_updates_per_message;
    assert!(net.max_updates_in_message() <= limit, "{} updates", net.max_updates_in_message());
    assert_eq!(disagreements(&net), []);
}

/// Announces a leaving server every two minutes for three hours; returns the maximum number of
/// leaving servers known to an entry at the end.
fn max_leaving_servers(settings: Settings) -> usize {
    let mut net =
        Net::converged(NetOptions { entries: 8, seed: 5, settings, ..NetOptions::default() });
    for i in 0..90 {
        net.announce_leaving_server(i % 8, &format!("engine-{i}"));
        net.run(120 * SECOND);
    }
    net.running().into_iter().map(|i| net.leaving_servers(i).len()).max().unwrap_or(0)
}
