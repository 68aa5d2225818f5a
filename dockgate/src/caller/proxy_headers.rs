//! Removes the headers that a proxy must not forward.

use http::{HeaderMap, HeaderName, header};

/// Hop-by-hop headers of RFC 9110, section 7.6.1.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];
/// Prefix of the headers that the daemon sets itself; those of callers are not forwarded.
const DAEMON_PREFIX: &str = "dockgate-";

/// Removes the hop-by-hop headers and those named in `Connection`.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named_headers.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes the headers of a request that endpoints must not receive: its credentials, its
/// framing and the headers that only the daemon sets.
pub(super) fn sanitize_request_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    let daemon_headers: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(DAEMON_PREFIX))
        .cloned()
        .collect();
    let consumed_headers = [
        header::HOST,
        header::CONTENT_LENGTH,
        header::AUTHORIZATION,
        header::EXPECT,
    ];
    for name in daemon_headers.iter().chain(&consumed_headers) {
        headers.remove(name);
    }
}

/// Removes the headers of a response that callers must not receive.
pub(super) fn sanitize_response_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(header::CONTENT_LENGTH);
}

#[cfg(test)]
mod tests;
