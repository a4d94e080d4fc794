//! A server that leaves stops its streams for a move, and the answers of some servers that go on with them are lost.

use crate::world::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

const EVENTS: u32 = 30;
/// Tokens of an event, which the server writes one by one as it makes them.
const TOKENS: u32 = 6;
const TOKEN_MS: u64 = 20;
const STREAMS: usize = 48;
const SERVERS: usize = 5;
/// Short requests of each of 20 consumers.
const SHORT: usize = 60;

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"r-tag","hostname":"app.example","prefix":"/tag/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":800,"priority":2,"service":"pool","maxAttempts":1,"public":false},
{"name":"r-draft","hostname":"app.example","prefix":"/draft/","kind":"streaming","timeoutMs":30000,"targetLatencyMs":600,"priority":0,"service":"pool","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":800}],
"services":[{"name":"pool","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":500000,"moves":true}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000},
"tenants":[{"name":"t-one","apiKeys":["key-one"]}]}"#;

struct Run {
    stop: Arc<AtomicBool>,
    is_closed: Arc<AtomicBool>,
    made: Arc<AtomicU32>,
}

#[derive(Default)]
struct Shared {
    copies: HashMap<String, String>,
    handles: u32,
}

struct Server {
    id: String,
    address: SocketAddr,
    /// Whether the answers to the last two of every five requests are lost, so never more than 0.4 of them.
    loses: bool,
    answers: AtomicU32,
    lost: AtomicU32,
    runs: Mutex<HashMap<String, Run>>,
    shared: Arc<Mutex<Shared>>,
    all: Arc<Mutex<Vec<Arc<Server>>>>,
}

/// Returns an event as its server writes it.
fn event(request: &str, number: u32) -> String {
    let tokens: String = (1..=TOKENS).map(|token| format!(" {request}.{number}.{token}")).collect();
    format!("id: {number}\ndata:{tokens}\n\n")
}

