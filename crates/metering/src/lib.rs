//! Metering of tenants: counts the requests of each tenant that started to run, in windows of time.
//!
//! ```text
//! edge: UsageRecorder ──UsageReport──▶ leader: Metering ──UsageCommand──▶ log: UsageLedger
//!                                         │ Send(window, counts), once committed
//!                                         ▼
//!                                      platform
//! ```
//!
//! An edge reports the total count of a window so far and not the increment, so that a duplicate
//! report has no effect. The log fixes the counts of a window before they are sent to the platform,
//! so that every leader sends the same counts. [`FleetClock`] supplies the time. It combines the
//! clocks of many machines, because some of them may jump.
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
