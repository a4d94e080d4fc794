//! The home of a request: the owner and the witness that its key names.

use kernel::NodeId;
use std::fmt;

/// Prefix of a key that names its home; the digit is the version of the format.
const KEY_PREFIX: &str = "ff1";

/// The two entries that hold the record of a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Home {
    /// Entry that runs the request.
    pub owner: NodeId,
    /// Entry that holds a copy; equal to the owner when no other entry was reachable.
    pub witness: NodeId,
}

impl Home {
    /// Parses the home from a key; `None` for a key chosen by a caller without this prefix.
    ///
    /// # Examples
    /// ```
    /// let home = ledger::Home::parse("ff1.north-1.7.south-2.9.x42").expect("a home in the key");
    /// assert_eq!(home.owner.name, "north-1");
    /// assert_eq!(home.witness.incarnation, 9);
    /// assert!(ledger::Home::parse("my-own-key").is_none());
    /// ```
    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.splitn(6, '.');
        if parts.next()? != KEY_PREFIX {
            return None;
        }
        let owner = NodeId::new(parts.next()?, parts.next()?.parse().ok()?);
        let witness = NodeId::new(parts.next()?, parts.next()?.parse().ok()?);
        let rest = parts.next()?;
        (!rest.is_empty()).then_some(Self { owner, witness })
    }
}

impl fmt::Display for Home {
    /// Writes the prefix that a caller puts in front of its own identifier.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{KEY_PREFIX}.{}.{}.", self.owner, self.witness)
    }
}
