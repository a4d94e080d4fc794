//! The HTTP interface and the faults.

use super::store::{Item, Store};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::StreamExt;
use kernel::{Code, Failure};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use web::{Reply, Request, json, read_json};

/// Largest request, in bytes.
const BODY_LIMIT: usize = 4 << 20;
/// Time between two looks at leases.
const EXPIRY: Duration = Duration::from_millis(50);

/// Faults that can be set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Nothing is answered, and nothing takes effect.
    pub outage: bool,
    /// Milliseconds before each answer.
    pub slow_ms: u64,
    /// Writes that take effect but whose answer is lost.
    pub lose_answers: u64,
}

/// Counts of calls.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Reads, renewals among them.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Calls during an outage.
    pub refused: u64,
}

/// The key-value service.
#[derive(Debug)]
pub struct Kv {
    store: Mutex<Store>,
    changed: watch::Sender<i64>,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
}

/// Runs the service as a process.
///
/// # Errors
/// [`Code::PortInUse`] when the address cannot be listened on.
pub async fn run(address: SocketAddr) -> Result<(), Failure> {
    let kv = Kv::new();
    crate::start(address, move |req| kv.clone().handle(req)).await?.wait().await;
    Ok(())
}

impl Kv {
    /// Creates an empty service.
    pub fn new() -> Arc<Self> {
        let kv = Arc::new(Self {
            store: Mutex::default(),
            changed: watch::channel(0).0,
            faults: Mutex::default(),
            stats: Mutex::default(),
        });
        let expiring = Arc::downgrade(&kv);
        tokio::spawn(async move {
            while let Some(kv) = expiring.upgrade() {
                kv.change(Store::expire);
                drop(kv);
                tokio::time::sleep(EXPIRY).await;
            }
        });
        kv
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
        let path = req.uri().path().to_owned();
        match path.as_str() {
            "/fault" => {
                self.set_faults(read_json(req.into_body(), BODY_LIMIT).await?);
                return Ok(json(200, &json!({})));
            }
            "/stats" => return Ok(json(200, &self.stats())),
            _ => {}
        }
        let body: Value = read_json(req.into_body(), BODY_LIMIT).await?;
        self.suffer().await;
        match path.as_str() {
            "/v3/kv/range" => Ok(json(200, &self.range(&body))),
            "/v3/kv/txn" => self.txn(&body).await,
            "/v3/kv/put" => self.put(&body).await,
            "/v3/lease/grant" => self.grant(&body).await,
            "/v3/lease/keepalive" => Ok(json(200, &self.renew(&body))),
            "/v3/watch" => Ok(self.watch(&body)),
            _ => Err(Failure::new(Code::UnknownPath, path)),
        }
    }

