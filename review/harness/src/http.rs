//! A small HTTP/1.1 server and client over blocking sockets.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::Value;

/// Request as received by a server.
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    query: String,
    headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Value of a field of the query; empty if it is missing.
    pub fn query(&self, name: &str) -> String {
        let field = |part: &str| {
            let (key, value) = part.split_once('=')?;
            (key == name).then(|| unescape(value))
        };
        self.query.split('&').find_map(field).unwrap_or_default()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What a server does with a request.
pub enum Answer {
    Reply(u16, Value),
    /// Nothing is answered and the connection is closed.
    Drop,
}

/// Listening server.
pub struct Server {
    pub address: SocketAddr,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
    has_ended: Arc<AtomicBool>,
}

impl Server {
    /// Serves requests on a free port of the loopback address until the process
    /// ends.
    pub fn start(handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> Self {
        Self::start_at("127.0.0.1:0", usize::MAX, handler)
    }

    /// Serves requests at an address until the server ends. Connections beyond
    /// `max_open` wait until others are closed.
    pub fn start_at(
        address: &str,
        max_open: usize,
        handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let has_ended = Arc::new(AtomicBool::new(false));
        let ended = Arc::clone(&has_ended);
        let open: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let connections = Arc::clone(&open);
        spawn(move || {
            for (number, stream) in (0u64..).zip(listener.incoming()) {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                while connections.lock().unwrap().len() >= max_open {
                    thread::sleep(Duration::from_micros(200));
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().insert(number, copy);
                }
                let (handler, connections) = (Arc::clone(&handler), Arc::clone(&connections));
                spawn(move || {
                    serve(stream, &*handler);
                    if let Some(stream) = connections.lock().unwrap().remove(&number) {
                        let _ = stream.shutdown(std::net::Shutdown::Both);
                    }
                });
            }
        });
        Self { address, open, has_ended }
    }

    /// Closes the port and all open connections, as the end of a process does.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        for (_, stream) in self.open.lock().unwrap().drain() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Starts a thread with a small stack.
pub fn spawn(work: impl FnOnce() + Send + 'static) {
    let builder = thread::Builder::new().stack_size(512 * 1024);
    builder.spawn(work).expect("a thread");
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Answer::Reply(status, body) => {
                let text = if body.is_null() { String::new() } else { body.to_string() };
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                     content-length: {}\r\n\r\n",
                    text.len()
                );
                if writer.write_all(format!("{head}{text}").as_bytes()).is_err() {
                    return;
                }
            }
            Answer::Drop => return,
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|count| *count > 0)?;
    let mut parts = first.split_whitespace();
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    Some(Request { method, path, query, headers, body })
}

fn read_headers(reader: &mut impl BufRead) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Sends one request on a connection of its own. Returns status and body, or
/// `None` if there is no answer within `timeout`.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("content-type: application/json\r\ncontent-length: {}\r\n", body.len());
    }
    text += "connection: close\r\n\r\n";
    text += body;
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|count| *count > 0)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
