//! Servers that refuse requests when they are full, and now and then send a second copy of a refusal late.

use crate::world::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

const SERVERS: usize = 3;
/// Servers that hand out wrong bytes: no more than 0.6 of them.
const GARBLING: usize = 1;
/// One answer in this many is sent twice, which is no more than 0.03 of them.
const ONE_IN: u32 = 34;
const SLOTS: u32 = 2;
const WORK_MS: u64 = 30;
const CONSUMERS: usize = 9;
const LENGTH_MS: u64 = 20_000;
/// The refusal of a full server as `fleetbench wire` prints it.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Fennelfold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"r-alert","hostname":"app.example","prefix":"/alert/","kind":"non_idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"callbook","maxAttempts":1,"public":false}],
"services":[{"name":"callbook","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000},
"tenants":[{"name":"t-one","apiKeys":["key-one"]}]}"#;

/// Runs by request: the servers that ran it.
type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

struct Server {
    id: String,
    garbles: bool,
    busy: AtomicU32,
    answers: AtomicU32,
    has_begun: Arc<AtomicBool>,
    extras: Arc<AtomicU32>,
    runs: Runs,
}

impl Server {
    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut owes_copy = false;
        while let Some(head) = read_head(&mut reader) {
            if read_body(&head, &mut reader).is_none() {
                return;
            }
            let id = head.field("x-fennelfold-attempt-id").unwrap_or("").to_owned();
            if std::mem::take(&mut owes_copy) {
                self.extras.fetch_add(1, Ordering::SeqCst);
                record(&format!(
                    "{}: sends the second copy of a refusal where the answer to {id} is due",
                    self.id
                ));
                if (&stream).write_all(REFUSAL).is_err() {
                    return;
                }
            }
            let number = self.answers.fetch_add(1, Ordering::SeqCst);
            let is_full = self.busy.fetch_add(1, Ordering::SeqCst) >= SLOTS;
            let is_other = head
                .field("x-fennelfold-expect-instance")
                .is_some_and(|expected| expected != self.id);
            let is_sent = if is_other {
                respond(
                    &stream,
                    "421 Misdirected Request",
                    &[("X-Fennelfold-Instance-Id", &self.id)],
                    b"",
                )
            } else if is_full {
                record(&format!("{}: refuses {id}", self.id));
                owes_copy =
                    self.garbles && self.has_begun.load(Ordering::SeqCst) && number % ONE_IN == 0;
                (&stream).write_all(REFUSAL).is_ok()
            } else {
                record(&format!("{}: runs {id}", self.id));
                self.runs.lock().unwrap().entry(id.clone()).or_default().push(self.id.clone());
                sleep_ms(WORK_MS);
                let fields = [
                    ("X-Fennelfold-Attempt-Id", id.as_str()),
                    ("X-Fennelfold-Server-Seal", &self.id),
                ];
                respond(&stream, "200 OK", &fields, format!("done {id}").as_bytes())
            };
            self.busy.fetch_sub(1, Ordering::SeqCst);
            if !is_sent {
                return;
            }
        }
    }
}

pub fn run() -> i32 {
    let (store, store_address) = Store::start();
    let cloud = start_cloud();
    store.write("op/config", CONFIG);
    let (runs, extras, has_begun): (Runs, _, _) =
        (Arc::default(), Arc::new(AtomicU32::new(0)), Arc::new(AtomicBool::new(false)));
    for number in 1..=SERVERS {
        let server = Arc::new(Server {
            id: format!("i-{number:08x}"),
            garbles: has_trouble() && number <= GARBLING,
            busy: AtomicU32::new(0),
            answers: AtomicU32::new(0),
            has_begun: has_begun.clone(),
            extras: extras.clone(),
            runs: runs.clone(),
        });
        let key = format!("servers/{}", server.id);
        let address = listen(move |stream| server.serve(stream));
        store.write(&key, &registration("callbook", address, SLOTS, "ready", 1));
    }
    let entries: Vec<Entry> =
        (1..=2).map(|number| Entry::start(number, store_address, cloud, &[])).collect();
    entries.iter().for_each(Entry::wait_ready);
    sleep_ms(1_500);
    let fronts = resolve(entries[0].directory);
    if fronts.is_empty() {
        return 2;
    }
    has_begun.store(true, Ordering::SeqCst);
    let until = now_ms() + LENGTH_MS;
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (answers, front) = (answers.clone(), fronts[number % fronts.len()]);
            std::thread::spawn(move || consume(number, front, until, &answers))
        })
        .collect();
    consumers.into_iter().for_each(|consumer| drop(consumer.join()));
    sleep_ms(300);
    let (runs, answers) = (runs.lock().unwrap(), answers.lock().unwrap());
    let mut twice = 0;
    let mut refused = 0;
    for (id, servers) in runs.iter() {
        if servers.len() > 1 {
            twice += 1;
            record(&format!("TWICE broken: {id} ran at {}", servers.join(" and ")));
        }
        if let Some(status @ (408 | 421 | 429 | 503)) = answers.get(id) {
            refused += 1;
            record(&format!(
                "REFUSED broken: {id} was answered {status} and ran at {}",
                servers.join(" and ")
            ));
        }
    }
    let extras = extras.load(Ordering::SeqCst);
    record(&format!(
        "sent {}, ran {}, second copies of refusals {extras}; ran twice {twice}, refused though it ran {refused}",
        answers.len(),
        runs.len()
    ));
    if runs.is_empty() || (has_trouble() && extras == 0) {
        return 2;
    }
    i32::from(twice + refused > 0)
}

/// Sends requests one after the other on a kept connection.
fn consume(number: usize, front: SocketAddr, until: u64, answers: &Mutex<HashMap<String, u16>>) {
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut count = 0;
    while now_ms() < until {
        count += 1;
        let id = format!("{:016x}", 0xb0000 + number * 0x10000 + count);
        let request = format!(
            "POST /alert/{number} HTTP/1.1\r\nHost: app.example\r\nX-Fennelfold-Attempt-Id: {id}\r\n\
             X-Fennelfold-Deadline-Ms: 600\r\nX-Fennelfold-Key: key-one\r\nContent-Length: 5\r\n\r\nalert"
        );
        let reader = match connection.take() {
            Some(reader) => Some(reader),
            None => TcpStream::connect(front).ok().map(|stream| {
                let _ = stream.set_nodelay(true);
                BufReader::new(stream)
            }),
        };
        let Some(mut reader) = reader else { return };
        record(&format!("consumer: sends {id}"));
        if reader.get_mut().write_all(request.as_bytes()).is_err() {
            continue;
        }
        match read_answer(&mut reader, &mut |_| {}) {
            Some(answer) if answer.is_complete => {
                record(&format!("consumer: {id} got {}", answer.status));
                answers.lock().unwrap().insert(id, answer.status);
                if !answer
                    .head
                    .field("connection")
                    .is_some_and(|value| value.eq_ignore_ascii_case("close"))
                {
                    connection = Some(reader);
                }
            }
            _ => record(&format!("consumer: {id} got no answer")),
        }
        sleep_ms(20);
    }
}
