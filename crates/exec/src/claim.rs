//! Claims a request in the key-value service; needed only when the other entry of its home does
//! not answer.

use crate::requests::Requests;
use infra::{Stored, Swap};
use kernel::prelude::*;
use ledger::{Claim, ClaimAction, ClaimEvent, ClaimResult};
use opentelemetry::KeyValue;
use rand::RngExt;
use serde::{Deserialize, Serialize};

/// A claim as stored in the key-value service.
#[derive(Debug, Deserialize, Serialize)]
struct StoredClaim {
    holder: NodeId,
    nonce: Name,
}

impl Requests {
    /// Runs a claim until it is won, lost or undecided.
    pub(crate) async fn run_claim(&self, key: &Key) -> ClaimResult {
        // All claims of one incarnation use the same nonce, so the entry recognises its own claim
        // when it is sent again.
        let mut claim = Claim::new(format!("{}", self.me()), self.settings.claim_retries);
        let path = format!("fennelfold/claim/{key}");
        let mut next = ClaimAction::Create;
        loop {
            let event = match next {
                ClaimAction::Create => self.create_claim(&path, claim.nonce()).await,
                ClaimAction::ReadBack => self.read_claim(&path).await,
                ClaimAction::Won | ClaimAction::LostTo(_) | ClaimAction::Undecided => break,
            };
            next = claim.handle(event);
        }
        let (name, result) = match next {
            ClaimAction::Won => ("won", ClaimResult::Won),
            ClaimAction::LostTo(holder) => ("lost", ClaimResult::LostTo(holder)),
            _ => ("undecided", ClaimResult::Undecided),
        };
        info!(self.log, "claim"; "key" => key.to_string(), "result" => format!("{result:?}"));
        self.counters.claims.add(1, &[KeyValue::new("result", name)]);
        result
    }

    async fn create_claim(&self, path: &str, nonce: &Name) -> ClaimEvent {
        let value = StoredClaim { holder: self.me().clone(), nonce: nonce.clone() };
        let value = serde_json::to_vec(&value).unwrap_or_default();
        match self.services.kv.swap(path, 0, value.into(), None).await {
            Ok(Swap::Done(_)) => ClaimEvent::Created,
            Ok(Swap::Other(stored)) => existing_claim(stored),
            Err(_) => ClaimEvent::NoReply,
        }
    }

    async fn read_claim(&self, path: &str) -> ClaimEvent {
        let delay = Duration::from_millis(rand::rng().random_range(20..60));
        tokio::time::sleep(delay).await;
        match self.services.kv.get(path).await {
            Ok(stored) => existing_claim(stored),
            Err(_) => ClaimEvent::NoReply,
        }
    }
}

fn existing_claim(stored: Option<Stored>) -> ClaimEvent {
    let Some(stored) = stored else { return ClaimEvent::Absent };
    match serde_json::from_slice::<StoredClaim>(&stored.value) {
        Ok(claim) => ClaimEvent::Exists(claim.holder, claim.nonce),
        // A value that does not parse was written by someone else.
        Err(_) => ClaimEvent::Exists(NodeId::default(), Name::default()),
    }
}
