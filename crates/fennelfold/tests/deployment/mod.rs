//! A small deployment: entries as processes, the platform's stand-ins in the test's own.

use bytes::Bytes;
use hyper::Method;
use infra::{Vm, VmRole, VmState};
use kernel::Outcome;
use serde_json::Value;
use standin::Running;
use standin::plain::{Faults, Plain};
use standin::{kv::Kv, platform_api::Platform};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use web::{Client, ClientSettings, read_limited};

const BIN: &str = env!("CARGO_BIN_EXE_fennelfold");
/// Time for a deployment to be ready.
const READY: Duration = Duration::from_secs(30);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Time that a caller waits for one try.
const TRY: Duration = Duration::from_secs(4);
/// Tries of one caller.
const TRIES: usize = 8;
/// Time between two tries.
const RETRY: Duration = Duration::from_millis(300);

/// Entries of one deployment at most.
const ENTRIES_AT_MOST: u64 = 8;

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// What a caller was told at the end of one try.
#[derive(Debug)]
pub(crate) enum Told {
    Answered { echo: String, run: u64 },
    Failed { outcome: Outcome, runs: u64 },
    Nothing,
}

/// What one caller saw.
#[derive(Debug)]
pub(crate) struct History {
    pub(crate) key: String,
    pub(crate) body: String,
    pub(crate) told: Vec<Told>,
}

/// One caller with one request.
pub(crate) struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
    key: String,
    body: String,
    plain: Arc<Plain>,
}

/// Entries and stand-ins.
pub(crate) struct Deployment {
    entries: Vec<(Child, SocketAddr)>,
    plain: Arc<Plain>,
    client: Client,
    prefixes: Vec<String>,
    dir: PathBuf,
    /// Addresses for other entries.
    peers: Vec<SocketAddr>,
    /// Stopped when they are dropped.
    _standins: [Running; 3],
}

/// Sends a signal to a process.
pub(crate) fn signal(name: &str, pid: u32) {
    let status = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
    assert!(status.is_ok_and(|status| status.success()), "kill -{name} {pid}");
}

impl Deployment {
    /// Starts this many entries, half in each data centre, and applies the configuration.
    pub(crate) async fn start(count: usize) -> Self {
        Self::start_with(count, "").await
    }

