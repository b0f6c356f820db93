//! Headers of requests and answers: read, copied from one connection to another.

use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;

/// Headers that concern a single connection and are not passed on.
const OF_CONNECTION: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Copies all headers but those of a single connection, which are fixed or named by
/// `Connection`.
pub(super) fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    let named = from.get_all(hyper::header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for (name, value) in from {
        let is_single = OF_CONNECTION.contains(&name.as_str());
        if !is_single && !named.iter().any(|one| one == name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Text of a header; empty where it is missing or no text, as if it was sent empty.
pub(super) fn header_text(headers: &HeaderMap, name: &HeaderName) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}

/// Number in a header; none where it is missing or no number, as if it was not sent.
pub(super) fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Host that a request names; empty where it names none, which no route matches.
pub(super) fn host_of(head: &Parts) -> String {
    let header = head.headers.get(hyper::header::HOST);
    let host = header.and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.authority().map(|authority| authority.as_str()));
    host.unwrap_or_default().to_string()
}
