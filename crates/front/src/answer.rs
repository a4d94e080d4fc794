//! Answers to callers: streamed with offsets, or whole.

use crate::ask::{KEY, check_key, header};
use crate::limit::Place;
use crate::router::Front;
use bytes::Bytes;
use conf::ServiceKind;
use exec::Holder;
use futures::Stream;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use kernel::prelude::*;
use ledger::{Chunk, Cursor, Ending};
use serde_json::json;
use web::{Reply, Request};

/// Largest number of a chunk that a caller may continue from.
const MOST_CHUNKS: usize = 10_000_000;

/// Continues the answer of a request after the chunk that the caller saw last.
pub(crate) async fn resume(front: &Arc<Front>, req: &Request, key: &str) -> Result<Reply, Failure> {
    let current = front.configuration.current()?;
    check_key(key, current.config.limits.max_key_bytes)?;
    let organisation = header(req.headers(), "x-organisation")?;
    let missing = || Failure::new(Code::OrganisationMissing, "header x-organisation");
    let organisation = organisation.ok_or_else(missing)?;
    if !current.config.organisations.contains_key(organisation.as_str()) {
        return Err(Failure::new(Code::OrganisationForeign, organisation));
    }
    let place = front.limit.enter(current.config.limits.max_open_requests)?;
    let key = Key::new(organisation, key);
    let holder = front.requests.locate(&key)?;
    let seen = header(req.headers(), "last-event-id")?;
    let Some(seen) = seen else { return whole(front, key, holder, Asked::Read).await };
    let from = parse_event_id(&seen).filter(|from| from.next <= MOST_CHUNKS);
    let from =
        from.ok_or_else(|| Failure::new(Code::MalformedHeader, format!("last-event-id: {seen}")))?;
    let reading = Reading { key, holder, cursor: from, asked: Asked::Read };
    Ok(stream(front, reading, place))
}

/// How a caller asked for an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Asked {
    /// It sent the request.
    Sent,
    /// It reads the answer of a request that it sent before.
    Read,
}

impl Asked {
    fn told(self, ending: Ending) -> Ending {
        match self {
            Self::Sent => ending,
            Self::Read => ending.for_reader(),
        }
    }
}

/// Streams an answer as server-sent events.
pub(crate) fn stream(front: &Arc<Front>, reading: Reading, place: Place) -> Reply {
    let id = reading.key.id.clone();
    let following = Following { front: front.clone(), reading, over: false, _place: place };
    let chunks = events(following);
    let mut reply = Reply::new(web::stream(chunks));
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    set_key(&mut reply, &id);
    reply
}

/// An answer that is read, and how far.
pub(crate) struct Reading {
    pub(crate) key: Key,
    pub(crate) holder: Holder,
    pub(crate) cursor: Cursor,
    pub(crate) asked: Asked,
}

/// Where a stream of events stands.
struct Following {
    front: Arc<Front>,
    reading: Reading,
    over: bool,
    _place: Place,
}

fn events(following: Following) -> impl Stream<Item = Bytes> {
    futures::stream::unfold(following, |mut following| async move {
        if following.over {
            return None;
        }
        let text = following.step().await;
        Some((Bytes::from(text), following))
    })
}

impl Following {
    /// Returns the next events as text.
    async fn step(&mut self) -> String {
        let Reading { key, holder, cursor, asked } = &mut self.reading;
        let from = cursor.next;
        let read = self.front.requests.read(key, holder, from).await;
        let read = read.and_then(|part| cursor.advance(&part).map(|()| part));
        let reply = match read {
            Ok(reply) => reply,
            Err(failure) => {
                self.over = true;
                return failure_event(&failure);
            }
        };
        let mut text = String::new();
        for (next, chunk) in (from + 1..).zip(&reply.chunks) {
            text.push_str(&chunk_event(key, next, chunk));
        }
        match reply.ending {
            // A comment keeps the connection alive and shows whether the caller is still there.
            None if text.is_empty() => ": waiting\n\n".to_owned(),
            None => text,
            Some(ending) => {
                self.over = true;
                text.push_str(&ending_event(key, &asked.told(ending)));
                text
            }
        }
    }
}

