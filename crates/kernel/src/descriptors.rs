//! The limit of open file descriptors.

/// Limit of descriptors of a process for which the system sets none.
const UNLIMITED: usize = 1 << 20;

/// Returns the number of file descriptors that this process may open.
pub fn descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(UNLIMITED)
}
