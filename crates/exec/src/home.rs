//! Assigns a home, that is an owner and a witness, to keys that callers chose themselves.

use crate::requests::Requests;
use infra::{Stored, Swap};
use kernel::prelude::*;
use ledger::{Home, RequestSpec};
use serde::{Deserialize, Serialize};

/// Home of a key chosen by a caller, as stored in the key-value service.
#[derive(Debug, Deserialize, Serialize)]
struct StoredHome {
    owner: NodeId,
    witness: NodeId,
}

impl Requests {
    /// Returns the home of a key chosen by a caller.
    ///
    /// For a request that must not run twice, the home is stored in the key-value service, so that
    /// every entry uses the same one.
    ///
    /// # Errors
    /// [`Code::NoArbiter`] when the key-value service does not answer.
    pub(crate) async fn assign_home(&self, spec: &RequestSpec) -> Result<Home, Failure> {
        let witness = self.services.cluster.pick_witness(&[]).unwrap_or_else(|| self.me().clone());
        let home = Home { owner: self.me().clone(), witness };
        if spec.repeatable {
            return Ok(home);
        }
        let path = format!("fennelfold/home/{}", spec.key);
        let mut last_failure = Failure::new(Code::NoArbiter, path.clone()).rejected();
        // The stored value decides, so a create whose reply was lost can be sent again.
        for _ in 0..=self.settings.claim_retries {
            match self.create_home(&path, &home).await {
                Ok(home) => return Ok(home),
                Err(failure) => last_failure = failure,
            }
        }
        Err(last_failure)
    }

    async fn create_home(&self, path: &str, home: &Home) -> Result<Home, Failure> {
        let no_arbiter = |e: String| Failure::new(Code::NoArbiter, e).rejected();
        let value = StoredHome { owner: home.owner.clone(), witness: home.witness.clone() };
        let value = serde_json::to_vec(&value).unwrap_or_default();
        match self.services.kv.swap(path, 0, value.into(), None).await {
            Ok(Swap::Done(_)) => Ok(home.clone()),
            Ok(Swap::Other(Some(Stored { value, .. }))) => {
                let StoredHome { owner, witness } =
                    serde_json::from_slice(&value).map_err(|e| no_arbiter(e.to_string()))?;
                Ok(Home { owner, witness })
            }
            // The key existed but was deleted before it could be read: there is no agreed home.
            Ok(Swap::Other(None)) => Err(no_arbiter(path.to_owned())),
            Err(failure) => Err(no_arbiter(failure.context)),
        }
    }
}
