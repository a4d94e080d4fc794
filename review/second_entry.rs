//! Entries as processes of their own, with the command and the settings template of the deploy file.

use crate::http;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// What the platform states for all entries of the test, by the names of the deployment page.
const BOUNDS: [(&str, &str); 15] = [
    ("bounds.graceS", "8"),
    ("bounds.configApplyMs", "2000"),
    ("bounds.drainMs", "2000"),
    ("bounds.strictRevoke", "true"),
    ("bounds.revokeMs", "5000"),
    ("bounds.leaseMs", "3000"),
    ("bounds.usageWindowS", "5"),
    ("bounds.usageLateS", "10"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.budgetWindowS", "10"),
    ("bounds.retrySlack", "54"),
    ("bounds.quotaWindowS", "8"),
    ("bounds.quotaOvershoot", "0.1"),
    ("bounds.quotaSlack", "140000"),
    ("limits.memoryMb", "260"),
];
/// Longest time until an entry is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports from which those of entries are taken. Systems give ports above them to connections, so that none is taken
/// between its choice and its use.
const FIRST_PORT: u32 = 18_000;
const PORTS: u32 = 14_000;

/// Number of ports that were tried so far.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns ports that are free for TCP and UDP.
fn free_ports<const COUNT: usize>() -> [u16; COUNT] {
    // Scripts that run at the same time begin at other ports.
    let first = std::process::id().wrapping_mul(97);
    std::array::from_fn(|_| {
        loop {
            let offset = first.wrapping_add(TRIED.fetch_add(1, Ordering::Relaxed)) % PORTS;
            let port = (FIRST_PORT + offset) as u16;
            let address = ("127.0.0.1", port);
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return port;
            }
        }
    })
}

/// Returns the value of a field in the deploy file, which has one role.
fn deployed(field: &str) -> String {
    let text = std::fs::read_to_string("deploy/system.toml").expect("no deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix(field)?.trim().strip_prefix('='));
    line.expect("the deploy file lacks a field").trim().trim_matches('"').to_owned()
}

/// Fills the template in from the fields that the platform states.
fn fill(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let len = text[start..].find("}}").expect("unfinished section");
        let name = text[start + 3..start + len].to_owned();
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        let end = text.find(&close).expect("unfinished section");
        let inner = text[start + open.len()..end].to_owned();
        let kept = if fields.contains_key(&name) { inner } else { String::new() };
        text.replace_range(start..end + close.len(), &kept);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    template: String,
    fields: BTreeMap<String, String>,
    child: Option<Child>,
}

impl Entry {
    /// Starts an entry that finds the store at this address. Its files go to `folder`.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> Self {
        let [front, ready, directory, peer, metrics] =
            free_ports().map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
        let mut fields: BTreeMap<String, String> =
            BOUNDS.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
        let mut set = |name: &str, value: String| fields.insert(name.to_owned(), value);
        set("nodeName", name.to_owned());
        set("zone", zone.to_owned());
        set("ip", "127.0.0.1".to_owned());
        set("listen.front", front.to_string());
        set("listen.ready", ready.to_string());
        set("listen.directory", directory.to_string());
        set("portRange.0", peer.port().to_string());
        set("provider.address", store.to_string());
        // Stated only when the whole system starts for the first time.
        set("bootstrap", "true".to_owned());
        set("limits.maxFds", "4100".to_owned());
        let template = std::fs::read_to_string(deployed("template")).expect("no template");
        // Entries on one machine need a port each where the template has a fixed one.
        let template = template.replace("{{ip}}:9464", &metrics.to_string());
        let settings = folder.join(format!("{name}.ini"));
        let name = name.to_owned();
        let mut entry = Self { name, front, ready, settings, template, fields, child: None };
        entry.run();
        entry.fields.remove("bootstrap");
        entry
    }

    /// Starts the process, again if it was killed.
    pub fn run(&mut self) {
        std::fs::write(&self.settings, fill(&self.template, &self.fields))
            .expect("cannot write the settings");
        let command = deployed("run");
        let mut words = command.split(' ');
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("cannot open the log");
        let child = Command::new(words.next().expect("no program"))
            .args(words)
            .env("FENNELFOLD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        self.child = Some(child.expect("cannot start an entry; build it first"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let second = Duration::from_secs(1);
        http::call(self.ready, "GET", "/api/readyz", "host: x\r\n", b"", second).status == 200
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
