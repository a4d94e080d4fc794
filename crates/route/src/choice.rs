//! Choice of the backend server for a request.

use crate::pool::{Pool, Server};
use crate::predict::Prediction;
use conf::Priority;
use kernel::{Millis, Name};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a request requires of a backend server.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// Name of the service, or of the model if a model engine serves it.
    pub serves: &'a str,
    /// Hash of the organisation, the model and the prompt prefix; 0 if there is no prompt.
    pub prefix: u64,
    /// Number of tokens of the prompt prefix.
    pub prefix_tokens: u64,
    /// Number of prompt tokens to read, including the prefix.
    pub prompt_tokens: u64,
    /// Estimated number of tokens of the answer.
    pub answer_tokens: u64,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Target for the time between two tokens, in milliseconds.
    pub between_tokens_ms: f64,
    /// Time to the deadline, in milliseconds.
    pub left_ms: f64,
    /// Priority of the service.
    pub priority: Priority,
    /// Servers on which this request has failed already; they are not chosen.
    pub avoid: &'a [Name],
    /// Random number that selects the two servers to compare, and the jitter of a refusal.
    pub random: u64,
}

/// Reason for which a server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceReason {
    /// The server in use that is likely to have cached the prompt prefix.
    Cached,
    /// The less loaded of two random servers in use that are on time.
    InUse,
    /// The cheapest server that is on time, since none of the servers in use is.
    CheapestOnTime,
    /// The server with the earliest predicted first token, since none is predicted on time.
    Soonest,
}

/// The chosen server.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Name of the server.
    pub server: Name,
    /// Address of the server.
    pub address: SocketAddr,
    /// Predicted time to the first token, in milliseconds.
    pub predicted_ms: f64,
    /// Predicted time between two tokens, in milliseconds.
    pub between_tokens_ms: f64,
    /// Price of the server per hour.
    pub price_per_hour: f64,
    /// Whether the server is assumed to have cached the prompt prefix.
    pub cached: bool,
    /// Number of servers that were considered.
    pub candidates: usize,
    /// Reason for the choice.
    pub reason: ChoiceReason,
}

/// A server that can accept the request, with its prediction.
struct Candidate<'a> {
    server: &'a Server,
    prediction: Prediction,
    cached: bool,
    on_time: bool,
}

/// Class of servers that are considered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum ServerClass {
    /// On-demand servers, which the cloud provider cannot reclaim.
    OnDemand,
    /// All servers, including those that can be reclaimed.
    Any,
}

impl Pool {
    /// Chooses a server; returns `None` if none can accept the request.
    ///
    /// The servers in use are the cheapest ones whose batches together hold the current demand. A
    /// prompt goes to the one of them that its prefix hashes to, as long as that server is on time
    /// and not much more loaded than the others; otherwise the request goes to the less loaded of
    /// two random servers that are on time. If none in use is on time, the cheapest other server
    /// that is on time is chosen. A request with at least
    /// [`guard_tokens`](crate::Policy::guard_tokens) tokens is first tried on the servers that
    /// cannot be reclaimed, since a reclaim would lose these tokens.
    pub fn choose(&mut self, requirements: &Requirements<'_>, now: Millis) -> Option<Choice> {
        let tokens = requirements.prompt_tokens + requirements.answer_tokens;
        let guarded = self.policy.guard_tokens > 0 && tokens >= self.policy.guard_tokens;
        let on_demand = if guarded {
            self.choose_among(ServerClass::OnDemand, requirements, now)
        } else {
            None
        };
        let on_time = on_demand.filter(|choice| choice.reason != ChoiceReason::Soonest);
        on_time.or_else(|| self.choose_among(ServerClass::Any, requirements, now))
    }

    /// Chooses among the servers of one class.
    fn choose_among(
        &mut self,
        class: ServerClass,
        requirements: &Requirements<'_>,
        now: Millis,
    ) -> Option<Choice> {
        let demand = self.update_demand(class, requirements, now);
        let candidates = self.candidates(class, requirements, now);
        let (in_use, others) = candidates.split_at(self.count_in_use(&candidates, demand));
        let (chosen, reason) = self
            .choose_cached(in_use, requirements)
            .map(|chosen| (chosen, ChoiceReason::Cached))
            .or_else(|| {
                two_choices(in_use, requirements.random).map(|chosen| (chosen, ChoiceReason::InUse))
            })
            .or_else(|| cheapest(others).map(|chosen| (chosen, ChoiceReason::CheapestOnTime)))
            .or_else(|| soonest(&candidates).map(|chosen| (chosen, ChoiceReason::Soonest)))?;
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

    /// Returns the servers that can accept a request, cheapest first.
    fn candidates(
        &self,
        class: ServerClass,
        requirements: &Requirements<'_>,
        now: Millis,
    ) -> Vec<Candidate<'_>> {
        let mut all = self.candidates_at(class, requirements, now);
        // Falls back to servers in backoff: one that failed recently is better than none.
        if all.is_empty() {
            all = self.candidates_at(class, requirements, Millis::MAX);
        }
        all.sort_by(|a, b| a.server.price_per_hour.total_cmp(&b.server.price_per_hour));
        all
    }

