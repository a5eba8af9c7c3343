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
pub(crate) struct Stall {
    silenced: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl Stall {
    /// Silences the open connections for good.
    pub(crate) fn silence(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }

    /// Gets the bytes that have passed in either direction.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Wraps a new connection.
    pub(crate) fn wrap(&self, stream: TcpStream) -> Stallable {
        Stallable { stream, opened: self.silenced.load(Ordering::SeqCst), stall: self.clone() }
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
        self.stall.silenced.load(Ordering::SeqCst) != self.opened
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
        let read = (buffer.filled().len() - before) as u64;
        self.stall.bytes.fetch_add(read, Ordering::Relaxed);
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
