//! The edge process: accepts callers' requests and jobs, forwards requests to replicas and runs the
//! items of jobs.

mod attempt;
mod attempt_error;
mod attempts;
mod balance;
mod caller_stream;
mod draining;
mod ended;
mod evacuation;
mod event_buffer;
mod fleet_view;
mod forward;
mod front;
mod headers;
mod hedged_attempt;
mod hedging;
mod item_run;
mod job_calls;
mod leader_contact;
mod leader_messages;
mod load_report;
mod member_search;
mod pace;
mod permits;
mod process;
mod questions;
mod reader;
mod ready;
mod refusal;
mod replica_loads;
mod replica_state;
mod residency;
mod response_time;
mod responses;
mod retry_after;
mod runs;
mod scoring;
mod service_load;
mod slow_reader;
mod starting;
mod storage_links;
mod stream;
mod stream_forwarding;
mod usage;
mod work_lease;

pub use process::run;
