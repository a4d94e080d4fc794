//! Choice of one server among those of a service.

use crate::cache::PromptCacheIndex;
use crate::picker::Picker;
use crate::server::Server;
use kernel::{Millis, Name};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// The prompt of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Parts in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Number of tokens of the prompt.
    pub tokens: u64,
    /// Maximum number of tokens of the answer.
    pub answer_tokens: u64,
}

impl Prompt {
    /// Returns the identifiers of the shared parts for logs, in hexadecimal.
    pub fn shared_ids(&self) -> String {
        let ids: Vec<String> =
            self.shared_parts().iter().map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }

    /// Returns the parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// Requirements of a request for the choice of a server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service that the request is for.
    pub service: &'a Name,
    /// Prompt of a request to engines; `None` for a plain service.
    pub prompt: Option<&'a Prompt>,
    /// Software version that the server must have, because a server of that version began the stream
    /// that the request resumes.
    pub software_version: Option<&'a Name>,
    /// Data centre of this entry.
    pub data_centre: &'a Name,
    /// Servers that the request was already sent to.
    pub tried: &'a [Name],
    /// Servers that accept no further request from this entry now, because of their limits.
    pub exhausted: &'a [Name],
    /// Random number that breaks ties.
    pub random: u64,
}

/// Parameters of the prediction of latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyModel {
    /// Prompt tokens that an engine processes per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Duration of a decoding step with an empty batch, in milliseconds.
    pub step_ms: f64,
    /// Milliseconds that each request of the batch adds to a decoding step.
    pub step_ms_per_request: f64,
    /// Number of decoding steps whose slowdown is added to the cost of a server, with the same
    /// weight as the time to the first token.
    pub weighted_steps: f64,
    /// Penalty for a server in another data centre, in milliseconds: it is chosen only if its
    /// predicted cost is lower by more than this.
    pub other_data_centre_ms: f64,
    /// Service time of a request to a plain service, in milliseconds.
    pub plain_service_ms: f64,
}

impl LatencyModel {
    /// Returns the engine time that a request takes at a typical batch size, in milliseconds.
    pub fn engine_time_ms(&self, uncached_tokens: u64, answer_tokens: u64) -> f64 {
        let step_ms = self.step_ms + self.step_ms_per_request * TYPICAL_BATCH_SIZE;
        uncached_tokens as f64 / self.prefill_tokens_per_ms
            + answer_tokens as f64 * step_ms / TYPICAL_BATCH_SIZE
    }
}

/// Number of requests in a batch at which an engine answers well within the latency targets.
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

/// Reason why a server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceReason {
    /// The server has the lowest predicted cost.
    Soonest,
    /// The server has the lowest predicted cost, and part of the prompt is cached there.
    Cached,
    /// Every eligible server is faulty or in backoff, so the one with the lowest predicted cost is
    /// tried.
    LastResort,
}

/// The chosen server.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Name of the server instance.
    pub id: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Version of the server's software.
    pub software_version: Name,
    /// Predicted time to the answer or its first token, in milliseconds.
    pub expected_ms: f64,
    /// Prompt tokens that the server has to process, because neither it nor the server to copy from
    /// has them cached.
    pub uncached_tokens: u64,
    /// Address of another server that is expected to have shared parts of the prompt cached. The
    /// chosen server copies from there what it lacks.
    pub copy_from: Option<SocketAddr>,
    /// Number of requests that all entries have open at the server.
    pub open: u32,
    /// Number of servers that were considered.
    pub candidates: usize,
    /// Whether the request could be sent to another server as well, now or once that one has room or wants requests again.
    pub has_alternative: bool,
    /// Reason for the choice.
    pub reason: ChoiceReason,
}

/// Minimum number of tokens in the shared parts of a prompt that has affinity servers.
const MIN_AFFINITY_TOKENS: u64 = 64;
/// Number of affinity servers of a prompt in each software version: the primary, and the one to copy
/// from if the primary is new.
const AFFINITY_SERVERS: usize = 2;
/// Number of servers besides the affinity servers whose costs are compared.
const SAMPLE_SIZE: usize = 4;
/// Time to copy cached tokens from another server, as a fraction of the time to process them.
const COPY_FRACTION: f64 = 0.1;

/// Cost of copied tokens, for the network that they occupy, as a fraction of the time to process
/// them. A server that has to copy is chosen only if the primary is busier by this much.
const COPY_COST_FRACTION: f64 = 1.0;

