//! The weight store: a bounded number of bytes a second for all readers together.

use infra::Weights;
use kernel::{Code, Failure};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use web::{Reply, Request, json, read_json};

/// Largest request, in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// The weight store.
#[derive(Debug)]
pub struct WeightStore {
    weights: Vec<Weights>,
    bytes_per_s: u64,
    longest_queue: Duration,
    free_at: Mutex<Instant>,
}

/// Runs the store as a process.
///
/// # Errors
/// [`Code::PortInUse`] when the address cannot be listened on.
pub async fn run(address: SocketAddr, store: Arc<WeightStore>) -> Result<(), Failure> {
    crate::start(address, move |req| store.clone().handle(req)).await?.wait().await;
    Ok(())
}

impl WeightStore {
    /// Creates a store; a pull that would wait longer than `longest_queue` is refused.
    pub fn new(weights: Vec<Weights>, bytes_per_s: u64, longest_queue: Duration) -> Arc<Self> {
        let free_at = Mutex::new(Instant::now());
        Arc::new(Self { weights, bytes_per_s: bytes_per_s.max(1), longest_queue, free_at })
    }

    /// Answers one request.
    ///
    /// # Errors
    /// The failure that the caller is told.
    pub async fn handle(self: Arc<Self>, req: Request) -> Result<Reply, Failure> {
        match (req.method().as_str(), req.uri().path()) {
            ("GET", "/v1/weights") => Ok(json(200, &self.weights)),
            ("POST", "/v1/weights/pull") => {
                let wanted: Weights = read_json(req.into_body(), BODY_LIMIT).await?;
                let ready = self.pull(&wanted)?;
                Ok(json(200, &json!({"ready_in_ms": ready.as_millis() as u64})))
            }
            (method, path) => Err(Failure::new(Code::UnknownPath, format!("{method} {path}"))),
        }
    }

    /// Queues a transfer behind the earlier ones, and returns when it will be done.
    fn pull(&self, wanted: &Weights) -> Result<Duration, Failure> {
        let same = |held: &&Weights| held.model == wanted.model && held.version == wanted.version;
        let unknown = || Failure::new(Code::UnknownModel, wanted.model.as_str());
        let held = self.weights.iter().find(same).ok_or_else(unknown)?;
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = free_at.saturating_duration_since(now);
        if wait > self.longest_queue {
            let text = format!("{wait:?} of transfers wait");
            return Err(Failure::new(Code::WeightsBusy, text).retry_after(wait));
        }
        let transfer = Duration::from_secs_f64(held.bytes as f64 / self.bytes_per_s as f64);
        *free_at = now + wait + transfer;
        Ok(wait + transfer)
    }
}
