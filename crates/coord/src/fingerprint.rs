//! What requests have in common under which servers may crash: the same content, or a part of their
//! prompts.
//!
//! Both are numbers of one kind, the marks of a request. The highest bit tells them apart.

use kernel::Name;
use xxhash_rust::xxh3::Xxh3;

const REQUEST_BIT: u64 = 1 << 63;

/// Returns the mark that all requests with the same method, target, organisation and body have.
pub fn request_mark(method: &str, target: &str, organisation: Option<&Name>, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    let organisation = organisation.map_or("", |name| name.as_str());
    for text in [method, target, organisation] {
        hash.update(text.as_bytes());
        // Separates the fields, as none of them can contain it.
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest() | REQUEST_BIT
}

/// Returns the mark of all requests whose prompts have the part with this identifier.
pub fn part_mark(part: u64) -> u64 {
    part & !REQUEST_BIT
}

/// Whether a mark is that of a whole request.
pub fn is_request_mark(mark: u64) -> bool {
    mark & REQUEST_BIT != 0
}
