//! Stand-in for the platform's metadata store. Each entry has an endpoint of its own.

use crate::http::{self, Request};
use crate::json::{Json, from_base64, quote, to_base64};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: i64,
    created: i64,
    lease: i64,
}

struct Lease {
    ends_at: Instant,
    ttl: Duration,
}

/// A call that an entry made, for the test.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Index of the endpoint.
    pub entry: usize,
    /// Path of the call.
    pub path: String,
    /// Keys that it wrote.
    pub keys: Vec<String>,
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    changes: Vec<(i64, String, Option<Item>)>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
    seen: Vec<Seen>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn write(&mut self, key: &str, value: Option<(Vec<u8>, i64)>, revision: i64) {
        let item = value.map(|(value, lease)| {
            let created = self.items.get(key).map_or(revision, |item| item.created);
            Item { value, revision, created, lease }
        });
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None if self.items.remove(key).is_none() => return,
            None => {}
        }
        self.changes.push((revision, key.to_owned(), item));
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.write(&key, None, self.revision);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

fn encode(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
        quote(key),
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.lock().revision = 100;
        let ticking = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                ticking.lock().expire();
                ticking.state.1.notify_all();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the store has failed")
    }

    /// Starts the endpoint of an entry.
    pub fn endpoint(&self, entry: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let store = self.clone();
        http::serve(listener, move |stream| store.serve(stream, entry));
        address
    }

    /// Writes a document as the operator and the servers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.write(key, Some((value.as_bytes().to_vec(), 0)), revision);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.write(key, None, revision);
        self.state.1.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.lock();
        state.items.get(key).map(|item| String::from_utf8_lossy(&item.value).into_owned())
    }

    /// Returns the calls since the last time.
    pub fn take_seen(&self) -> Vec<Seen> {
        std::mem::take(&mut self.lock().seen)
    }

    fn serve(&self, mut stream: TcpStream, entry: usize) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(req) = http::read_request(&mut reader) {
            let (status, body) = self.handle(&req, entry);
            let written = http::respond(
                &mut stream,
                status,
                "content-type: application/json\r\n",
                body.as_bytes(),
            );
            if written.is_err() {
                return;
            }
        }
    }

    fn handle(&self, req: &Request, entry: usize) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let path = req.path().to_owned();
        let id = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse::<i64>().ok());
        self.lock().expire();
        let reply = match path.as_str() {
            "/api/kv-key" => self.read(req),
            "/api/kv-range" => self.range(req),
            "/api/kv-watch" => self.watch(req),
            "/api/kv-txn" => self.commit(&body, entry),
            "/api/kv-lease" => self.grant(&body),
            _ => match (id("/api/kv-keep/"), id("/api/kv-lease-end/")) {
                (Some(lease), _) => self.renew(lease),
                (_, Some(lease)) => {
                    self.lock().end_lease(lease);
                    (200, "{}".to_owned())
                }
                _ => (404, "{}".to_owned()),
            },
        };
        if path != "/api/kv-txn" {
            self.lock().seen.push(Seen { entry, path, keys: Vec::new() });
        }
        reply
    }

    fn read(&self, req: &Request) -> (u16, String) {
        let state = self.lock();
        let key = req.parameter("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => {
                let item = encode(&key, item);
                let rest = item.trim_start_matches('{');
                (200, format!("{{\"currentRev\":{},{rest}", state.revision))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, req: &Request) -> (u16, String) {
        let state = self.lock();
        let prefix = req.parameter("prefix").unwrap_or_default();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
        let items: Vec<String> = items.map(|(key, item)| encode(key, item)).collect();
        let items = items.join(",");
        (
            200,
            format!("{{\"items\":[{items}],\"hasMore\":false,\"currentRev\":{}}}", state.revision),
        )
    }

    fn watch(&self, req: &Request) -> (u16, String) {
        let number =
            |name: &str| req.parameter(name).and_then(|text| text.parse().ok()).unwrap_or(0_i64);
        let (prefix, after) = (req.parameter("prefix").unwrap_or_default(), number("after"));
        let until =
            Instant::now() + Duration::from_millis(number("waitMs").clamp(0, 30_000) as u64);
        let mut state = self.lock();
        loop {
            let is_new = |change: &&(i64, String, Option<Item>)| {
                change.0 > after && change.1.starts_with(&prefix)
            };
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(is_new)
                .map(|(revision, key, item)| match item {
                    Some(item) => encode(key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"removed\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"currentRev\":{}}}", state.revision),
                );
            }
            state = self.state.1.wait_timeout(state, left).expect("the store has failed").0;
        }
    }

    fn commit(&self, body: &Json, entry: usize) -> (u16, String) {
        let field = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
        let key_of =
            |row: &Json| row.get("key").and_then(Json::text).unwrap_or_default().to_owned();
        let number = |row: &Json, name: &str| row.get(name).and_then(Json::integer).unwrap_or(0);
        let mut state = self.lock();
        let expected = field("expectedRevision");
        let holds = |row: &Json| {
            state.items.get(&key_of(row)).map_or(0, |item| item.revision) == number(row, "revision")
        };
        if !expected.iter().all(holds) {
            let keys = expected.iter().map(key_of);
            let items: Vec<String> =
                keys.filter_map(|key| Some(encode(&key, state.items.get(&key)?))).collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = field("puts");
        let has_lease = |row: &Json| {
            let lease = number(row, "lease");
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        let revision = state.revision;
        let mut keys = Vec::new();
        for row in &puts {
            let value = from_base64(row.get("value").and_then(Json::text).unwrap_or_default());
            state.write(&key_of(row), Some((value, number(row, "lease"))), revision);
            keys.push(key_of(row));
        }
        for key in field("delete") {
            state.write(key.text().unwrap_or_default(), None, revision);
        }
        state.seen.push(Seen { entry, path: "/api/kv-txn".to_owned(), keys });
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        state.last_lease += 1;
        let lease = state.last_lease;
        let ttl_ms =
            body.get("ttlMs").and_then(Json::integer).unwrap_or(1_000).clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms as u64);
        state.leases.insert(lease, Lease { ends_at: Instant::now() + ttl, ttl });
        (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
    }

    fn renew(&self, lease: i64) -> (u16, String) {
        match self.lock().leases.get_mut(&lease) {
            Some(known) => {
                known.ends_at = Instant::now() + known.ttl;
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", known.ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}
