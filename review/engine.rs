//! Model servers that answer with event streams, and the registration of servers in the store.

use crate::world::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

/// How a model server answers.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Memory for prompts, in tokens.
    pub kv_capacity: u64,
    /// Number of events of each stream.
    pub events: u32,
    /// Time between two events.
    pub event_ms: u64,
}

struct Run {
    tokens: u64,
    stop: Arc<AtomicBool>,
    made: Arc<AtomicU32>,
    is_closed: Arc<AtomicBool>,
}

#[derive(Default)]
struct EngineState {
    runs: HashMap<String, Run>,
    /// Copies of runs, by handle: the request and its tokens.
    copies: HashMap<String, (String, u64)>,
    handles: u32,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    settings: EngineSettings,
    state: Mutex<EngineState>,
    /// Number of calls to move a run.
    pub moves: AtomicU32,
    /// Runs that were stopped by a move and not taken up again: request and events made.
    pub stopped: Mutex<Vec<(String, u32)>>,
}

/// All model servers, by address.
pub type Engines = Arc<Mutex<HashMap<SocketAddr, Arc<Engine>>>>;

impl Engine {
    pub fn start(number: usize, settings: EngineSettings, engines: &Engines) -> Arc<Self> {
        let slot: Arc<Mutex<Option<Arc<Engine>>>> = Arc::default();
        let (served, all) = (slot.clone(), engines.clone());
        let address = listen(move |stream| {
            let engine = served.lock().unwrap().clone();
            if let Some(engine) = engine {
                engine.serve(stream, &all);
            }
        });
        let engine = Arc::new(Engine {
            id: format!("i-{number:08x}"),
            address,
            settings,
            state: Mutex::default(),
            moves: AtomicU32::new(0),
            stopped: Mutex::default(),
        });
        *slot.lock().unwrap() = Some(engine.clone());
        engines.lock().unwrap().insert(address, engine.clone());
        engine
    }

    fn used(state: &EngineState) -> u64 {
        let copies: u64 = state.copies.values().map(|(_, tokens)| tokens).sum();
        state.runs.values().map(|run| run.tokens).sum::<u64>() + copies
    }

