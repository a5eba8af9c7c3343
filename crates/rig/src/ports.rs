//! Selection of free local TCP ports.

use std::{
    net::TcpListener,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// First port of the range, which ends below the ephemeral ports that the
/// operating system uses for outgoing connections.
const FIRST_PORT: u32 = 12_000;

/// Number of ports in the range.
const PORT_COUNT: u32 = 20_000;

/// Distance between the first ports tried by processes with successive ids, so
/// that test programs that run at once rarely try the same ports.
const PROCESS_STRIDE: u32 = 397;

static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Returns a free port of 127.0.0.1. Each call in a process tries new ports until
/// the range has been used up once.
pub(crate) fn free_port() -> u16 {
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (process::id() * PROCESS_STRIDE + offset) % PORT_COUNT;
        let port = u16::try_from(port).expect("the range ends below 65536");
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
