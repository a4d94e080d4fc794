//! Which backend server takes a request.

use crate::pool::{Pool, Server};
use crate::predict::Prediction;
use conf::Priority;
use kernel::{Millis, Name};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a request needs of a server.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// Service, or model for an engine.
    pub serves: &'a str,
    /// Hash of organisation, model and the start of the prompt; 0 for none.
    pub prefix: u64,
    /// Tokens of that start.
    pub prefix_tokens: u64,
    /// Prompt tokens to read, the start included.
    pub prompt_tokens: u64,
    /// Tokens of the answer, as far as can be told.
    pub answer_tokens: u64,
    /// Target for the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Target for the time between two tokens, in milliseconds.
    pub between_tokens_ms: f64,
    /// Milliseconds to the deadline.
    pub left_ms: f64,
    /// Priority.
    pub priority: Priority,
    /// Servers that failed this request already.
    pub avoid: &'a [Name],
    /// A random number that breaks ties.
    pub random: u64,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Of the servers in use, the one that is likely to hold the start of the prompt.
    Cached,
    /// Of the servers in use, the less busy one of two.
    InUse,
    /// Those in use would be late; this is the cheapest of the others.
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
    /// Predicted milliseconds between two tokens.
    pub between_tokens_ms: f64,
    /// Price of an hour of the server.
    pub price_per_hour: f64,
    /// Whether the start of the prompt is thought to be cached there.
    pub cached: bool,
    /// Number of servers considered.
    pub candidates: usize,
    /// Why this one.
    pub reason: Reason,
}

/// A server that may take the request.
struct Candidate<'a> {
    server: &'a Server,
    prediction: Prediction,
    cached: bool,
    on_time: bool,
}

/// Which servers are considered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Class {
    /// Those that are not reclaimed.
    Kept,
    /// All.
    Any,
}

impl Pool {
    /// Chooses a server; `None` when none can take the request.
    ///
    /// The cheapest servers whose batches hold the present demand are in use. A prompt goes to the
    /// one of them that its start hashes to, as long as that one is on time and not much busier
    /// than the others. When none in use is on time, the cheapest other one is taken. A request
    /// with many tokens to lose does so among the servers that are not reclaimed first.
    pub fn choose(&mut self, requirements: &Requirements<'_>, now: Millis) -> Option<Choice> {
        let tokens = requirements.prompt_tokens + requirements.answer_tokens;
        let guarded = self.policy.guard_tokens > 0 && tokens >= self.policy.guard_tokens;
        let kept = if guarded { self.choose_among(Class::Kept, requirements, now) } else { None };
        let on_time = kept.filter(|choice| choice.reason != Reason::Soonest);
        on_time.or_else(|| self.choose_among(Class::Any, requirements, now))
    }

    fn choose_among(
        &mut self,
        class: Class,
        requirements: &Requirements<'_>,
        now: Millis,
    ) -> Option<Choice> {
        let demand = self.update_demand(class, requirements, now);
        let candidates = self.candidates(class, requirements, now);
        let (in_use, others) = candidates.split_at(self.count_in_use(&candidates, demand));
        let (chosen, reason) = self
            .choose_cached(in_use, requirements)
            .map(|chosen| (chosen, Reason::Cached))
            .or_else(|| {
                two_choices(in_use, requirements.random).map(|chosen| (chosen, Reason::InUse))
            })
            .or_else(|| cheapest(others).map(|chosen| (chosen, Reason::CheapestOnTime)))
            .or_else(|| soonest(&candidates).map(|chosen| (chosen, Reason::Soonest)))?;
        Some(Choice {
            server: chosen.server.name.clone(),
            address: chosen.server.address,
            predicted_ms: chosen.prediction.first_token_ms,
            between_tokens_ms: chosen.prediction.between_tokens_ms,
            price_per_hour: chosen.server.price_per_hour,
            cached: chosen.cached,
            candidates: candidates.len(),
            reason,
        })
    }

