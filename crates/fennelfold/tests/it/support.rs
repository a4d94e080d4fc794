//! A small deployment on loopback: stand-ins in this process, entries as processes of their own.

use bytes::Bytes;
use hyper::{Method, Response, body::Incoming};
use infra::{Vm, VmRole, VmState};
use serde_json::{Value, json};
use standin::{Running, engine, kv, plain, platform_api};
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};
use web::{Client, ClientSettings};

/// The shipped binary.
pub(crate) const FENNELFOLD: &str = env!("CARGO_BIN_EXE_fennelfold");
/// Organisation of every request that names no other.
pub(crate) const ORGANISATION: &str = "friends";
/// Port of an entry for callers; each entry has an address of its own.
const HTTP_PORT: u16 = 7101;
/// Port of an entry for other entries.
const PEER_PORT: u16 = 7102;
/// Looks at a condition before the test gives up, with [`LOOK_PAUSE`] between them.
const LOOKS: u32 = 1200;
/// Time between two looks at a condition.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Deployments that run at once, so that a loaded machine does not starve them.
static PLACES: Semaphore = Semaphore::const_new(3);
/// Numbers the addresses of this process.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) step: Duration,
    /// Appended to the base file.
    pub(crate) extra: &'static str,
}

impl Default for Settings {
    fn default() -> Self {
        Self { entries: 3, engines: 2, step: Duration::from_millis(5), extra: "" }
    }
}

/// An entry process; it ends with this value.
pub(crate) struct Entry {
    pub(crate) name: String,
    pub(crate) http: SocketAddr,
    pub(crate) log: PathBuf,
    child: Child,
}

impl Entry {
    /// Returns the address for other entries.
    pub(crate) fn peer(&self) -> SocketAddr {
        SocketAddr::new(self.http.ip(), PEER_PORT)
    }

    /// Ends the process at once, as a VM that goes.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status().unwrap();
        assert!(sent.success(), "SIGTERM to {pid}");
    }

    /// Waits until the process ends, and returns its exit code.
    pub(crate) async fn exit_code(&mut self) -> Option<i32> {
        let mut code = None;
        let child = &mut self.child;
        let ended = || {
            code = child.try_wait().unwrap().map(|status| status.code());
            code.is_some()
        };
        let mut ended = ended;
        eventually("the entry ends", async || ended()).await;
        code.flatten()
    }

    /// Returns everything that the process has logged.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A deployment that ends with this value.
pub(crate) struct Deployment {
    pub(crate) kv: Arc<kv::Kv>,
    pub(crate) platform: Arc<platform_api::Platform>,
    pub(crate) engines: Vec<Arc<engine::Engine>>,
    pub(crate) plain: Arc<plain::Plain>,
    pub(crate) entries: Vec<Entry>,
    /// Peer addresses that entries join by, beside those of earlier entries.
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) directory: PathBuf,
    kv_address: SocketAddr,
    platform_address: SocketAddr,
    standins: Vec<Running>,
    _place: SemaphorePermit<'static>,
}

impl Deployment {
    /// Starts everything, applies the configuration, and waits until every entry serves.
    pub(crate) async fn start(settings: Settings) -> Self {
        let deployment = Self::without_configuration(settings.clone()).await;
        let base = deployment.write("base.ini", &format!("{BASE}{}", settings.extra));
        let applied = deployment.run(&["config", "apply", "--base", &base]).await;
        assert!(applied.status.success(), "{}", err(&applied));
        let servers = settings.engines + 1;
        for n in 0..settings.entries {
            deployment.wait_for_servers(n, servers).await;
        }
        deployment
    }

    /// Starts everything but applies no configuration.
    pub(crate) async fn without_configuration(settings: Settings) -> Self {
        let mut deployment = Self::platform_only(&settings).await;
        for n in 0..settings.entries {
            let entry = deployment.start_entry(n);
            deployment.entries.push(entry);
        }
        let up = format!("{} entries", settings.entries);
        eventually(&up, async || {
            let status = deployment.status(0).await;
            status.is_some_and(|status| alive(&status) == settings.entries)
        })
        .await;
        deployment
    }

