//! The HTTP interface of the engine, its batch and its faults.

use super::cache::PrefixCache;
use super::token;
use bytes::Bytes;
use futures::Stream;
use kernel::{Code, Failure};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use web::{Reply, Request, json, read_json};

/// Largest request, in bytes.
const BODY_LIMIT: usize = 4 << 20;
/// Length of an answer when the request names none.
const DEFAULT_TOKENS: u64 = 32;
/// Bytes of a prompt that make one token.
const BYTES_PER_TOKEN: usize = 4;

/// How fast and large the engine is.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time of one step of a small batch.
    pub step: Duration,
    /// Requests that fit into the batch.
    pub batch: usize,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Prompt tokens read in a second.
    pub prompt_tokens_per_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(5),
            batch: 16,
            cache_blocks: 4096,
            prompt_tokens_per_s: 20_000.0,
        }
    }
}

/// Faults that can be set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Streams that stop without their final event, after this many tokens.
    pub stop_after: Option<u64>,
    /// Streams to which `stop_after` still applies.
    pub stops: u64,
    /// Streams that carry another request's id.
    pub crossed: u64,
    /// Factor on the time of each step; 0 counts as 1.
    pub slow: f64,
}

/// Counts of the engine.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Requests taken.
    pub requests: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens read as the start of an answer that goes on.
    pub resumed_tokens: u64,
    /// Prompt tokens read.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
}

/// The model engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    slots: Arc<Semaphore>,
    running: AtomicU32,
    waiting: AtomicU32,
    cache: Mutex<PrefixCache>,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
    cancelled: Mutex<HashSet<String>>,
}

#[derive(Deserialize)]
struct Ask {
    messages: Vec<Value>,
    max_tokens: Option<u64>,
    #[serde(default)]
    request_id: String,
    #[serde(default)]
    resume_from: Vec<String>,
}

/// Runs the engine as a process.
///
/// # Errors
/// [`Code::PortInUse`] when the address cannot be listened on.
pub async fn run(address: SocketAddr, settings: Settings) -> Result<(), Failure> {
    let engine = Engine::new(settings);
    crate::start(address, move |req| engine.clone().handle(req)).await?.wait().await;
    Ok(())
}

