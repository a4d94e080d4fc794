//! The HTTP interface of the engine, and its faults.

use super::batch::Batch;
use super::cache::PrefixCache;
use super::generate::{Ask, Generating};
use super::orders::{admit, carry_out};
use backend::{EngineState, Loaded, Order};
use kernel::{Code, Failure, Name};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use web::{Reply, Request, json, read_json};

/// Largest request, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// How fast and large the engine is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time of one step of a small batch.
    pub step: Duration,
    /// Requests that fit into the batch.
    pub batch: usize,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Prompt tokens read in a second.
    pub prompt_tokens_per_s: f64,
    /// Time to load a model.
    pub load_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Models that are loaded at the start; an engine that lists none answers for every model.
    pub models: Vec<Name>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(5),
            batch: 16,
            cache_blocks: 4096,
            prompt_tokens_per_s: 20_000.0,
            load_time: Duration::from_millis(50),
            checks_fencing: true,
            models: Vec::new(),
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
    /// Milliseconds that a load report is old at most.
    pub load_lag_ms: u64,
    /// Milliseconds until a cache event can be read.
    pub event_delay_ms: u64,
    /// Cache events that are lost at once.
    pub lose_events: usize,
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
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused for their fencing number.
    pub fenced: u64,
}

/// The model engine.
#[derive(Debug)]
pub struct Engine {
    pub(super) settings: Settings,
    pub(super) batch: Arc<Batch>,
    pub(super) cache: Mutex<PrefixCache>,
    pub(super) stats: Mutex<Stats>,
    pub(super) cancelled: Mutex<HashSet<String>>,
    orders: Mutex<EngineState>,
    reported: Mutex<Option<(Instant, Value)>>,
    faults: Mutex<Faults>,
}

/// An order as it is sent.
#[derive(Deserialize)]
struct Sent {
    fence: u64,
    #[serde(flatten)]
    order: Order,
}