/// A server with its predictions for one request.
struct Candidate<'a> {
    server: &'a Server,
    expected_ms: f64,
    /// Predicted time, plus the slowdown of the requests in the batch and the penalty for another
    /// data centre.
    cost_ms: f64,
    uncached_tokens: u64,
    cached: bool,
}

impl Picker {
    /// Chooses a server; returns `None` if no server of the service accepts new requests.
    pub fn choose(&self, requirements: &Requirements<'_>, now: Millis) -> Option<Choice> {
        let is_possible = |server: &&Server| {
            server.info.service == *requirements.service
                && !server.is_leaving()
                && requirements
                    .software_version
                    .is_none_or(|version| *version == server.info.software_version)
                && !requirements.tried.contains(&server.info.id)
        };
        let possible: Vec<&Server> = self.servers().filter(is_possible).collect();
        let is_eligible = |server: &&&Server| {
            !server.is_paused(now) && !requirements.exhausted.contains(&server.info.id)
        };
        let eligible: Vec<&Server> = possible.iter().filter(is_eligible).copied().collect();
        let outcomes = self.service_outcomes(requirements.service, now);
        // Servers that have ended have no load, so that one request would try them one after another.
        let met_doubt = requirements.tried.iter().any(|id| self.is_in_doubt(id));
        let is_healthy = |server: &&&Server| {
            now >= server.backoff_until
                && !(met_doubt && server.is_in_doubt())
                && !server.outcomes.at(now).is_faulty(&outcomes)
        };
        let healthy: Vec<&Server> = eligible.iter().filter(is_healthy).copied().collect();
        let (servers, last_resort) =
            if healthy.is_empty() { (&eligible, true) } else { (&healthy, false) };
        let affinity = self.affinity_servers(requirements, now);
        let candidates: Vec<Candidate<'_>> = sample(servers, &affinity, requirements.random)
            .map(|server| self.candidate(server, requirements, &affinity))
            .collect();
        let best = lowest_cost(&candidates, requirements.random)?;
        let reason = match (last_resort, best.cached) {
            (true, _) => ChoiceReason::LastResort,
            (false, true) => ChoiceReason::Cached,
            (false, false) => ChoiceReason::Soonest,
        };
        Some(Choice {
            id: best.server.info.id.clone(),
            address: best.server.info.address,
            software_version: best.server.info.software_version.clone(),
            expected_ms: best.expected_ms,
            uncached_tokens: best.uncached_tokens,
            copy_from: of_same_version(&affinity, best.server)
                .find(|other| other.info.id != best.server.info.id && !other.is_paused(now))
                .map(|other| other.info.address),
            open: best.server.load().open,
            candidates: candidates.len(),
            has_alternative: possible.len() > 1,
            reason,
        })
    }

    /// Returns the two servers of each software version that most likely have the shared parts of a
    /// prompt cached, by rendezvous hashing of its last shared part. The first one of a version is its
    /// primary. What one version has cached is of no use to another.
    ///
    /// All entries choose the same ones if they know the same servers. Leaving servers count too:
    /// while they still run, their successors copy the cached parts from them.
    fn affinity_servers(&self, requirements: &Requirements<'_>, now: Millis) -> Vec<&Server> {
        let Some(prompt) = requirements.prompt else { return Vec::new() };
        let Some(last) = prompt.shared_parts().last() else { return Vec::new() };
        if shared_tokens(prompt) < MIN_AFFINITY_TOKENS {
            return Vec::new();
        }
        let is_reachable = |server: &&Server| {
            server.info.service == *requirements.service && now >= server.backoff_until
        };
        let weight = |server: &Server| xxh3_64_with_seed(server.info.id.as_bytes(), last.id);
        // The servers of each version so far with the highest weights, the highest first.
        let mut highest: BTreeMap<&Name, Vec<(u64, &Server)>> = BTreeMap::new();
        for server in self.servers().filter(is_reachable) {
            let weight = weight(server);
            let of_version = highest.entry(&server.info.software_version).or_default();
            let index = of_version.partition_point(|(other, _)| *other >= weight);
            if index < AFFINITY_SERVERS {
                of_version.insert(index, (weight, server));
                of_version.truncate(AFFINITY_SERVERS);
            }
        }
        highest.into_values().flatten().map(|(_, server)| server).collect()
    }

