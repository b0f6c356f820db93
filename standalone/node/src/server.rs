//! State that all HTTP handlers share, and helpers to read requests.

use crate::errors::ApiError;
use crate::handle::Handle;
use crate::metrics::Metrics;
use crate::service_replicas::ServiceReplicas;
use brasspond_http::{BodyError, Request, read_json};
use brasspond_settings::HttpLimits;
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// State shared by all HTTP handlers.
pub(crate) struct Server {
    pub(crate) handle: Handle,
    pub(crate) limits: HttpLimits,
    pub(crate) services: ServiceReplicas,
    pub(crate) metrics: Arc<Metrics>,
}

/// The first value of `key` in a query string, not percent-decoded.
pub(crate) fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(name, _)| *name == key)
        .map(|(_, value)| value)
        .next()
}

impl Server {
    /// Reads a JSON body within the configured limits of size and time.
    ///
    /// # Errors
    /// The body is too long, arrives too slowly or is not valid JSON of the type.
    pub(crate) async fn read_json<T: DeserializeOwned>(
        &self,
        request: Request,
    ) -> Result<T, ApiError> {
        let time = Duration::from_millis(self.limits.body_milliseconds);
        let reading = read_json(request.into_body(), self.limits.body_bytes);
        match tokio::time::timeout(time, reading).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(BodyError::TooLong(_))) => {
                let status = StatusCode::PAYLOAD_TOO_LARGE;
                Err(ApiError::new(
                    status,
                    "too_long",
                    "the body is longer than the limit",
                ))
            }
            Ok(Err(problem)) => Err(ApiError::bad_request(problem.to_string())),
            Err(_) => {
                let status = StatusCode::REQUEST_TIMEOUT;
                Err(ApiError::new(
                    status,
                    "too_slow",
                    "the body did not arrive in time",
                ))
            }
        }
    }
}
