//! How a replica's response delimits its body, which decides whether its end can be known.

use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, Version};

/// Delimiter of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The response has no body, or states its length.
    Length,
    /// The last chunk marks the end.
    Chunked,
    /// The body ends with the connection, so a replica that failed while sending it cannot be
    /// told from one that has sent it whole.
    Connection,
}

impl Framing {
    /// Returns the framing of a response.
    pub fn of(response: &Response<Incoming>) -> Self {
        let body = response.body();
        if body.is_end_stream() || body.size_hint().exact().is_some() {
            return Self::Length;
        }
        let codings = response.headers().get_all(TRANSFER_ENCODING);
        let last_coding = codings.iter().next_back();
        let last_coding = last_coding.and_then(|value| value.to_str().ok()?.rsplit(',').next());
        match last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
            true => Self::Chunked,
            false => Self::Connection,
        }
    }

    /// Returns the name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}

/// Makes hyper send an HTTP/1 response without framing and close the connection after it.
pub fn close_after<B>(response: &mut Response<B>) {
    *response.version_mut() = Version::HTTP_10;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}
