//! The choice among the servers of a service.

use crate::cache::PromptCacheIndex;
use crate::picker::Picker;
use crate::server::Server;
use kernel::{Millis, Name};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Its identity.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The prompt of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Its parts in order; the last belongs to the request alone.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
}

impl Prompt {
    /// Returns the parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// What a request needs of a server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a Name,
    /// The prompt, for an engine.
    pub prompt: Option<&'a Prompt>,
    /// Data centre of this entry.
    pub data_centre: &'a Name,
    /// Servers that this request has been sent to.
    pub tried: &'a [Name],
    /// A random number that breaks ties.
    pub random: u64,
}

/// The speed of engines, for predictions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyModel {
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds of a step of an empty batch.
    pub step_ms: f64,
    /// Milliseconds that each request of the batch adds to a step.
    pub step_ms_per_request: f64,
    /// Steps whose slowing weighs as much as waiting for the first token.
    pub weighted_steps: f64,
    /// Milliseconds that a server in another data centre has to be better by.
    pub other_data_centre_ms: f64,
    /// Milliseconds of work of a plain service.
    pub plain_service_ms: f64,
}

impl LatencyModel {
    /// Returns the time that a request takes an engine, at a usual batch, in milliseconds.
    pub fn engine_time_ms(&self, uncached_tokens: u64, answer_tokens: u64) -> f64 {
        let step_ms = self.step_ms + self.step_ms_per_request * TYPICAL_BATCH_SIZE;
        uncached_tokens as f64 / self.prefill_tokens_per_ms
            + answer_tokens as f64 * step_ms / TYPICAL_BATCH_SIZE
    }
}

/// Requests of a batch at which an engine answers well within the targets.
const TYPICAL_BATCH_SIZE: f64 = 16.0;

impl Default for LatencyModel {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 50.0,
            step_ms: 3.2,
            step_ms_per_request: 0.1,
            weighted_steps: 60.0,
            other_data_centre_ms: 4.0,
            plain_service_ms: 20.0,
        }
    }
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceReason {
    /// It is expected to be the soonest.
    Soonest,
    /// It is expected to be the soonest as it has read part of the prompt.
    Cached,
    /// Every server is set aside; this one is tried all the same.
    LastResort,
}

/// The chosen server.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Name of its run.
    pub id: Name,
    /// Where it answers.
    pub address: SocketAddr,
    /// Expected time to the answer, or its first token, in milliseconds.
    pub expected_ms: f64,
    /// Tokens of the prompt that it has to read.
    pub uncached_tokens: u64,
    /// Requests that all entries have open there.
    pub open: u32,
    /// Servers that were considered.
    pub candidates: usize,
    /// Why this one.
    pub reason: ChoiceReason,
}

/// Tokens of shared parts from which a prompt is kept at the servers that have read them.
const MIN_AFFINITY_TOKENS: u64 = 500;
/// Servers that each shared part is kept at.
const AFFINITY_SERVERS: usize = 2;

struct Candidate<'a> {
    server: &'a Server,
    expected_ms: f64,
    cost_ms: f64,
    uncached_tokens: u64,
    cached: bool,
}

impl Picker {
    /// Chooses a server; `None` when no server of the service takes new work.
    pub fn choose(&self, requirements: &Requirements<'_>, now: Millis) -> Option<Choice> {
        let untried = |server: &&Server| {
            server.info.service == *requirements.service
                && !server.info.leaving
                && !requirements.tried.contains(&server.info.id)
        };
        let all: Vec<&Server> = self.servers().filter(untried).collect();
        let outcomes = self.service_outcomes(requirements.service, now);
        let sound = |server: &&&Server| {
            now >= server.backoff_until && !server.outcomes.at(now).is_faulty(&outcomes)
        };
        let sound: Vec<&Server> = all.iter().filter(sound).copied().collect();
        let (servers, last_resort) = if sound.is_empty() { (&all, true) } else { (&sound, false) };
        let affinity = affinity_servers(servers, requirements.prompt);
        let candidates: Vec<Candidate<'_>> =
            servers.iter().map(|server| self.candidate(server, requirements, &affinity)).collect();
        let best = lowest_cost(&candidates, requirements.random)?;
        let reason = match (last_resort, best.cached) {
            (true, _) => ChoiceReason::LastResort,
            (false, true) => ChoiceReason::Cached,
            (false, false) => ChoiceReason::Soonest,
        };
        Some(Choice {
            id: best.server.info.id.clone(),
            address: best.server.info.address,
            expected_ms: best.expected_ms,
            uncached_tokens: best.uncached_tokens,
            open: best.server.load().open,
            candidates: candidates.len(),
            reason,
        })
    }

