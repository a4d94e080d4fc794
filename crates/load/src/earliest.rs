//! The first version of the policy, kept to compare with.

use kernel::{Millis, Name};
use route::{Pool, Requirements, Server};

/// Chooses the cheapest server predicted on time, or the soonest.
pub(crate) fn choose(pool: &Pool, wanted: &Requirements<'_>, now: Millis) -> Option<Name> {
    let fits = |server: &&Server| server.can_accept(wanted, now);
    let candidates: Vec<(&Server, f64)> =
        pool.all().filter(fits).map(|server| (server, predict_ms(server, wanted))).collect();
    let on_time: Vec<&(&Server, f64)> =
        candidates.iter().filter(|(_, ms)| *ms <= wanted.first_token_ms).collect();
    let price = |server: &Server| (server.price_per_hour * 1e6) as u64;
    let cheapest = on_time.iter().map(|(server, _)| price(server)).min();
    let chosen = match cheapest {
        Some(cheapest) => {
            let tied: Vec<_> =
                on_time.into_iter().filter(|(server, _)| price(server) == cheapest).collect();
            two_choices(&tied, wanted.random)
        }
        None => candidates.iter().min_by(|a, b| a.1.total_cmp(&b.1)),
    };
    chosen.map(|(server, _)| server.name.clone())
}

fn predict_ms(server: &Server, wanted: &Requirements<'_>) -> f64 {
    let report = &server.report;
    let prompt =
        report.waiting_prompt_tokens + server.prompt_tokens_since_report + wanted.prompt_tokens;
    let reading = 1000.0 * prompt as f64 / report.prompt_tokens_per_s.max(1.0);
    let busy = report.running + report.waiting + server.sent_since_report;
    let over = f64::from(busy.saturating_sub(report.batch.saturating_sub(1)));
    reading + over * report.step_ms * 8.0 + report.step_ms
}

fn two_choices<'a>(tied: &[&'a (&'a Server, f64)], draw: u64) -> Option<&'a (&'a Server, f64)> {
    let count = tied.len() as u64;
    let first = tied.get((draw % count.max(1)) as usize)?;
    let second = tied.get(((draw >> 32) % count) as usize)?;
    Some(if second.1 < first.1 { second } else { first })
}
