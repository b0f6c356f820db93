//! Routing of HTTP requests to the handlers by path.

use crate::completions::{self, Format};
use crate::errors::ApiError;
use crate::resources;
use crate::server::Server;
use crate::services;
use crate::steps;
use brasspond_http::{Request, Response, full_body, json_response};
use brasspond_resource::{API_VERSION, Kind};
use hyper::{Method, StatusCode};
use serde_json::json;
use std::sync::Arc;
use std::time::Instant;

impl Server {
    /// Routes a request to its handler, and logs and counts the response.
    pub(crate) async fn handle(self: Arc<Self>, request: Request) -> Response {
        let begun = Instant::now();
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let (interface, result) = self.route(request, &path).await;
        let response = result.unwrap_or_else(|error| error.response());
        let status = response.status().as_u16();
        let seconds = begun.elapsed().as_secs_f64();
        self.metrics.record_request(interface, status, seconds);
        if interface != "health" {
            let milliseconds = seconds * 1e3;
            log::info!(
                "event=request method={method} path={path} interface={interface} status={status} milliseconds={milliseconds:.1}"
            );
        }
        response
    }

    async fn route(
        &self,
        request: Request,
        path: &str,
    ) -> (&'static str, Result<Response, ApiError>) {
        let resources = path
            .strip_prefix("/apis/")
            .and_then(|rest| rest.strip_prefix(API_VERSION));
        match (request.method(), path) {
            (&Method::GET, "/livez") => ("health", Ok(text("ok\n"))),
            (&Method::GET, "/readyz") => ("health", self.readiness()),
            (&Method::GET, "/metrics") => {
                let body = self.metrics.render(&self.handle.view());
                ("health", Ok(text(body)))
            }
            (&Method::POST, "/v1/completions") => (
                "models",
                completions::serve(self, request, Format::Completion).await,
            ),
            (&Method::POST, "/v1/chat/completions") => (
                "models",
                completions::serve(self, request, Format::Chat).await,
            ),
            (&Method::GET, "/v1/models") => ("models", Ok(self.models())),
            _ if path.starts_with("/v1/groups/") => ("steps", steps::serve(self, request).await),
            _ => match resources {
                Some(rest) => {
                    let rest = rest.trim_start_matches('/').to_owned();
                    ("resources", resources::serve(self, request, &rest).await)
                }
                None => ("services", services::serve(self, request).await),
            },
        }
    }

    fn readiness(&self) -> Result<Response, ApiError> {
        if self.handle.view().ready {
            return Ok(text("ready\n"));
        }
        Err(ApiError::unavailable("this node is starting or draining"))
    }

    fn models(&self) -> Response {
        let view = self.handle.view();
        let models = view.catalogue.of_kind(Kind::Model);
        let data: Vec<serde_json::Value> = models
            .map(|object| {
                let name = &object.metadata.name;
                let version = view.newest.get(&brasspond_types::ModelName::new(name));
                json!({ "id": name, "object": "model", "weight_version": version })
            })
            .collect();
        json_response(StatusCode::OK, &json!({ "object": "list", "data": data }))
    }
}

fn text(body: impl Into<bytes::Bytes>) -> Response {
    hyper::Response::new(full_body(body))
}
