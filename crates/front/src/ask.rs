//! Callers' requests: chat completions and plain services.

use crate::answer::{self, Asked, Reading};
use crate::chat_body::{Chat, engine_body};
use crate::router::{Front, Ready};
use bytes::Bytes;
use conf::{Config, Service, ServiceKind};
use hyper::HeaderMap;
use kernel::prelude::*;
use ledger::{Cursor, RequestSpec};
use rand::RngExt;
use web::{ClientConnection, Reply, Request, client_of};
use xxhash_rust::xxh3::Xxh3;

/// Header that names the caller's organisation.
const ORGANISATION: &str = "x-organisation";
/// Header that names the request.
pub(crate) const KEY: &str = "idempotency-key";
/// Header with the milliseconds that the caller waits; the service's deadline bounds it.
const DEADLINE: &str = "x-deadline-ms";

/// Time for the body of a request to arrive.
pub(crate) const BODY_TIME: Duration = Duration::from_secs(60);

/// What the head of a request says.
struct Head {
    organisation: Name,
    key: Name,
    deadline_ms: Option<u64>,
}

pub(crate) async fn chat(front: &Arc<Front>, req: Request) -> Result<Reply, Failure> {
    let current = usable(front)?;
    let config = &current.config;
    let place = front.limit.enter(config.limits.max_open_requests)?;
    let client = client_of(&req)?;
    let (head, body) = read(&client, req, config).await?;
    let chat = Chat::read(&body)?;
    let (name, service) = find_model(config, &chat.model)?;
    if chat.max_tokens.is_some_and(|tokens| tokens > service.max_tokens) {
        let text = format!("max_tokens is above the service's {}", service.max_tokens);
        return Err(Failure::new(Code::MalformedBody, text));
    }
    let digest = digest(&name, "", &body);
    let body = client.keep(engine_body(&body, &service.model, service.priority as u8)?)?;
    let terms = terms(head, name, "", service, body, digest);
    let (key, holder) = front.submit(terms).await?;
    if chat.stream {
        let (cursor, asked) = (Cursor::default(), Asked::Sent);
        Ok(answer::stream(front, Reading { key, holder, cursor, asked }, place))
    } else {
        answer::whole(front, key, holder, Asked::Sent).await
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
    let _place = front.limit.enter(config.limits.max_open_requests)?;
    let (head, body) = read(&*client_of(&req)?, req, config).await?;
    let path = rest.iter().map(|part| format!("/{part}")).collect::<String>();
    let digest = digest(name, &path, &body);
    let terms = terms(head, name.clone(), &path, found, body, digest);
    let (key, holder) = front.submit(terms).await?;
    answer::whole(front, key, holder, Asked::Sent).await
}

fn usable(front: &Front) -> Result<Arc<control::ActiveConfig>, Failure> {
    let current = front.configuration.confirmed()?;
    match front.ready() {
        Ready::Yes => Ok(current),
        Ready::No(reason) => Err(Failure::new(Code::Leaving, reason).rejected()),
    }
}

async fn read(
    client: &ClientConnection,
    req: Request,
    config: &Config,
) -> Result<(Head, Bytes), Failure> {
    let head = read_head(req.headers(), config)?;
    let body = client.receive(req.into_body(), config.limits.max_body_bytes, BODY_TIME).await?;
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
    check_key(&key, config.limits.max_key_bytes)?;
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

/// Returns the digest by which a request under a used key is recognised.
fn digest(service: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(service.as_bytes());
    hash.update(path.as_bytes());
    hash.update(body);
    hash.digest()
}

fn terms(
    head: Head,
    service: Name,
    path: &str,
    settings: &Service,
    body: Bytes,
    digest: u64,
) -> RequestSpec {
    let longest = settings.deadline.as_millis() as u64;
    RequestSpec {
        key: Key::new(head.organisation, head.key),
        service,
        path: path.into(),
        body,
        digest,
        repeatable: settings.repeatable,
        left_ms: head.deadline_ms.unwrap_or(longest).min(longest),
    }
}