    /// Starts the stand-ins and no entry.
    pub(crate) async fn platform_only(settings: &Settings) -> Self {
        let place = PLACES.acquire().await.unwrap();
        let mut standins = Vec::new();
        let mut vms = Vec::new();
        let mut engines = Vec::new();
        for n in 0..settings.engines {
            let engine = engine::Engine::new(engine::Settings {
                step: settings.step,
                models: vec!["small".into()],
                ..engine::Settings::default()
            });
            let (at, running) = serve(&engine, engine::Engine::handle).await;
            vms.push(vm(&format!("engine-{n}"), at, VmRole::Model, &["small"]));
            standins.push(running);
            engines.push(engine);
        }
        let plain = plain::Plain::new(Duration::from_millis(5));
        let (at, running) = serve(&plain, plain::Plain::handle).await;
        vms.push(vm("plain-0", at, VmRole::Plain, &["reminder", "thumbnail"]));
        standins.push(running);
        let kv = kv::Kv::new();
        let (kv_address, running) = serve(&kv, kv::Kv::handle).await;
        standins.push(running);
        let platform = platform_api::Platform::new(vms, Duration::ZERO);
        let (platform_address, running) = serve(&platform, platform_api::Platform::handle).await;
        standins.push(running);
        Self {
            kv,
            platform,
            engines,
            plain,
            entries: Vec::new(),
            seeds: Vec::new(),
            directory: directory(),
            kv_address,
            platform_address,
            standins,
            _place: place,
        }
    }

    /// Starts the entry with this number as a process.
    pub(crate) fn start_entry(&self, n: usize) -> Entry {
        let host = host();
        let (http, peer) = (SocketAddr::new(host, HTTP_PORT), SocketAddr::new(host, PEER_PORT));
        let name = format!("entry-{n}");
        let seeds: Vec<String> = self
            .entries
            .iter()
            .map(Entry::peer)
            .chain(self.seeds.iter().copied())
            .chain([peer])
            .map(|seed| seed.to_string())
            .collect();
        let data_centre = ["north", "south"][n % 2];
        let settings = format!(
            "[node]\nname = {name}\ndata_centre = {data_centre}\nregion = coast\nhttp = {http}\npeer = {peer}\n\
             [platform]\nkv = {}\nvm_list = {}\ncloud = {}\n\
             [membership]\nseeds = {}\nprobe_every = 500ms\nprobe_timeout = 400ms\nsuspect_for = 3s\n",
            self.kv_address,
            self.platform_address,
            self.platform_address,
            seeds.join(", ")
        );
        let settings = self.write(&format!("{name}.ini"), &settings);
        start_entry(&name, http, &settings)
    }

