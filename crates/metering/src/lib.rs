//! Usage of tenants: requests that began to run, counted in windows of true time.
//!
//! ```text
//! edge: UsageRecorder ──UsageReport──▶ leader: Metering ──UsageCommand──▶ log: UsageLedger
//!                                         │ Send{window, counts}, after the log has it
//!                                         ▼
//!                                      platform
//! ```
//!
//! An edge reports all that it counted in a window so far, never what was added, so that a report
//! that arrives twice counts once. The log fixes the counts of a window before they are sent to
//! the platform, so that every leader sends the same. Windows are of true time, which
//! [`FleetClock`] takes from many machines, since the clocks of some may jump.
//!
//! Nothing here does I/O: `(state, event, now) -> actions`.
#![forbid(unsafe_code)]

mod clock;
mod ledger;
mod metering;
mod recorder;
mod window;

pub use clock::{FleetClock, LeaderClock};
pub use ledger::{EdgeLife, UsageCommand, UsageLedger};
pub use metering::{MeterAction, MeterSettings, Metering, SendAnswer};
pub use recorder::{UsageRecorder, UsageReport};
pub use window::{Counts, WindowNumber, Windows};