    /// The same with these further sections in the settings of each entry.
    pub(crate) async fn start_with(count: usize, sections: &str) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (kv, plain) = (Kv::new(), Plain::new(Duration::from_millis(5)));
        let kv = standin::start(any, move |req| kv.clone().handle(req)).await.expect("a port");
        let server = plain.clone();
        let server =
            standin::start(any, move |req| server.clone().handle(req)).await.expect("a port");
        let list = Platform::new(vec![vm(server.address)], Duration::ZERO);
        let list = standin::start(any, move |req| list.clone().handle(req)).await.expect("a port");
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("fennelfold-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory");
        let ports: Vec<(SocketAddr, SocketAddr)> =
            (0..count).map(|i| (address(number, i, 7101), address(number, i, 7102))).collect();
        let seeds: Vec<String> = ports.iter().take(2).map(|(_, peer)| peer.to_string()).collect();
        let mut entries = Vec::new();
        for (i, (http, peer)) in ports.iter().enumerate() {
            let data_centre = if i % 2 == 0 { "north" } else { "south" };
            let text = format!(
                "[node]\nname = entry-{i}\ndata_centre = {data_centre}\nregion = coast\n\
                 http = {http}\npeer = {peer}\n[platform]\nkv = {}\nvm_list = {}\ncloud = {}\n\
                 [membership]\nseeds = {}\n{sections}",
                kv.address,
                list.address,
                list.address,
                seeds.join(", "),
            );
            let file = dir.join(format!("entry-{i}.ini"));
            std::fs::write(&file, text).expect("a settings file");
            let log = std::fs::File::create(dir.join(format!("entry-{i}.log"))).expect("a log");
            let child = Command::new(BIN)
                .args(["entry", "--settings"])
                .arg(&file)
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()
                .expect("an entry starts");
            entries.push((child, *http));
        }
        let client = Client::new(ClientSettings { answer: TRY, ..ClientSettings::default() });
        let standins = [kv, server, list];
        let prefixes = Vec::new();
        let peers = ports.iter().map(|(_, peer)| *peer).collect();
        let mut deployment =
            Self { entries, plain, client, prefixes, dir, peers, _standins: standins };
        deployment.apply().await;
        deployment.wait_until_ready().await;
        deployment
    }

    async fn apply(&self) {
        let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/demo/");
        let entries: Vec<String> = self.entries.iter().map(|(_, http)| http.to_string()).collect();
        let deadline = tokio::time::Instant::now() + READY;
        while tokio::time::Instant::now() < deadline {
            let status = Command::new(BIN)
                .args(["config", "apply", "--base", &format!("{root}base.ini")])
                .args(["--site", &format!("{root}site.ini"), "--entry", &entries.join(",")])
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .status();
            if status.is_ok_and(|status| status.success()) {
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
        panic!("the configuration was not accepted");
    }

    /// Waits until every entry knows all the others and the backend server.
    async fn wait_until_ready(&mut self) {
        let deadline = tokio::time::Instant::now() + READY;
        let count = self.entries.len();
        'entries: for (i, (_, http)) in self.entries.iter().enumerate() {
            while tokio::time::Instant::now() < deadline {
                let url = format!("http://{http}/v1/operator/status");
                let status = self.client.get::<Value>(&url).await.unwrap_or_default();
                let known = |list: &str| status[list].as_array().map_or(0, Vec::len);
                if status["ready"] == "yes" && known("entries") == count && known("servers") == 1 {
                    let list = self.client.get::<Value>(&format!("http://{http}/v1/entries")).await;
                    let list = list.expect("the list of entries");
                    let name = format!("entry-{i}");
                    let mine = list["entries"].as_array().into_iter().flatten();
                    let mine = mine.filter(|entry| entry["name"] == name.as_str());
                    let prefix = mine.filter_map(|entry| entry["key_prefix"].as_str()).next();
                    self.prefixes.push(prefix.expect("a key prefix").to_owned());
                    continue 'entries;
                }
                tokio::time::sleep(LOOK).await;
            }
            panic!("entry-{i} is not ready");
        }
    }

    /// Returns the address at which an entry serves callers.
    pub(crate) fn http(&self, entry: usize) -> SocketAddr {
        self.entries[entry].1
    }

    /// Returns the address at which an entry serves other entries.
    pub(crate) fn peer(&self, entry: usize) -> SocketAddr {
        self.peers[entry]
    }

    pub(crate) fn pid(&self, entry: usize) -> u32 {
        self.entries[entry].0.id()
    }

    pub(crate) fn runs(&self, key: &str) -> u64 {
        self.plain.runs().get(key).copied().unwrap_or(0)
    }

    pub(crate) fn slow_down(&self, by: Duration) {
        let slow_ms = by.as_millis() as u64;
        self.plain.set_faults(Faults { slow_ms, ..Faults::default() });
    }

    pub(crate) async fn wait_for_runs(&self, count: u64) {
        while self.plain.runs().values().sum::<u64>() < count {
            tokio::time::sleep(LOOK).await;
        }
    }

    pub(crate) async fn metrics(&self, entry: usize) -> String {
        let url = format!("http://{}/metrics", self.entries[entry].1);
        let answer = self.client.send(Method::GET, &url, &[], Bytes::new()).await;
        let body = read_limited(answer.expect("metrics").into_body(), 1 << 20).await;
        String::from_utf8_lossy(&body.expect("metrics")).into_owned()
    }

    /// Sends a request with this number to its home, an entry, and waits for the end of its answer, whatever it is.
    pub(crate) async fn post(
        &self,
        entry: usize,
        path: &str,
        number: usize,
        body: Bytes,
        deadline_ms: &str,
    ) {
        let url = format!("http://{}{path}", self.http(entry));
        let key = format!("{}{number}", self.prefixes[entry]);
        let headers = [
            ("x-organisation", "friends"),
            ("idempotency-key", &key),
            ("x-deadline-ms", deadline_ms),
        ];
        if let Ok(answer) = self.client.send(Method::POST, &url, &headers, body).await {
            let _ = read_limited(answer.into_body(), 1 << 20).await;
        }
    }

    /// Returns a caller whose request has its home at one entry and which begins at another.
    pub(crate) fn caller(&self, number: usize) -> Caller {
        self.caller_of(number, number, number / 2)
    }

    /// Returns a caller whose request has its home at the entry that it begins at.
    pub(crate) fn caller_at(&self, number: usize, entry: usize) -> Caller {
        self.caller_of(number, entry, entry)
    }

    /// Returns a caller that sends its request to no other entry than this one, where its home is.
    pub(crate) fn caller_of_one(&self, number: usize, entry: usize) -> Caller {
        let entries = vec![self.http(entry)];
        Caller { entries, ..self.caller_at(number, entry) }
    }

    fn caller_of(&self, number: usize, home: usize, first: usize) -> Caller {
        let count = self.entries.len();
        let prefix = &self.prefixes[home % count];
        Caller {
            client: self.client.clone(),
            entries: (0..count).map(|i| self.entries[(first + i) % count].1).collect(),
            key: format!("{prefix}{number}"),
            body: format!("{{\"elder\":{number}}}"),
            plain: self.plain.clone(),
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (child, _) in &mut self.entries {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Caller {
    /// Sends a request that may not be repeated until it is answered.
    pub(crate) async fn remind(self) -> History {
        let mut told = Vec::new();
        for turn in 0..TRIES {
            let entry = self.entries[turn % self.entries.len()];
            let word = tokio::time::timeout(TRY, self.send(entry)).await.unwrap_or(Told::Nothing);
            let answered = matches!(word, Told::Answered { .. });
            told.push(word);
            if answered {
                break;
            }
            tokio::time::sleep(RETRY).await;
        }
        History { key: self.key, body: self.body, told }
    }

    async fn send(&self, entry: SocketAddr) -> Told {
        let url = format!("http://{entry}/v1/services/reminder");
        let headers = [("x-organisation", "friends"), ("idempotency-key", self.key.as_str())];
        let body = Bytes::from(self.body.clone());
        let Ok(answer) = self.client.send(Method::POST, &url, &headers, body).await else {
            return Told::Nothing;
        };
        let status = answer.status();
        let Ok(bytes) = read_limited(answer.into_body(), 1 << 20).await else {
            return Told::Nothing;
        };
        let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        if status.is_success() {
            let echo = value["echo"].as_str().unwrap_or_default().to_owned();
            return Told::Answered { echo, run: value["run"].as_u64().unwrap_or(0) };
        }
        let outcome = match value["outcome"].as_str() {
            Some("NotRun") => Outcome::NotRun,
            Some("Rejected") => Outcome::Rejected,
            Some("Unknown") => Outcome::Unknown,
            _ => Outcome::Other,
        };
        let runs = self.plain.runs().get(&self.key).copied().unwrap_or(0);
        Told::Failed { outcome, runs }
    }
}

fn vm(address: SocketAddr) -> Vm {
    Vm {
        name: "plain-1".into(),
        address,
        data_centre: "north".into(),
        class: "small".into(),
        reclaimable: true,
        price_per_hour: 1.0,
        role: VmRole::Plain,
        serves: vec!["reminder".into()],
        state: VmState::Live,
    }
}

/// Returns a loopback address that no other test and no ephemeral port uses.
fn address(deployment: u64, entry: usize, port: u16) -> SocketAddr {
    let pid = std::process::id();
    let [_, _, high, low] = (pid & 0xffff).to_be_bytes();
    let last = (deployment * ENTRIES_AT_MOST + entry as u64 + 1) as u8;
    SocketAddr::from(([127, 64 | (high & 0x3f), low, last], port))
}