    /// Lists the servers that can take a request, the cheapest first.
    fn candidates(
        &self,
        class: Class,
        requirements: &Requirements<'_>,
        now: Millis,
    ) -> Vec<Candidate<'_>> {
        let mut all = self.candidates_at(class, requirements, now);
        // A server that failed lately is better than none.
        if all.is_empty() {
            all = self.candidates_at(class, requirements, Millis::MAX);
        }
        all.sort_by(|a, b| a.server.price_per_hour.total_cmp(&b.server.price_per_hour));
        all
    }

    /// Lists the servers that can take a request once their pause is over at this time.
    fn candidates_at(
        &self,
        class: Class,
        requirements: &Requirements<'_>,
        at: Millis,
    ) -> Vec<Candidate<'_>> {
        let fits = |server: &&Server| server.is_in(class) && server.can_accept(requirements, at);
        self.all().filter(fits).map(|server| self.candidate(server, requirements)).collect()
    }

    fn candidate<'a>(
        &'a self,
        server: &'a Server,
        requirements: &Requirements<'_>,
    ) -> Candidate<'a> {
        let cached = self.prefixes.is_at(requirements.prefix, &server.name);
        let tokens = if cached { requirements.prefix_tokens } else { 0 };
        let prediction = server.predict(requirements, tokens, self.senders());
        let on_time = prediction.first_token_ms <= requirements.first_token_ms
            && prediction.between_tokens_ms <= requirements.between_tokens_ms;
        Candidate { server, prediction, cached, on_time }
    }

    /// Returns how many entries are taken to send as much as this one.
    fn senders(&self) -> f64 {
        if self.policy.count_others { f64::from(self.entries.max(1)) } else { 1.0 }
    }

    /// Takes the present load in and returns the demand.
    fn update_demand(&mut self, class: Class, requirements: &Requirements<'_>, now: Millis) -> f64 {
        let serves = |server: &&Server| server.is_in(class) && server.serves(requirements.serves);
        let load = self.all().filter(serves).map(|server| server.in_flight(self.senders())).sum();
        let policy = self.policy;
        let demand = self.demand.entry((class, requirements.serves.into())).or_default();
        demand.update(load, now, &policy)
    }

    /// Counts the cheapest servers whose batches, filled to the set share, hold the demand.
    fn count_in_use(&self, candidates: &[Candidate<'_>], demand: f64) -> usize {
        if self.policy.fill <= 0.0 {
            return candidates.len();
        }
        let mut room = 0.0;
        let short = |candidate: &Candidate<'_>| {
            let is_short = room < demand + 1.0;
            room += self.policy.fill * f64::from(candidate.server.report.batch);
            is_short
        };
        candidates.iter().map(short).take_while(|is_short| *is_short).count()
    }

    /// Finds the server that the start of the prompt hashes to, if it is not too busy.
    fn choose_cached<'a>(
        &self,
        in_use: &'a [Candidate<'a>],
        requirements: &Requirements<'_>,
    ) -> Option<&'a Candidate<'a>> {
        if requirements.prefix == 0 || self.policy.load_bound <= 0.0 {
            return None;
        }
        let in_flight: f64 = in_use.iter().map(|candidate| candidate.prediction.in_flight).sum();
        let bound = self.policy.load_bound * (in_flight + 1.0) / in_use.len().max(1) as f64 + 1.0;
        let fits = |candidate: &&Candidate<'_>| {
            candidate.on_time && candidate.prediction.in_flight <= bound
        };
        let weight = |candidate: &&Candidate<'_>| {
            xxh3_64_with_seed(candidate.server.name.as_bytes(), requirements.prefix)
        };
        in_use.iter().filter(fits).max_by_key(weight)
    }
}

impl Server {
    /// Tells whether a server may be sent the request.
    pub fn can_accept(&self, requirements: &Requirements<'_>, now: Millis) -> bool {
        !self.leaving
            && now >= self.backoff_until
            && self.serves(requirements.serves)
            && !requirements.avoid.contains(&self.name)
    }

    fn is_in(&self, class: Class) -> bool {
        class == Class::Any || !self.reclaimable
    }

    fn serves(&self, name: &str) -> bool {
        self.serves.iter().any(|served| served == name)
    }
}

/// Takes the less busy of two drawn servers, so that entries with the same picture spread.
fn two_choices<'a>(in_use: &'a [Candidate<'a>], random: u64) -> Option<&'a Candidate<'a>> {
    let on_time: Vec<_> = in_use.iter().filter(|candidate| candidate.on_time).collect();
    let count = on_time.len() as u64;
    let first = on_time.get((random % count.max(1)) as usize)?;
    let second = on_time.get(((random >> 32) % count) as usize)?;
    Some(if second.prediction.in_flight < first.prediction.in_flight { second } else { first })
}

/// Takes the first on time of servers in the order of price.
fn cheapest<'a>(others: &'a [Candidate<'a>]) -> Option<&'a Candidate<'a>> {
    others.iter().find(|candidate| candidate.on_time)
}

fn soonest<'a>(candidates: &'a [Candidate<'a>]) -> Option<&'a Candidate<'a>> {
    let ms = |candidate: &Candidate<'_>| candidate.prediction.first_token_ms;
    candidates.iter().min_by(|a, b| ms(a).total_cmp(&ms(b)))
}
