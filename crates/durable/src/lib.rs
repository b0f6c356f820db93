//! Files of a storage process: the replicated log, which must survive a restart, and texts of ended
//! jobs that were moved out of memory, which are removed at each start.
#![forbid(unsafe_code)]

mod record_log;
mod snapshot_record;
mod text_files;

pub use record_log::{OpenedLog, RecordLog, RecordLogError};
pub use snapshot_record::{SnapshotState, StateReader};
pub use text_files::TextFiles;
