//! Soak test with fault injection: runs the real program as separate processes on one machine,
//! against a stand-in of the platform, and injects faults from outside.
//!
//! ```text
//! seed ──▶ schedule ──▶ faults ──▶ processes, proxies, store, replicas
//!                                      ▲
//! callers, trainers ───────────────────┘──▶ history ──▶ checks ──▶ report
//! ```
//!
//! [`schedule`] draws all faults of a run from one seed. [`play`] starts the cluster, injects the
//! faults and sends requests meanwhile. [`checks`] use only what callers, replicas and the harness
//! observed from outside. A schedule is stored as a file and can be replayed. A replay injects the
//! same faults at the same times, but thread and socket timing differs from run to run.
#![forbid(unsafe_code)]

pub mod callers;
pub mod checks;
pub mod history;
pub mod jobs;
pub mod play;
pub mod proxy;
pub mod report;
pub mod schedule;
