//! HTTP/1.1 over blocking sockets: as much as the stand-ins and the test client need.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut line = String::new();
    let first = match reader.read_line(&mut line) {
        Ok(len) if len > 0 => line.trim_end().to_owned(),
        _ => return None,
    };
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Some((first, headers))
}

/// Reads a request whose body has a length; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let len = find(&headers, "content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, target, headers, body })
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n", body.len())
            .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Accepts connections in the background and serves each of them on a thread of its own.
pub fn serve(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// A response as the client of a request sees it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status, or 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to the end that its framing states.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends a request on a new connection and reads the response, for at most `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> Response {
    let mut response = Response::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return response;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    let mut bytes =
        format!("{method} {target} HTTP/1.1\r\n{headers}content-length: {}\r\n\r\n", body.len())
            .into_bytes();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return response;
    }
    read_response(&mut BufReader::new(stream), &mut response);
    response
}

fn read_response(reader: &mut BufReader<TcpStream>, response: &mut Response) -> Option<()> {
    let (first, headers) = read_head(reader)?;
    response.status = first.split(' ').nth(1)?.parse().ok()?;
    response.headers = headers;
    if response.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let len = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut part = vec![0; len + 2];
            if len == 0 {
                reader.read_exact(&mut part).ok()?;
                response.is_complete = true;
                return Some(());
            }
            reader.read_exact(&mut part).ok()?;
            response.body.extend_from_slice(&part[..len]);
        }
    }
    match response.header("content-length").and_then(|len| len.parse().ok()) {
        Some(len) => {
            response.body = vec![0; len];
            let read = reader.read_exact(&mut response.body);
            response.is_complete = read.is_ok();
        }
        None => response.is_complete = reader.read_to_end(&mut response.body).is_ok(),
    }
    Some(())
}
