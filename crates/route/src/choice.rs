//! Which backend server takes a request.

use crate::pool::{Pool, Server};
use kernel::{Millis, Name};
use std::net::SocketAddr;

/// What a request needs of a server.
#[derive(Clone, Debug)]
pub struct Wanted<'a> {
    /// Service, or model for an engine.
    pub serves: &'a str,
    /// Prompt tokens to read.
    pub prompt_tokens: u64,
    /// Target for the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Servers that failed this request already.
    pub avoid: &'a [Name],
    /// A random number that breaks ties.
    pub draw: u64,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The cheapest of those predicted to be on time.
    CheapestOnTime,
    /// None is predicted to be on time; this one is the soonest.
    Soonest,
}

/// The chosen server.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Name of the server.
    pub server: Name,
    /// Where it answers.
    pub address: SocketAddr,
    /// Predicted milliseconds to the first token.
    pub predicted_ms: f64,
    /// Number of servers considered.
    pub candidates: usize,
    /// Why this one.
    pub reason: Reason,
}

impl Pool {
    /// Chooses a server; `None` when none can take the request.
    pub fn choose(&self, wanted: &Wanted<'_>, now: Millis) -> Option<Choice> {
        let fits = |server: &&Server| server.can_take(wanted, now);
        let candidates: Vec<(&Server, f64)> =
            self.all().filter(fits).map(|server| (server, server.predict_ms(wanted))).collect();
        let on_time: Vec<&(&Server, f64)> =
            candidates.iter().filter(|(_, ms)| *ms <= wanted.first_token_ms).collect();
        let price = |server: &Server| (server.price_per_hour * 1e6) as u64;
        let cheapest = on_time.iter().map(|(server, _)| price(server)).min();
        let (chosen, reason) = match cheapest {
            Some(cheapest) => {
                let tied: Vec<_> =
                    on_time.into_iter().filter(|(server, _)| price(server) == cheapest).collect();
                (two_choices(&tied, wanted.draw)?, Reason::CheapestOnTime)
            }
            None => (soonest(&candidates)?, Reason::Soonest),
        };
        Some(Choice {
            server: chosen.0.name.clone(),
            address: chosen.0.address,
            predicted_ms: chosen.1,
            candidates: candidates.len(),
            reason,
        })
    }
}

impl Server {
    /// Tells whether a server may be sent the request.
    pub fn can_take(&self, wanted: &Wanted<'_>, now: Millis) -> bool {
        !self.leaving
            && now >= self.shunned_until
            && self.serves.iter().any(|name| name == wanted.serves)
            && !wanted.avoid.contains(&self.name)
    }

    /// Predicts the milliseconds to the first token from the last report and what was sent since.
    pub fn predict_ms(&self, wanted: &Wanted<'_>) -> f64 {
        let report = &self.report;
        let prompt = report.waiting_prompt_tokens + self.prompt_since + wanted.prompt_tokens;
        let reading = 1000.0 * prompt as f64 / report.prompt_tokens_per_s.max(1.0);
        let busy = report.running + report.waiting + self.sent_since;
        let over = f64::from(busy.saturating_sub(report.batch.saturating_sub(1)));
        // A request beyond the batch waits for one of the batch to end.
        let queue = over * report.step_ms * 8.0;
        reading + queue + report.step_ms
    }
}

/// Takes the better of two drawn servers, so that entries with the same picture spread.
fn two_choices<'a>(tied: &[&'a (&'a Server, f64)], draw: u64) -> Option<&'a (&'a Server, f64)> {
    let count = tied.len() as u64;
    let first = tied.get((draw % count.max(1)) as usize)?;
    let second = tied.get(((draw >> 32) % count) as usize)?;
    Some(if second.1 < first.1 { second } else { first })
}

fn soonest<'a>(candidates: &'a [(&'a Server, f64)]) -> Option<&'a (&'a Server, f64)> {
    candidates.iter().min_by(|a, b| a.1.total_cmp(&b.1))
}