impl Server {
    fn start(
        number: usize,
        shared: &Arc<Mutex<Shared>>,
        all: &Arc<Mutex<Vec<Arc<Server>>>>,
    ) -> Arc<Self> {
        let slot: Arc<Mutex<Option<Arc<Server>>>> = Arc::default();
        let served = slot.clone();
        let address = listen(move |stream| {
            let server = served.lock().unwrap().clone();
            if let Some(server) = server {
                server.serve(&stream);
            }
        });
        let server = Arc::new(Self {
            id: format!("i-{number:08x}"),
            address,
            loses: (2..=4).contains(&number),
            answers: AtomicU32::new(0),
            lost: AtomicU32::new(0),
            runs: Mutex::default(),
            shared: shared.clone(),
            all: all.clone(),
        });
        *slot.lock().unwrap() = Some(server.clone());
        all.lock().unwrap().push(server.clone());
        server
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&head, &mut reader) else { return };
            if head.target() == "/api/kv-move" {
                if !self.answer_move(stream, &String::from_utf8_lossy(&body)) {
                    return;
                }
                continue;
            }
            let id = head.field("x-fennelfold-attempt-id").unwrap_or("").to_owned();
            let echo =
                [("X-Fennelfold-Attempt-Id", id.as_str()), ("X-Fennelfold-Not-Executed", "1")];
            if head
                .field("x-fennelfold-expect-instance")
                .is_some_and(|expected| expected != self.id)
            {
                respond(stream, "421 Misdirected Request", &echo, b"");
                continue;
            }
            if head.target().starts_with("/tag/") {
                let echo = [
                    ("X-Fennelfold-Attempt-Id", id.as_str()),
                    ("X-Fennelfold-Server-Seal", &self.id),
                ];
                if !respond(stream, "200 OK", &echo, b"tagged") {
                    return;
                }
                continue;
            }
            if let Some(from) = head.field("kv-from") {
                let handle = from.rsplit('/').next().unwrap_or("");
                if self.shared.lock().unwrap().copies.remove(handle).as_deref() != Some(&self.id) {
                    respond(stream, "503 Service Unavailable", &echo, b"");
                    continue;
                }
            }
            let number = self.answers.fetch_add(1, Ordering::SeqCst);
            if has_trouble() && self.loses && number % 5 >= 3 {
                record(&format!("{}: runs {id}, and its answer is lost", self.id));
                self.lost.fetch_add(1, Ordering::SeqCst);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            if !self.run(&head, &id, stream) {
                return;
            }
        }
    }

    fn run(&self, head: &Head, id: &str, mut stream: &TcpStream) -> bool {
        let after: u32 =
            head.field("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let run = Run {
            stop: Arc::default(),
            is_closed: Arc::default(),
            made: Arc::new(AtomicU32::new(after)),
        };
        let (stop, is_closed, made) = (run.stop.clone(), run.is_closed.clone(), run.made.clone());
        self.runs.lock().unwrap().insert(id.to_owned(), run);
        record(&format!("{}: runs {id} from event {}", self.id, after + 1));
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Fennelfold-Attempt-Id: {id}\r\nX-Fennelfold-Server-Seal: {}.{id}\r\n\r\n",
            self.id
        );
        let mut is_sound = stream.write_all(text.as_bytes()).is_ok();
        let name = head.target().rsplit('/').next().unwrap_or("").to_owned();
        'events: for number in after + 1..=EVENTS {
            let whole = event(&name, number);
            let mut parts: Vec<&str> = whole.split_inclusive(' ').collect();
            // The field name goes with the first token.
            let first = format!("{}{}", parts[0], parts[1]);
            parts.drain(..2);
            for part in std::iter::once(first.as_str()).chain(parts) {
                sleep_ms(TOKEN_MS);
                let chunk = format!("{:x}\r\n{part}\r\n", part.len());
                is_sound = is_sound && stream.write_all(chunk.as_bytes()).is_ok();
                if !is_sound {
                    break 'events;
                }
                // A run stops after the step that is under way.
                if stop.load(Ordering::SeqCst) {
                    break 'events;
                }
            }
            made.store(number, Ordering::SeqCst);
        }
        let was_stopped = stop.load(Ordering::SeqCst);
        if was_stopped {
            record(&format!("{}: stops {id} after event {}", self.id, made.load(Ordering::SeqCst)));
            let _ = stream.shutdown(Shutdown::Both);
        } else if is_sound {
            is_sound = stream.write_all(b"0\r\n\r\n").is_ok();
        }
        is_closed.store(true, Ordering::SeqCst);
        self.runs.lock().unwrap().remove(id);
        is_sound && !was_stopped
    }

    fn answer_move(&self, stream: &TcpStream, body: &str) -> bool {
        let call = Json::parse(body).unwrap_or(Json::Null);
        let (id, to) =
            (call.text("id").unwrap_or("").to_owned(), call.text("to").unwrap_or("").to_owned());
        let found = {
            let runs = self.runs.lock().unwrap();
            runs.get(&id).map(|run| (run.stop.clone(), run.is_closed.clone(), run.made.clone()))
        };
        let Some((stop, is_closed, made)) = found else {
            return respond(stream, "404 Not Found", &[], b"{}");
        };
        stop.store(true, Ordering::SeqCst);
        while !is_closed.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
        let all = self.all.lock().unwrap().clone();
        let other = all.iter().find(|other| other.address.to_string() == to);
        let Some(other) = other else {
            return respond(stream, "503 Service Unavailable", &[], b"{}");
        };
        let handle = {
            let mut shared = self.shared.lock().unwrap();
            shared.handles += 1;
            let handle = format!("h{}", shared.handles);
            shared.copies.insert(handle.clone(), other.id.clone());
            handle
        };
        record(&format!("{}: copied {id} to {} as {handle}", self.id, other.id));
        let answer =
            format!("{{\"handle\":\"{handle}\",\"createdRev\":{}}}", made.load(Ordering::SeqCst));
        respond(stream, "200 OK", &[("Content-Type", "application/json")], answer.as_bytes())
    }
}

