//! How soon news are known everywhere, and that their number stays bounded.

use kernel::Millis;
use member::{MemberState, Settings};
use scale::{Fault, Net, Shape, disagreements};

const SECOND: Millis = 1000;
/// Time within which all know that an entry or a backend server is leaving.
const KNOWN: Millis = 5 * SECOND;
const SIZES: [usize; 4] = [8, 50, 200, 400];
const LOSSES: [f64; 2] = [0.0, 0.1];

fn each_size_and_loss(run: impl Fn(&mut Net) -> Option<Millis>) {
    for entries in SIZES {
        for loss in LOSSES {
            let mut net = Net::settled(Shape { entries, seed: 3, ..Shape::default() });
            net.run(2 * SECOND);
            net.fault(Fault::Loss(loss));
            let took = run(&mut net);
            assert!(took.is_some(), "{entries} entries, {loss} lost");
        }
    }
}

fn all_know_server(net: &Net, server: &str) -> bool {
    net.running().into_iter().all(|i| net.leaving_servers(i).iter().any(|name| name == server))
}

#[test]
fn a_leaving_entry_is_known_everywhere_in_time() {
    each_size_and_loss(|net| {
        net.leave(5);
        let name = net.node(5).name.clone();
        net.run_until(KNOWN, |net| {
            net.all_see(|t| t.get(&name).is_some_and(|m| m.state == MemberState::Leaving))
        })
    });
}

#[test]
fn a_leaving_server_is_known_everywhere_in_time() {
    each_size_and_loss(|net| {
        net.server_leaves(2, "engine-7");
        net.run_until(KNOWN, |net| all_know_server(net, "engine-7"))
    });
}

#[test]
fn all_servers_of_a_data_centre_leaving_at_once_are_known_everywhere_in_time() {
    each_size_and_loss(|net| {
        let servers: Vec<String> = (0..86).map(|i| format!("engine-{i}")).collect();
        for (i, server) in servers.iter().enumerate() {
            net.server_leaves(i % 8, server);
        }
        net.run_until(KNOWN, |net| {
            net.running().into_iter().all(|i| net.leaving_servers(i).len() == servers.len())
        })
    });
}

#[test]
fn a_generation_is_heard_of_everywhere_in_time() {
    each_size_and_loss(|net| {
        net.set_generation(3, 9);
        net.run_until(KNOWN, |net| net.running().into_iter().all(|i| net.generation(i) == 9))
    });
}

#[test]
fn a_new_entry_is_known_everywhere_in_time() {
    each_size_and_loss(|net| {
        net.kill(7);
        net.start(7);
        let node = net.node(7).clone();
        net.run_until(KNOWN, |net| {
            net.all_see(|t| t.get(&node.name).is_some_and(|member| member.node == node))
        })
    });
}

#[test]
fn news_of_leaving_servers_are_forgotten() {
    assert!(most_remembered(Settings::default()) <= 32);
}

#[test]
fn without_expiry_news_of_leaving_servers_pile_up() {
    let settings = Settings { leaving_retention: Millis::MAX / 4, ..Settings::default() };
    assert!(most_remembered(settings) > 32);
}

#[test]
fn with_too_few_sends_a_leaving_server_is_not_known_in_time() {
    let settings = Settings { sends_per_doubling: 0, ..Settings::default() };
    let mut net = Net::settled(Shape { entries: 200, seed: 3, settings, ..Shape::default() });
    net.fault(Fault::Loss(0.1));
    net.server_leaves(2, "engine-7");
    net.run(KNOWN);
    assert!(!all_know_server(&net, "engine-7"));
}

#[test]
fn a_message_stays_bounded_however_much_is_new() {
    let mut net = Net::settled(Shape { entries: 50, seed: 4, ..Shape::default() });
    for i in 0..500 {
        net.server_leaves(i % 50, &format!("engine-{i}"));
    }
    net.run(60 * SECOND);
    let limit = Settings::default().max_sync_rows + 3 * Settings::default().max_updates_per_message;
    assert!(net.longest_message() <= limit, "{} updates", net.longest_message());
    assert_eq!(disagreements(&net), []);
}

/// One server leaves every two minutes for three hours; returns the most that an entry remembers.
fn most_remembered(settings: Settings) -> usize {
    let mut net = Net::settled(Shape { entries: 8, seed: 5, settings, ..Shape::default() });
    for i in 0..90 {
        net.server_leaves(i % 8, &format!("engine-{i}"));
        net.run(120 * SECOND);
    }
    net.running().into_iter().map(|i| net.leaving_servers(i).len()).max().unwrap_or(0)
}
