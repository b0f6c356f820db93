//! Socket options that close a connection once the remote machine is silent.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A connection is closed once sent bytes are unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time before and between keep-alive probes of an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which an idle connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Unsent bytes that the socket of a caller's connection holds; bytes in flight are not limited.
/// Without the limit, the socket accepts more bytes only once a third of its buffer is free, which
/// a steady reader of 100 KB/s reaches later than the timeout for stalled writes.
pub(crate) const UNSENT_BYTES: u32 = 32 * 1024;
/// Bytes that the socket of a caller's connection holds unread; the kernel may charge twice as much.
/// At a round trip of some ms this is enough for tens of MB a second. The default grows to several MB.
const UNREAD_BYTES: usize = 128 * 1024;
/// Replaces [`UNACKNOWLEDGED_TIMEOUT`] for a caller that reads slowly. Linux also applies that
/// timeout while the receiver's window is closed. It must exceed the edge's timeout for stalled
/// writes.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(10);

/// Sets the options that every connection needs: `TCP_NODELAY` and timeouts for a silent remote
/// machine.
pub(crate) fn set_options(stream: &TcpStream) {
    log_failure("nodelay", stream.set_nodelay(true));
    let socket = SockRef::from(stream);
    log_failure(
        "user_timeout",
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)),
    );
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    log_failure("keepalive", socket.set_tcp_keepalive(&probes));
}

/// Limits the unsent bytes that the socket holds to [`UNSENT_BYTES`].
pub(crate) fn limit_unsent_bytes(stream: &TcpStream) {
    let result = SockRef::from(stream).set_tcp_notsent_lowat(UNSENT_BYTES);
    log_failure("notsent_lowat", result);
}

/// Limits the unread bytes of each accepted connection to [`UNREAD_BYTES`].
pub(crate) fn limit_unread_bytes(listener: &TcpListener) {
    let result = SockRef::from(listener).set_recv_buffer_size(UNREAD_BYTES);
    log_failure("receive_buffer", result);
}

/// Keeps the connection open while the remote process reads slowly. Its machine answers, so the
/// shorter timeout for a silent machine is not needed.
pub(crate) fn allow_slow_reads(stream: &TcpStream) {
    let result = SockRef::from(stream).set_tcp_user_timeout(Some(SLOW_READER_TIMEOUT));
    log_failure("user_timeout", result);
}

/// Makes the socket discard unsent bytes when it is closed, instead of holding them until the
/// remote process reads them.
pub(crate) fn discard_on_close(stream: &TcpStream) {
    let result = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    log_failure("linger", result);
}

/// Logs an option that could not be set; the connection works without it.
fn log_failure(option: &str, result: std::io::Result<()>) {
    if let Err(error) = result {
        log::warn!("event=socket_option_failed option={option} error=\"{error}\"");
    }
}
