//! A bound on the bytes that a server may send before the head of its answer is complete.
//!
//! The HTTP library bounds one head, but skips any number of informational ones (1xx).

#![deny(clippy::arithmetic_side_effects)]

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connect::ByteStream;

/// The most bytes before the head of an answer is complete: heads of servers have a few hundred.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The value of a counter while no head is awaited.
const NOT_COUNTING: usize = usize::MAX;

/// Counts the bytes of one connection while the head of an answer is awaited.
#[derive(Clone, Debug)]
pub struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Starts to count: a request is about to be sent.
    pub fn start(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Stops to count: the head is complete.
    pub fn stop(&self) {
        self.0.store(NOT_COUNTING, Ordering::Relaxed);
    }

    fn count(&self, bytes: usize) {
        let add = |count: usize| (count != NOT_COUNTING).then(|| count.saturating_add(bytes));
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Returns whether too many bytes have come.
    pub fn is_exceeded(&self) -> bool {
        let count = self.0.load(Ordering::Relaxed);
        count != NOT_COUNTING && count > MAX_HEAD_BYTES
    }
}

/// A connection whose reads fail once too many bytes have come before the head of an answer.
pub struct HeadLimited {
    stream: Box<dyn ByteStream>,
    limit: HeadLimit,
}

impl HeadLimited {
    /// Wraps a connection. Returns it with its limit.
    pub fn new(stream: Box<dyn ByteStream>) -> (Self, HeadLimit) {
        let limit = HeadLimit(Arc::new(AtomicUsize::new(NOT_COUNTING)));
        (Self { stream, limit: limit.clone() }, limit)
    }
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exceeded() {
            let message = format!("over {MAX_HEAD_BYTES} bytes and no head of an answer");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.limit.count(buffer.filled().len().saturating_sub(before));
        polled
    }
}

impl AsyncWrite for HeadLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
