//! Helpers to read headers and to copy them from one message to another.

use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Copies all headers except hop-by-hop headers and those that `Connection` lists.
pub(super) fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    let listed = from.get_all(hyper::header::CONNECTION).iter();
    let listed = listed.filter_map(|value| value.to_str().ok());
    let listed: Vec<String> = listed
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for (name, value) in from {
        let is_hop_by_hop = HOP_BY_HOP.contains(&name.as_str());
        if !is_hop_by_hop && !listed.iter().any(|other| other == name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Text of a header; empty if it is missing or not valid text.
pub(super) fn header_text(headers: &HeaderMap, name: &HeaderName) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}

/// Number in a header; `None` if it is missing or not a number.
pub(super) fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Host of a request from its `Host` header or URI. Without a host it is empty, which matches no
/// route.
pub(super) fn host_of(head: &Parts) -> String {
    let header = head.headers.get(hyper::header::HOST);
    let host = header.and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.authority().map(|authority| authority.as_str()));
    host.unwrap_or_default().to_string()
}
