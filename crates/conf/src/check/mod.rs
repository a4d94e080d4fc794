//! Checks that report every mistake at once.

mod fields;
mod mistake;

pub(crate) use fields::Fields;
pub use mistake::{Mistake, Mistakes};
