//! What all handlers share: the way to the decisions, limits, replicas, metrics.

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

/// Everything handlers share.
pub(crate) struct Server {
    pub(crate) handle: Handle,
    pub(crate) limits: HttpLimits,
    pub(crate) services: ServiceReplicas,
    pub(crate) metrics: Arc<Metrics>,
}

/// Value of a key in a query.
pub(crate) fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(name, _)| *name == key)
        .map(|(_, value)| value)
        .next()
}

impl Server {
    /// Reads a JSON body within the limits of size and time.
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
                Err(ApiError::new(status, "too_long", "the body is too long"))
            }
            Ok(Err(problem)) => Err(ApiError::bad_request(problem.to_string())),
            Err(_) => {
                let status = StatusCode::REQUEST_TIMEOUT;
                Err(ApiError::new(
                    status,
                    "too_slow",
                    "the body came too slowly",
                ))
            }
        }
    }
}