    fn candidate<'a>(
        &self,
        server: &'a Server,
        requirements: &Requirements<'_>,
        affinity: &[Name],
    ) -> Candidate<'a> {
        let model = self.latency_model();
        let load = server.load();
        let open = f64::from(load.open);
        let slots = f64::from(server.info.slots.max(1));
        let away = if server.info.data_centre == *requirements.data_centre {
            0.0
        } else {
            model.other_data_centre_ms
        };
        let Some(prompt) = requirements.prompt else {
            let queue = (open + 1.0) / slots;
            let expected_ms =
                model.plain_service_ms * queue.max(1.0) + model.plain_service_ms * open / slots;
            return Candidate {
                server,
                expected_ms,
                cost_ms: expected_ms + away,
                uncached_tokens: 0,
                cached: false,
            };
        };
        let cached_tokens =
            cached_tokens(self.prompt_cache(), server, prompt, affinity.contains(&server.info.id));
        let uncached_tokens = prompt.tokens.saturating_sub(cached_tokens);
        let step = model.step_ms + model.step_ms_per_request * (open + 1.0).min(slots);
        let over = (open + 1.0 - slots).max(0.0);
        let reading =
            (load.pending_prompt_tokens + uncached_tokens) as f64 / model.prefill_tokens_per_ms;
        let expected_ms = reading + step + over * step * model.weighted_steps / slots;
        let cost_ms = expected_ms + model.weighted_steps * model.step_ms_per_request * open + away;
        Candidate { server, expected_ms, cost_ms, uncached_tokens, cached: cached_tokens > 0 }
    }
}

/// Returns how many tokens of the start of a prompt a server is thought to hold.
fn cached_tokens(
    index: &PromptCacheIndex,
    server: &Server,
    prompt: &Prompt,
    has_affinity: bool,
) -> u64 {
    let is_cached = |part: &&PromptPart| has_affinity || index.contains(part.id, &server.info.id);
    prompt.shared_parts().iter().take_while(is_cached).map(|part| part.tokens).sum()
}

/// Ranks servers for the shared parts of a prompt, alike at every entry, and returns the first.
fn affinity_servers(servers: &[&Server], prompt: Option<&Prompt>) -> Vec<Name> {
    let shared = prompt.map(Prompt::shared_parts).unwrap_or_default();
    let tokens: u64 = shared.iter().map(|part| part.tokens).sum();
    let Some(last) = shared.last().filter(|_| tokens >= MIN_AFFINITY_TOKENS) else {
        return Vec::new();
    };
    let weight = |server: &&&Server| xxh3_64_with_seed(server.info.id.as_bytes(), last.id);
    let mut ranked: Vec<&&Server> = servers.iter().collect();
    ranked.sort_by_key(|server| std::cmp::Reverse(weight(server)));
    ranked.truncate(AFFINITY_SERVERS);
    ranked.into_iter().map(|server| server.info.id.clone()).collect()
}

/// Takes the best candidate; among equals the random decides, so that entries spread.
fn lowest_cost<'a, 'b>(candidates: &'b [Candidate<'a>], random: u64) -> Option<&'b Candidate<'a>> {
    let tie =
        |candidate: &Candidate<'_>| xxh3_64_with_seed(candidate.server.info.id.as_bytes(), random);
    candidates
        .iter()
        .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms).then_with(|| tie(a).cmp(&tie(b))))
}
