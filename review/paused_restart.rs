//! A server that has asked for rest crashes behind a cut and starts again, while its answers end with their connections.
//!
//! `paused_restart RECORD` runs the case; `paused_restart server ID PORT` is a server. With `TROUBLE=0` nothing is cut
//! and no server crashes.

#![allow(dead_code, reason = "each case uses a part of the shared modules")]

#[path = "second_entry.rs"]
mod entry;
#[path = "second_http.rs"]
mod http;
#[path = "second_json.rs"]
mod json;
#[path = "second_record.rs"]
mod record;
#[path = "second_store.rs"]
mod store;

use entry::Entry;
use record::Record;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use store::Store;

/// One of them is cut off: a share of 0.167.
const SERVERS: usize = 6;
/// Requests that a server processes, and that wait for a place.
const SLOTS: usize = 2;
const QUEUE: usize = 1;
/// Requests that are sent at once: more than the servers take.
const REQUESTS: usize = 24;
/// Time after the first half of an answer until the other half.
const WORK: Duration = Duration::from_millis(1_200);
/// Time for which a full server wants no requests from an entry, in seconds.
const RETRY_AFTER_S: u32 = 3;
/// Length of the cut.
const CUT: Duration = Duration::from_millis(900);
/// Time from the crash until the server runs again.
const RESTART: Duration = Duration::from_millis(300);
/// Time budget of a caller.
const BUDGET: Duration = Duration::from_secs(8);
const HALVES: [&str; 2] = ["the first half of an answer, ", "and the other half of it"];

/// Runs a server that tells its address and what it does with each request.
fn run_server(id: &str, port: &str) {
    let port = port.parse().expect("no port");
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("the port is taken");
    println!("address {}", listener.local_addr().expect("no address"));
    let (id, taken) = (id.to_owned(), Arc::new(AtomicUsize::new(0)));
    let places = Arc::new(Mutex::new(0_usize));
    http::serve(listener, move |stream| {
        let _ = serve(stream, &id, &taken, &places);
    });
    // Ends with the process that started this one.
    let mut line = String::new();
    while std::io::stdin().read_line(&mut line).is_ok_and(|len| len > 0) {}
}

fn serve(
    mut stream: TcpStream,
    id: &str,
    taken: &AtomicUsize,
    places: &Mutex<usize>,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let req = http::read_request(&mut reader)?;
        let request = req.header("x-fennelfold-attempt-id").unwrap_or_default().to_owned();
        let echo = format!("x-fennelfold-attempt-id: {request}\r\n");
        if req.header("x-fennelfold-expect-instance").is_some_and(|expected| expected != id) {
            println!("is not meant by {} {request}", req.target);
            http::respond(&mut stream, 421, &echo, b"").ok()?;
            continue;
        }
        if request.is_empty() {
            println!("is asked {}", req.target);
            http::respond(&mut stream, 200, "", b"{}").ok()?;
            continue;
        }
        if taken.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
            taken.fetch_sub(1, Ordering::SeqCst);
            println!("refuses {request}");
            let headers =
                format!("{echo}x-fennelfold-not-executed: 1\r\nretry-after: {RETRY_AFTER_S}\r\n");
            http::respond(&mut stream, 503, &headers, b"").ok()?;
            continue;
        }
        while !take_place(places) {
            std::thread::sleep(Duration::from_millis(5));
        }
        println!("runs {request}");
        let written = answer(&mut stream, id, &request, &echo);
        println!("ended {request}");
        *places.lock().expect("a request has failed") -= 1;
        taken.fetch_sub(1, Ordering::SeqCst);
        written.ok()?;
        // The answer has no length and ends with its connection.
        return stream.shutdown(Shutdown::Both).ok();
    }
}

fn take_place(places: &Mutex<usize>) -> bool {
    let mut places = places.lock().expect("a request has failed");
    let is_free = *places < SLOTS;
    *places += usize::from(is_free);
    is_free
}

fn answer(stream: &mut TcpStream, id: &str, request: &str, echo: &str) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 X\r\n{echo}x-fennelfold-server-seal: {id}.{request}\r\n\r\n");
    stream.write_all((head + HALVES[0]).as_bytes())?;
    std::thread::sleep(WORK);
    stream.write_all(HALVES[1].as_bytes())
}

/// The path to a server, which can be cut: nothing gets through, and what was on its way arrives after the cut.
struct Link {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = is_cut.clone();
        http::serve(listener, move |near| {
            wait_for_path(&cut);
            let Ok(far) = TcpStream::connect(to) else { return };
            let _ = far.set_nodelay(true);
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
            let forth = cut.clone();
            std::thread::spawn(move || pass_on(near_copy, far_copy, &forth));
            pass_on(far, near, &cut);
        });
        Self { address, is_cut }
    }
}

