//! Headers that end at a proxy, and headers that are dockgate's own.

use http::{HeaderMap, HeaderName, header};

/// Headers that belong to one connection, by RFC 9110 section 7.6.1.
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
/// Prefix of dockgate's own headers, which callers must not send on to endpoints.
const OWN_PREFIX: &str = "dockgate-";

/// Removes the headers that belong to one connection, with those named in `Connection`.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Prepares a caller's headers for an endpoint: its key, its framing and our own headers stay here.
pub(super) fn sanitize_request_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    let framing = [
        header::HOST,
        header::CONTENT_LENGTH,
        header::AUTHORIZATION,
        header::EXPECT,
    ];
    for name in own.iter().chain(&framing) {
        headers.remove(name);
    }
}

/// Prepares an endpoint's headers for the caller.
pub(super) fn sanitize_response_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(header::CONTENT_LENGTH);
}

#[cfg(test)]
mod tests;