/// The blocks of an export or import.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Blocks {
    blocks: Vec<u64>,
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
        let mut orders = EngineState::default();
        let loaded = |model: &Name| (model.clone(), Loaded::default());
        orders.models.extend(settings.models.iter().map(loaded));
        Arc::new(Self {
            batch: Batch::new(settings.batch),
            settings,
            cache: Mutex::default(),
            stats: Mutex::default(),
            cancelled: Mutex::default(),
            orders: Mutex::new(orders),
            reported: Mutex::default(),
            faults: Mutex::default(),
        })
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.cache).lose_events(faults.lose_events);
        *lock(&self.faults) = faults;
    }

    /// Returns the counts.
    pub fn stats(&self) -> Stats {
        lock(&self.stats).clone()
    }

    /// Returns what the engine has been told.
    pub fn orders(&self) -> EngineState {
        lock(&self.orders).clone()
    }

    /// Answers one request.
    ///
    /// # Errors
    /// The failure that the caller is told.
    pub async fn handle(self: Arc<Self>, req: Request) -> Result<Reply, Failure> {
        let query = req.uri().query().unwrap_or("").to_owned();
        match (req.method().as_str(), req.uri().path()) {
            ("POST", "/fault") => {
                self.set_faults(read_json(req.into_body(), BODY_LIMIT).await?);
                Ok(json(200, &json!({})))
            }
            ("GET", "/stats") => Ok(json(200, &self.stats())),
            ("GET", "/v1/load") => Ok(json(200, &self.load())),
            ("POST", "/v1/cancel") => {
                let body: Value = read_json(req.into_body(), BODY_LIMIT).await?;
                lock(&self.cancelled).insert(body["request_id"].as_str().unwrap_or("").to_owned());
                Ok(json(200, &json!({})))
            }
            ("POST", "/v1/chat/completions") => {
                self.generate(read_json(req.into_body(), BODY_LIMIT).await?)
            }
            ("GET", "/v1/orders") => Ok(json(200, &self.orders())),
            ("POST", "/v1/orders") => {
                self.order(read_json(req.into_body(), BODY_LIMIT).await?).await
            }
            ("GET", "/v1/cache/events") => Ok(json(200, &self.events(&query))),
            ("GET", "/v1/cache/blocks") => Ok(json(200, &lock(&self.cache).snapshot())),
            ("POST", "/v1/cache/export") => {
                let wanted: Blocks = read_json(req.into_body(), BODY_LIMIT).await?;
                let blocks = lock(&self.cache).held(&wanted.blocks);
                Ok(json(200, &Blocks { blocks }))
            }
            ("POST", "/v1/cache/import") => {
                let sent: Blocks = read_json(req.into_body(), BODY_LIMIT).await?;
                let new = lock(&self.cache).import(&sent.blocks, self.settings.cache_blocks);
                Ok(json(200, &json!({"imported": new})))
            }
            (method, path) => Err(Failure::new(Code::UnknownPath, format!("{method} {path}"))),
        }
    }

    /// Returns the load as it was reported last; a report is renewed once its lag has passed.
    fn load(&self) -> Value {
        let lag = Duration::from_millis(lock(&self.faults).load_lag_ms);
        let mut reported = lock(&self.reported);
        if let Some((at, load)) = &*reported
            && at.elapsed() < lag
        {
            return load.clone();
        }
        let (running, waiting) = self.batch.counts();
        let load = json!({
            "running": running,
            "waiting": waiting,
            "waiting_prompt_tokens": 0,
            "step_ms": self.step().as_secs_f64() * 1000.0,
            "prompt_tokens_per_s": self.settings.prompt_tokens_per_s,
            "batch": self.settings.batch,
        });
        *reported = Some((Instant::now(), load.clone()));
        load
    }

    pub(super) fn step(&self) -> Duration {
        let slow = lock(&self.faults).slow;
        self.settings.step.mul_f64(if slow > 0.0 { slow } else { 1.0 })
    }

    fn generate(self: Arc<Self>, ask: Ask) -> Result<Reply, Failure> {
        if !self.serves(&ask.model) {
            return Err(Failure::new(Code::UnknownModel, ask.model.as_str()));
        }
        let (id, stop_at) = self.draw_faults(&ask.request_id);
        Ok(Generating::new(self, ask, id, stop_at).reply())
    }

    fn serves(&self, model: &str) -> bool {
        let models = &lock(&self.orders).models;
        models.is_empty() || models.contains_key(model)
    }

    async fn order(&self, sent: Sent) -> Result<Reply, Failure> {
        let admitted = admit(&mut lock(&self.orders), sent.fence, self.settings.checks_fencing);
        if let Err(failure) = admitted {
            lock(&self.stats).fenced += 1;
            return Err(failure);
        }
        if matches!(sent.order, Order::Load { .. }) {
            tokio::time::sleep(self.settings.load_time).await;
        }
        carry_out(&mut lock(&self.orders), sent.order)?;
        lock(&self.stats).orders += 1;
        Ok(json(200, &self.orders()))
    }

    fn events(&self, query: &str) -> Value {
        let after = query.strip_prefix("after=").and_then(|text| text.parse().ok()).unwrap_or(0);
        let delay = Duration::from_millis(lock(&self.faults).event_delay_ms);
        let until = Instant::now().checked_sub(delay);
        let events = until.map(|until| lock(&self.cache).events(after, until));
        json!(events.unwrap_or_default())
    }

    fn draw_faults(&self, id: &str) -> (String, Option<u64>) {
        let mut faults = lock(&self.faults);
        let crossed = faults.crossed > 0;
        faults.crossed = faults.crossed.saturating_sub(1);
        let stop_at = faults.stop_after.filter(|_| faults.stops > 0);
        faults.stops = faults.stops.saturating_sub(1);
        (if crossed { "another-request".to_owned() } else { id.to_owned() }, stop_at)
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
