//! Performs the steps that [`Acceptance`] chooses against the key-value service.

use crate::acceptance::{Acceptance, Candidate, Event, Outcome, Step, StoredHead};
use crate::configuration::{Configuration, backoff};
use crate::keys;
use conf::{Body, Config, Head, Merged, Source};
use infra::{Stored, Swap};
use kernel::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time limit for accepting a proposal, in milliseconds; a call in progress may exceed it.
const ACCEPT_TIMEOUT_MS: Millis = 12_000;

/// A configuration submitted by an operator.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Proposal {
    /// Merged INI text.
    pub text: String,
    /// Generation it is based on; it conflicts if another generation is active.
    pub based_on: u64,
    /// Random number from the operator's command; together with `based_on` and the digest of the
    /// text it identifies a resubmission of the same proposal.
    pub nonce: Name,
    /// Name of the operator who submits it.
    pub author: Name,
}

/// A proposal that was accepted.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Accepted {
    /// Head written for the proposal.
    pub head: Head,
    /// Active head, if the proposal has been replaced since.
    #[serde(default)]
    pub replaced_by: Option<Head>,
}

impl Configuration {
    /// Validates a proposal as a whole and accepts it by a single compare-and-swap.
    ///
    /// # Errors
    /// [`Code::ConfigInvalid`] with every mistake; [`Code::ConfigConflict`] if another proposal on
    /// the same base was accepted or the base itself never was; [`Code::ConfigUnsettled`] if the
    /// platform did not confirm the outcome in time.
    pub async fn accept(&self, proposal: Proposal) -> Result<Accepted, Failure> {
        let body = validate(&proposal)?;
        let head = Head {
            generation: proposal.based_on + 1,
            digest: body.digest.clone(),
            nonce: proposal.nonce.clone(),
            author: proposal.author.clone(),
            at_unix_ms: Clock::unix_ms(),
        };
        let candidate = Candidate { based_on: proposal.based_on, head };
        let sent = self.now();
        match self.run_acceptance(candidate, &body).await {
            Outcome::Accepted { head, replaced_by } => {
                self.sync().record_contact(sent);
                Ok(self.activate_accepted(head, replaced_by, body))
            }
            Outcome::Conflict { winner, active } => Err(conflict(&proposal, winner, &active)),
            Outcome::Unsettled => Err(unsettled(&proposal)),
        }
    }

    /// Returns the accepted heads, oldest first.
    ///
    /// # Errors
    /// [`Code::PlatformUnreachable`] if the platform does not answer.
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

    async fn run_acceptance(&self, candidate: Candidate, body: &Body) -> Outcome {
        let started = Instant::now();
        let mut acceptance = Acceptance::new(candidate.clone(), ACCEPT_TIMEOUT_MS);
        let mut step = acceptance.start();
        loop {
            let event = match step {
                Step::Finish(outcome) => return outcome,
                Step::Pause(failures) => {
                    tokio::time::sleep(backoff(failures)).await;
                    Event::Paused
                }
                step => {
                    self.acceptance_step(step, &candidate, body).await.unwrap_or_else(|failure| {
                        warn!(self.log, "step of configuration acceptance failed";
                            "reason" => failure.to_string());
                        Event::Failed
                    })
                }
            };
            step = acceptance.next(event, started.elapsed().as_millis() as Millis);
        }
    }

    /// Makes the platform call of one step.
    async fn acceptance_step(
        &self,
        step: Step,
        candidate: &Candidate,
        body: &Body,
    ) -> Result<Event, Failure> {
        match step {
            Step::ReadHistory(generation) => {
                let stored = self.kv.get(&keys::history(generation)).await?;
                Ok(Event::History(stored.as_ref().map(parse).transpose()?))
            }
            Step::WriteHistory(head) => {
                let key = keys::history(head.generation);
                self.kv.swap(&key, 0, serialize(&head).into(), None).await?;
                Ok(Event::HistoryWritten)
            }
            Step::WriteBody => {
                let key = keys::body(&body.digest);
                self.kv.swap(&key, 0, body.text.clone().into(), None).await?;
                Ok(Event::BodyWritten)
            }
            Step::Swap(revision) => {
                let value = serialize(&candidate.head).into();
                match self.kv.swap(keys::HEAD, revision, value, None).await? {
                    Swap::Done(_) => Ok(Event::Swapped),
                    Swap::Other(stored) => Ok(Event::Head(parse_head(stored.as_ref())?)),
                }
            }
            _ => Ok(Event::Head(parse_head(self.kv.get(keys::HEAD).await?.as_ref())?)),
        }
    }

    fn activate_accepted(&self, head: Head, replaced_by: Option<Head>, body: Body) -> Accepted {
        info!(self.log, "configuration accepted"; "generation" => head.generation,
            "author" => head.author.as_str(), "replaced" => replaced_by.is_some());
        // The proposal remains accepted even if this entry cannot activate it.
        if let Err(failure) = self.activate(head.clone(), body.text) {
            error!(self.log, "failed to activate the accepted configuration";
                "reason" => failure.to_string());
        }
        Accepted { head, replaced_by }
    }
}

fn validate(proposal: &Proposal) -> Result<Body, Failure> {
    let invalid =
        |errors: conf::ConfigErrors| Failure::new(Code::ConfigInvalid, errors.to_string());
    if proposal.nonce.is_empty() {
        return Err(Failure::new(Code::ConfigInvalid, "nonce: must not be empty"));
    }
    let merged = Merged::read(&[Source::new("offer", proposal.text.clone())]).map_err(invalid)?;
    Config::read(&merged).map_err(invalid)?;
    Ok(Body::new(&merged))
}

fn parse_head(stored: Option<&Stored>) -> Result<StoredHead, Failure> {
    let Some(stored) = stored else { return Ok(StoredHead::default()) };
    Ok(StoredHead { head: parse(stored)?, revision: stored.revision })
}

fn parse<T: DeserializeOwned>(stored: &Stored) -> Result<T, Failure> {
    let malformed = |e| {
        Failure::new(
            Code::PlatformUnreachable,
            format!("malformed configuration head in the key-value service: {e}"),
        )
    };
    serde_json::from_slice(&stored.value).map_err(malformed)
}

fn serialize(head: &Head) -> Vec<u8> {
    serde_json::to_vec(head).unwrap_or_default()
}

fn conflict(proposal: &Proposal, winner: Option<Head>, active: &Head) -> Failure {
    let describe = |head: &Head| {
        format!("generation {} by {}, digest {}", head.generation, head.author, head.digest)
    };
    let reason = match winner {
        Some(winner) => format!("{} was accepted", describe(&winner)),
        None => "that generation was never accepted".to_owned(),
    };
    let text = format!(
        "based on generation {}, but {reason}; the active configuration is {}",
        proposal.based_on,
        describe(active)
    );
    Failure::new(Code::ConfigConflict, text)
}

fn unsettled(proposal: &Proposal) -> Failure {
    let text = format!(
        "outcome unknown; submit the same files again with --based-on {} --nonce {} to resolve it",
        proposal.based_on, proposal.nonce
    );
    Failure::new(Code::ConfigUnsettled, text)
}
