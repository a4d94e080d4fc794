//! VM list and cloud API.

use infra::{Notice, Price, StartVm, Vm, VmState};
use kernel::{Code, Failure, Name};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
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

/// Asks to stop a VM.
#[derive(Deserialize)]
struct Stop {
    vm: Name,
}

/// Faults that can be set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Starts that are refused.
    pub refuse_starts: u64,
    /// Starts that take effect but whose answer is lost.
    pub lose_answers: u64,
}

/// VM list and cloud API.
#[derive(Debug)]
pub struct Platform {
    vms: Mutex<Vec<Vm>>,
    prices: Mutex<Vec<Price>>,
    started: Mutex<BTreeMap<Name, Vm>>,
    faults: Mutex<Faults>,
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
        Arc::new(Self {
            vms: Mutex::new(vms),
            prices: Mutex::default(),
            started: Mutex::default(),
            faults: Mutex::default(),
            lag,
            notices: watch::channel(Vec::new()).0,
        })
    }

    /// Sets the prices.
    pub fn set_prices(&self, prices: Vec<Price>) {
        *lock(&self.prices) = prices;
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
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
            ("POST", "/fault") => {
                self.set_faults(read_json(req.into_body(), BODY_LIMIT).await?);
                Ok(json(200, &json!({})))
            }
            ("GET", "/v1/prices") => Ok(json(200, &*lock(&self.prices))),
            ("POST", "/v1/prices") => {
                self.set_prices(read_json(req.into_body(), BODY_LIMIT).await?);
                Ok(json(200, &json!({})))
            }
            ("POST", "/v1/start") => {
                let wanted: StartVm = read_json(req.into_body(), BODY_LIMIT).await?;
                let vm = self.start(&wanted)?;
                if self.loses_answer() {
                    std::future::pending::<()>().await;
                }
                Ok(json(200, &vm))
            }
            ("POST", "/v1/stop") => {
                let stop: Stop = read_json(req.into_body(), BODY_LIMIT).await?;
                lock(&self.vms).retain(|vm| vm.name != stop.vm);
                Ok(json(200, &json!({})))
            }
            ("GET", "/v1/notices") => {
                Ok(json(200, &self.notices(req.uri().query().unwrap_or("")).await))
            }
            (method, path) => Err(Failure::new(Code::UnknownPath, format!("{method} {path}"))),
        }
    }

    /// Starts a VM; the same token gives the same VM.
    fn start(&self, wanted: &StartVm) -> Result<Vm, Failure> {
        let mut started = lock(&self.started);
        if let Some(vm) = started.get(&wanted.token) {
            return Ok(vm.clone());
        }
        if take_one(&mut lock(&self.faults).refuse_starts) {
            return Err(Failure::new(Code::VmRefused, wanted.data_centre.as_str()));
        }
        let number = started.len() + 1;
        let price = lock(&self.prices).iter().find(|price| is_for(price, wanted)).cloned();
        let vm = Vm {
            name: format!("vm-{number}").into(),
            // Nothing runs on it: whoever starts a process there adds it with its own address.
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: wanted.data_centre.clone(),
            class: wanted.class.clone(),
            reclaimable: wanted.reclaimable,
            price_per_hour: price.map_or(0.0, |price| price.per_hour),
            role: wanted.role,
            serves: wanted.serves.clone(),
            state: VmState::Live,
        };
        started.insert(wanted.token.clone(), vm.clone());
        lock(&self.vms).push(vm.clone());
        Ok(vm)
    }

    fn loses_answer(&self) -> bool {
        take_one(&mut lock(&self.faults).lose_answers)
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

/// Takes one from a count of faults; `false` when none is left.
fn take_one(count: &mut u64) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

fn is_for(price: &Price, wanted: &StartVm) -> bool {
    price.data_centre == wanted.data_centre
        && price.class == wanted.class
        && price.reclaimable == wanted.reclaimable
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