    /// Number of runs at this server.
    pub fn run_count(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    fn serve(&self, stream: TcpStream, engines: &Engines) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&head, &mut reader) else { return };
            let goes_on = match head.target() {
                "/api/kv-move" => {
                    self.answer_move(&stream, &String::from_utf8_lossy(&body), engines)
                }
                "/healthz" => {
                    respond(&stream, "200 OK", &[("X-Fennelfold-Instance-Id", &self.id)], b"")
                }
                "/api/report" => respond(&stream, "404 Not Found", &[], b""),
                _ => {
                    if self.refuses(&head, &stream) {
                        continue;
                    }
                    self.run(&head, &stream);
                    false
                }
            };
            if !goes_on {
                return;
            }
        }
    }

    /// Refuses a request that is for another server, or for which there is no room.
    fn refuses(&self, head: &Head, stream: &TcpStream) -> bool {
        let id = head.field("x-fennelfold-attempt-id").unwrap_or("").to_owned();
        let echo = [("X-Fennelfold-Attempt-Id", id.as_str()), ("X-Fennelfold-Not-Executed", "1")];
        if head.field("x-fennelfold-expect-instance").is_some_and(|expected| expected != self.id) {
            respond(stream, "421 Misdirected Request", &echo, b"");
            return true;
        }
        let tokens = tokens(head);
        let mut state = self.state.lock().unwrap();
        if let Some(from) = head.field("kv-from") {
            let handle = from.rsplit('/').next().unwrap_or("").to_owned();
            if state.copies.remove(&handle).is_none() {
                record(&format!("{}: no copy {handle}, refused", self.id));
                drop(state);
                respond(stream, "503 Service Unavailable", &echo, b"");
                return true;
            }
        } else if Self::used(&state) + tokens > self.settings.kv_capacity {
            drop(state);
            record(&format!("{}: no room for {id}, refused as not run", self.id));
            respond(stream, "503 Service Unavailable", &echo, b"");
            return true;
        }
        let run =
            Run { tokens, stop: Arc::default(), made: Arc::default(), is_closed: Arc::default() };
        state.runs.insert(id, run);
        false
    }

    fn run(&self, head: &Head, mut stream: &TcpStream) {
        let id = head.field("x-fennelfold-attempt-id").unwrap_or("").to_owned();
        let after: u32 =
            head.field("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let (stop, made, is_closed) = {
            let state = self.state.lock().unwrap();
            let run = &state.runs[&id];
            (run.stop.clone(), run.made.clone(), run.is_closed.clone())
        };
        made.store(after, Ordering::SeqCst);
        record(&format!("{}: runs {id} from event {}", self.id, after + 1));
        // The answer has no length and ends with its connection.
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Fennelfold-Attempt-Id: {id}\r\n\
             X-Fennelfold-Server-Seal: {}.{id}\r\nConnection: close\r\n\r\n",
            self.id
        );
        let mut is_sound = stream.write_all(text.as_bytes()).is_ok();
        let mut was_stopped = false;
        for event in after + 1..=self.settings.events {
            sleep_ms(self.settings.event_ms);
            if stop.load(Ordering::SeqCst) {
                was_stopped = true;
                break;
            }
            is_sound = is_sound
                && stream
                    .write_all(format!("id: {event}\ndata: piece {event}\n\n").as_bytes())
                    .is_ok();
            if !is_sound {
                break;
            }
            made.store(event, Ordering::SeqCst);
        }
        let last = made.load(Ordering::SeqCst);
        if was_stopped {
            record(&format!(
                "{}: stops {id} after event {last} of {} and closes its stream without its end",
                self.id, self.settings.events
            ));
            self.stopped.lock().unwrap().push((id.clone(), last));
        } else if is_sound {
            record(&format!("{}: completed {id} with event {last}", self.id));
        } else {
            record(&format!("{}: {id} was left by the system after event {last}", self.id));
        }
        let _ = stream.shutdown(Shutdown::Both);
        is_closed.store(true, Ordering::SeqCst);
        self.state.lock().unwrap().runs.remove(&id);
    }

    /// Moves a run: it stops first, its stream is closed without its end, then it is copied.
    fn answer_move(&self, stream: &TcpStream, body: &str, engines: &Engines) -> bool {
        self.moves.fetch_add(1, Ordering::SeqCst);
        let call = Json::parse(body).unwrap_or(Json::Null);
        let (id, to) =
            (call.text("id").unwrap_or("").to_owned(), call.text("to").unwrap_or("").to_owned());
        let found = {
            let state = self.state.lock().unwrap();
            let run = state.runs.get(&id);
            run.map(|run| (run.tokens, run.stop.clone(), run.made.clone(), run.is_closed.clone()))
        };
        let Some((tokens, stop, made, is_closed)) = found else {
            return respond(stream, "404 Not Found", &[], b"{}");
        };
        stop.store(true, Ordering::SeqCst);
        while !is_closed.load(Ordering::SeqCst) {
            sleep_ms(5);
        }
        let other =
            to.parse().ok().and_then(|to: SocketAddr| engines.lock().unwrap().get(&to).cloned());
        let mut state = self.state.lock().unwrap();
        state.handles += 1;
        let handle = format!("{}h{}", self.id, state.handles);
        drop(state);
        let answer =
            format!("{{\"handle\":\"{handle}\",\"createdRev\":{}}}", made.load(Ordering::SeqCst));
        let has_room = other.is_some_and(|other| {
            let mut state = other.state.lock().unwrap();
            let has_room = Self::used(&state) + tokens <= other.settings.kv_capacity;
            if has_room {
                state.copies.insert(handle.clone(), (id.clone(), tokens));
            }
            has_room
        });
        let status = if has_room { "200 OK" } else { "503 Service Unavailable" };
        record(&format!("{}: kv-move of {id} to {to}: {status} {answer}", self.id));
        respond(stream, status, &[("Content-Type", "application/json")], answer.as_bytes())
    }

    /// Writes the registration of this server, as a server does.
    pub fn register(&self, store: &Store, service: &str, state: &str, seq: u32) {
        store.write(
            &format!("servers/{}", self.id),
            &registration(service, self.address, 64, state, seq),
        );
    }
}

/// Returns the tokens of a request's prompt and answer.
fn tokens(head: &Head) -> u64 {
    let usage = head.field("x-fennelfold-token-usage").unwrap_or("0,0");
    usage.split(',').filter_map(|text| text.trim().parse::<u64>().ok()).sum()
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
