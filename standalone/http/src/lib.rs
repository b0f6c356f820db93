//! HTTP server and client that nodes, stand-ins and tools share, based on `hyper`.
//!
//! The package provides a server with limits on connections, header size and header time, a
//! client with a connection pool, JSON bodies, and server-sent events.
#![forbid(unsafe_code)]

mod body;
mod client;
mod server;
mod sse;

pub use body::{
    BodyError, ResponseBody, channel_body, empty_body, full_body, json_response, read_body,
    read_json, stream_body,
};
pub use client::{CallError, Client, request};
pub use server::{Limits, serve};
pub use sse::{EventStream, sse_event};

/// A request as a server receives it.
pub type Request = hyper::Request<hyper::body::Incoming>;
/// A response as a handler returns it.
pub type Response = hyper::Response<ResponseBody>;
