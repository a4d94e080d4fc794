//! Takes a caller's request on.

use crate::requests::Requests;
use kernel::prelude::*;
use ledger::{Holder, Home, Input, RequestSpec, Response};

impl Requests {
    /// Takes a caller's request to its home and returns where its answer can be read.
    ///
    /// Returns the key as well: a key that names no home gets one in front of it.
    ///
    /// # Errors
    /// The failure that the caller is told.
    pub async fn submit(
        self: &Arc<Self>,
        mut terms: RequestSpec,
    ) -> Result<(Key, Holder), Failure> {
        if Home::parse(&terms.key.id).is_none() {
            let home = self.find_home(&terms).await?;
            terms.key.id = Name::from(format!("{home}{}", terms.key.id));
        }
        self.admit_new(&terms)?;
        let key = terms.key.clone();
        let response = self.ask(|ticket| Input::Submit { ticket, terms }).await;
        located(response).map(|holder| (key, holder))
    }
}

/// Returns where an answer can be read, or what the caller is told instead.
pub(crate) fn located(response: Response) -> Result<Holder, Failure> {
    match response {
        Response::Located(holder) => Ok(holder),
        Response::Failed(failure) => Err(failure),
        Response::Over(_) | Response::Reply(_) => {
            Err(Failure::new(Code::Internal, "an unexpected response"))
        }
    }
}
