//! Free ports.

use std::{
    net::TcpListener,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// Ports below the range from which the system takes those of outgoing
/// connections.
const FIRST: u32 = 12_000;
const COUNT: u32 = 20_000;

/// Ports between the first ones of two processes.
const STRIDE: u32 = 397;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Gets a port that is free and that no other rig of this process gets.
pub(crate) fn free_port() -> u16 {
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (process::id() * STRIDE + step) % COUNT;
        let port = u16::try_from(port).expect("the range ends below 65536");
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
