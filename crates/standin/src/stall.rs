//! Connections that go silent while new ones work.

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

/// A `Stall` silences all connections that are open when it is used.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stall(Arc<AtomicU64>);

impl Stall {
    /// Silences the open connections for good.
    pub(crate) fn silence(&self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }

    /// Wraps a new connection.
    pub(crate) fn wrap(&self, stream: TcpStream) -> Stallable {
        Stallable { stream, opened: self.0.load(Ordering::SeqCst), stall: self.clone() }
    }
}

/// A `Stallable` is a connection that may go silent: it stays open, and
/// nothing passes in either direction.
#[derive(Debug)]
pub(crate) struct Stallable {
    stream: TcpStream,
    opened: u64,
    stall: Stall,
}

impl Stallable {
    fn is_silent(&self) -> bool {
        self.stall.0.load(Ordering::SeqCst) != self.opened
    }
}

impl AsyncRead for Stallable {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if self.is_silent() {
            // What has arrived is swallowed, and nothing wakes the reader.
            buffer.set_filled(before);
            return Poll::Pending;
        }
        polled
    }
}

impl AsyncWrite for Stallable {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
