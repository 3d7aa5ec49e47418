//! A small HTTP/1.1 server and client.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A received request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// A status and a body.
pub type Response = (u16, Vec<u8>);

/// The open connections of a server.
#[derive(Clone, Default)]
pub struct Connections(Arc<Mutex<Vec<TcpStream>>>);

impl Connections {
    /// Ends all connections at once, also those on which a request waits for its response.
    pub fn reset(&self) {
        for stream in self.0.lock().expect("no thread panics").drain(..) {
            // The client may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests on the listener until the process ends, each connection in a thread. The handler
/// returns none to close the connection without a response.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Request) -> Option<Response> + Send + Sync + 'static,
) -> Connections {
    let handler = Arc::new(handler);
    let connections = Connections::default();
    let accepted = connections.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let clone = stream.try_clone().expect("a descriptor is free");
            accepted.0.lock().expect("no thread panics").push(clone);
            thread::spawn(move || {
                serve_connection(&stream, &*handler);
                // The clone would keep the connection open.
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    connections
}

fn serve_connection(stream: &TcpStream, handler: &dyn Fn(Request) -> Option<Response>) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend(body);
        if (&mut &*stream).write_all(&message).is_err() {
            return;
        }
    }
}

/// Reads the first line and the headers, whose names become lower case.
fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    let length = headers.get("content-length").map_or(Some(0), |text| text.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut parts = first.split(' ');
    let (method, target) = (parts.next()?.to_owned(), parts.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut pairs = BTreeMap::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=')?;
        pairs.insert(key.to_owned(), percent_decoded(value)?);
    }
    let path = path.to_owned();
    let body = read_body(reader, &headers)?;
    Some(Request { method, path, query: pairs, headers, body })
}

fn percent_decoded(text: &str) -> Option<String> {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits = [bytes.next()?, bytes.next()?];
        decoded.push(u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?);
    }
    String::from_utf8(decoded).ok()
}

/// A request of a client.
pub struct Call<'a> {
    pub method: &'a str,
    pub address: SocketAddr,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
    /// How long the client waits for the response before it closes the connection.
    pub timeout: Duration,
}

impl Call<'_> {
    /// Sends the request on a connection of its own. None if there is no response in time.
    pub fn send(&self) -> Option<(u16, String)> {
        let stream = TcpStream::connect_timeout(&self.address, self.timeout).ok()?;
        stream.set_read_timeout(Some(self.timeout)).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut message = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in self.headers {
            message.push_str(&format!("{name}: {value}\r\n"));
        }
        message.push_str(&format!("content-length: {}\r\n\r\n{}", self.body.len(), self.body));
        (&mut &stream).write_all(message.as_bytes()).ok()?;
        let mut reader = BufReader::new(&stream);
        let (first, headers) = read_head(&mut reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let body = read_body(&mut reader, &headers)?;
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }
}
