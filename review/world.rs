//! Stand-ins for the platform of a small deployment on loopback: HTTP, the platform's store, its API,
//! and the processes of the system. Only the standard library is used.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();
/// Ids of the running processes of the system, for the watchdog.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ends the run, with all processes that it started, after this time.
pub fn end_after_ms(ms: u64) {
    std::thread::spawn(move || {
        sleep_ms(ms);
        record("the time is over");
        for child in CHILDREN.lock().unwrap().iter() {
            unsafe { kill(*child as i32, 9) };
        }
        std::process::exit(2);
    });
}

static RECORD: OnceLock<Mutex<fs::File>> = OnceLock::new();

/// Opens the record of the run in `path`.
pub fn open_record(path: &str) {
    START.get_or_init(Instant::now);
    let file = fs::File::create(path).expect("cannot write the record");
    RECORD.get_or_init(|| Mutex::new(file));
}

/// Milliseconds since the run began.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Writes a line of the record.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:>7} ms  {line}", now_ms());
    }
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn space(b: &[u8], at: &mut usize) {
        while b.get(*at).is_some_and(|c| c.is_ascii_whitespace()) {
            *at += 1;
        }
    }

    fn value(b: &[u8], at: &mut usize) -> Option<Json> {
        Self::space(b, at);
        match *b.get(*at)? {
            b'{' => {
                *at += 1;
                let mut table = Vec::new();
                loop {
                    Self::space(b, at);
                    match *b.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Table(table));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(key) = Self::value(b, at)? else { return None };
                            Self::space(b, at);
                            *at += 1;
                            table.push((key, Self::value(b, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(b, at);
                    match *b.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(b, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *b.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Text(String::from_utf8(text).ok()?));
                        }
                        b'\\' => {
                            text.push(match *b.get(*at + 1)? {
                                b'n' => b'\n',
                                b't' => b'\t',
                                other => other,
                            });
                            *at += 2;
                        }
                        c => {
                            text.push(c);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool)
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool)
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while b
                    .get(*at)
                    .is_some_and(|c| matches!(c, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'))
                {
                    *at += 1;
                }
                std::str::from_utf8(&b[from..*at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        let Json::Table(table) = self else { return None };
        table.iter().find(|(name, _)| name == key).map(|(_, value)| value)
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key) {
            Some(Json::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<f64> {
        match self.get(key) {
            Some(Json::Number(number)) => Some(*number),
            _ => None,
        }
    }
}

// ---------------------------------------------------------------- HTTP

/// Head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        pair.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
    }
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(head);
        }
        match line.split_once(':') {
            Some((name, value)) if !head.first.is_empty() => {
                head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
            }
            _ => head.first = line.to_owned(),
        }
    }
}

/// Reads a body that has a length or comes in chunks; `None` if it breaks off.
pub fn read_body(head: &Head, reader: &mut impl BufRead) -> Option<Vec<u8>> {
    if head.field("transfer-encoding").is_some() {
        let mut body = Vec::new();
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
        return Some(body);
    }
    let len = head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads one chunk; `Some(None)` is the last one, `None` a broken connection.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let len = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; len + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(len);
    Some(if len == 0 { None } else { Some(chunk) })
}

pub fn respond(mut stream: &TcpStream, status: &str, fields: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Accepts connections on a free loopback port and serves each in a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("no free port");
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

// ---------------------------------------------------------------- base64

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for i in 0..4 {
            if i <= part.len() {
                text.push(DIGITS[(word >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    /// In Base64, as it was written.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes as JSON, with their revision and key.
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Instant, u64)>,
    last_lease: u64,
    /// Keys whose next read is answered in part, after which its connection stays silent.
    silenced_reads: Vec<String>,
}

/// The platform's store, by the page PROTOCOL.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), json_item(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event =
                format!("{{\"key\":\"{key}\",\"revision\":{},\"removed\":true}}", self.revision);
            self.history.push((self.revision, key.to_owned(), event));
        }
    }
}

fn json_item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    /// Starts the store; returns it and its address.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        store.shared.0.lock().unwrap().revision = 100;
        let ends = store.clone();
        std::thread::spawn(move || {
            loop {
                sleep_ms(25);
                ends.end_leases();
            }
        });
        let (address, _) = store.endpoint();
        (store, address)
    }

    /// Writes as the operator or a server does.
    pub fn write(&self, key: &str, value: &str) {
        self.write_all(&[(key.to_owned(), value.to_owned())]);
    }

    /// Writes as several servers do at the same moment.
    pub fn write_all(&self, writes: &[(String, String)]) {
        let mut state = self.shared.0.lock().unwrap();
        for (key, value) in writes {
            state.revision += 1;
            state.put(key, encode64(value.as_bytes()), 0);
        }
        self.shared.1.notify_all();
    }

    /// Lets the next read of a key break off: part of the answer, then silence on that connection.
    pub fn silence_next_read(&self, key: &str) {
        self.shared.0.lock().unwrap().silenced_reads.push(key.to_owned());
    }

    /// Whether a read that was to break off has not come yet.
    pub fn is_silence_pending(&self) -> bool {
        !self.shared.0.lock().unwrap().silenced_reads.is_empty()
    }

    fn end_leases(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            end_lease(&mut state, lease);
            self.shared.1.notify_all();
        }
    }

    /// Opens an address of the store for one machine, at which it can turn that machine away: it then answers
    /// nothing there.
    pub fn endpoint(&self) -> (SocketAddr, Arc<AtomicBool>) {
        let turns_away: Arc<AtomicBool> = Arc::default();
        let (store, flag) = (self.clone(), turns_away.clone());
        (listen(move |stream| store.serve(stream, &flag)), turns_away)
    }

    fn serve(&self, stream: TcpStream, turns_away: &AtomicBool) {
        let is_silent = || turns_away.load(Ordering::SeqCst);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&head, &mut reader) else { return };
            let body = String::from_utf8_lossy(&body).into_owned();
            while is_silent() {
                sleep_ms(20);
            }
            // The answer of a sound store takes some milliseconds.
            sleep_ms(2);
            let (status, answer) = self.answer(&head, &body);
            while is_silent() {
                sleep_ms(20);
            }
            let silenced = head.target().starts_with("/api/kv-key") && {
                let mut state = self.shared.0.lock().unwrap();
                let key = head.query("key").unwrap_or_default();
                let at = state.silenced_reads.iter().position(|silenced| *silenced == key);
                at.map(|at| state.silenced_reads.remove(at)).is_some()
            };
            if silenced {
                let half = answer.len() / 2;
                let text = format!(
                    "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                    answer.len(),
                    &answer[..half]
                );
                let _ = (&stream).write_all(text.as_bytes());
                record(&format!(
                    "store: the answer to {} is lost after {half} of {} bytes; its connection stays silent",
                    head.target(),
                    answer.len()
                ));
                // The connection stays open and returns nothing further.
                loop {
                    sleep_ms(1_000);
                }
            }
            if !respond(&stream, status, &[("Content-Type", "application/json")], answer.as_bytes())
            {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (&'static str, String) {
        let path = head.target().split('?').next().unwrap_or("");
        let query = |name: &str| head.query(name).unwrap_or_default();
        let parsed = Json::parse(body);
        let mut state = self.shared.0.lock().unwrap();
        match (head.method(), path) {
            ("GET", "/api/kv-key") => {
                let key = query("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let mut text = json_item(&key, item);
                        text.pop();
                        ("200 OK", format!("{text},\"currentRev\":{}}}", state.revision))
                    }
                    None => ("404 Not Found", format!("{{\"currentRev\":{}}}", state.revision)),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (query("prefix"), query("after"));
                let found =
                    state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found.map(|(key, item)| json_item(key, item)).collect();
                let text = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"currentRev\":{}}}",
                    items.join(","),
                    state.revision
                );
                ("200 OK", text)
            }
            ("GET", "/api/kv-watch") => {
                let prefix = query("prefix");
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait: u64 = query("waitMs").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let found = state
                        .history
                        .iter()
                        .filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let events: Vec<String> = found.map(|(_, _, event)| event.clone()).collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let text = format!(
                            "{{\"events\":[{}],\"currentRev\":{}}}",
                            events.join(","),
                            state.revision
                        );
                        return ("200 OK", text);
                    }
                    state = self.shared.1.wait_timeout(state, until - now).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let Some(txn) = parsed else { return ("400 Bad Request", "{}".into()) };
                let expected = txn.list("expectedRevision");
                let holds = expected.iter().all(|row| {
                    let known = state
                        .items
                        .get(row.text("key").unwrap_or(""))
                        .map_or(0, |item| item.revision);
                    known == row.number("revision").unwrap_or(0.0) as u64
                });
                if !holds {
                    let items: Vec<String> = expected
                        .iter()
                        .filter_map(|row| {
                            let key = row.text("key")?;
                            state.items.get(key).map(|item| json_item(key, item))
                        })
                        .collect();
                    return (
                        "412 Precondition Failed",
                        format!("{{\"items\":[{}]}}", items.join(",")),
                    );
                }
                let lease_of = |put: &Json| put.number("lease").unwrap_or(0.0) as u64;
                if txn
                    .list("puts")
                    .iter()
                    .any(|put| lease_of(put) != 0 && !state.leases.contains_key(&lease_of(put)))
                {
                    return ("404 Not Found", "{}".into());
                }
                state.revision += 1;
                for put in txn.list("puts") {
                    let value = put.text("value").unwrap_or("").to_owned();
                    state.put(put.text("key").unwrap_or(""), value, lease_of(put));
                }
                for key in txn.list("delete") {
                    if let Json::Text(key) = key {
                        state.delete(key);
                    }
                }
                self.shared.1.notify_all();
                ("200 OK", format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/api/kv-lease") => {
                let ttl =
                    parsed.and_then(|p| p.number("ttlMs")).unwrap_or(1_000.0).max(1_000.0) as u64;
                state.last_lease += 1;
                let lease = 77_000 + state.last_lease;
                state.leases.insert(lease, (Instant::now() + Duration::from_millis(ttl), ttl));
                ("200 OK", format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease: u64 = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl);
                        ("200 OK", format!("{{\"ttlMs\":{ttl}}}"))
                    }
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease: u64 = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                end_lease(&mut state, lease);
                self.shared.1.notify_all();
                ("200 OK", "{}".into())
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }
}

fn end_lease(state: &mut StoreState, lease: u64) {
    state.leases.remove(&lease);
    let keys: Vec<String> = state
        .items
        .iter()
        .filter(|(_, item)| item.lease == lease)
        .map(|(key, _)| key.clone())
        .collect();
    if !keys.is_empty() {
        state.revision += 1;
        keys.iter().for_each(|key| state.delete(key));
    }
}

/// Returns the registration of a server.
pub fn registration(
    service: &str,
    address: SocketAddr,
    slots: u32,
    state: &str,
    seq: u32,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"salt-lake\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq}}}"
    )
}

/// Starts the platform's API, which accepts every call.
pub fn start_cloud() -> SocketAddr {
    listen(|stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(head) = read_head(&mut reader) {
            if read_body(&head, &mut reader).is_none() || !respond(&stream, "200 OK", &[], b"{}") {
                return;
            }
        }
    })
}

// ---------------------------------------------------------------- processes of the system

/// A process of the system with its settings, as the platform starts it.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn free_tcp(ip: Ipv4Addr) -> SocketAddr {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

fn free_tcp_and_udp(ip: Ipv4Addr) -> SocketAddr {
    loop {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns a loopback address of its own on which the metrics port of the deploy file is free.
fn own_ip(number: usize) -> Ipv4Addr {
    for salt in 0..250u32 {
        let seed = std::process::id().wrapping_add(salt.wrapping_mul(101));
        let ip = Ipv4Addr::new(127, 1 + (seed >> 8) as u8 % 250, seed as u8, 10 + number as u8);
        if TcpListener::bind((ip, 9464)).is_ok() {
            return ip;
        }
    }
    panic!("no free loopback address");
}

/// Fills in the template of the settings as the page DEPLOY tells: values and sections.
fn render(template: &str, fields: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(at) = text.find("{{#") {
        let end = at + text[at..].find("}}").unwrap();
        let name = text[at + 3..end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let to = text.find(&close).unwrap();
        let is_set =
            fields.get(name.as_str()).is_some_and(|value| !value.is_empty() && value != "false");
        let inner = if is_set { text[end + 2..to].to_owned() } else { String::new() };
        text.replace_range(at..to + close.len(), &inner);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "the template has fields that are not filled in: {text}");
    text
}

impl Entry {
    /// Starts a process with the command of the deploy file. `bounds` replace those of the site.
    pub fn start(
        number: usize,
        store: SocketAddr,
        cloud: SocketAddr,
        bounds: &[(&'static str, &str)],
    ) -> Self {
        let ip = own_ip(number);
        let (front, ready, directory) = (free_tcp(ip), free_tcp(ip), free_tcp(ip));
        let peer = free_tcp_and_udp(ip);
        let name = format!("front-salt-lake-{number}");
        let mut fields: BTreeMap<&str, String> = BTreeMap::new();
        for (field, value) in [
            ("nodeName", name.clone()),
            ("zone", "salt-lake".into()),
            ("ip", ip.to_string()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.directory", directory.to_string()),
            ("portRange.0", peer.port().to_string()),
            ("bootstrap", "true".into()),
            ("provider.address", store.to_string()),
            ("cloud.address", cloud.to_string()),
        ] {
            fields.insert(field, value);
        }
        // The bounds of the site kantha-calls.
        for (field, value) in [
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
        ] {
            fields.insert(field, value.into());
        }
        for (field, value) in bounds {
            fields.insert(field, (*value).into());
        }
        let template =
            fs::read_to_string("platform/relay.ini").expect("run from the root of the repository");
        let folder =
            PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP names a temporary folder"));
        let settings = folder.join(format!("{name}.ini"));
        let log = folder.join(format!("{name}.log"));
        fs::write(&settings, render(&template, &fields)).unwrap();
        let mut entry = Self { name, front, ready, directory, settings, log, child: None };
        entry.run();
        entry
    }

    /// Starts the process (again).
    pub fn run(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/deploy/fennelfold")
            .arg("relay")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("FENNELFOLD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child =
            child.expect("cannot start target/deploy/fennelfold: build the deploy file first");
        CHILDREN.lock().unwrap().push(child.id());
        self.child = Some(child);
        record(&format!("{} started, front {}", self.name, self.front));
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, signal: i32) {
        let Some(child) = &self.child else { return };
        record(&format!("signal {signal} to {}", self.name));
        unsafe { kill(child.id() as i32, signal) };
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1_000)));
        let _ = (&stream)
            .write_all(b"GET /api/readyz HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n");
        read_head(&mut BufReader::new(stream)).is_some_and(|head| head.status() == 200)
    }

    /// Waits until the process is ready; the case can't run if it is not within 20 s.
    pub fn wait_ready(&self) {
        for _ in 0..200 {
            if self.is_ready() {
                record(&format!("{} is ready", self.name));
                return;
            }
            sleep_ms(100);
        }
        panic!("{} did not become ready", self.name);
    }

    /// Kills the process; it starts again after a short delay, as on the platform.
    pub fn restart(&mut self) {
        if let Some(child) = &mut self.child {
            record(&format!("{} is killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
        sleep_ms(200);
        let text = fs::read_to_string(&self.settings).unwrap();
        fs::write(&self.settings, text.replace("first_start = yes", "")).unwrap();
        self.run();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
            let id = child.id();
            CHILDREN.lock().unwrap().retain(|known| *known != id);
        }
    }
}

// ---------------------------------------------------------------- consumers

/// How an answer ended.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body came to its end in the protocol.
    pub is_complete: bool,
}

/// Sends one request on a connection of its own and reads the answer; `on_bytes` sees the body grow.
pub fn send(
    to: SocketAddr,
    request: &str,
    body: &[u8],
    mut on_bytes: impl FnMut(&[u8]),
) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let mut bytes = request.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    read_answer(&mut reader, &mut on_bytes)
}

pub fn read_answer(reader: &mut impl BufRead, on_bytes: &mut impl FnMut(&[u8])) -> Option<Answer> {
    let head = read_head(reader)?;
    let mut answer = Answer { status: head.status(), head, ..Answer::default() };
    if answer.head.field("transfer-encoding").is_some() {
        loop {
            match read_chunk(reader) {
                Some(Some(chunk)) => {
                    answer.body.extend_from_slice(&chunk);
                    on_bytes(&answer.body);
                }
                Some(None) => {
                    answer.is_complete = true;
                    return Some(answer);
                }
                None => return Some(answer),
            }
        }
    }
    let len: usize =
        answer.head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut buf = [0; 4096];
    while answer.body.len() < len {
        match reader.read(&mut buf) {
            Ok(0) | Err(_) => return Some(answer),
            Ok(n) => {
                answer.body.extend_from_slice(&buf[..n]);
                on_bytes(&answer.body);
            }
        }
    }
    answer.is_complete = true;
    Some(answer)
}

/// Asks the directory for the addresses of the front daemons, as a consumer does first.
pub fn resolve(directory: SocketAddr) -> Vec<SocketAddr> {
    let request = "GET /api/resolve?name=app.example&region=bengal-east&zone=salt-lake HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n";
    let Some(answer) = send(directory, request, b"", |_| {}) else { return Vec::new() };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let Some(json) = Json::parse(&text) else { return Vec::new() };
    let addresses = json.list("addresses").iter().filter_map(|address| match address {
        Json::Text(text) => text.parse().ok(),
        _ => None,
    });
    addresses.collect()
}
