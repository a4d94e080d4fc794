//! Acceptance of a configuration: one compare-and-swap on the head.

use crate::configuration::Configuration;
use crate::keys;
use conf::{Body, Config, Head, Merged, Source};
use kernel::prelude::*;
use platform::{Stored, Swap};
use serde::{Deserialize, Serialize};

/// Times that a lost answer is read back before the matter stays open.
const READS: u32 = 4;

/// A configuration that an operator offers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Offer {
    /// Merged INI text.
    pub text: String,
    /// Generation it is based on; another one in force is a conflict.
    pub based_on: u64,
    /// Number that the operator's command drew; the same offer sent again is recognised by it.
    pub nonce: Name,
    /// Who offers it.
    pub author: Name,
}

/// What became of an offer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Accepted {
    /// The head that is in force now.
    pub head: Head,
}

impl Configuration {
    /// Checks an offer whole and accepts it by one compare-and-swap.
    ///
    /// # Errors
    /// [`Code::ConfigInvalid`] with every mistake; [`Code::ConfigConflict`] when another
    /// configuration is in force than the one it is based on; [`Code::ConfigUnsettled`] when the
    /// platform does not say; [`Code::PlatformUnreachable`] when nothing was written.
    pub async fn accept(&self, offer: Offer) -> Result<Accepted, Failure> {
        let body = check(&offer)?;
        let stored = self.kv.get(keys::HEAD).await?;
        let (known, revision) = read_head(stored.as_ref())?;
        if known.nonce == offer.nonce {
            return self.accepted(known, body);
        }
        if known.generation != offer.based_on {
            return Err(conflict(&known, &offer));
        }
        self.record_history(&known).await?;
        self.kv.swap(&keys::body(&body.digest), 0, body.text.clone().into(), None).await?;
        let head = Head {
            generation: known.generation + 1,
            digest: body.digest.clone(),
            nonce: offer.nonce.clone(),
            author: offer.author.clone(),
            at_unix_ms: Clock::unix_ms(),
        };
        let value = serde_json::to_vec(&head).unwrap_or_default();
        let swapped = self.kv.swap(keys::HEAD, revision, value.into(), None).await;
        match swapped {
            Ok(Swap::Done(_)) => self.accepted(head, body),
            Ok(Swap::Other(stored)) => self.settle(stored.as_ref(), head, &offer, body),
            Err(_) => self.read_back(revision, head, &offer, body).await,
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

    /// Reads the head until it tells whose write took effect.
    async fn read_back(
        &self,
        revision: i64,
        head: Head,
        offer: &Offer,
        body: Body,
    ) -> Result<Accepted, Failure> {
        for failures in 0..READS {
            tokio::time::sleep(crate::configuration::pause(failures)).await;
            let Ok(stored) = self.kv.get(keys::HEAD).await else { continue };
            // An unchanged head does not settle it: the write may still be on its way. A
            // compare-and-swap that finds another revision there can only fail, so send it again.
            if stored.as_ref().map_or(0, |stored| stored.revision) != revision {
                return self.settle(stored.as_ref(), head, offer, body);
            }
            let value = serde_json::to_vec(&head).unwrap_or_default();
            match self.kv.swap(keys::HEAD, revision, value.into(), None).await {
                Ok(Swap::Done(_)) => return self.accepted(head, body),
                Ok(Swap::Other(stored)) => return self.settle(stored.as_ref(), head, offer, body),
                Err(_) => {}
            }
        }
        let how =
            format!("send the same offer again, nonce {}; its answer settles it", offer.nonce);
        Err(Failure::new(Code::ConfigUnsettled, how))
    }

    fn settle(
        &self,
        stored: Option<&Stored>,
        head: Head,
        offer: &Offer,
        body: Body,
    ) -> Result<Accepted, Failure> {
        let (known, _) = read_head(stored)?;
        if known.nonce == head.nonce {
            self.accepted(known, body)
        } else {
            Err(conflict(&known, offer))
        }
    }

    fn accepted(&self, head: Head, body: Body) -> Result<Accepted, Failure> {
        info!(self.log, "configuration accepted"; "generation" => head.generation,
            "author" => head.author.as_str());
        self.adopt(head.clone(), body.text)?;
        Ok(Accepted { head })
    }

    /// Makes sure that the head which is about to be replaced stands in the history.
    async fn record_history(&self, head: &Head) -> Result<(), Failure> {
        if head.generation == 0 {
            return Ok(());
        }
        let value = serde_json::to_vec(head).unwrap_or_default();
        self.kv.swap(&keys::history(head.generation), 0, value.into(), None).await.map(drop)
    }
}

fn check(offer: &Offer) -> Result<Body, Failure> {
    let invalid =
        |mistakes: conf::Mistakes| Failure::new(Code::ConfigInvalid, mistakes.to_string());
    let merged = Merged::read(&[Source::new("offer", offer.text.clone())]).map_err(invalid)?;
    Config::read(&merged).map_err(invalid)?;
    Ok(Body::new(&merged))
}

fn read_head(stored: Option<&Stored>) -> Result<(Head, i64), Failure> {
    let Some(stored) = stored else { return Ok((Head::default(), 0)) };
    let head = serde_json::from_slice(&stored.value)
        .map_err(|e| Failure::new(Code::ConfigInvalid, format!("head: {e}")))?;
    Ok((head, stored.revision))
}

fn conflict(known: &Head, offer: &Offer) -> Failure {
    let text = format!(
        "based on generation {}, but generation {} by {} is in force",
        offer.based_on, known.generation, known.author
    );
    Failure::new(Code::ConfigConflict, text)
}
