//! The stream of an accepted caller's connection, which reports its writes to [`SlowReaders`] and
//! fails once the connection must be closed.
//!
//! Beyond the answer itself, at most twice hyper's `max_buf_size` (`MIN_BUFFER_BYTES` in
//! [`super::front`], or the configured size of a request head if that is greater) and
//! [`crate::socket::UNSENT_BYTES`] are buffered for a connection, besides the bytes in flight.

use super::slow_reader::{ConnectionWrites, SlowReaders};
use crate::socket;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// A caller's connection.
pub(super) struct CallerStream {
    stream: TokioIo<TcpStream>,
    writes: Rc<ConnectionWrites>,
    readers: Rc<SlowReaders>,
    /// Whether the socket options for a slow reader are set.
    allows_slow_reads: Cell<bool>,
}

impl CallerStream {
    /// Wraps an accepted connection and sets its socket options.
    pub fn new(stream: TcpStream, readers: &Rc<SlowReaders>) -> Self {
        socket::set_options(&stream);
        socket::limit_unsent_bytes(&stream);
        Self {
            writes: readers.connect(stream.peer_addr().ok()),
            stream: TokioIo::new(stream),
            readers: Rc::clone(readers),
            allows_slow_reads: Cell::new(false),
        }
    }

    /// State of the writes, which outlives the stream.
    pub fn writes(&self) -> Rc<ConnectionWrites> {
        Rc::clone(&self.writes)
    }

    /// Fails if the connection must be closed. The socket then discards the bytes that it holds.
    fn check_cut(&self) -> Result<()> {
        if self.writes.cut().is_some() {
            socket::discard_on_close(self.stream.inner());
            return Err(Error::from(ErrorKind::TimedOut));
        }
        if self.writes.is_slow.get() && !self.allows_slow_reads.replace(true) {
            socket::allow_slow_reads(self.stream.inner());
        }
        Ok(())
    }

    fn record(&self, context: &Context<'_>, offered: usize, written: &Poll<Result<usize>>) {
        match written {
            Poll::Ready(Ok(count)) => self.readers.record_write(&self.writes, offered, *count),
            Poll::Ready(Err(_)) => self.readers.unblock(&self.writes),
            Poll::Pending => {
                self.writes.set_waker(context.waker());
                self.readers.record_write(&self.writes, offered, 0);
            }
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.readers.unblock(&self.writes);
    }
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.check_cut()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(context, bytes.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.check_cut()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        let offered = parts.iter().map(|part| part.len()).sum();
        self.record(context, offered, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
