//! One server in virtual time: a batch, steps, and a prefix cache of limited memory.

use crate::settings::EngineSettings;
use conf::Priority;
use route::LoadReport;
use std::collections::{HashMap, VecDeque};

/// Weight of the newest step in the reported mean.
const MEAN_WEIGHT: f64 = 0.1;

/// A request at an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Number of the request.
    pub request: usize,
    /// Number of the attempt.
    pub attempt: u32,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// Tokens of the shared start.
    pub prefix_tokens: u64,
    /// Tokens to read, the shared start and a resumed answer included.
    pub read_tokens: u64,
    /// Tokens to generate.
    pub answer_tokens: u64,
    /// Priority.
    pub priority: Priority,
}

/// What a step brought for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Number of the request.
    pub request: usize,
    /// Number of the attempt.
    pub attempt: u32,
    /// Whether its answer is complete.
    pub done: bool,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    unread: u64,
}

/// One server.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: EngineSettings,
    slow: f64,
    waiting: VecDeque<Job>,
    running: Vec<Running>,
    cache: Cache,
    /// Mean of the last steps, prompt reading included, in milliseconds.
    mean_step_ms: f64,
    /// Prompt tokens read.
    pub tokens_read: u64,
    /// Prompt tokens found in the cache.
    pub tokens_cached: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            cache: Cache { capacity: settings.cache_tokens, ..Cache::default() },
            mean_step_ms: settings.step_ms,
            settings,
            slow: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            tokens_read: 0,
            tokens_cached: 0,
        }
    }

    /// Sets the factor on the time of each step.
    pub fn set_slow(&mut self, factor: f64) {
        self.slow = factor;
    }

    /// Takes a request.
    pub fn push(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Tells whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Starts a step and returns its length in microseconds, and the tokens found in the cache for
    /// each request that entered the batch.
    pub fn start_step(&mut self) -> (u64, Vec<(usize, u64)>) {
        let mut entered = Vec::new();
        while self.running.len() < self.settings.batch as usize {
            let Some(job) = self.take_waiting() else { break };
            let cached = self.cache.get(job.prefix).min(job.prefix_tokens);
            entered.push((job.request, cached));
            self.tokens_cached += cached;
            self.running.push(Running { unread: job.read_tokens - cached, job });
        }
        let read = self.read_chunk();
        self.tokens_read += read;
        let reading_ms = 1000.0 * read as f64 / self.settings.prompt_tokens_per_s;
        let ms = (self.step_ms() + reading_ms) * self.slow;
        self.mean_step_ms += MEAN_WEIGHT * (ms - self.mean_step_ms);
        ((ms * 1000.0) as u64, entered)
    }

    /// Ends a step: each request that has read its prompt gets a token.
    pub fn end_step(&mut self) -> Vec<Progress> {
        let mut all = Vec::new();
        let cache = &mut self.cache;
        self.running.retain_mut(|running| {
            if running.unread > 0 {
                return true;
            }
            cache.put(running.job.prefix, running.job.prefix_tokens);
            running.job.answer_tokens = running.job.answer_tokens.saturating_sub(1);
            let done = running.job.answer_tokens == 0;
            let (request, attempt) = (running.job.request, running.job.attempt);
            all.push(Progress { request, attempt, done });
            !done
        });
        all
    }

    /// Loses everything and returns the requests that were here.
    pub fn kill(&mut self) -> Vec<(usize, u32)> {
        let waiting = self.waiting.drain(..);
        let jobs = waiting.chain(self.running.drain(..).map(|running| running.job));
        let lost = jobs.map(|job| (job.request, job.attempt)).collect();
        self.cache.clear();
        lost
    }

    /// Gives a request up.
    pub fn cancel(&mut self, request: usize) {
        self.waiting.retain(|job| job.request != request);
        self.running.retain(|running| running.job.request != request);
    }

    /// Reports the load.
    pub fn report(&self) -> LoadReport {
        let waiting: u64 = self.waiting.iter().map(|job| job.read_tokens).sum();
        let unread: u64 = self.running.iter().map(|running| running.unread).sum();
        let step_ms = if self.is_idle() { self.step_ms() * self.slow } else { self.mean_step_ms };
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            waiting_prompt_tokens: waiting + unread,
            step_ms,
            prompt_tokens_per_s: self.settings.prompt_tokens_per_s / self.slow,
            batch: self.settings.batch,
        }
    }

    /// Reads one chunk of prompts, those of higher priority first; returns its tokens.
    fn read_chunk(&mut self) -> u64 {
        let mut left = self.settings.chunk_tokens;
        for priority in [Priority::High, Priority::Normal, Priority::Low] {
            for running in self.running.iter_mut().filter(|r| r.job.priority == priority) {
                let read = running.unread.min(left);
                running.unread -= read;
                left -= read;
            }
        }
        self.settings.chunk_tokens - left
    }

    fn step_ms(&self) -> f64 {
        self.settings.step_ms + self.settings.step_per_request_ms * self.running.len() as f64
    }

    fn take_waiting(&mut self) -> Option<Job> {
        let top = self.waiting.iter().map(|job| job.priority).max()?;
        let index = self.waiting.iter().position(|job| job.priority == top)?;
        self.waiting.remove(index)
    }
}

/// Starts of prompts, the least recently used out first.
#[derive(Clone, Debug, Default)]
struct Cache {
    held: HashMap<u64, (u64, u64)>,
    tokens: u64,
    capacity: u64,
    uses: u64,
}

impl Cache {
    fn get(&mut self, prefix: u64) -> u64 {
        self.uses += 1;
        let uses = self.uses;
        self.held.get_mut(&prefix).map_or(0, |(tokens, used)| {
            *used = uses;
            *tokens
        })
    }

    fn put(&mut self, prefix: u64, tokens: u64) {
        self.uses += 1;
        let held = self.held.entry(prefix).or_default();
        if tokens > held.0 {
            self.tokens += tokens - held.0;
            held.0 = tokens;
        }
        held.1 = self.uses;
        while self.tokens > self.capacity {
            let Some((&oldest, &(tokens, _))) = self.held.iter().min_by_key(|(_, held)| held.1)
            else {
                return;
            };
            self.held.remove(&oldest);
            self.tokens -= tokens;
        }
    }

    fn clear(&mut self) {
        self.held.clear();
        self.tokens = 0;
    }
}
