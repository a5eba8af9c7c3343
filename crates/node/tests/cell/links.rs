//! Links between nodes that fall silent.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use bytes::Bytes;
use googletest::prelude::*;
use serde::Serialize;
use standin::cell::World;
use tokio_tungstenite::tungstenite::{self, WebSocket};

use crate::common::{Node, TASK_SIZE, step, wait_until};

/// Size of a job that, sent a few times, fills the buffers of a connection.
const LARGE_PAYLOAD: usize = 300 * 1024;

const LARGE_JOBS: usize = 60;

/// Stored form of the leader.
#[derive(Serialize)]
struct Leader {
    instance: String,
    links: String,
    process: u64,
    term: u64,
}

/// Leader that accepts links and the first frame on each, and then neither
/// reads nor writes.
struct SilentLeader {
    address: SocketAddr,
    links: Arc<AtomicUsize>,
}

impl SilentLeader {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let links = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&links);
        thread::spawn(move || {
            let mut open: Vec<WebSocket<TcpStream>> = Vec::new();
            while let Ok((stream, _)) = listener.accept() {
                if let Ok(mut socket) = tungstenite::accept(stream)
                    && socket.read().is_ok()
                {
                    counter.fetch_add(1, Ordering::Relaxed);
                    open.push(socket);
                }
            }
        });
        Self { address, links }
    }

    fn links(&self) -> usize {
        self.links.load(Ordering::Relaxed)
    }
}

#[gtest]
fn silent_link_is_replaced_although_a_send_on_it_never_returns() {
    // With full buffers the node waited for the send and never noticed the silence.
    let world = World::new(1, TASK_SIZE, 8);
    let leader = SilentLeader::start();
    let record = Leader {
        instance: "silent".to_owned(),
        links: leader.address.to_string(),
        process: 1,
        term: 1,
    };
    world.store.put("skylarkspan/lead", Bytes::from(work::encode(&record)));
    let node = Node::start(&world, "node-0");
    wait_until("a link", || leader.links() == 1);
    let payload = "x".repeat(LARGE_PAYLOAD);
    for number in 0..LARGE_JOBS {
        expect_that!(node.submit(&format!("job-{number}"), &payload, step(1)), ok(eq(&())));
    }
    wait_until("a second link", || leader.links() >= 2);
}
