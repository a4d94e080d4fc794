//! A plain service that counts its runs by key.

use kernel::{Code, Failure};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use web::{Reply, Request, json, read_json, read_limited};

/// Largest request, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// Faults that can be set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Calls that run but whose answer is lost.
    pub lose_answers: u64,
    /// Milliseconds added to each call.
    pub slow_ms: u64,
    /// Calls whose answer carries another request's tag.
    pub cross_answers: u64,
}

/// The plain service.
#[derive(Debug, Default)]
pub struct Plain {
    delay: Duration,
    runs: Mutex<BTreeMap<String, u64>>,
    faults: Mutex<Faults>,
}

/// Runs the service as a process.
///
/// # Errors
/// [`Code::PortInUse`] when the address cannot be listened on.
pub async fn run(address: SocketAddr, delay: Duration) -> Result<(), Failure> {
    let plain = Plain::new(delay);
    crate::start(address, move |req| plain.clone().handle(req)).await?.wait().await;
    Ok(())
}

impl Plain {
    /// Creates the service; each call takes `delay`.
    pub fn new(delay: Duration) -> Arc<Self> {
        Arc::new(Self { delay, ..Self::default() })
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Returns how often each key ran.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        lock(&self.runs).clone()
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
            "/runs" => Ok(json(200, &self.runs())),
            _ => self.call(req).await,
        }
    }

    async fn call(&self, req: Request) -> Result<Reply, Failure> {
        let header = |name: &str| {
            req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_owned()
        };
        let (key, tag) = (header("idempotency-key"), header("x-request-id"));
        let path = req.uri().path().to_owned();
        let body = read_limited(req.into_body(), BODY_LIMIT).await?;
        let run = {
            let mut runs = lock(&self.runs);
            let run = runs.entry(key.clone()).or_default();
            *run += 1;
            *run
        };
        let (slow, lost, crossed) = self.draw_faults();
        tokio::time::sleep(self.delay + slow).await;
        if lost {
            std::future::pending::<()>().await;
        }
        let echo = String::from_utf8_lossy(&body);
        let mut reply = json(200, &json!({"path": path, "key": key, "run": run, "echo": echo}));
        let tag = if crossed { "another-request".to_owned() } else { tag };
        let value = tag.parse().map_err(|_| Failure::new(Code::MalformedHeader, "x-request-id"))?;
        reply.headers_mut().insert("x-request-id", value);
        Ok(reply)
    }

    fn draw_faults(&self) -> (Duration, bool, bool) {
        let mut faults = lock(&self.faults);
        let (lost, crossed) = (faults.lose_answers > 0, faults.cross_answers > 0);
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        faults.cross_answers = faults.cross_answers.saturating_sub(1);
        (Duration::from_millis(faults.slow_ms), lost, crossed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
