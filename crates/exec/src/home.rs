//! The home of a key that a caller made up.

use crate::requests::Requests;
use infra::{Stored, Swap};
use kernel::prelude::*;
use ledger::{Home, RequestSpec};
use serde::{Deserialize, Serialize};

/// The home of a key that a caller made up, as stored in the key-value service.
#[derive(Debug, Deserialize, Serialize)]
struct StoredHome {
    owner: NodeId,
    witness: NodeId,
}

impl Requests {
    /// Gives a home to a key that a caller made up.
    ///
    /// A request that may not be repeated gets it from the key-value service, so that every entry
    /// finds the same one.
    ///
    /// # Errors
    /// [`Code::NoArbiter`] when the key-value service stays silent.
    pub(crate) async fn find_home(&self, terms: &RequestSpec) -> Result<Home, Failure> {
        let witness = self.to.cluster.pick_witness(&[]).unwrap_or_else(|| self.me().clone());
        let home = Home { owner: self.me().clone(), witness };
        if terms.repeatable {
            return Ok(home);
        }
        let path = format!("fennelfold/home/{}", terms.key);
        let mut last = Failure::new(Code::NoArbiter, path.clone()).rejected();
        // Whatever is stored is the home, so a create whose answer was lost is simply sent again.
        for _ in 0..=self.settings.claim_reads {
            match self.create_home(&path, &home).await {
                Ok(home) => return Ok(home),
                Err(failure) => last = failure,
            }
        }
        Err(last)
    }

    async fn create_home(&self, path: &str, home: &Home) -> Result<Home, Failure> {
        let silent = |e: String| Failure::new(Code::NoArbiter, e).rejected();
        let value = StoredHome { owner: home.owner.clone(), witness: home.witness.clone() };
        let value = serde_json::to_vec(&value).unwrap_or_default();
        match self.to.kv.swap(path, 0, value.into(), None).await {
            Ok(Swap::Done(_)) => Ok(home.clone()),
            Ok(Swap::Other(Some(Stored { value, .. }))) => {
                let StoredHome { owner, witness } =
                    serde_json::from_slice(&value).map_err(|e| silent(e.to_string()))?;
                Ok(Home { owner, witness })
            }
            // It was there and is gone: nothing is settled.
            Ok(Swap::Other(None)) => Err(silent(path.to_owned())),
            Err(failure) => Err(silent(failure.context)),
        }
    }
}
