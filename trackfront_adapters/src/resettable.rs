//! A TCP connection that can be reset instead of closed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Asks for a connection to be reset when it is dropped.
#[derive(Clone, Debug, Default)]
pub struct Reset(Arc<AtomicBool>);

impl Reset {
    /// Asks for the reset, because of `cause`, which is returned.
    pub fn request<E>(&self, cause: E) -> E {
        self.0.store(true, Ordering::Relaxed);
        cause
    }

    fn is_requested(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection that is reset when dropped if that was requested.
#[derive(Debug)]
pub struct ResettableStream {
    stream: TcpStream,
    reset: Reset,
}

impl ResettableStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, reset: Reset::default() }
    }

    /// Returns the handle that requests the reset.
    pub fn reset(&self) -> Reset {
        self.reset.clone()
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.reset.is_requested()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!(error:%; "connection closed that should be reset");
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ResettableStream {
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
        // A shutdown would look like the regular end.
        match self.reset.is_requested() {
            true => Poll::Ready(Ok(())),
            false => Pin::new(&mut self.stream).poll_shutdown(context),
        }
    }
}
