//! Measures what membership costs each entry.

use crate::net::{Net, Shape};
use kernel::Millis;
use member::MemberState;
use serde::Serialize;

/// Time the network runs before it is measured, in milliseconds.
const SETTLE_MS: Millis = 30_000;
/// Time over which it is measured, in milliseconds.
const WINDOW_MS: Millis = 20_000;
/// Longest wait for everyone to know, in milliseconds.
const LIMIT_MS: Millis = 120_000;

/// What one entry sends and receives, on average, in one second.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Rate {
    /// Bytes of encoded messages, sent and received.
    pub bytes: f64,
    /// Bytes at the entry with the most.
    pub bytes_worst: f64,
    /// Messages, sent and received.
    pub messages: f64,
    /// Share of a core, in per cent, for the machine and the codec.
    pub core_percent: f64,
}

/// The figures of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Entries.
    pub entries: usize,
    /// While nothing happens.
    pub quiet: Rate,
    /// While a data centre dies and is replaced.
    pub wave: Rate,
    /// While all restart at once.
    pub restart: Rate,
    /// Milliseconds until all know that an entry is leaving.
    pub leaving_ms: Option<Millis>,
    /// Milliseconds until all know that a backend server is leaving.
    pub server_ms: Option<Millis>,
    /// Milliseconds until all know that an entry died.
    pub death_ms: Option<Millis>,
    /// Milliseconds until all know that a data centre died.
    pub wave_ms: Option<Millis>,
    /// Milliseconds until all know each other after all restarted at once.
    pub restart_ms: Option<Millis>,
}

/// Measures a network of this many entries.
pub fn measure(entries: usize, seed: u64) -> Figures {
    let shape = Shape { entries, seed, encoded: true, ..Shape::default() };
    let mut net = Net::settled(shape.clone());
    net.run(SETTLE_MS);
    let quiet = rate(&mut net, WINDOW_MS);

    let last = entries - 1;
    net.leave(last);
    let name = net.node(last).name.clone();
    let leaving_ms = net.run_until(LIMIT_MS, |net| {
        net.all_see(|t| t.get(&name).is_some_and(|m| m.state == MemberState::Leaving))
    });
    net.server_leaves(0, "engine-1");
    let server_ms = net.run_until(LIMIT_MS, |net| {
        net.running().into_iter().all(|i| !net.leaving_servers(i).is_empty())
    });
    let victim = entries - 2;
    net.kill(victim);
    let death_ms = until_dead(&mut net, &[victim]);
    net.run(SETTLE_MS);

    let centre = net.in_data_centre(1);
    centre.iter().for_each(|i| net.kill(*i));
    net.reset_costs();
    let begin = net.now();
    let wave_ms = until_dead(&mut net, &centre);
    centre.iter().for_each(|i| net.start(*i));
    net.run((begin + WINDOW_MS).saturating_sub(net.now()));
    let wave = rate_since(&net, net.now() - begin);

    let mut net = Net::new(shape);
    (0..entries).for_each(|i| net.start(i));
    let begin = net.now();
    let restart_ms = net.run_until(LIMIT_MS, |net| crate::disagreements(net).is_empty());
    let restart = rate_since(&net, net.now() - begin);
    Figures { entries, quiet, wave, restart, leaving_ms, server_ms, death_ms, wave_ms, restart_ms }
}

fn until_dead(net: &mut Net, victims: &[usize]) -> Option<Millis> {
    let runs: Vec<_> = victims.iter().map(|i| net.node(*i).clone()).collect();
    net.run_until(LIMIT_MS, |net| net.all_see(|t| runs.iter().all(|run| t.is_gone(run))))
}

fn rate(net: &mut Net, time: Millis) -> Rate {
    net.reset_costs();
    net.run(time);
    rate_since(net, time)
}

fn rate_since(net: &Net, time: Millis) -> Rate {
    let seconds = time.max(1) as f64 / 1000.0;
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
