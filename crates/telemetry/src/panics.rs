//! Logs panics as events. The default hook writes only to standard error, which is often not kept
//! with the log.

use crate::LogRing;
use std::panic::PanicHookInfo;
use std::time::Duration;

/// Time limit on writing the line. A panic may end the process, so the line is written at once.
const PANIC_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Logs each panic of this process to `ring`, in addition to the hook that is in place.
pub fn log_panics(ring: &LogRing) {
    let ring = ring.clone();
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        previous_hook(info);
        ring.write_line(&panic_line(info), PANIC_FLUSH_TIMEOUT);
    }));
}

fn panic_line(info: &PanicHookInfo<'_>) -> String {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    let place = info.location().map(ToString::to_string);
    format!(
        "[ERROR] event=panicked place={} message={:?}",
        place.unwrap_or_default(),
        text.unwrap_or_default()
    )
}