    /// Waits as the faults say; an outage never answers.
    async fn suffer(&self) {
        let faults = lock(&self.faults).clone();
        if faults.outage {
            lock(&self.stats).refused += 1;
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }

    /// Loses the answer of a write if a fault says so.
    async fn answer(&self, value: Value) -> Result<Reply, Failure> {
        lock(&self.stats).writes += 1;
        let lost = {
            let mut faults = lock(&self.faults);
            let lost = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            lost
        };
        if lost {
            std::future::pending::<()>().await;
        }
        Ok(json(200, &value))
    }

    fn range(&self, body: &Value) -> Value {
        lock(&self.stats).reads += 1;
        let store = lock(&self.store);
        range(&store, body)
    }

    async fn txn(&self, body: &Value) -> Result<Reply, Failure> {
        let value = self.change(|store| {
            let holds = |compare: &Value| compare_holds(store, compare);
            let succeeded = list(&body["compare"]).iter().all(holds);
            let ops = if succeeded { &body["success"] } else { &body["failure"] };
            let responses: Vec<Value> = list(ops).iter().map(|op| run_op(store, op)).collect();
            json!({"header": header(store), "succeeded": succeeded, "responses": responses})
        });
        self.answer(value).await
    }

    async fn put(&self, body: &Value) -> Result<Reply, Failure> {
        let value = self.change(|store| {
            run_op(store, &json!({"request_put": body}));
            json!({"header": header(store)})
        });
        self.answer(value).await
    }

    async fn grant(&self, body: &Value) -> Result<Reply, Failure> {
        let seconds = number(&body["TTL"]).max(1) as u64;
        let id = lock(&self.store).grant(seconds);
        self.answer(json!({"ID": id.to_string(), "TTL": seconds.to_string()})).await
    }

    fn renew(&self, body: &Value) -> Value {
        lock(&self.stats).reads += 1;
        let id = number(&body["ID"]);
        let ttl = self.change(|store| store.renew(id));
        json!({"result": {"ID": id.to_string(), "TTL": ttl.to_string()}})
    }

    /// Streams the changes of a key or of a range of keys.
    fn watch(self: &Arc<Self>, body: &Value) -> Reply {
        lock(&self.stats).watches += 1;
        let create = body["create_request"].clone();
        let after = number(&create["start_revision"]) - 1;
        let changed = self.changed.subscribe();
        let created = Bytes::from(format!("{}\n", json!({"result": {"created": true}})));
        let state = (self.clone(), create, after, changed);
        let changes =
            futures::stream::unfold(state, |(kv, create, after, mut changed)| async move {
                loop {
                    let news = kv.news(&create, after);
                    if let Some(last) = news.iter().map(|(_, item)| item.modified).max() {
                        let events: Vec<Value> = news
                            .iter()
                            .map(|(key, item)| json!({"type": "PUT", "kv": key_value(key, item)}))
                            .collect();
                        let line = format!("{}\n", json!({"result": {"events": events}}));
                        return Some((Bytes::from(line), (kv, create, last, changed)));
                    }
                    changed.changed().await.ok()?;
                }
            });
        Reply::new(web::stream(futures::stream::iter([created]).chain(changes)))
    }

    fn news(&self, create: &Value, after: i64) -> Vec<(Vec<u8>, Item)> {
        if lock(&self.faults).outage {
            return Vec::new();
        }
        let store = lock(&self.store);
        let mut items = store.range(&bytes(&create["key"]), &bytes(&create["range_end"]));
        items.retain(|(_, item)| item.modified > after);
        items
    }

    fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.store);
        let before = store.revision;
        let result = change(&mut store);
        let revision = store.revision;
        drop(store);
        if revision != before {
            self.changed.send_replace(revision);
        }
        result
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn header(store: &Store) -> Value {
    json!({"revision": store.revision.to_string()})
}

fn compare_holds(store: &Store, compare: &Value) -> bool {
    let item = store.items.get(&bytes(&compare["key"]));
    let (actual, wanted) = match compare["target"].as_str() {
        Some("CREATE") => {
            (item.map_or(0, |item| item.created), number(&compare["create_revision"]))
        }
        _ => (item.map_or(0, |item| item.modified), number(&compare["mod_revision"])),
    };
    actual == wanted
}

fn run_op(store: &mut Store, op: &Value) -> Value {
    if let Some(put) = op.get("request_put") {
        store.put(bytes(&put["key"]), bytes(&put["value"]), number(&put["lease"]));
        return json!({"response_put": {}});
    }
    if let Some(delete) = op.get("request_delete_range") {
        store.delete(&bytes(&delete["key"]));
        return json!({"response_delete_range": {}});
    }
    json!({"response_range": range(store, &op["request_range"])})
}

fn range(store: &Store, body: &Value) -> Value {
    let items = store.range(&bytes(&body["key"]), &bytes(&body["range_end"]));
    let kvs: Vec<Value> = items.iter().map(|(key, item)| key_value(key, item)).collect();
    json!({"header": header(store), "kvs": kvs, "count": kvs.len().to_string()})
}

fn key_value(key: &[u8], item: &Item) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&item.value),
        "create_revision": item.created.to_string(),
        "mod_revision": item.modified.to_string(),
        "lease": item.lease.to_string(),
    })
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or("")).unwrap_or_default()
}

/// Reads a number that the gateway writes as a text.
fn number(value: &Value) -> i64 {
    value.as_i64().or_else(|| value.as_str().and_then(|text| text.parse().ok())).unwrap_or(0)
}
