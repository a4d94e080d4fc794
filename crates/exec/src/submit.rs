//! Takes a caller's request on.

use crate::requests::Requests;
use kernel::prelude::*;
use ledger::{Holder, Home, Input, Response, Terms};

impl Requests {
    /// Takes a caller's request to its home and returns where its answer can be read.
    ///
    /// Returns the key as well: a key that names no home gets one in front of it.
    ///
    /// # Errors
    /// The failure that the caller is told.
    pub async fn submit(self: &Arc<Self>, mut spec: Terms) -> Result<(Key, Holder), Failure> {
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

/// Returns where an answer can be read, or what the caller is told instead.
pub(crate) fn holder_of_response(response: Response) -> Result<Holder, Failure> {
    match response {
        Response::Located(holder) => Ok(holder),
        Response::Failed(failure) => Err(failure),
        Response::Over(_) | Response::Reply(_) => {
            Err(Failure::new(Code::Internal, "unexpected response from the request table"))
        }
    }
}