    /// Writes a file of this deployment and returns its path.
    pub(crate) fn write(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// Runs the command line with the addresses of all entries.
    pub(crate) async fn run(&self, args: &[&str]) -> Output {
        let mut args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
        args.extend(["--entry".to_owned(), self.addresses()]);
        fennelfold(&args).await
    }

    /// Runs `call` as the usual organisation.
    pub(crate) async fn call(&self, args: &[&str]) -> Output {
        self.run(&[&["call", "--organisation", ORGANISATION], args].concat()).await
    }

    /// Lists the addresses of all entries.
    pub(crate) fn addresses(&self) -> String {
        let addresses: Vec<String> =
            self.entries.iter().map(|entry| entry.http.to_string()).collect();
        addresses.join(",")
    }

    /// Sends a request to an entry.
    pub(crate) async fn send(
        &self,
        n: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Response<Incoming> {
        let url = format!("http://{}{path}", self.entries[n].http);
        client().send(method, &url, headers, body.into()).await.unwrap()
    }

    /// Sends a request to an entry and reads the whole answer: status and JSON.
    pub(crate) async fn ask(
        &self,
        n: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> (u16, Value) {
        read(self.send(n, method, path, headers, body).await).await
    }

    /// Returns the status of an entry, if it answers.
    pub(crate) async fn status(&self, n: usize) -> Option<Value> {
        let url = format!("http://{}/v1/operator/status", self.entries[n].http);
        client().get(&url).await.ok()
    }

    /// Returns the prefix of keys whose requests start at this entry.
    pub(crate) async fn key_prefix(&self, n: usize) -> String {
        let (_, list) = self.ask(n, Method::GET, "/v1/entries", &[], "").await;
        let entries = list["entries"].as_array().unwrap().clone();
        let entry = entries.iter().find(|entry| entry["name"] == self.entries[n].name.as_str());
        entry.unwrap()["key_prefix"].as_str().unwrap().to_owned()
    }

    async fn wait_for_servers(&self, n: usize, servers: usize) {
        eventually("the VM list", async || {
            let status = self.status(n).await;
            status.is_some_and(|status| {
                status["servers"].as_array().is_some_and(|listed| listed.len() == servers)
            })
        })
        .await;
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        for standin in &self.standins {
            standin.kill();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The configuration of every deployment.
pub(crate) const BASE: &str = "\
[deployment]
name = trial
[data_centre north]
region = coast
[data_centre south]
region = coast
[organisation friends]
requests_per_s = 1000
burst = 1000
[organisation others]
requests_per_s = 1000
burst = 1000
[model small]
version = 1
[service recall]
kind = model
model = small
priority = high
deadline = 60s
[service reminder]
kind = plain
repeatable = no
deadline = 20s
[service thumbnail]
kind = plain
repeatable = yes
deadline = 20s
";

/// Starts an entry process with this settings file.
pub(crate) fn start_entry(name: &str, http: SocketAddr, settings: &str) -> Entry {
    let log = PathBuf::from(format!("{settings}.log"));
    let stderr = std::fs::File::create(&log).unwrap();
    let child = Command::new(FENNELFOLD)
        .args(["entry", "--settings", settings])
        .stdout(Stdio::null())
        .stderr(stderr)
        .spawn()
        .unwrap();
    Entry { name: name.to_owned(), http, log, child }
}

/// Runs the command line to its end.
pub(crate) async fn fennelfold<S: AsRef<std::ffi::OsStr>>(args: &[S]) -> Output {
    let mut command = tokio::process::Command::new(FENNELFOLD);
    command.args(args).kill_on_drop(true).output().await.unwrap()
}

/// Returns what a command printed.
pub(crate) fn out(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Returns the errors that a command printed.
pub(crate) fn err(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Waits until a condition holds.
pub(crate) async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..LOOKS {
        if condition().await {
            return;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    panic!("it did not come about: {what}");
}

/// Returns the headers of a request under a key.
pub(crate) fn headers(key: &str) -> [(&str, &str); 3] {
    [
        ("x-organisation", ORGANISATION),
        ("idempotency-key", key),
        ("content-type", "application/json"),
    ]
}

/// Returns a chat completion request.
pub(crate) fn chat(prompt: &str, tokens: u64, stream: bool) -> String {
    let message = json!({"role": "user", "content": prompt});
    json!({"model": "recall", "messages": [message], "max_tokens": tokens, "stream": stream})
        .to_string()
}

/// Reads a whole answer: status and JSON.
pub(crate) async fn read(answer: Response<Incoming>) -> (u16, Value) {
    let status = answer.status().as_u16();
    let bytes = web::read_limited(answer.into_body(), 1 << 24).await.unwrap();
    (status, serde_json::from_slice(&bytes).unwrap_or_default())
}

/// A client without a pool, so that each request has a connection of its own.
pub(crate) fn client() -> Client {
    let answer = Duration::from_secs(60);
    Client::new(ClientSettings { answer, idle_per_server: 0, ..ClientSettings::default() })
}

/// Draws a loopback address that no other deployment uses.
pub(crate) fn host() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, number))
}

fn directory() -> PathBuf {
    let name = format!("{}-{}", std::process::id(), NEXT_HOST.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn alive(status: &Value) -> usize {
    let entries = status["entries"].as_array().cloned().unwrap_or_default();
    entries.iter().filter(|entry| entry["state"] == "alive").count()
}

fn vm(name: &str, address: SocketAddr, role: VmRole, serves: &[&str]) -> Vm {
    Vm {
        name: name.into(),
        address,
        data_centre: "north".into(),
        class: "small".into(),
        reclaimable: true,
        price_per_hour: 1.0,
        role,
        serves: serves.iter().map(|name| (*name).into()).collect(),
        state: VmState::Live,
    }
}

async fn serve<T, F, R>(standin: &Arc<T>, handle: F) -> (SocketAddr, Running)
where
    T: Send + Sync + 'static,
    F: Fn(Arc<T>, web::Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<web::Reply, kernel::Failure>> + Send + 'static,
{
    let standin = standin.clone();
    let handler = move |req| handle(standin.clone(), req);
    let running = standin::start(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await.unwrap();
    (running.address, running)
}
