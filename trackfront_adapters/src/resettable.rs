//! A TCP connection that is reset unless what it carries has ended well.
//!
//! A response that ends with its connection looks complete whenever the connection is closed, also by the kernel after the
//! process was killed. So the connection is set to be reset by any close from the first byte of such a response on, until
//! its body has ended well.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What the end of the connection says about the response that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum State {
    /// Nothing: the response states its end, or there is none.
    Stated = 0,
    /// A response ends with the connection, and its body has not ended.
    Open = 1,
    /// The body of such a response has ended well.
    Ended = 2,
    /// It broke off.
    Broken = 3,
}

/// Tells a connection how the response goes on that ends with it.
#[derive(Clone, Debug, Default)]
pub struct OpenEnd(Arc<AtomicU8>);

impl OpenEnd {
    /// Records that a response begins that ends with the connection.
    pub fn begin(&self) {
        self.set(State::Open);
    }

    /// Records that its body has ended well.
    pub fn end(&self) {
        self.set(State::Ended);
    }

    /// Records that its body broke off, because of `cause`, which is returned.
    pub fn break_off<E>(&self, cause: E) -> E {
        self.set(State::Broken);
        cause
    }

    fn set(&self, state: State) {
        self.0.store(state as u8, Ordering::Relaxed);
    }

    fn get(&self) -> State {
        match self.0.load(Ordering::Relaxed) {
            0 => State::Stated,
            1 => State::Open,
            2 => State::Ended,
            _ => State::Broken,
        }
    }

    /// Returns whether the end of the connection would look like the regular end of a response that has not ended well.
    fn is_unsafe_to_close(&self) -> bool {
        matches!(self.get(), State::Open | State::Broken)
    }
}

/// A connection that is reset instead of closed while that would look like the end of a response.
#[derive(Debug)]
pub struct ResettableStream {
    stream: TcpStream,
    open_end: OpenEnd,
    /// Whether any close resets the connection, also that of the kernel when the process ends.
    resets: bool,
}

impl ResettableStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, open_end: OpenEnd::default(), resets: false }
    }

    /// Returns the handle that tells the connection of its response.
    pub fn open_end(&self) -> OpenEnd {
        self.open_end.clone()
    }

    /// Makes the kernel reset or close the connection, as its response demands now.
    fn update(&mut self) {
        let resets = self.open_end.is_unsafe_to_close();
        if resets == self.resets {
            return;
        }
        let updated = match resets {
            true => self.stream.set_zero_linger(),
            // What is still to be sent is sent after the close.
            false => SockRef::from(&self.stream).set_linger(None),
        };
        match updated {
            Ok(()) => self.resets = resets,
            Err(error) => log::warn!(error:%, resets; "the end of a connection cannot be set"),
        }
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        self.update();
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
        // Before the first byte that the client gets.
        self.update();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update();
        // A shutdown would look like the regular end.
        match self.resets {
            true => Poll::Ready(Ok(())),
            false => Pin::new(&mut self.stream).poll_shutdown(context),
        }
    }
}
