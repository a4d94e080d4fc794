//! Where the record of a request lives, as its key says.

use kernel::NodeId;
use std::fmt;

/// Marks a key that names its home; the digit is the version of the format.
const MARK: &str = "ff1";

/// The two entries that hold the record of a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Home {
    /// Runs the request.
    pub owner: NodeId,
    /// Holds a copy; the same run as the owner when no other entry was reachable.
    pub witness: NodeId,
}

impl Home {
    /// Reads the home out of a key; `None` for a key that a caller made up by itself.
    ///
    /// # Examples
    /// ```
    /// let home = ledger::Home::parse("ff1.north-1.7.south-2.9.x42").expect("it names a home");
    /// assert_eq!(home.owner.name, "north-1");
    /// assert_eq!(home.witness.incarnation, 9);
    /// assert!(ledger::Home::parse("my-own-key").is_none());
    /// ```
    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.splitn(6, '.');
        if parts.next()? != MARK {
            return None;
        }
        let owner = NodeId::new(parts.next()?, parts.next()?.parse().ok()?);
        let witness = NodeId::new(parts.next()?, parts.next()?.parse().ok()?);
        let rest = parts.next()?;
        (!rest.is_empty()).then_some(Self { owner, witness })
    }
}

impl fmt::Display for Home {
    /// Writes the prefix that a caller puts before a number of its own.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{MARK}.{}.{}.", self.owner, self.witness)
    }
}