    /// Returns the servers that can accept a request and whose backoff has ended at time `at`.
    fn candidates_at(
        &self,
        class: ServerClass,
        requirements: &Requirements<'_>,
        at: Millis,
    ) -> Vec<Candidate<'_>> {
        let is_eligible =
            |server: &&Server| server.is_in(class) && server.can_accept(requirements, at);
        self.all().filter(is_eligible).map(|server| self.candidate(server, requirements)).collect()
    }

    /// Predicts how a server would handle the request, including what its cache would save.
    fn candidate<'a>(
        &'a self,
        server: &'a Server,
        requirements: &Requirements<'_>,
    ) -> Candidate<'a> {
        let cached = self.prefixes.is_cached_at(requirements.prefix, &server.name);
        let tokens = if cached { requirements.prefix_tokens } else { 0 };
        let prediction = server.predict(requirements, tokens, self.senders());
        let on_time = prediction.first_token_ms <= requirements.first_token_ms
            && prediction.between_tokens_ms <= requirements.between_tokens_ms;
        Candidate { server, prediction, cached, on_time }
    }

    /// Returns the number of entries that are assumed to send as many requests as this one.
    fn senders(&self) -> f64 {
        if self.policy.count_others { f64::from(self.entries.max(1)) } else { 1.0 }
    }

    /// Updates the average demand with the current load and returns it.
    fn update_demand(
        &mut self,
        class: ServerClass,
        requirements: &Requirements<'_>,
        now: Millis,
    ) -> f64 {
        let serves = |server: &&Server| server.is_in(class) && server.serves(requirements.serves);
        let load = self.all().filter(serves).map(|server| server.in_flight(self.senders())).sum();
        let policy = self.policy;
        let demand = self.demand.entry((class, requirements.serves.into())).or_default();
        demand.update(load, now, &policy)
    }

    /// Returns how many of the cheapest servers hold the demand together, with each batch filled to
    /// the configured share.
    fn count_in_use(&self, candidates: &[Candidate<'_>], demand: f64) -> usize {
        if self.policy.fill <= 0.0 {
            return candidates.len();
        }
        let mut capacity = 0.0;
        let is_needed = |candidate: &Candidate<'_>| {
            let needed = capacity < demand + 1.0;
            capacity += self.policy.fill * f64::from(candidate.server.report.batch);
            needed
        };
        candidates.iter().map(is_needed).take_while(|needed| *needed).count()
    }

    /// Returns the server in use that the prompt prefix hashes to, by rendezvous hashing over those
    /// that are on time and not overloaded.
    fn choose_cached<'a>(
        &self,
        in_use: &'a [Candidate<'a>],
        requirements: &Requirements<'_>,
    ) -> Option<&'a Candidate<'a>> {
        if requirements.prefix == 0 || self.policy.load_bound <= 0.0 {
            return None;
        }
        let total: f64 = in_use.iter().map(|candidate| candidate.prediction.in_flight).sum();
        let max_in_flight =
            self.policy.load_bound * (total + 1.0) / in_use.len().max(1) as f64 + 1.0;
        let is_eligible = |candidate: &&Candidate<'_>| {
            candidate.on_time && candidate.prediction.in_flight <= max_in_flight
        };
        let weight = |candidate: &&Candidate<'_>| {
            xxh3_64_with_seed(candidate.server.name.as_bytes(), requirements.prefix)
        };
        in_use.iter().filter(is_eligible).max_by_key(weight)
    }
}

impl Server {
    /// Whether this server can be sent the request at time `now`.
    pub fn can_accept(&self, requirements: &Requirements<'_>, now: Millis) -> bool {
        !self.leaving
            && now >= self.backoff_until
            && self.serves(requirements.serves)
            && !requirements.avoid.contains(&self.name)
    }

    /// Whether this server belongs to the class.
    fn is_in(&self, class: ServerClass) -> bool {
        class == ServerClass::Any || !self.reclaimable
    }

    /// Whether this server provides the service or model.
    fn serves(&self, name: &str) -> bool {
        self.serves.iter().any(|served| served == name)
    }
}

/// Returns the less loaded of two random servers that are on time, so that entries with the same
/// load reports do not all choose the same server.
fn two_choices<'a>(in_use: &'a [Candidate<'a>], random: u64) -> Option<&'a Candidate<'a>> {
    let on_time: Vec<_> = in_use.iter().filter(|candidate| candidate.on_time).collect();
    let count = on_time.len() as u64;
    let first = on_time.get((random % count.max(1)) as usize)?;
    let second = on_time.get(((random >> 32) % count) as usize)?;
    Some(if second.prediction.in_flight < first.prediction.in_flight { second } else { first })
}

/// Returns the first server on time from a list that is sorted by price.
fn cheapest<'a>(others: &'a [Candidate<'a>]) -> Option<&'a Candidate<'a>> {
    others.iter().find(|candidate| candidate.on_time)
}

/// Returns the server with the earliest predicted first token.
fn soonest<'a>(candidates: &'a [Candidate<'a>]) -> Option<&'a Candidate<'a>> {
    let ms = |candidate: &Candidate<'_>| candidate.prediction.first_token_ms;
    candidates.iter().min_by(|a, b| ms(a).total_cmp(&ms(b)))
}
