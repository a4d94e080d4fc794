//! Submits requests of callers.

use crate::requests::Requests;
use kernel::prelude::*;
use ledger::{Holder, Home, Input, RequestSpec, Response};

impl Requests {
    /// Submits a request to its home and returns its key and where its answer can be read.
    ///
    /// A key that names no home is prefixed with one.
    ///
    /// # Errors
    /// The failure to report to the caller.
    pub async fn submit(self: &Arc<Self>, mut spec: RequestSpec) -> Result<(Key, Holder), Failure> {
        if Home::parse(&spec.key.id).is_none() {
            let home = self.assign_home(&spec).await?;
            spec.key.id = Name::from(format!("{home}{}", spec.key.id));
        }
        self.admit_new(&spec)?;
        let key = spec.key.clone();
        let response = self.feed_and_wait(|ticket| Input::Submit { ticket, terms: spec }).await;
        holder_of_response(response).map(|holder| (key, holder))
    }
}

/// Returns where an answer can be read, or the failure to report to the caller.
pub(crate) fn holder_of_response(response: Response) -> Result<Holder, Failure> {
    match response {
        Response::Located(holder) => Ok(holder),
        Response::Failed(failure) => Err(failure),
        Response::Over(_) | Response::Reply(_) => {
            Err(Failure::new(Code::Internal, "unexpected response from the request table"))
        }
    }
}