fn wait_for_path(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Passes bytes on, and the end of the connection as it came: in order, or as a reset.
fn pass_on(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buf = [0; 4096];
    loop {
        let read = from.read(&mut buf);
        wait_for_path(is_cut);
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(len) if to.write_all(&buf[..len]).is_ok() => {}
            // Bytes that nobody has read make the system reset the connection.
            Ok(_) | Err(_) => {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// What a server has told.
#[derive(Default)]
struct Told {
    refused: bool,
    running: usize,
}

struct Server {
    number: usize,
    /// Number of processes so far.
    boots: usize,
    child: Child,
    own_address: SocketAddr,
    told: Arc<Mutex<Told>>,
}

impl Server {
    fn start(number: usize, boots: usize, port: u16, record: &Record) -> Self {
        let program = std::env::current_exe().expect("no program");
        let id = format!("i-{number}-{boots}");
        let mut child = Command::new(program)
            .args(["server", &id, &port.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("cannot start a server");
        let mut lines = BufReader::new(child.stdout.take().expect("no output")).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        let address = first.strip_prefix("address ").expect("the server has no address");
        let own_address = address.parse().expect("the server has no address");
        let told: Arc<Mutex<Told>> = Arc::default();
        let (record, heard) = (record.clone(), told.clone());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(&format!("server {id} {line}"));
                let mut told = heard.lock().expect("a server has failed");
                match line.split(' ').next() {
                    Some("refuses") => told.refused = true,
                    Some("runs") => told.running += 1,
                    Some("ended") => told.running -= 1,
                    _ => {}
                }
            }
        });
        Self { number, boots, child, own_address, told }
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.boots)
    }

    fn register(&self, store: &Store, link: &Link) {
        let born =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("no time");
        let entry = format!(
            "{{\"service\":\"booking\",\"address\":\"{}\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":{}}}",
            link.address,
            born.as_millis()
        );
        store.put(&format!("servers/{}", self.id()), &entry);
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"push","hostname":"host.example","prefix":"/push/",
"kind":"non_idempotent","timeoutMs":8000,"targetLatencyMs":2000,"priority":0,"service":"booking","maxAttempts":1,
"public":false,"sticky":false,"resumable":false}],"services":[{"name":"booking","healthPath":"/healthz","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}"#;

fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let folder = record::temporary_folder("restart");
    let store = Store::new();
    store.put("op/config", CONFIG);
    let mut servers: Vec<Server> =
        (0..SERVERS).map(|number| Server::start(number, 0, 0, record)).collect();
    let links: Vec<Link> = servers.iter().map(|server| Link::start(server.own_address)).collect();
    servers.iter().zip(&links).for_each(|(server, link)| server.register(&store, link));
    let entry = Entry::start("front-0", "north", store.endpoint(0), &folder);
    let other = Entry::start("front-1", "south", store.endpoint(1), &folder);
    if !entry.wait_until_ready() || !other.wait_until_ready() {
        return Err("an entry did not get ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));

    let answers: Arc<Mutex<BTreeMap<String, http::Response>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let (record, answers, front) = (record.clone(), answers.clone(), entry.front);
        callers.push(std::thread::spawn(move || {
            let id = format!("r{number}");
            let headers = format!(
                "host: host.example\r\nx-fennelfold-attempt-id: {id}\r\nx-fennelfold-deadline-ms: {}\r\n",
                BUDGET.as_millis()
            );
            record.line(&format!("caller sends {id}"));
            let response = http::call(front, "POST", "/push/x", &headers, b"a push", BUDGET);
            record.line(&format!(
                "caller of {id} got {} seal={:?} complete={} body={:?}",
                response.status,
                response.header("x-fennelfold-server-seal"),
                response.is_complete,
                String::from_utf8_lossy(&response.body)
            ));
            answers.lock().expect("a caller has failed").insert(id, response);
        }));
    }
    std::thread::sleep(Duration::from_millis(400));
    if has_trouble {
        let is_meant = |server: &&mut Server| {
            let told = server.told.lock().expect("a server has failed");
            told.refused && told.running > 0
        };
        let server = servers.iter_mut().find(is_meant);
        let server = server.ok_or("no server has refused a request and runs another one")?;
        let link = &links[server.number];
        link.is_cut.store(true, Ordering::SeqCst);
        let cut_at = Instant::now();
        record.line(&format!("the path to server {} is cut", server.id()));
        server.kill();
        record.line(&format!("server {} crashes", server.id()));
        std::thread::sleep(RESTART);
        *server = Server::start(server.number, 1, server.own_address.port(), record);
        server.register(&store, link);
        record.line(&format!("server {} runs at the same address", server.id()));
        std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
        link.is_cut.store(false, Ordering::SeqCst);
        record.line("the path is whole again");
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop((entry, other));
    drop(servers);
    let whole = HALVES.concat();
    let answers = answers.lock().expect("a caller has failed");
    let is_broken = |response: &http::Response| {
        (200..300).contains(&response.status)
            && response.is_complete
            && response.body != whole.as_bytes()
    };
    let broken: Vec<&String> =
        answers.iter().filter(|(_, response)| is_broken(response)).map(|(id, _)| id).collect();
    record.line(&format!("successes with a part of the body: {broken:?}"));
    let _ = std::fs::remove_dir_all(&folder);
    Ok(broken.is_empty())
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if let [_, kind, id, port] = &args[..]
        && kind == "server"
    {
        run_server(id, port);
        return ExitCode::SUCCESS;
    }
    let record = Record::create(args.get(1).map_or("record.txt", String::as_str));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(&record, has_trouble) {
        Ok(true) => {
            record.line("MIXED held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("MIXED broken");
            ExitCode::from(1)
        }
        Err(cause) => {
            record.line(&format!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
