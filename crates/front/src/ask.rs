//! Callers' requests: chat completions and plain services.

use crate::answer;
use crate::router::{Front, Ready};
use conf::{Config, Service, ServiceKind};
use hyper::HeaderMap;
use kernel::prelude::*;
use ledger::Terms;
use rand::RngExt;
use serde::Deserialize;
use web::{Reply, Request, read_limited};
use xxhash_rust::xxh3::Xxh3;

/// Header that names the caller's organisation.
const ORGANISATION: &str = "x-organisation";
/// Header that names the request.
pub(crate) const KEY: &str = "idempotency-key";
/// Header with the milliseconds that the caller waits; the service's deadline bounds it.
const DEADLINE: &str = "x-deadline-ms";

/// What fennelfold reads of a chat completion request; the rest goes to the engine as it is.
#[derive(Deserialize)]
struct Chat {
    model: Name,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(rename = "role")]
    _role: String,
    #[serde(rename = "content")]
    _content: serde_json::Value,
}

/// What the head of a request says.
struct Head {
    organisation: Name,
    key: Name,
    deadline_ms: Option<u64>,
}

pub(crate) async fn chat(front: &Arc<Front>, req: Request) -> Result<Reply, Failure> {
    let current = usable(front)?;
    let config = &current.config;
    let (head, body) = receive(req, config).await?;
    let chat: Chat = serde_json::from_slice(&body)
        .map_err(|e| Failure::new(Code::MalformedBody, e.to_string()))?;
    if chat.messages.is_empty() {
        return Err(Failure::new(Code::MalformedBody, "messages is empty"));
    }
    let (name, service) = find_model(config, &chat.model)?;
    if chat.max_tokens.is_some_and(|tokens| tokens > service.max_tokens) {
        let text = format!("max_tokens is above the service's {}", service.max_tokens);
        return Err(Failure::new(Code::MalformedBody, text));
    }
    let terms = terms(head, name, "", service, body);
    let (key, holder) = front.requests.submit(terms).await?;
    if chat.stream {
        Ok(answer::stream(front, key, holder, 0))
    } else {
        answer::whole(front, key, holder).await
    }
}

pub(crate) async fn plain(
    front: &Arc<Front>,
    req: Request,
    service: &str,
    rest: &[&str],
) -> Result<Reply, Failure> {
    let current = usable(front)?;
    let config = &current.config;
    let found = config
        .services
        .get_key_value(service)
        .filter(|(_, found)| found.kind == ServiceKind::Plain);
    let (name, found) = found.ok_or_else(|| Failure::new(Code::UnknownService, service))?;
    let (head, body) = receive(req, config).await?;
    let path = rest.iter().map(|part| format!("/{part}")).collect::<String>();
    let terms = terms(head, name.clone(), &path, found, body);
    let (key, holder) = front.requests.submit(terms).await?;
    answer::whole(front, key, holder).await
}

fn usable(front: &Front) -> Result<Arc<control::InForce>, Failure> {
    let current = front.configuration.serving()?;
    match front.ready() {
        Ready::Yes => Ok(current),
        Ready::No(reason) => Err(Failure::new(Code::Leaving, reason).rejected()),
    }
}

async fn receive(req: Request, config: &Config) -> Result<(Head, bytes::Bytes), Failure> {
    let head = read_head(req.headers(), config)?;
    let body = read_limited(req.into_body(), config.limits.body).await?;
    Ok((head, body))
}

fn read_head(headers: &HeaderMap, config: &Config) -> Result<Head, Failure> {
    let organisation = header(headers, ORGANISATION)?;
    let missing = || Failure::new(Code::OrganisationMissing, format!("header {ORGANISATION}"));
    let organisation = organisation.ok_or_else(missing)?;
    if !config.organisations.contains_key(organisation.as_str()) {
        return Err(Failure::new(Code::OrganisationForeign, organisation));
    }
    let key = header(headers, KEY)?;
    let key = key.unwrap_or_else(|| format!("{:032x}", rand::rng().random::<u128>()));
    check_key(&key, config.limits.key)?;
    let deadline_ms = match header(headers, DEADLINE)? {
        None => None,
        Some(text) => {
            let malformed = || Failure::new(Code::MalformedHeader, format!("{DEADLINE}: {text}"));
            Some(text.parse().map_err(|_| malformed())?)
        }
    };
    Ok(Head { organisation: organisation.into(), key: key.into(), deadline_ms })
}

/// Reads a header as text.
pub(crate) fn header(headers: &HeaderMap, name: &str) -> Result<Option<String>, Failure> {
    let malformed = |_| Failure::new(Code::MalformedHeader, name);
    headers.get(name).map(|value| value.to_str().map(str::to_owned).map_err(malformed)).transpose()
}

/// Checks that a key is short and made of characters that need no escape in a path.
pub(crate) fn check_key(key: &str, limit: usize) -> Result<(), Failure> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "._-~:".contains(c);
    if key.is_empty() || key.len() > limit || !key.chars().all(fits) {
        let text = format!("1 to {limit} letters, digits and . _ - ~ :");
        return Err(Failure::new(Code::MalformedKey, text));
    }
    Ok(())
}

/// Finds the service that a model name means: its own name, else the first that runs the model.
fn find_model<'a>(config: &'a Config, model: &Name) -> Result<(Name, &'a Service), Failure> {
    let models =
        || config.services.iter().filter(|(_, service)| service.kind == ServiceKind::Model);
    let named = models().find(|(name, _)| *name == model);
    let found = named.or_else(|| models().find(|(_, service)| service.model == *model));
    let unknown = || Failure::new(Code::UnknownModel, model.as_str());
    found.map(|(name, service)| (name.clone(), service)).ok_or_else(unknown)
}

fn terms(head: Head, service: Name, path: &str, settings: &Service, body: bytes::Bytes) -> Terms {
    let mut hash = Xxh3::new();
    hash.update(service.as_bytes());
    hash.update(path.as_bytes());
    hash.update(&body);
    let longest = settings.deadline.as_millis() as u64;
    Terms {
        key: Key::new(head.organisation, head.key),
        service,
        path: path.into(),
        body,
        digest: hash.digest(),
        repeatable: settings.repeatable,
        left_ms: head.deadline_ms.unwrap_or(longest).min(longest),
    }
}