    /// Predicts the latency and the cost of a request at a server.
    fn candidate<'a>(
        &self,
        server: &'a Server,
        requirements: &Requirements<'_>,
        affinity: &[&Server],
    ) -> Candidate<'a> {
        let model = self.latency_model();
        let load = server.load();
        let open = f64::from(load.open);
        let slots = f64::from(server.info.slots.max(1));
        let penalty_ms = if server.info.data_centre == *requirements.data_centre {
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
                cost_ms: expected_ms + penalty_ms,
                uncached_tokens: 0,
                cached: false,
            };
        };
        let primary = of_same_version(affinity, server).next();
        let is_primary = primary.is_some_and(|primary| primary.info.id == server.info.id);
        let cached_tokens = cached_tokens(self.prompt_cache(), server, prompt, is_primary);
        let copied_tokens =
            if primary.is_some() { shared_tokens(prompt) } else { 0 }.saturating_sub(cached_tokens);
        let uncached_tokens = prompt.tokens.saturating_sub(cached_tokens + copied_tokens);
        let step_ms = model.step_ms + model.step_ms_per_request * (open + 1.0).min(slots);
        let queued = (open + 1.0 - slots).max(0.0);
        let prompt_tokens = (load.pending_prompt_tokens + uncached_tokens) as f64
            + COPY_FRACTION * copied_tokens as f64;
        let prefill_ms = prompt_tokens / model.prefill_tokens_per_ms;
        let expected_ms = prefill_ms + step_ms + queued * step_ms * model.weighted_steps / slots;
        let copy_cost_ms = COPY_COST_FRACTION * copied_tokens as f64 / model.prefill_tokens_per_ms;
        let cost_ms = expected_ms
            + model.weighted_steps * model.step_ms_per_request * open
            + copy_cost_ms
            + penalty_ms;
        Candidate { server, expected_ms, cost_ms, uncached_tokens, cached: cached_tokens > 0 }
    }
}

/// Returns the affinity servers that have the software version of a server, the primary first.
fn of_same_version<'a>(
    affinity: &[&'a Server],
    server: &Server,
) -> impl Iterator<Item = &'a Server> {
    let version = &server.info.software_version;
    affinity.iter().copied().filter(move |other| other.info.software_version == *version)
}

/// Returns the number of tokens at the start of a prompt that a server is expected to have cached.
///
/// The primary affinity server is expected to have cached all shared parts.
fn cached_tokens(
    index: &PromptCacheIndex,
    server: &Server,
    prompt: &Prompt,
    is_primary: bool,
) -> u64 {
    let is_cached = |part: &&PromptPart| is_primary || index.contains(part.id, &server.info.id);
    prompt.shared_parts().iter().take_while(is_cached).map(|part| part.tokens).sum()
}

fn shared_tokens(prompt: &Prompt) -> u64 {
    prompt.shared_parts().iter().map(|part| part.tokens).sum()
}

/// Returns the servers whose costs are compared: the affinity servers and a random sample.
///
/// The loads of the other entries are known with a delay. If all entries compared all servers, they
/// would all send to the one that was the least loaded a moment ago, until its slots are full.
fn sample<'a>(
    servers: &[&'a Server],
    affinity: &[&Server],
    random: u64,
) -> impl Iterator<Item = &'a Server> {
    let has_affinity =
        |server: &&Server| affinity.iter().any(|other| other.info.id == server.info.id);
    let (preferred, others): (Vec<&Server>, Vec<&Server>) =
        servers.iter().copied().partition(has_affinity);
    let mut rng = SmallRng::seed_from_u64(random);
    preferred.into_iter().chain(others.into_iter().sample(&mut rng, SAMPLE_SIZE))
}

/// Returns the candidate with the lowest cost.
///
/// Ties are broken by the random number, so that the requests of several entries are spread.
fn lowest_cost<'a, 'b>(candidates: &'b [Candidate<'a>], random: u64) -> Option<&'b Candidate<'a>> {
    let tie_break =
        |candidate: &Candidate<'_>| xxh3_64_with_seed(candidate.server.info.id.as_bytes(), random);
    candidates.iter().min_by(|a, b| {
        a.cost_ms.total_cmp(&b.cost_ms).then_with(|| tie_break(a).cmp(&tie_break(b)))
    })
}
