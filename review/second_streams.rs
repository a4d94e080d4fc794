//! Servers that write streams of events, and callers that go on with a stream after a broken connection.

use crate::http;
use crate::record::Record;
use crate::store::Store;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const EVENTS: usize = 64;
const EVENT_PAUSE: Duration = Duration::from_millis(150);
/// Number of attempts of a caller: the first one and three retries.
const MAX_ATTEMPTS: usize = 4;
/// Time budget of a caller.
const BUDGET: Duration = Duration::from_secs(15);

fn event(version: &str, number: usize) -> String {
    format!("id: {number}\ndata: {version} piece {number}\n\n")
}

/// Runs a server that tells its address and each request that it runs.
pub fn run_server(id: &str, version: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    println!("address {}", listener.local_addr().expect("no address"));
    let (id, version) = (id.to_owned(), version.to_owned());
    http::serve(listener, move |stream| {
        let _ = serve(stream, &id, &version);
    });
    // Ends with the process that started this one.
    let mut line = String::new();
    while std::io::stdin().read_line(&mut line).is_ok_and(|len| len > 0) {}
}

fn serve(mut stream: TcpStream, id: &str, version: &str) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some(req) = http::read_request(&mut reader) {
        let request = req.header("x-fennelfold-attempt-id").unwrap_or_default().to_owned();
        let echo = format!("x-fennelfold-attempt-id: {request}\r\n");
        if req.header("x-fennelfold-expect-instance").is_some_and(|expected| expected != id) {
            http::respond(&mut stream, 421, &echo, b"").ok()?;
            continue;
        }
        if request.is_empty() {
            http::respond(&mut stream, 200, "", b"{}").ok()?;
            continue;
        }
        println!("ran {request} from {:?}", req.header("last-event-id"));
        let last = req.header("last-event-id").and_then(|id| id.parse::<usize>().ok());
        let head = format!(
            "HTTP/1.1 200 X\r\n{echo}x-fennelfold-server-seal: {id}.{request}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        for number in last.map_or(0, |last| last + 1)..EVENTS {
            std::thread::sleep(EVENT_PAUSE);
            let event = event(version, number);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
    }
    Some(())
}

/// A server that runs as a process of its own.
pub struct Server {
    id: String,
    service: &'static str,
    version: &'static str,
    pub address: String,
    child: Child,
}

impl Server {
    pub fn start(id: &str, service: &'static str, version: &'static str, record: &Record) -> Self {
        let program = std::env::current_exe().expect("no program");
        let mut child = Command::new(program)
            .args(["server", id, version])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("cannot start a server");
        let mut lines = BufReader::new(child.stdout.take().expect("no output")).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        let address = first.strip_prefix("address ").expect("the server has no address").to_owned();
        let (record, name) = (record.clone(), format!("{id} ({version})"));
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| record.line(&format!("server {name} {line}")))
        });
        Self { id: id.to_owned(), service, version, address, child }
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn register(&self, store: &Store) {
        let born =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("no time");
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"north\",\"version\":\"{}\",\"slots\":32,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":{}}}",
            self.service,
            self.address,
            self.version,
            born.as_millis()
        );
        store.put(&self.key(), &entry);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A stream of a caller, over all its attempts.
#[derive(Default)]
pub struct Stream {
    text: Vec<u8>,
    pub is_complete: bool,
    attempts: usize,
}

impl Stream {
    /// Returns the number of events that arrived whole.
    fn events(&self) -> usize {
        self.text.windows(2).filter(|pair| *pair == b"\n\n").count()
    }

    /// Returns the versions that wrote the events.
    pub fn versions(&self) -> Vec<&'static str> {
        let text = String::from_utf8_lossy(&self.text);
        ["v1", "v2"]
            .into_iter()
            .filter(|version| text.contains(&format!("data: {version} ")))
            .collect()
    }

    /// Takes in what one attempt brought, up to the last whole event.
    fn add(&mut self, body: &[u8]) {
        let end = body.windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |at| at + 2);
        self.text.extend_from_slice(&body[..end]);
    }
}

/// Sends a request for a stream, and goes on with it after a broken connection, until its time budget ends.
pub fn call(name: &str, fronts: &[SocketAddr], first: usize, record: &Record) -> Stream {
    let until = Instant::now() + BUDGET;
    let mut stream = Stream::default();
    let mut front = first;
    while !stream.is_complete
        && stream.attempts < MAX_ATTEMPTS
        && Instant::now() + Duration::from_millis(300) < until
    {
        let left = until - Instant::now();
        let id = format!("{name}-{}", stream.attempts);
        stream.attempts += 1;
        let mut headers = format!(
            "host: host.example\r\nx-fennelfold-attempt-id: {id}\r\nx-fennelfold-deadline-ms: {}\r\n",
            left.as_millis()
        );
        let events = stream.events();
        if events > 0 {
            headers += &format!("last-event-id: {}\r\n", events - 1);
        }
        let address = fronts[front % fronts.len()];
        record.line(&format!("caller sends {id} to {address} after {events} events"));
        let response = http::call(address, "POST", "/drafts/x", &headers, b"a prompt", left);
        stream.add(if response.status == 200 { &response.body } else { b"" });
        stream.is_complete = response.status == 200 && response.is_complete;
        record.line(&format!(
            "caller of {id} got {} complete={} events={} versions={:?}",
            response.status,
            response.is_complete,
            stream.events(),
            stream.versions()
        ));
        front += 1;
        let pause =
            response.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.05);
        std::thread::sleep(Duration::from_secs_f64(pause));
    }
    stream
}