impl Engine {
    /// Creates an engine.
    pub fn new(settings: Settings) -> Arc<Self> {
        Arc::new(Self {
            slots: Arc::new(Semaphore::new(settings.batch)),
            settings,
            running: 0.into(),
            waiting: 0.into(),
            cache: Mutex::default(),
            faults: Mutex::default(),
            stats: Mutex::default(),
            cancelled: Mutex::default(),
        })
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the counts.
    pub fn stats(&self) -> Stats {
        lock(&self.stats).clone()
    }

    /// Answers one request.
    ///
    /// # Errors
    /// The failure that the caller is told.
    pub async fn handle(self: Arc<Self>, req: Request) -> Result<Reply, Failure> {
        match req.uri().path() {
            "/fault" => {
                self.set_faults(read_json(req.into_body(), BODY_LIMIT).await?);
                Ok(json(200, &json!({})))
            }
            "/stats" => Ok(json(200, &self.stats())),
            "/v1/load" => Ok(json(200, &self.load())),
            "/v1/cancel" => {
                let body: Value = read_json(req.into_body(), BODY_LIMIT).await?;
                lock(&self.cancelled).insert(body["request_id"].as_str().unwrap_or("").to_owned());
                Ok(json(200, &json!({})))
            }
            "/v1/chat/completions" => {
                let ask: Ask = read_json(req.into_body(), BODY_LIMIT).await?;
                Ok(self.generate(ask))
            }
            path => Err(Failure::new(Code::UnknownPath, path)),
        }
    }

    fn load(&self) -> Value {
        json!({
            "running": self.running.load(Ordering::Relaxed),
            "waiting": self.waiting.load(Ordering::Relaxed),
            "waiting_prompt_tokens": 0,
            "step_ms": self.step().as_secs_f64() * 1000.0,
            "prompt_tokens_per_s": self.settings.prompt_tokens_per_s,
            "batch": self.settings.batch,
        })
    }

    fn step(&self) -> Duration {
        let slow = lock(&self.faults).slow;
        self.settings.step.mul_f64(if slow > 0.0 { slow } else { 1.0 })
    }

    fn generate(self: Arc<Self>, ask: Ask) -> Reply {
        let last =
            ask.messages.last().map(|message| message["content"].clone()).unwrap_or_default();
        let prompt = last.as_str().map_or_else(|| last.to_string(), str::to_owned);
        let whole = serde_json::to_vec(&ask.messages).unwrap_or_default();
        let (id, stop_at) = self.draw_faults(&ask.request_id);
        let stream = Generating {
            prompt,
            whole,
            id,
            cancel_id: ask.request_id,
            next: ask.resume_from.len() as u64,
            tokens: ask.max_tokens.unwrap_or(DEFAULT_TOKENS),
            stop_at,
            slot: None,
            over: false,
            engine: self,
        };
        let mut reply = Reply::new(web::stream(stream.events()));
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
        reply
    }

    fn draw_faults(&self, id: &str) -> (String, Option<u64>) {
        let mut faults = lock(&self.faults);
        let crossed = faults.crossed > 0;
        faults.crossed = faults.crossed.saturating_sub(1);
        let stop_at = faults.stop_after.filter(|_| faults.stops > 0);
        faults.stops = faults.stops.saturating_sub(1);
        (if crossed { "another-request".to_owned() } else { id.to_owned() }, stop_at)
    }

    /// Reads the prompt, as far as the cache does not hold it.
    async fn read_prompt(&self, whole: &[u8], resumed: u64) {
        let cached = lock(&self.cache).use_prompt(whole, self.settings.cache_blocks);
        let read = (whole.len() - cached).div_ceil(BYTES_PER_TOKEN) as u64 + resumed;
        {
            let mut stats = lock(&self.stats);
            stats.requests += 1;
            stats.prompt_tokens += read;
            stats.cached_tokens += (cached / BYTES_PER_TOKEN) as u64;
            stats.resumed_tokens += resumed;
        }
        let time = Duration::from_secs_f64(read as f64 / self.settings.prompt_tokens_per_s);
        tokio::time::sleep(time).await;
    }
}

/// One answer being generated.
struct Generating {
    engine: Arc<Engine>,
    prompt: String,
    whole: Vec<u8>,
    id: String,
    cancel_id: String,
    next: u64,
    tokens: u64,
    stop_at: Option<u64>,
    slot: Option<Slot>,
    over: bool,
}

/// A place in the batch.
struct Slot {
    engine: Arc<Engine>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.engine.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Generating {
    fn events(self) -> impl Stream<Item = Bytes> {
        futures::stream::unfold(self, |mut this| async move {
            if this.over {
                return None;
            }
            this.enter().await;
            let event = this.step().await?;
            Some((Bytes::from(event), this))
        })
    }

    /// Waits for a place in the batch and reads the prompt.
    async fn enter(&mut self) {
        if self.slot.is_some() {
            return;
        }
        self.engine.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = self.engine.slots.clone().acquire_owned().await;
        self.engine.waiting.fetch_sub(1, Ordering::Relaxed);
        let Ok(permit) = permit else { return };
        self.engine.running.fetch_add(1, Ordering::Relaxed);
        self.slot = Some(Slot { engine: self.engine.clone(), _permit: permit });
        self.engine.read_prompt(&self.whole, self.next).await;
    }

    /// Generates one token; `None` when the stream just stops.
    async fn step(&mut self) -> Option<String> {
        if lock(&self.engine.cancelled).remove(&self.cancel_id) || self.stop_at == Some(self.next) {
            return None;
        }
        if self.next >= self.tokens {
            self.over = true;
            self.slot = None;
            let choice = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
            return Some(format!("{}data: [DONE]\n\n", self.event(choice)));
        }
        tokio::time::sleep(self.engine.step()).await;
        lock(&self.engine.stats).tokens += 1;
        let content = token(&self.prompt, self.next);
        let choice = json!({"index": 0, "index_of_token": self.next, "delta": {"content": content}, "finish_reason": null});
        self.next += 1;
        Some(self.event(choice))
    }

    fn event(&self, choice: Value) -> String {
        let data = json!({"id": self.id, "object": "chat.completion.chunk", "choices": [choice]});
        format!("data: {data}\n\n")
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
