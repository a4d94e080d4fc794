//! Plain servers that answer each request and keep a list of what they ran.

use crate::world::*;
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

pub struct Plain {
    pub id: String,
    /// Requests that ran here, with the time.
    pub runs: Arc<Mutex<Vec<(String, u64)>>>,
}

impl Plain {
    /// Starts a server and registers it.
    pub fn start(number: usize, service: &str, store: &Store, body: Vec<u8>) -> Self {
        let id = format!("i-{number:08x}");
        let runs: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
        let (served_id, served_runs) = (id.clone(), runs.clone());
        let address = listen(move |stream| serve(&stream, &served_id, &served_runs, &body));
        let server = Self { id, runs };
        store.write(
            &format!("servers/{}", server.id),
            &registration(service, address, 6, "ready", 1),
        );
        server
    }
}

fn serve(stream: &TcpStream, server: &str, runs: &Mutex<Vec<(String, u64)>>, body: &[u8]) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(head) = read_head(&mut reader) {
        if read_body(&head, &mut reader).is_none() {
            return;
        }
        if head.target() == "/healthz" {
            respond(stream, "200 OK", &[("X-Fennelfold-Instance-Id", server)], b"");
            continue;
        }
        let id = head.field("x-fennelfold-attempt-id").unwrap_or("").to_owned();
        if head.field("x-fennelfold-expect-instance").is_some_and(|expected| expected != server) {
            respond(
                stream,
                "421 Misdirected Request",
                &[("X-Fennelfold-Instance-Id", server)],
                b"",
            );
            continue;
        }
        record(&format!("{server}: runs {id}"));
        runs.lock().unwrap().push((id.clone(), now_ms()));
        sleep_ms(15);
        let fields =
            [("X-Fennelfold-Attempt-Id", id.as_str()), ("X-Fennelfold-Server-Seal", server)];
        if !respond(stream, "200 OK", &fields, body) {
            return;
        }
    }
}
