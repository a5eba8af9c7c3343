//! Listeners whose connections count towards the budgets of the process.

use std::{io, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream, lookup_host},
    time,
};

use crate::intake::{Gate, Metered, Port, RECEIVE_BUFFER_BYTES};

/// First delay after a failed `accept`. Usually the process has run out of
/// descriptors, and connections that close free some.
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Longest delay after a failed `accept`.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Connections that the system may hold before they are accepted. Their bytes count
/// towards the memory of the process.
const BACKLOG: u32 = 128;

/// Opens a listener whose connections have small receive buffers.
///
/// # Errors
/// Fails if the address is invalid or in use.
pub async fn bind(address: &str) -> io::Result<TcpListener> {
    let address = lookup_host(address).await?.next();
    let address = address.ok_or_else(|| io::Error::from(io::ErrorKind::AddrNotAvailable))?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Waits for the next connection that the budgets admit.
pub async fn accept(listener: &TcpListener, gate: &Arc<Gate>, port: Port) -> Metered<TcpStream> {
    let mut backoff = MIN_BACKOFF;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                backoff = MIN_BACKOFF;
                if let Some(pass) = gate.open(port) {
                    // Without `TCP_NODELAY` answers are slower but still correct.
                    let _ = stream.set_nodelay(true);
                    return Metered::new(stream, pass);
                }
            }
            Err(error) => {
                gate.accept_failed(port, &error);
                time::sleep(backoff).await;
                backoff = (2 * backoff).min(MAX_BACKOFF);
            }
        }
    }
}
