//! TCP proxy that can simulate a network partition.

use std::{io, net::SocketAddr};

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// TCP proxy in front of one address. The connections of a partitioned proxy stay
/// open but transfer no data, as on a network that drops packets.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    is_partitioned: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Opens a proxy to the address `upstream`, which need not be listening yet.
    ///
    /// # Errors
    /// Fails if the proxy can't listen on a local port.
    pub async fn open(upstream: String) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let is_partitioned = watch::Sender::new(false);
        let state = is_partitioned.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, upstream.clone(), state.subscribe()));
            }
        });
        Ok(Self { address, is_partitioned, task })
    }

    /// Returns the address that clients of the proxy connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a partition. Connections that are open now transfer no more data,
    /// even after [`Proxy::heal`], which closes them.
    pub fn partition(&self) {
        self.is_partitioned.send_replace(true);
    }

    /// Ends the partition: new connections are forwarded again.
    pub fn heal(&self) {
        self.is_partitioned.send_replace(false);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(
    mut client: TcpStream,
    upstream: String,
    mut is_partitioned: watch::Receiver<bool>,
) {
    let forwarding = async {
        let Ok(mut server) = TcpStream::connect(&upstream).await else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let _ = copy_bidirectional(&mut client, &mut server).await;
    };
    tokio::select! {
        biased;
        _ = is_partitioned.wait_for(|is_partitioned| *is_partitioned) => {}
        () = forwarding => return,
    }
    // Keeps the connection open without data during the partition and closes it
    // afterwards, so that its client doesn't wait indefinitely.
    let _ = is_partitioned.wait_for(|is_partitioned| !*is_partitioned).await;
}
