//! Measures the cost of membership per entry.

use crate::net::{Net, NetOptions};
use kernel::Millis;
use member::MemberState;
use serde::Serialize;

/// Warm-up time before a measurement, in milliseconds.
const WARM_UP_MS: Millis = 30_000;
/// Duration of a measurement, in milliseconds.
const MEASUREMENT_MS: Millis = 20_000;
/// Maximum time until all entries know of a change, in milliseconds.
const MAX_WAIT_MS: Millis = 120_000;

/// Average cost per entry and second.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Rate {
    /// Bytes of encoded messages, sent and received.
    pub bytes: f64,
    /// Bytes of the entry with the most traffic.
    pub bytes_worst: f64,
    /// Messages, sent and received.
    pub messages: f64,
    /// CPU usage of the state machine and the codec, in per cent of a core.
    pub core_percent: f64,
}

/// Results for one cluster size.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Number of entries.
    pub entries: usize,
    /// Cost without membership changes.
    pub quiet: Rate,
    /// Cost while all entries of a data centre die and are replaced.
    pub wave: Rate,
    /// Cost while all entries restart simultaneously.
    pub restart: Rate,
    /// Milliseconds until all entries know that an entry is leaving.
    pub leaving_ms: Option<Millis>,
    /// Milliseconds until all entries know that a backend server is leaving.
    pub server_ms: Option<Millis>,
    /// Milliseconds until all entries know that an entry died.
    pub death_ms: Option<Millis>,
    /// Milliseconds until all entries know that all entries of a data centre died.
    pub wave_ms: Option<Millis>,
    /// Milliseconds until all entries know each other after a simultaneous restart.
    pub restart_ms: Option<Millis>,
}

/// Measures a network with this number of entries.
pub fn measure(entries: usize, seed: u64) -> Figures {
    let options = NetOptions { entries, seed, encoded: true, ..NetOptions::default() };
    let mut net = Net::converged(options.clone());
    net.run(WARM_UP_MS);
    let quiet = rate(&mut net, MEASUREMENT_MS);

    let leaver = entries - 1;
    net.leave(leaver);
    let name = net.node(leaver).name.clone();
    let leaving_ms = net.run_until(MAX_WAIT_MS, |net| {
        net.all_tables(|t| t.get(&name).is_some_and(|m| m.state == MemberState::Leaving))
    });
    net.announce_leaving_server(0, "engine-1");
    let server_ms = net.run_until(MAX_WAIT_MS, |net| {
        net.running().into_iter().all(|i| !net.leaving_servers(i).is_empty())
    });
    let victim = entries - 2;
    net.kill(victim);
    let death_ms = until_dead(&mut net, &[victim]);
    net.run(WARM_UP_MS);

    let data_centre = net.in_data_centre(1);
    data_centre.iter().for_each(|i| net.kill(*i));
    net.reset_costs();
    let start = net.now();
    let wave_ms = until_dead(&mut net, &data_centre);
    data_centre.iter().for_each(|i| net.start(*i));
    net.run((start + MEASUREMENT_MS).saturating_sub(net.now()));
    let wave = rate_since(&net, net.now() - start);

    let mut net = Net::new(options);
    (0..entries).for_each(|i| net.start(i));
    let start = net.now();
    let restart_ms = net.run_until(MAX_WAIT_MS, |net| crate::disagreements(net).is_empty());
    let restart = rate_since(&net, net.now() - start);
    Figures { entries, quiet, wave, restart, leaving_ms, server_ms, death_ms, wave_ms, restart_ms }
}

fn until_dead(net: &mut Net, victims: &[usize]) -> Option<Millis> {
    let nodes: Vec<_> = victims.iter().map(|i| net.node(*i).clone()).collect();
    net.run_until(MAX_WAIT_MS, |net| net.all_tables(|t| nodes.iter().all(|node| t.is_gone(node))))
}

fn rate(net: &mut Net, duration_ms: Millis) -> Rate {
    net.reset_costs();
    net.run(duration_ms);
    rate_since(net, duration_ms)
}

fn rate_since(net: &Net, duration_ms: Millis) -> Rate {
    let seconds = duration_ms.max(1) as f64 / 1000.0;
    let costs: Vec<_> = net.running().into_iter().map(|i| net.cost(i)).collect();
    let mean = |sum: f64| sum / costs.len() as f64 / seconds;
    let bytes = |cost: &crate::net::Cost| (cost.sent_bytes + cost.received_bytes) as f64;
    let messages = costs.iter().map(|cost| (cost.sent + cost.received) as f64).sum();
    let busy = costs.iter().map(|cost| cost.busy.as_secs_f64()).sum();
    Rate {
        bytes: mean(costs.iter().map(bytes).sum()),
        bytes_worst: costs.iter().map(bytes).fold(0.0, f64::max) / seconds,
        messages: mean(messages),
        core_percent: mean(busy) * 100.0,
    }
}
