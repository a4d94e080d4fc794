//! The limits of the head of a request.

use crate::server::{Request, ServerSettings};
use kernel::{Code, Failure};

/// Bytes of a header field beyond its name and value: a colon, a space and the line end.
const FIELD_OVERHEAD_BYTES: usize = 4;

/// Checks that the head of a request is within the limits.
pub(crate) fn check_head(req: &Request, settings: &ServerSettings) -> Result<(), Failure> {
    let fields = req.headers().len();
    if fields > settings.headers {
        let text = format!("{fields} header fields, the limit is {}", settings.headers);
        return Err(Failure::new(Code::HeadTooLarge, text));
    }
    let field = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES
    };
    let target = req.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let bytes = target + req.headers().iter().map(field).sum::<usize>();
    if bytes > settings.head_bytes {
        let text = format!("{bytes} bytes, the limit is {}", settings.head_bytes);
        return Err(Failure::new(Code::HeadTooLarge, text));
    }
    Ok(())
}