fn chunk_event(key: &Key, next: usize, chunk: &Chunk) -> String {
    let content = String::from_utf8_lossy(&chunk.data);
    let data = json!({
        "id": key.id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": content}, "finish_reason": null}],
    });
    format!("id: {next}-{:x}\ndata: {data}\n\n", chunk.origin)
}

/// Reads the id of an event: the number of chunks seen, and their origin.
fn parse_event_id(id: &str) -> Option<Cursor> {
    let (next, origin) = match id.split_once('-') {
        Some((next, origin)) => (next, Some(u64::from_str_radix(origin, 16).ok()?)),
        None => (id, None),
    };
    Some(Cursor { next: next.parse().ok()?, origin })
}

fn ending_event(key: &Key, ending: &Ending) -> String {
    match failure_of(ending) {
        Some(failure) => failure_event(&failure),
        None => {
            let data = json!({
                "id": key.id,
                "object": "chat.completion.chunk",
                "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            });
            format!("data: {data}\n\ndata: [DONE]\n\n")
        }
    }
}

fn failure_event(failure: &Failure) -> String {
    let data = json!({
        "code": failure.code.number(),
        "title": failure.code.title(),
        "detail": failure.context,
        "outcome": format!("{:?}", failure.outcome),
        "retry_after_ms": failure.retry_after.map(|after| after.as_millis() as u64),
    });
    format!("event: error\ndata: {data}\n\n")
}

/// Waits for the whole answer and returns it in one piece.
pub(crate) async fn whole(
    front: &Arc<Front>,
    key: Key,
    mut holder: Holder,
    asked: Asked,
) -> Result<Reply, Failure> {
    let mut chunks: Vec<Chunk> = Vec::new();
    let mut cursor = Cursor::default();
    let ending = loop {
        let reply = front.requests.read(&key, &mut holder, cursor.next).await?;
        if cursor.advance(&reply).is_err() {
            // Nothing was shown yet, so the answer is read from the start.
            cursor = Cursor::default();
            chunks.clear();
            continue;
        }
        chunks.extend(reply.chunks);
        if let Some(ending) = reply.ending {
            break asked.told(ending);
        }
    };
    if let Some(failure) = failure_of(&ending) {
        return Err(failure);
    }
    let mut reply =
        if is_plain(&chunks) { plain_reply(&chunks)? } else { chat_reply(&key, &chunks) };
    set_key(&mut reply, &key.id);
    Ok(reply)
}

/// Returns the failure that an ending tells; none for a whole answer.
fn failure_of(ending: &Ending) -> Option<Failure> {
    match ending {
        Ending::Answered => None,
        Ending::NotRun(code) | Ending::Unknown(code) => Some(Failure::new(*code, "this request")),
        Ending::Rejected(code) => Some(Failure::new(*code, "this request").rejected()),
        Ending::Follow(entry) => Some(Failure::new(Code::Elsewhere, entry.to_string())),
    }
}

/// A plain answer is a head without tokens and a body.
fn is_plain(chunks: &[Chunk]) -> bool {
    matches!(chunks, [head, _] if head.tokens == 0)
}

fn plain_reply(chunks: &[Chunk]) -> Result<Reply, Failure> {
    let head = String::from_utf8_lossy(&chunks[0].data).into_owned();
    let malformed =
        || Failure::new(Code::Internal, format!("{:?} answer head {head}", ServiceKind::Plain));
    let (status, content_type) = head.split_once(' ').ok_or_else(malformed)?;
    let mut reply = Reply::new(web::full(chunks[1].data.clone()));
    *reply.status_mut() = status.parse().map_err(|_| malformed())?;
    let content_type = HeaderValue::from_str(content_type).map_err(|_| malformed())?;
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    Ok(reply)
}

fn chat_reply(key: &Key, chunks: &[Chunk]) -> Reply {
    let content: String = chunks.iter().map(|chunk| String::from_utf8_lossy(&chunk.data)).collect();
    let message = json!({"role": "assistant", "content": content});
    web::json(
        200,
        &json!({
            "id": key.id,
            "object": "chat.completion",
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {"completion_tokens": chunks.len()},
        }),
    )
}

fn set_key(reply: &mut Reply, id: &Name) {
    if let Ok(value) = HeaderValue::from_str(id) {
        reply.headers_mut().insert(KEY, value);
    }
}
