//! Connections that can be silenced, while new connections work.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Switch that silences the connections that are open when used, and counter of
/// their traffic.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stall {
    /// Number of times that connections were silenced.
    generation: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl Stall {
    /// Silences all open connections permanently.
    pub(crate) fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the number of bytes transferred in both directions.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Wraps a new connection, so that the connection can be silenced.
    pub(crate) fn wrap(&self, stream: TcpStream) -> Connection {
        Connection { stream, opened: self.generation.load(Ordering::SeqCst), stall: self.clone() }
    }
}

/// Connection that can be silenced: the connection stays open, but no data
/// passes in either direction.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// Generation of the [`Stall`] at which the connection was opened.
    opened: u64,
    stall: Stall,
}

impl Connection {
    fn is_silent(&self) -> bool {
        self.stall.generation.load(Ordering::SeqCst) != self.opened
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if self.is_silent() {
            // Received data is discarded, and the reader is never woken.
            buffer.set_filled(before);
            return Poll::Pending;
        }
        let read = (buffer.filled().len() - before) as u64;
        self.stall.bytes.fetch_add(read, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            self.stall.bytes.fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
