//! A small HTTP/1.1 server and client.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Request as a stand-in sees it.
#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    /// Returns a field of the query, with `%xx` decoded.
    pub fn field(&self, name: &str) -> String {
        let pair = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pair.filter(|(known, _)| *known == name).map(|(_, value)| value).next().unwrap_or("");
        let mut out = Vec::new();
        let bytes = value.as_bytes();
        let mut at = 0;
        while at < bytes.len() {
            if bytes[at] == b'%' && at + 2 < bytes.len() {
                out.push(u8::from_str_radix(&value[at + 1..at + 3], 16).unwrap_or(b'?'));
                at += 3;
            } else {
                out.push(bytes[at]);
                at += 1;
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

pub type Handler = Arc<dyn Fn(&Request) -> (u16, String) + Send + Sync>;

/// Server that can be taken down, as a process that is killed, and brought back
/// at the same address.
pub struct Server {
    pub address: SocketAddr,
    up: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    handler: Handler,
}

impl Server {
    pub fn start(handler: Handler) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Server { address, up: Arc::default(), open: Arc::default(), handler };
        server.accept(listener);
        server
    }

    fn accept(&self, listener: TcpListener) {
        self.up.store(true, Ordering::SeqCst);
        listener.set_nonblocking(true).expect("a non-blocking listener");
        let (up, open, handler) = (Arc::clone(&self.up), Arc::clone(&self.open), Arc::clone(&self.handler));
        thread::spawn(move || {
            while up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            let mut open = open.lock().unwrap();
                            open.retain(|stream| stream.peer_addr().is_ok());
                            open.push(copy);
                        }
                        let (up, handler) = (Arc::clone(&up), Arc::clone(&handler));
                        thread::spawn(move || serve(stream, &up, &handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// Ends all connections and refuses new ones.
    pub fn down(&self) {
        self.up.store(false, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn up_again(&self) {
        for _ in 0..500 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return self.accept(listener);
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the address is taken");
    }
}

fn serve(stream: TcpStream, up: &AtomicBool, handler: &Handler) {
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = handler(&request);
        if !up.load(Ordering::SeqCst) {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if out.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|bytes| *bytes > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        match line.trim_end().split_once(':') {
            None => return Some((first.trim_end().to_owned(), headers)),
            Some((name, value)) => headers.push((name.to_lowercase(), value.trim().to_owned())),
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = vec![0; length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let body = read_body(reader, &headers)?;
    Some(Request { method, path, query, headers, body })
}

/// Sends a request on a connection of its own. Returns the status and the body;
/// `None` if there is no complete answer.
pub fn call(address: &str, method: &str, path: &str, headers: &[(&str, &str)], body: &str, limit: Duration) -> Option<(u16, String)> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
