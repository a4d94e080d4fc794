//! The claim in the key-value service, needed only when the other side is silent.

use crate::requests::Requests;
use infra::{Stored, Swap};
use kernel::prelude::*;
use ledger::{Claim, ClaimAction, ClaimEvent, ClaimResult};
use opentelemetry::KeyValue;
use rand::RngExt;
use serde::{Deserialize, Serialize};

/// The claim as stored.
#[derive(Debug, Deserialize, Serialize)]
struct StoredClaim {
    holder: NodeId,
    nonce: Name,
}

impl Requests {
    /// Runs a claim to its end: won, lost or undecided.
    pub(crate) async fn run_claim(&self, key: &Key) -> ClaimResult {
        // The nonce is the same for every claim of one run, so a claim sent again is recognised.
        let mut claim = Claim::new(format!("{}", self.me()), self.settings.claim_reads);
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
        match self.to.kv.swap(path, 0, value.into(), None).await {
            Ok(Swap::Done(_)) => ClaimEvent::Created,
            Ok(Swap::Other(stored)) => known(stored),
            Err(_) => ClaimEvent::NoReply,
        }
    }

    async fn read_claim(&self, path: &str) -> ClaimEvent {
        let pause = Duration::from_millis(rand::rng().random_range(20..60));
        tokio::time::sleep(pause).await;
        match self.to.kv.get(path).await {
            Ok(stored) => known(stored),
            Err(_) => ClaimEvent::NoReply,
        }
    }
}

fn known(stored: Option<Stored>) -> ClaimEvent {
    let Some(stored) = stored else { return ClaimEvent::Absent };
    match serde_json::from_slice::<StoredClaim>(&stored.value) {
        Ok(claim) => ClaimEvent::Exists(claim.holder, claim.nonce),
        // A value of another shape is someone else's.
        Err(_) => ClaimEvent::Exists(NodeId::default(), Name::default()),
    }
}
