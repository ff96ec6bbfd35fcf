//! Opens connections to servers.

use std::io;
use std::net::SocketAddr;

use async_trait::async_trait;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use crate::keep_alive;

/// The bytes of a connection in both directions.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for T {}

/// The port through which a box opens connections to servers.
#[async_trait]
pub trait Connect: Send + Sync {
    /// Opens a connection. An error of the kind `ConnectionRefused` means that no process listens at the address.
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn ByteStream>>;
}

/// Opens TCP connections that detect a loss without a reset.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnect;

#[async_trait]
impl Connect for TcpConnect {
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn ByteStream>> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        keep_alive::enable(&stream);
        Ok(Box::new(stream))
    }
}
