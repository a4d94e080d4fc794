//! One answer being generated.

use super::api::{Engine, lock};
use super::batch::Slot;
use super::token;
use bytes::Bytes;
use futures::Stream;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use kernel::Name;
use serde::Deserialize;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use web::Reply;

/// Length of an answer when the request names none.
const DEFAULT_TOKENS: u64 = 32;
/// Bytes of a prompt that make one token.
const BYTES_PER_TOKEN: usize = 4;

/// What an engine reads of a request.
#[derive(Deserialize)]
pub(super) struct Ask {
    #[serde(default)]
    pub(super) model: Name,
    pub(super) messages: Vec<Value>,
    pub(super) max_tokens: Option<u64>,
    #[serde(default)]
    pub(super) request_id: String,
    #[serde(default)]
    pub(super) resume_from: Vec<String>,
    #[serde(default)]
    pub(super) priority: u8,
}

/// An answer and where it stands.
pub(super) struct Generating {
    engine: Arc<Engine>,
    prompt: String,
    whole: Vec<u8>,
    id: String,
    cancel_id: String,
    priority: u8,
    next: u64,
    tokens: u64,
    stop_at: Option<u64>,
    slot: Option<Slot>,
    over: bool,
}

impl Generating {
    pub(super) fn new(engine: Arc<Engine>, ask: Ask, id: String, stop_at: Option<u64>) -> Self {
        let last =
            ask.messages.last().map(|message| message["content"].clone()).unwrap_or_default();
        Self {
            prompt: last.as_str().map_or_else(|| last.to_string(), str::to_owned),
            whole: serde_json::to_vec(&ask.messages).unwrap_or_default(),
            id,
            cancel_id: ask.request_id,
            priority: ask.priority,
            next: ask.resume_from.len() as u64,
            tokens: ask.max_tokens.unwrap_or(DEFAULT_TOKENS),
            stop_at,
            slot: None,
            over: false,
            engine,
        }
    }

    /// Streams the answer as server-sent events.
    pub(super) fn reply(self) -> Reply {
        let mut reply = Reply::new(web::stream(self.events()));
        let kind = HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(CONTENT_TYPE, kind);
        reply
    }

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
        self.slot = self.engine.batch.enter(self.priority).await;
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

impl Engine {
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
