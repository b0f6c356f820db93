//! Benchmarks of the hot paths; see `benches/`.
#![forbid(unsafe_code)]