pub fn run() -> i32 {
    let (store, store_address) = Store::start();
    let cloud = start_cloud();
    store.write("op/config", CONFIG);
    let (shared, all) = (Arc::default(), Arc::default());
    let leaving = Server::start(1, &shared, &all);
    let register = |server: &Server, state: &str, seq: u32| {
        let value = registration("pool", server.address, 64, state, seq);
        store.write(&format!("servers/{}", server.id), &value);
    };
    register(&leaving, "ready", 1);
    let entries: Vec<Entry> =
        (1..=2).map(|number| Entry::start(number, store_address, cloud, &[])).collect();
    entries.iter().for_each(Entry::wait_ready);
    sleep_ms(1_500);
    let fronts = resolve(entries[0].directory);
    if fronts.is_empty() {
        return 2;
    }
    // Short requests, as most are at the site. The retry budget grows with them.
    let taggers: Vec<_> = (0..20)
        .map(|number| {
            let front = fronts[number % fronts.len()];
            std::thread::spawn(move || {
                for round in 0..SHORT {
                    let id = format!("{:016x}", 0xcd0000 + number * 256 + round);
                    let request = format!(
                        "GET /tag/{number} HTTP/1.1\r\nHost: app.example\r\nX-Fennelfold-Attempt-Id: {id}\r\n\
                         X-Fennelfold-Deadline-Ms: 3000\r\nX-Fennelfold-Key: key-one\r\nConnection: close\r\n\r\n"
                    );
                    send(front, &request, b"", |_| {});
                    sleep_ms(20);
                }
            })
        })
        .collect();
    taggers.into_iter().for_each(|tagger| drop(tagger.join()));
    record(&format!("consumers: {} short requests answered", 20 * SHORT));
    let broken: Arc<Mutex<(usize, usize)>> = Arc::default();
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (broken, front) = (broken.clone(), fronts[number % fronts.len()]);
            std::thread::spawn(move || {
                sleep_ms(number as u64 * 7);
                let id = format!("{:016x}", 0xab000 + number);
                let request = format!(
                    "POST /draft/s{number} HTTP/1.1\r\nHost: app.example\r\nX-Fennelfold-Attempt-Id: {id}\r\n\
                     X-Fennelfold-Model: m\r\nX-Fennelfold-Token-Usage: 628,300\r\n\
                     X-Fennelfold-Prompt-Prefix: 7b00{number:x}:628\r\nX-Fennelfold-Deadline-Ms: 25000\r\n\
                     X-Fennelfold-Key: key-one\r\nContent-Length: 2\r\n\r\n"
                );
                record(&format!("consumer: sends {id}"));
                let answer = send(front, &request, b"{}", |_| {}).unwrap_or_default();
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let expected: String = (1..=EVENTS).map(|event_id| event(&format!("s{number}"), event_id)).collect();
                let is_success = answer.status == 200 && answer.is_complete;
                let is_whole = text == expected;
                record(&format!(
                    "consumer: {id} got {}, complete: {}, text as the servers made it: {is_whole}{}",
                    answer.status,
                    answer.is_complete,
                    if is_success && !is_whole { "  <-- ORDER broken" } else { "" }
                ));
                if is_success && !is_whole {
                    let same = text.bytes().zip(expected.bytes()).take_while(|(a, b)| a == b).count();
                    let from = text[..same].rfind("\n\n").map_or(0, |at| at + 2);
                    let got: String = text[from..].chars().take(120).collect();
                    record(&format!("consumer: {id} got after the last whole piece: {got:?}"));
                }
                let mut broken = broken.lock().unwrap();
                broken.0 += usize::from(is_success && !is_whole);
                broken.1 += usize::from(is_success);
            })
        })
        .collect();
    sleep_ms(900);
    let others: Vec<_> = (2..=SERVERS).map(|number| Server::start(number, &shared, &all)).collect();
    others.iter().for_each(|server| register(server, "ready", 1));
    sleep_ms(700);
    if has_trouble() {
        record(&format!("{} reports that it drains", leaving.id));
        register(&leaving, "draining", 2);
    }
    consumers.into_iter().for_each(|consumer| drop(consumer.join()));
    let (broken, complete) = *broken.lock().unwrap();
    record(&format!(
        "of {complete} answers that ended as complete, {broken} hold other text than the servers made"
    ));
    let lost: u32 = others.iter().map(|server| server.lost.load(Ordering::SeqCst)).sum();
    record(&format!("answers lost: {lost}"));
    if has_trouble() && lost == 0 {
        return 2;
    }
    i32::from(broken > 0)
}
