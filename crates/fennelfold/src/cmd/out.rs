//! Standard output; a reader that goes away is an error, not a panic.

use std::fmt::Display;
use std::io::{self, Write};

/// Prints text as it is, at once.
///
/// # Errors
/// [`io::ErrorKind::BrokenPipe`] when the reader is gone.
pub(crate) fn print(text: impl Display) -> io::Result<()> {
    let mut out = io::stdout().lock();
    write!(out, "{text}")?;
    out.flush()
}

/// Prints a line.
///
/// # Errors
/// As [`print()`].
pub(crate) fn line(text: impl Display) -> io::Result<()> {
    print(format_args!("{text}\n"))
}

/// Tells whether an error only means that the reader of the output is gone.
pub(crate) fn is_closed(report: &eyre::Report) -> bool {
    let error = report.downcast_ref::<io::Error>();
    error.is_some_and(|error| error.kind() == io::ErrorKind::BrokenPipe)
}
