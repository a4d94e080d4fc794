//! Acceptance of a configuration: carries out the steps that [`Acceptance`] decides.

use crate::acceptance::{Acceptance, Candidate, Event, Next, ReadHead, Verdict};
use crate::configuration::{Configuration, pause};
use crate::keys;
use conf::{Body, Config, Head, Merged, Source};
use infra::{Stored, Swap};
use kernel::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time within which an offer is settled, in milliseconds; one call may still run beyond it.
const SETTLE_MS: Millis = 12_000;

/// A configuration that an operator offers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Proposal {
    /// Merged INI text.
    pub text: String,
    /// Generation it is based on; another one in force is a conflict.
    pub based_on: u64,
    /// Number that the operator's command drew; with the base it tells the same offer sent again.
    pub nonce: Name,
    /// Who offers it.
    pub author: Name,
}

/// An offer that was accepted.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Accepted {
    /// The head that the offer became.
    pub head: Head,
    /// The head that has replaced it since, if one has.
    #[serde(default)]
    pub replaced_by: Option<Head>,
}

impl Configuration {
    /// Checks an offer whole and accepts it by one compare-and-swap.
    ///
    /// # Errors
    /// [`Code::ConfigInvalid`] with every mistake; [`Code::ConfigConflict`] when another offer on
    /// the same base was accepted; [`Code::ConfigUnsettled`] when the platform does not say.
    pub async fn accept(&self, offer: Proposal) -> Result<Accepted, Failure> {
        let body = check(&offer)?;
        let head = Head {
            generation: offer.based_on + 1,
            digest: body.digest.clone(),
            nonce: offer.nonce.clone(),
            author: offer.author.clone(),
            at_unix_ms: Clock::unix_ms(),
        };
        let candidate = Candidate { based_on: offer.based_on, head };
        let asked = self.now();
        match self.settle(candidate, &body).await {
            Verdict::Accepted { head, replaced_by } => {
                self.sync().confirm(asked);
                Ok(self.accepted(head, replaced_by, body))
            }
            Verdict::Conflict { winner, in_force } => Err(conflict(&offer, winner, &in_force)),
            Verdict::Unsettled => Err(unsettled(&offer)),
        }
    }

    /// Lists the accepted heads, oldest first.
    ///
    /// # Errors
    /// [`Code::PlatformUnreachable`] when the platform does not answer.
    pub async fn history(&self) -> Result<Vec<Head>, Failure> {
        let stored = self.kv.range(keys::HISTORY).await?;
        let mut heads: Vec<Head> = stored
            .iter()
            .filter_map(|(_, stored)| serde_json::from_slice(&stored.value).ok())
            .collect();
        if let Ok(current) = self.current()
            && !heads.iter().any(|head| head.generation == current.head.generation)
        {
            heads.push(current.head.clone());
        }
        Ok(heads)
    }

    async fn settle(&self, candidate: Candidate, body: &Body) -> Verdict {
        let started = Instant::now();
        let mut acceptance = Acceptance::new(candidate.clone(), SETTLE_MS);
        let mut next = acceptance.start();
        loop {
            let event = match next {
                Next::Tell(verdict) => return verdict,
                Next::Pause(failures) => {
                    tokio::time::sleep(pause(failures)).await;
                    Event::Paused
                }
                step => self.step(step, &candidate, body).await.unwrap_or_else(|failure| {
                    warn!(self.log, "acceptance step failed"; "reason" => failure.to_string());
                    Event::Failed
                }),
            };
            next = acceptance.next(event, started.elapsed().as_millis() as Millis);
        }
    }

    /// Makes the one call to the platform that a step asks for.
    async fn step(&self, next: Next, ours: &Candidate, body: &Body) -> Result<Event, Failure> {
        match next {
            Next::ReadHistory(generation) => {
                let stored = self.kv.get(&keys::history(generation)).await?;
                Ok(Event::History(stored.as_ref().map(read).transpose()?))
            }
            Next::WriteHistory(head) => {
                let key = keys::history(head.generation);
                self.kv.swap(&key, 0, write(&head).into(), None).await?;
                Ok(Event::HistoryWritten)
            }
            Next::WriteBody => {
                let key = keys::body(&body.digest);
                self.kv.swap(&key, 0, body.text.clone().into(), None).await?;
                Ok(Event::BodyWritten)
            }
            Next::Swap(revision) => {
                let value = write(&ours.head).into();
                match self.kv.swap(keys::HEAD, revision, value, None).await? {
                    Swap::Done(_) => Ok(Event::Swapped),
                    Swap::Other(stored) => Ok(Event::Head(read_head(stored.as_ref())?)),
                }
            }
            _ => Ok(Event::Head(read_head(self.kv.get(keys::HEAD).await?.as_ref())?)),
        }
    }

    fn accepted(&self, head: Head, replaced_by: Option<Head>, body: Body) -> Accepted {
        info!(self.log, "configuration accepted"; "generation" => head.generation,
            "author" => head.author.as_str(), "replaced" => replaced_by.is_some());
        // It stays accepted when this entry cannot run it.
        if let Err(failure) = self.adopt(head.clone(), body.text) {
            error!(self.log, "accepted configuration not adopted"; "reason" => failure.to_string());
        }
        Accepted { head, replaced_by }
    }
}

fn check(offer: &Proposal) -> Result<Body, Failure> {
    let invalid =
        |mistakes: conf::Mistakes| Failure::new(Code::ConfigInvalid, mistakes.to_string());
    if offer.nonce.is_empty() {
        return Err(Failure::new(Code::ConfigInvalid, "nonce: expected a text, found none"));
    }
    let merged = Merged::read(&[Source::new("offer", offer.text.clone())]).map_err(invalid)?;
    Config::read(&merged).map_err(invalid)?;
    Ok(Body::new(&merged))
}

fn read_head(stored: Option<&Stored>) -> Result<ReadHead, Failure> {
    let Some(stored) = stored else { return Ok(ReadHead::default()) };
    Ok(ReadHead { head: read(stored)?, revision: stored.revision })
}

fn read<T: DeserializeOwned>(stored: &Stored) -> Result<T, Failure> {
    let malformed = |e| Failure::new(Code::PlatformUnreachable, format!("malformed head: {e}"));
    serde_json::from_slice(&stored.value).map_err(malformed)
}

fn write(head: &Head) -> Vec<u8> {
    serde_json::to_vec(head).unwrap_or_default()
}

fn conflict(offer: &Proposal, winner: Option<Head>, in_force: &Head) -> Failure {
    let name = |head: &Head| {
        format!("generation {} by {}, digest {}", head.generation, head.author, head.digest)
    };
    let lost = match winner {
        Some(winner) => format!("{} was accepted", name(&winner)),
        None => "that generation was never accepted".to_owned(),
    };
    let text = format!(
        "based on generation {}, but {lost}; in force is {}",
        offer.based_on,
        name(in_force)
    );
    Failure::new(Code::ConfigConflict, text)
}

fn unsettled(offer: &Proposal) -> Failure {
    let text = format!(
        "send the same files again with --based-on {} --nonce {}; that answer settles it",
        offer.based_on, offer.nonce
    );
    Failure::new(Code::ConfigUnsettled, text)
}
