//! Divides the memory and the descriptors of a process among its clients.

/// Memory of an open connection, in bytes: its state, its read buffer, and what the kernel keeps of it.
pub const CONNECTION_BYTES: usize = 16 << 10;
/// Fifths of the memory of a process that are for clients. The rest is for the process itself, and for what the kernel
/// and the allocator keep.
const CLIENT_FIFTHS: usize = 2;
/// Maximum number of descriptors that are kept for files and for the process itself.
const MAX_FILES: usize = 200;
/// Divisor of all descriptors that gives the most of them that are kept so.
const FILES_DIVISOR: usize = 4;
/// Divisor of the memory for clients that gives the memory for open connections.
const CONNECTIONS_DIVISOR: usize = 2;
/// Divisor of the memory and of all descriptors that gives those for connections with messages of other entries.
const MESSAGES_DIVISOR: usize = 20;
/// Divisor of the other descriptors that gives those for calls to the platform and messages to entries.
const OWN_DIVISOR: usize = 8;
/// Divisor of the other descriptors that gives those for each listener that answers at once.
const INTERNAL_DIVISOR: usize = 32;
/// Divisor of the other descriptors that gives those for requests that other entries pass on.
const ENTRIES_DIVISOR: usize = 8;

/// Descriptors of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerShare {
    /// Number of descriptors that its connections and their requests may use.
    pub descriptors: usize,
    /// Number of further descriptors that a request needs while it runs.
    pub per_request: usize,
}

/// What clients may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientSettings {
    /// Memory, in bytes.
    pub memory: usize,
    /// Descriptors, by listener.
    pub listeners: Vec<ListenerShare>,
    /// Number of copies of a body that the process makes while it handles a request.
    pub body_copies: usize,
}

/// Listeners of a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Listeners {
    /// Whether other entries pass requests on to it.
    pub has_entries: bool,
    /// Number of listeners that answer at once, without a request to a backend server.
    pub internal: usize,
}

impl ClientSettings {
    /// Returns the part of a process for connections of other entries that carry messages, on one listener.
    pub fn for_messages(memory: usize, descriptors: usize) -> Self {
        let descriptors = descriptors / MESSAGES_DIVISOR;
        let listeners = vec![ListenerShare { descriptors, per_request: 0 }];
        Self { memory: memory / MESSAGES_DIVISOR, listeners, body_copies: 1 }
    }

    /// Divides the memory and the descriptors of a process. The listener of callers has the index 0, that of entries the
    /// next one, and the internal ones follow.
    pub fn divide(memory: usize, descriptors: usize, listeners: Listeners) -> Self {
        let memory = memory / 5 * CLIENT_FIFTHS;
        let sockets = descriptors - MAX_FILES.min(descriptors / FILES_DIVISOR);
        let entries = if listeners.has_entries { sockets / ENTRIES_DIVISOR } else { 0 };
        let internal = sockets / INTERNAL_DIVISOR;
        let others = sockets / OWN_DIVISOR + entries + internal * listeners.internal;
        let relaying = |descriptors| ListenerShare { descriptors, per_request: 1 };
        let mut shares = vec![relaying(sockets.saturating_sub(others))];
        shares.extend(listeners.has_entries.then(|| relaying(entries)));
        let internal = ListenerShare { descriptors: internal, per_request: 0 };
        shares.extend(std::iter::repeat_n(internal, listeners.internal));
        let total: usize = shares.iter().map(|share| share.descriptors).sum();
        let affordable = memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        if total > affordable {
            for share in &mut shares {
                share.descriptors = share.descriptors * affordable / total;
            }
        }
        Self { memory, listeners: shares, body_copies: 1 }
    }
}
