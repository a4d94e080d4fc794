//! The bound on requests that callers have open at this entry.

use kernel::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the requests that callers have open here.
#[derive(Debug, Default)]
pub(crate) struct Limit {
    open: Arc<AtomicUsize>,
}

/// A place among the open requests; dropping it gives it back.
#[derive(Debug)]
pub(crate) struct Place {
    open: Arc<AtomicUsize>,
}

impl Limit {
    /// Takes a place.
    ///
    /// # Errors
    /// [`Code::Overloaded`] when `most` requests are open.
    pub(crate) fn enter(&self, most: usize) -> Result<Place, Failure> {
        let place = Place { open: self.open.clone() };
        let open = self.open.fetch_add(1, Ordering::SeqCst);
        if open >= most {
            // Nothing is known here about an earlier attempt under the same key.
            return Err(
                Failure::new(Code::Overloaded, format!("{open} requests are open")).rejected()
            );
        }
        Ok(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}
