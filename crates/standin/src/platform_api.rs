//! VM list and cloud API.

use kernel::{Code, Failure, Name};
use platform::{Notice, Vm, VmState};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use web::{Reply, Request, json, read_json};

/// Largest request, in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// Asks to reclaim a VM.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Reclaim {
    /// Name of the VM.
    pub vm: Name,
    /// Milliseconds until it ends.
    pub in_ms: u64,
}

/// VM list and cloud API.
#[derive(Debug)]
pub struct Platform {
    vms: Mutex<Vec<Vm>>,
    lag: Duration,
    notices: watch::Sender<Vec<(Notice, Instant)>>,
}

/// Runs both interfaces as one process.
///
/// # Errors
/// [`Code::PortInUse`] when the address cannot be listened on.
pub async fn run(address: SocketAddr, vms: Vec<Vm>, lag: Duration) -> Result<(), Failure> {
    let platform = Platform::new(vms, lag);
    crate::start(address, move |req| platform.clone().handle(req)).await?.wait().await;
    Ok(())
}

impl Platform {
    /// Creates the platform with these VMs; the list lags by `lag`.
    pub fn new(vms: Vec<Vm>, lag: Duration) -> Arc<Self> {
        Arc::new(Self { vms: Mutex::new(vms), lag, notices: watch::channel(Vec::new()).0 })
    }

    /// Sends a reclaim notice.
    pub fn reclaim(&self, reclaim: Reclaim) {
        self.notices.send_modify(|notices| {
            let number = notices.len() as u64 + 1;
            notices.push((Notice { number, vm: reclaim.vm, in_ms: reclaim.in_ms }, Instant::now()));
        });
    }

    /// Answers one request.
    ///
    /// # Errors
    /// The failure that the caller is told.
    pub async fn handle(self: Arc<Self>, req: Request) -> Result<Reply, Failure> {
        match (req.method().as_str(), req.uri().path()) {
            ("GET", "/v1/vms") => Ok(json(200, &self.list())),
            ("POST", "/v1/vms") => {
                let vm: Vm = read_json(req.into_body(), BODY_LIMIT).await?;
                lock(&self.vms).push(vm);
                Ok(json(200, &json!({})))
            }
            ("POST", "/v1/reclaim") => {
                self.reclaim(read_json(req.into_body(), BODY_LIMIT).await?);
                Ok(json(200, &json!({})))
            }
            ("GET", "/v1/notices") => {
                Ok(json(200, &self.notices(req.uri().query().unwrap_or("")).await))
            }
            (method, path) => Err(Failure::new(Code::UnknownPath, format!("{method} {path}"))),
        }
    }

    /// Lists the VMs as they were a while ago.
    fn list(&self) -> Vec<Vm> {
        let notices = self.notices.borrow();
        let known = |vm: &Vm| {
            notices.iter().find(|(notice, at)| notice.vm == vm.name && at.elapsed() >= self.lag)
        };
        let mut vms = lock(&self.vms).clone();
        for vm in &mut vms {
            if known(vm).is_some() {
                vm.state = VmState::Leaving;
            }
        }
        let ended = |vm: &Vm| {
            known(vm).is_some_and(|(notice, at)| {
                at.elapsed() >= Duration::from_millis(notice.in_ms) + self.lag
            })
        };
        vms.retain(|vm| !ended(vm));
        vms
    }

    async fn notices(&self, query: &str) -> Vec<Notice> {
        let number = |name: &str| {
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
            pair.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
        };
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let mut changes = self.notices.subscribe();
        let news = changes.wait_for(|notices| notices.len() as u64 > after);
        // No news in time is an empty answer.
        let _ = tokio::time::timeout(wait, news).await;
        let notices = self.notices.borrow();
        notices
            .iter()
            .map(|(notice, _)| notice.clone())
            .filter(|notice| notice.number > after)
            .collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
