//! A fault soak: the real program as separate processes on one machine, before a stand-in of
//! the platform, with faults from outside.
//!
//! ```text
//! seed ──▶ schedule ──▶ faults ──▶ processes, proxies, store, replicas
//!                                      ▲
//! callers, trainers ───────────────────┘──▶ history ──▶ checks ──▶ report
//! ```
//!
//! [`schedule`] draws all faults of a run from one seed; [`play`] starts the cluster, inflicts
//! them and lets callers ask meanwhile; [`checks`] judge what callers, replicas and the store
//! have seen, and nothing else. A schedule is a file that can be played again. What is timed
//! by threads and sockets differs from run to run: one schedule is the same trouble, not the
//! same run.
#![forbid(unsafe_code)]

pub mod callers;
pub mod checks;
pub mod history;
pub mod jobs;
pub mod play;
pub mod proxy;
pub mod report;
pub mod schedule;
