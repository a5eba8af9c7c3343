//! Connections that can be cut.

use std::{io, net::SocketAddr};

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// A `Proxy` passes connections on to an address until it is cut. While it is
/// cut, open connections are silent and new ones get no answer, as with a
/// network that drops packets.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    cut: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Opens a pipe to `target`, which may start to listen later.
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub async fn open(target: String) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let cut = watch::Sender::new(false);
        let state = cut.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target.clone(), state.subscribe()));
            }
        });
        Ok(Self { address, cut, task })
    }

    /// Gets the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the pipe. Connections that are open now stay silent for good.
    pub fn partition(&self) {
        self.cut.send_replace(true);
    }

    /// Mends the pipe for new connections.
    pub fn heal(&self) {
        self.cut.send_replace(false);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass(mut near: TcpStream, target: String, mut cut: watch::Receiver<bool>) {
    let passing = async {
        let Ok(mut far) = TcpStream::connect(&target).await else {
            return;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let _ = copy_bidirectional(&mut near, &mut far).await;
    };
    tokio::select! {
        biased;
        _ = cut.wait_for(|cut| *cut) => {}
        () = passing => return,
    }
    // The connection is held open without a word until the pipe is mended, and
    // then closed, so that nobody waits for ever.
    let _ = cut.wait_for(|cut| !*cut).await;
}
