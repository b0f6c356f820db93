//! Tests of the state of a storage process. The process is driven by messages of simulated members,
//! without connections and without a running clock.

mod fixture;
mod leadership;
mod submissions;
mod terms;
