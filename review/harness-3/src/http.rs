//! HTTP/1.1 over blocking sockets, as far as the stand-ins and clients need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::Value;

/// Request without its headers, except for the expected instance.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub instance: String,
    pub body: Value,
}

impl Request {
    /// Returns a value of the query, empty if there is none.
    pub fn arg(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

/// Handler of requests. `None` leaves the request without an answer and closes the connection.
pub type Handler = Arc<dyn Fn(Request) -> Option<(u16, Value)> + Send + Sync>;

/// Server that can be down: then it closes every connection without an answer.
pub struct Server {
    pub address: String,
    pub is_down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(listener: TcpListener, handler: Handler) -> Self {
        let address = listener.local_addr().expect("the listener is bound").to_string();
        let is_down = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (down, open) = (Arc::clone(&is_down), Arc::clone(&connections));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if down.load(Ordering::SeqCst) {
                    continue;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut open = open.lock().unwrap();
                    open.retain(|known| known.peer_addr().is_ok());
                    open.push(copy);
                }
                let (handler, down) = (Arc::clone(&handler), Arc::clone(&down));
                let serve = move || {
                    let _ = serve(stream, &handler, &down);
                };
                let _ = thread::Builder::new().stack_size(128 << 10).spawn(serve);
            }
        });
        Self { address, is_down, connections }
    }

    /// Closes all connections, and those to come, until `up`.
    pub fn down(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn up(&self) {
        self.is_down.store(false, Ordering::SeqCst);
    }
}

fn serve(stream: TcpStream, handler: &Handler, down: &AtomicBool) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((head, body)) = read_message(&mut reader)? {
        let mut parts = head[0].split(' ');
        let target = parts.nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(key, value)| (key.to_owned(), unescaped(value))).collect();
        let request = Request {
            path: path.to_owned(),
            query,
            instance: header(&head, "x-expected-instance").to_owned(),
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        };
        let Some((status, answer)) = handler(request).filter(|_| !down.load(Ordering::SeqCst))
        else {
            return writer.shutdown(Shutdown::Both);
        };
        let text = answer.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        writer.write_all(&[head.as_bytes(), text.as_bytes()].concat())?;
    }
    Ok(())
}

fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(Vec<String>, Vec<u8>)>> {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            if head.is_empty() {
                continue;
            }
            break;
        }
        head.push(line);
    }
    let length = header(&head, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((head, body)))
}

fn header<'a>(head: &'a [String], name: &str) -> &'a str {
    let lines = head.iter().skip(1).filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map_or("", |(_, value)| value.trim())
}

fn unescaped(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = text.get(index + 1..index + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        if bytes[index] == b'%' && code.is_some() {
            out.extend(code);
            index += 3;
        } else {
            out.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one request on a connection of its own. `None` without a complete answer.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&Value>,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let socket = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&socket, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let text = body.map(Value::to_string).unwrap_or_default();
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if body.is_some() {
        head += "Content-Type: application/json\r\n";
    }
    head += &format!("Content-Length: {}\r\n\r\n", text.len());
    stream.write_all(&[head.as_bytes(), text.as_bytes()].concat()).ok()?;
    let (head, body) = read_message(&mut BufReader::new(stream)).ok()??;
    let status = head[0].split(' ').nth(1)?.parse().ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
